//! Requests that break the targets that run them.
//!
//! Such a request comes again, from the same caller with the same content, at any
//! host. Each host notes the runs that broke off before their first byte, and tells
//! the others; a request whose runs broke off as often as the limit is not run again.
//! Runs that break off for another reason rarely meet the same request thrice.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::hash::hash;

/// Runs that broke off after which a request is not run again; the users' rules
/// stand for three.
const LIMIT: usize = 3;

/// Time for which a broken run counts.
const MEMORY: Duration = Duration::from_secs(120);

/// Time for which a broken run is told to other hosts, again and again.
const TELLING: Duration = Duration::from_secs(3);

/// Broken runs remembered.
const MOST: usize = 1_024;

/// Stands for a request, whoever sends it where.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Of a request to `path` by the caller with `key`.
    pub fn new(path: &str, key: Option<&str>, body: &[u8]) -> Fingerprint {
        Fingerprint(hash(&(path, key, body)))
    }
}

/// A run that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BrokenRun {
    /// The request.
    pub request: Fingerprint,
    /// Tells the run from others of the same request.
    pub run: u32,
}

/// Runs that broke off of late, on any host.
#[derive(Debug, Default)]
pub struct Suspects {
    runs: HashMap<BrokenRun, Time>,
}

impl Suspects {
    /// Notes a run that broke off; hearing of it again changes nothing.
    pub fn note(&mut self, now: Time, run: BrokenRun) {
        self.runs.retain(|_, at| now.since(*at) < MEMORY);
        if self.runs.len() < MOST {
            self.runs.entry(run).or_insert(now);
        }
    }

    /// Whether a request may run.
    pub fn may_run(&self, now: Time, request: Fingerprint) -> bool {
        let broken =
            self.runs.iter().filter(|(run, at)| run.request == request && now.since(**at) < MEMORY);
        broken.count() < LIMIT
    }

    /// What to tell other hosts.
    pub fn to_tell(&self, now: Time) -> Vec<BrokenRun> {
        let recent = self.runs.iter().filter(|(_, at)| now.since(**at) < TELLING);
        recent.map(|(run, _)| *run).collect()
    }
}
