//! What the other hosts told of their open work, summed up by target.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

/// Time for which what another host told of its open work counts.
const HEARD_SPAN: Duration = Duration::from_millis(1_500);

/// One host's open work at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenWork {
    /// Stands for the target's id.
    pub target: u32,
    /// Prompt computation that is not done, in milliseconds.
    pub pending: u16,
    /// Requests.
    pub open: u16,
    /// Failure rate of late, in percent; zero while it is not to be told.
    pub failing: u8,
}

/// Open work of the other hosts at one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    /// Requests.
    pub(super) open: u32,
    /// Prompt computation that is not done, in milliseconds.
    pub(super) pending: u32,
    /// Failure rates of all hosts, in percent.
    pub(super) failing: u32,
}

/// What the other hosts told last.
#[derive(Debug, Default)]
pub(super) struct Heard {
    hosts: HashMap<u32, (Time, Vec<OpenWork>)>,
    loads: HashMap<u32, Load>,
}

impl Heard {
    /// Takes in a host's open work in place of what it told before.
    pub(super) fn hear(&mut self, now: Time, host: u32, work: Vec<OpenWork>) {
        self.add(&work);
        let before = self.hosts.insert(host, (now, work));
        let old = self.hosts.extract_if(|_, (at, _)| now.since(*at) >= HEARD_SPAN);
        let old: Vec<_> = old.map(|(_, told)| told).chain(before).collect();
        for (_, work) in old {
            self.take(&work);
        }
    }

    /// Open work at the target that `key` stands for.
    pub(super) fn load(&self, key: u32) -> Load {
        self.loads.get(&key).copied().unwrap_or_default()
    }

    fn add(&mut self, work: &[OpenWork]) {
        for work in work {
            let load = self.loads.entry(work.target).or_default();
            load.open += u32::from(work.open);
            load.pending += u32::from(work.pending);
            load.failing += u32::from(work.failing);
        }
    }

    fn take(&mut self, work: &[OpenWork]) {
        for work in work {
            let Some(load) = self.loads.get_mut(&work.target) else { continue };
            load.open = load.open.saturating_sub(u32::from(work.open));
            load.pending = load.pending.saturating_sub(u32::from(work.pending));
            load.failing = load.failing.saturating_sub(u32::from(work.failing));
            if load.open == 0 && load.pending == 0 && load.failing == 0 {
                self.loads.remove(&work.target);
            }
        }
    }
}
