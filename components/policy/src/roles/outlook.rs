//! The demand that a change of roles has to serve.
//!
//! The mix swings within minutes, and a change costs seconds, so roles are chosen
//! for the mixes of the last minutes and not for the present one alone.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::{Demand, roles::capacity::Capacity};

/// Time between two samples.
const SAMPLE: Duration = Duration::from_secs(5);

/// Weight of the present demand against that of the window.
const PRESENT: f64 = 0.3;

/// Recent demand.
#[derive(Debug)]
pub(super) struct Outlook {
    window: Duration,
    samples: VecDeque<Demand>,
    present: Demand,
}

impl Outlook {
    /// An outlook from the demand of the last `window`.
    pub(super) fn new(window: Duration) -> Outlook {
        Outlook { window, samples: VecDeque::new(), present: Demand::default() }
    }

    /// Takes in the present demand.
    pub(super) fn observe(&mut self, demand: Demand) {
        self.present = demand;
        let last = self.samples.back();
        if last.is_none_or(|last| demand.at.since(last.at) >= SAMPLE) {
            self.samples.push_back(demand);
        }
        let now: Time = demand.at;
        while self.samples.front().is_some_and(|first| now.since(first.at) > self.window) {
            self.samples.pop_front();
        }
    }

    /// What `capacity` is worth on average.
    pub(super) fn worth(&self, capacity: &Capacity) -> f64 {
        let sum: f64 = self.samples.iter().map(|demand| capacity.worth(demand)).sum();
        let mean = sum / self.samples.len().max(1) as f64;
        PRESENT * capacity.worth(&self.present) + (1.0 - PRESENT) * mean
    }
}
