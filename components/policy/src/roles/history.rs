//! Recent demand, used to choose engine roles.
//!
//! The ratio of prompt to output load varies within minutes and a change costs seconds, so
//! roles are chosen for the demand of the last minutes and not only for the current one.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::{Demand, roles::capacity::Capacity};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);

/// Weight of the current demand relative to the history.
const CURRENT_WEIGHT: f64 = 0.3;

/// Current and recent demand.
#[derive(Debug)]
pub(super) struct DemandHistory {
    window: Duration,
    samples: VecDeque<Demand>,
    current: Demand,
}

impl DemandHistory {
    /// Creates an empty history of length `window`.
    pub(super) fn new(window: Duration) -> DemandHistory {
        DemandHistory { window, samples: VecDeque::new(), current: Demand::default() }
    }

    /// Records the current demand.
    pub(super) fn observe(&mut self, demand: Demand) {
        self.current = demand;
        let last = self.samples.back();
        if last.is_none_or(|last| demand.measured_at.since(last.measured_at) >= SAMPLE_INTERVAL) {
            self.samples.push_back(demand);
        }
        let now: Time = demand.measured_at;
        while self.samples.front().is_some_and(|first| now.since(first.measured_at) > self.window) {
            self.samples.pop_front();
        }
    }

    /// Weighted mean value of `capacity` for the recorded demand.
    pub(super) fn value(&self, capacity: &Capacity) -> f64 {
        let sum: f64 = self.samples.iter().map(|demand| capacity.value(demand)).sum();
        let mean = sum / self.samples.len().max(1) as f64;
        CURRENT_WEIGHT * capacity.value(&self.current) + (1.0 - CURRENT_WEIGHT) * mean
    }
}
