//! Requests that crash the targets that run them.
//!
//! Every request that ran on a crashed target becomes a suspect. Suspects are run
//! apart (see [`Request::suspect`]): one at a time on a target that takes no other
//! unproven request meanwhile. A second crash then points at one request alone.
//!
//! A request is quarantined after two crashes, in one of which it was the only
//! one that could be blamed: no other suspect and no other request before its
//! first token ran there. So a crash that a second organisation brings about
//! beside a suspect proves nothing against the suspect, and nobody can have
//! another organisation's requests refused by crashing targets beside them.
//! Fingerprints hold the organisation, so equal bodies are different requests.
//!
//! Hosts tell each other what of theirs ran at each crash; the same rule over the
//! union gives every host the same verdict. All is forgotten after a time, and the
//! memory is bounded.
//!
//! [`Request::suspect`]: crate::Request::suspect

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Fingerprint, Reason, Refusal, Running, TargetId};

#[cfg(test)]
mod tests;

/// Crashes after which a request can be quarantined.
const CRASHES: usize = 2;

/// Limits of poison detection.
#[derive(Debug, Clone, PartialEq)]
pub struct PoisonSettings {
    /// Time for which a crash is remembered.
    pub memory: Duration,
    /// Crashes remembered.
    pub crashes: usize,
    /// Requests remembered a crash.
    pub runs: usize,
}

impl Default for PoisonSettings {
    fn default() -> PoisonSettings {
        PoisonSettings { memory: Duration::from_secs(600), crashes: 128, runs: 128 }
    }
}

/// One crash of one target; the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// The target.
    pub target: TargetId,
    /// The target's incarnation that ended.
    pub incarnation: u64,
}

/// A request that ran at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is to be blamed first: a suspect, or before its first token.
    pub open: bool,
}

/// What ran on a target at its crash, as one host knows it; told to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// The crash.
    pub crash: CrashId,
    /// The telling host's requests that ran.
    pub runs: SmallVec<[Run; 8]>,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// It ran at a crash and is run apart.
    Suspect,
    /// It crashed targets and is refused.
    Quarantined(Refusal),
}

#[derive(Debug)]
struct Crash {
    id: CrashId,
    at: Time,
    runs: SmallVec<[Run; 8]>,
}

impl Crash {
    fn run(&self, fingerprint: Fingerprint) -> Option<&Run> {
        self.runs.iter().find(|run| run.fingerprint == fingerprint)
    }

    /// Whether this request, and no other, is to be blamed.
    fn blames(&self, fingerprint: Fingerprint) -> bool {
        let mut open = self.runs.iter().filter(|run| run.open);
        let first = open.next();
        first.is_some_and(|run| run.fingerprint == fingerprint) && open.next().is_none()
    }
}

/// What one host knows of crashes and the requests that ran at them.
#[derive(Debug)]
pub struct Poison {
    settings: PoisonSettings,
    crashes: VecDeque<Crash>,
    /// Number of remembered crashes by request.
    counts: HashMap<Fingerprint, usize>,
}

impl Poison {
    /// Nothing known yet.
    pub fn new(settings: PoisonSettings) -> Poison {
        Poison { settings, crashes: VecDeque::new(), counts: HashMap::new() }
    }

    /// Notes a crash and what ran on the target, as told by [`Router::running`].
    ///
    /// Returns the notice to send to the other hosts.
    ///
    /// [`Router::running`]: crate::Router::running
    pub fn crashed(&mut self, now: Time, crash: CrashId, running: &[Running]) -> Notice {
        let runs = running.iter().map(|run| Run {
            fingerprint: run.fingerprint,
            open: !run.proven || self.counts.contains_key(&run.fingerprint),
        });
        let notice = Notice { crash, runs: runs.collect() };
        self.hear(now, &notice);
        notice
    }

    /// Takes in a notice; hearing it again changes nothing.
    pub fn hear(&mut self, now: Time, notice: &Notice) {
        self.forget_old(now);
        let known = self.crashes.iter().position(|crash| crash.id == notice.crash);
        let at = known.unwrap_or_else(|| self.add(now, notice.crash));
        let Some(crash) = self.crashes.get_mut(at) else { return };
        for run in &notice.runs {
            let same = |known: &&mut Run| known.fingerprint == run.fingerprint;
            if let Some(known) = crash.runs.iter_mut().find(same) {
                known.open |= run.open;
            } else if crash.runs.len() < self.settings.runs {
                crash.runs.push(*run);
                *self.counts.entry(run.fingerprint).or_default() += 1;
            }
        }
    }

    /// How a request stands; ask before it is queued, and again before a retry.
    pub fn check(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        if !self.counts.contains_key(&fingerprint) {
            return Standing::Clear;
        }
        let crashes = self.crashes.iter().filter(|crash| self.is_fresh(now, crash));
        let crashes: SmallVec<[&Crash; 4]> =
            crashes.filter(|crash| crash.run(fingerprint).is_some()).collect();
        let Some(last) = crashes.iter().map(|crash| crash.at).max() else {
            return Standing::Clear;
        };
        let blamed = crashes.iter().any(|crash| crash.blames(fingerprint));
        if crashes.len() < CRASHES || !blamed {
            return Standing::Suspect;
        }
        let until = last + self.settings.memory;
        Standing::Quarantined(Refusal::new(Reason::Quarantined, until.since(now)))
    }

    /// Notes that a suspect was answered in full: it does not crash targets.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.check(now, fingerprint) != Standing::Suspect {
            return;
        }
        self.counts.remove(&fingerprint);
        for crash in &mut self.crashes {
            crash.runs.retain(|run| run.fingerprint != fingerprint);
        }
    }

    /// All that is known, for a host that has just started.
    pub fn notices(&self) -> Vec<Notice> {
        let notices = self.crashes.iter();
        notices.map(|crash| Notice { crash: crash.id, runs: crash.runs.clone() }).collect()
    }

    fn is_fresh(&self, now: Time, crash: &Crash) -> bool {
        now.since(crash.at) < self.settings.memory
    }

    fn add(&mut self, now: Time, id: CrashId) -> usize {
        if self.crashes.len() >= self.settings.crashes {
            self.drop_first();
        }
        self.crashes.push_back(Crash { id, at: now, runs: SmallVec::new() });
        self.crashes.len() - 1
    }

    fn forget_old(&mut self, now: Time) {
        while self.crashes.front().is_some_and(|crash| !self.is_fresh(now, crash)) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some(crash) = self.crashes.pop_front() else { return };
        for run in crash.runs {
            let Some(count) = self.counts.get_mut(&run.fingerprint) else { continue };
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&run.fingerprint);
            }
        }
    }
}
