//! Work in flight that other hosts report, summed up by target.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

/// Time for which another host's report counts.
const WORK_TTL: Duration = Duration::from_millis(1_500);

/// One host's work in flight on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightWork {
    /// Hash of the target's id.
    pub target: u32,
    /// Prompt computation that is not finished, in milliseconds.
    pub pending: u16,
    /// Number of requests in flight.
    pub open: u16,
    /// Recent failure rate in percent; zero if it is too low to report.
    pub failing: u8,
}

/// Sum of the other hosts' work in flight on one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerLoad {
    /// Number of requests in flight.
    pub(super) in_flight: u32,
    /// Prompt computation that is not finished, in milliseconds.
    pub(super) pending_ms: u32,
    /// Sum of the hosts' failure rates, in percent.
    pub(super) failure_percent: u32,
}

/// The latest report of each other host.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: HashMap<u32, (Time, Vec<InFlightWork>)>,
    loads: HashMap<u32, PeerLoad>,
}

impl PeerLoads {
    /// Replaces a host's previous report and drops expired ones.
    pub(super) fn update(&mut self, now: Time, host: u32, work: Vec<InFlightWork>) {
        self.add(&work);
        let before = self.hosts.insert(host, (now, work));
        let old = self.hosts.extract_if(|_, (at, _)| now.since(*at) >= WORK_TTL);
        let old: Vec<_> = old.map(|(_, report)| report).chain(before).collect();
        for (_, work) in old {
            self.subtract(&work);
        }
    }

    /// Work in flight on the target with the id hash `key`.
    pub(super) fn load(&self, key: u32) -> PeerLoad {
        self.loads.get(&key).copied().unwrap_or_default()
    }

    fn add(&mut self, work: &[InFlightWork]) {
        for work in work {
            let load = self.loads.entry(work.target).or_default();
            load.in_flight += u32::from(work.open);
            load.pending_ms += u32::from(work.pending);
            load.failure_percent += u32::from(work.failing);
        }
    }

    fn subtract(&mut self, work: &[InFlightWork]) {
        for work in work {
            let Some(load) = self.loads.get_mut(&work.target) else { continue };
            load.in_flight = load.in_flight.saturating_sub(u32::from(work.open));
            load.pending_ms = load.pending_ms.saturating_sub(u32::from(work.pending));
            load.failure_percent = load.failure_percent.saturating_sub(u32::from(work.failing));
            if load.in_flight == 0 && load.pending_ms == 0 && load.failure_percent == 0 {
                self.loads.remove(&work.target);
            }
        }
    }
}
