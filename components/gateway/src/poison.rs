//! Detects poison requests, which crash the targets that run them.
//!
//! Such a request is sent again by the same caller with the same content, to any host.
//! Each host records the runs that failed before their first byte and tells the other
//! hosts; a request with too many failed runs is not run again. Runs that fail for
//! another reason rarely hit the same request three times.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;

/// Failed runs after which a request is not run again; the users' rules allow three.
const MAX_FAILED_RUNS: usize = 3;

/// Time for which a failed run counts.
const RUN_TTL: Duration = Duration::from_secs(120);

/// Time for which a failed run is repeated in gossip messages.
const GOSSIP_TIME: Duration = Duration::from_secs(3);

/// Maximum number of failed runs remembered.
const MAX_RUNS: usize = 1_024;

/// Hash of a request, equal for all retries on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of a request to `path` by the caller with the API key `key`.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Fingerprint {
        Fingerprint(stable_hash(&(path, key, body)))
    }
}

/// A failed run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FailedRun {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Random number that distinguishes runs of the same request.
    pub run: u32,
}

/// Recent failed runs on all hosts.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    runs: HashMap<FailedRun, Time>,
}

impl PoisonTracker {
    /// Records a failed run; a repeat has no effect.
    pub fn record_run(&mut self, now: Time, run: FailedRun) {
        self.runs.retain(|_, at| now.since(*at) < RUN_TTL);
        if self.runs.len() < MAX_RUNS {
            self.runs.entry(run).or_insert(now);
        }
    }

    /// Whether a request may run, given its failed runs.
    pub fn may_run(&self, now: Time, request: Fingerprint) -> bool {
        let failed_runs = self
            .runs
            .iter()
            .filter(|(run, at)| run.request == request && now.since(**at) < RUN_TTL);
        failed_runs.count() < MAX_FAILED_RUNS
    }

    /// Recent failed runs to send to other hosts.
    pub fn runs_to_gossip(&self, now: Time) -> Vec<FailedRun> {
        let recent = self.runs.iter().filter(|(_, at)| now.since(**at) < GOSSIP_TIME);
        recent.map(|(run, _)| *run).collect()
    }
}
