//! Detection of poison requests: requests that crash the targets that run them.
//!
//! Every request that was running on a crashed target becomes a suspect. Suspects are
//! isolated (see [`Request::suspect`]): they run one at a time, on a target that gets no new
//! requests meanwhile. A second crash then identifies the request that caused it.
//!
//! A request is quarantined after two crashes if in at least one of them it was the only
//! candidate cause: no other suspect and no other request without a first token was running
//! there. A crash caused by a second organisation alongside a suspect is therefore no
//! evidence against the suspect, and nobody can get the requests of another organisation
//! refused by crashing targets alongside them. Fingerprints include the organisation, so
//! equal bodies of two organisations are different requests.
//!
//! Hosts notify each other of the requests that were running at each crash. All hosts apply
//! the same rule to the union of the notices and so reach the same result. Crashes expire
//! after a time, and memory is bounded.
//!
//! [`Request::suspect`]: crate::Request::suspect

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Fingerprint, Refusal, RefusalReason, RunningAttempt, TargetId};

#[cfg(test)]
mod tests;

/// Crashes before a request can be quarantined.
const MIN_CRASHES: usize = 2;

/// Settings of [`Poison`].
#[derive(Debug, Clone, PartialEq)]
pub struct PoisonSettings {
    /// Time for which a crash is remembered.
    pub retention: Duration,
    /// Maximum number of crashes remembered.
    pub max_crashes: usize,
    /// Maximum number of requests remembered per crash.
    pub max_requests: usize,
}

impl Default for PoisonSettings {
    fn default() -> PoisonSettings {
        PoisonSettings { retention: Duration::from_secs(600), max_crashes: 128, max_requests: 128 }
    }
}

/// Identifies the crash of a target; the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// The target.
    pub target: TargetId,
    /// The incarnation of the target that crashed.
    pub incarnation: u64,
}

/// A request that was running at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AffectedRequest {
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Whether it is a candidate cause: a suspect, or without a first token.
    pub open: bool,
}

/// The requests of one host that were running on a target at its crash; sent to the other
/// hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashNotice {
    /// The crash.
    pub crash: CrashId,
    /// Requests of the sending host that were running.
    pub runs: SmallVec<[AffectedRequest; 8]>,
}

/// Result of checking a request for poison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonStatus {
    /// Not a suspect.
    Clear,
    /// It was running at a crash and must be isolated.
    Suspect,
    /// It crashed targets and is refused.
    Quarantined(Refusal),
}

#[derive(Debug)]
struct Crash {
    id: CrashId,
    at: Time,
    requests: SmallVec<[AffectedRequest; 8]>,
}

impl Crash {
    fn affected(&self, fingerprint: Fingerprint) -> Option<&AffectedRequest> {
        self.requests.iter().find(|run| run.fingerprint == fingerprint)
    }

    /// Whether the request is the only candidate cause of the crash.
    fn is_sole_cause(&self, fingerprint: Fingerprint) -> bool {
        let mut candidates = self.requests.iter().filter(|run| run.open);
        let first = candidates.next();
        first.is_some_and(|run| run.fingerprint == fingerprint) && candidates.next().is_none()
    }
}

/// Recent crashes and the requests that were running at them.
#[derive(Debug)]
pub struct PoisonDetector {
    settings: PoisonSettings,
    crashes: VecDeque<Crash>,
    /// Number of remembered crashes per request.
    crash_counts: HashMap<Fingerprint, usize>,
}

impl PoisonDetector {
    /// Creates a detector without crashes.
    pub fn new(settings: PoisonSettings) -> PoisonDetector {
        PoisonDetector { settings, crashes: VecDeque::new(), crash_counts: HashMap::new() }
    }

    /// Records a crash and the attempts that were running on the target, from
    /// [`Router::running`].
    ///
    /// Returns the notice to send to the other hosts.
    ///
    /// [`Router::running`]: crate::Router::running
    pub fn record_crash(
        &mut self,
        now: Time,
        crash: CrashId,
        running: &[RunningAttempt],
    ) -> CrashNotice {
        let runs = running.iter().map(|run| AffectedRequest {
            fingerprint: run.fingerprint,
            open: !run.first_token_seen || self.crash_counts.contains_key(&run.fingerprint),
        });
        let notice = CrashNotice { crash, runs: runs.collect() };
        self.merge_notice(now, &notice);
        notice
    }

    /// Merges a notice; applying it again has no effect.
    pub fn merge_notice(&mut self, now: Time, notice: &CrashNotice) {
        self.drop_expired(now);
        let known = self.crashes.iter().position(|crash| crash.id == notice.crash);
        let at = known.unwrap_or_else(|| self.add_crash(now, notice.crash));
        let Some(crash) = self.crashes.get_mut(at) else { return };
        for run in &notice.runs {
            let same = |known: &&mut AffectedRequest| known.fingerprint == run.fingerprint;
            if let Some(known) = crash.requests.iter_mut().find(same) {
                known.open |= run.open;
            } else if crash.requests.len() < self.settings.max_requests {
                crash.requests.push(*run);
                *self.crash_counts.entry(run.fingerprint).or_default() += 1;
            }
        }
    }

    /// Checks a request; to be called before it is queued and before each retry.
    pub fn check(&self, now: Time, fingerprint: Fingerprint) -> PoisonStatus {
        if !self.crash_counts.contains_key(&fingerprint) {
            return PoisonStatus::Clear;
        }
        let crashes = self.crashes.iter().filter(|crash| self.is_fresh(now, crash));
        let crashes: SmallVec<[&Crash; 4]> =
            crashes.filter(|crash| crash.affected(fingerprint).is_some()).collect();
        let Some(last) = crashes.iter().map(|crash| crash.at).max() else {
            return PoisonStatus::Clear;
        };
        let sole_cause = crashes.iter().any(|crash| crash.is_sole_cause(fingerprint));
        if crashes.len() < MIN_CRASHES || !sole_cause {
            return PoisonStatus::Suspect;
        }
        let until = last + self.settings.retention;
        PoisonStatus::Quarantined(Refusal::new(RefusalReason::Quarantined, until.since(now)))
    }

    /// Records that a suspect was answered in full, so it does not crash targets.
    pub fn clear_suspect(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.check(now, fingerprint) != PoisonStatus::Suspect {
            return;
        }
        self.crash_counts.remove(&fingerprint);
        for crash in &mut self.crashes {
            crash.requests.retain(|run| run.fingerprint != fingerprint);
        }
    }

    /// Returns a notice for every known crash, for a host that has just started.
    pub fn notices(&self) -> Vec<CrashNotice> {
        let notices = self.crashes.iter();
        notices.map(|crash| CrashNotice { crash: crash.id, runs: crash.requests.clone() }).collect()
    }

    fn is_fresh(&self, now: Time, crash: &Crash) -> bool {
        now.since(crash.at) < self.settings.retention
    }

    fn add_crash(&mut self, now: Time, id: CrashId) -> usize {
        if self.crashes.len() >= self.settings.max_crashes {
            self.drop_oldest();
        }
        self.crashes.push_back(Crash { id, at: now, requests: SmallVec::new() });
        self.crashes.len() - 1
    }

    fn drop_expired(&mut self, now: Time) {
        while self.crashes.front().is_some_and(|crash| !self.is_fresh(now, crash)) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else { return };
        for run in crash.requests {
            let Some(count) = self.crash_counts.get_mut(&run.fingerprint) else { continue };
            *count -= 1;
            if *count == 0 {
                self.crash_counts.remove(&run.fingerprint);
            }
        }
    }
}
