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
//! A detector of prompt parts ([`PoisonSubject::Parts`]) looks at the parts that requests share
//! instead, since requests that hold a poison part need not be alike. A crash accuses the parts of
//! all requests that had not begun to answer there; most of them are sound. A complete answer
//! acquits the parts of its request of all crashes before. A part is quarantined if no other
//! part explains its crashes better. Parts that were always there together cannot be told
//! apart; requests that hold all of them are refused, and the first answer to one that holds
//! some of them acquits those. A part that has been answered before needs twice as
//! many crashes. It is refused to the organisations whose requests crashed targets with it, and to
//! all once there are two of these: nobody can get a part refused to another organisation by
//! sending it along with a poison part.
//!
//! A complete answer acquits a whole request in the same way.
//!
//! Hosts notify each other of the requests that were running at each crash. All hosts apply
//! the same rule to the union of the notices and so reach the same result. Crashes expire
//! after a time, and memory is bounded.
//!
//! [`Request::suspect`]: crate::Request::suspect

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    hash::Hash,
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Fingerprint, Refusal, RefusalReason, RunningAttempt, TargetId};

#[cfg(test)]
mod tests;

/// Maximum number of digests remembered as answered; the oldest are dropped first.
const MAX_SOUND: usize = 4_096;

/// Factor to the number of crashes after which what was answered before is quarantined.
const SOUND_FACTOR: usize = 2;

/// What a detector looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonSubject {
    /// Whole requests.
    Requests,
    /// Parts of prompts, which requests of several organisations may share.
    Parts,
}

/// Settings of [`PoisonDetector`].
#[derive(Debug, Clone, PartialEq)]
pub struct PoisonSettings {
    /// What the detector looks for.
    pub subject: PoisonSubject,
    /// Crashes before anything can be quarantined.
    pub min_crashes: usize,
    /// Time for which a crash is remembered.
    pub retention: Duration,
    /// Maximum number of crashes remembered.
    pub max_crashes: usize,
    /// Maximum number of requests remembered per crash.
    pub max_requests: usize,
}

impl Default for PoisonSettings {
    fn default() -> PoisonSettings {
        PoisonSettings {
            subject: PoisonSubject::Requests,
            min_crashes: 2,
            retention: Duration::from_secs(600),
            max_crashes: 128,
            max_requests: 128,
        }
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

/// A request that was running at a crash, or a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AffectedRequest {
    /// Identity of the request or of the part, and the organisation.
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

    fn to_notice(&self) -> CrashNotice {
        CrashNotice { crash: self.id, runs: self.requests.clone() }
    }

    fn accuses(&self, digest: u64) -> bool {
        self.requests.iter().any(|run| run.open && run.fingerprint.digest == digest)
    }
}

/// Recent crashes and the requests that were running at them.
#[derive(Debug)]
pub struct PoisonDetector {
    settings: PoisonSettings,
    crashes: VecDeque<Crash>,
    /// Number of crashes that were dropped.
    dropped: usize,
    /// Numbers of the crashes that are remembered: the place in `crashes` and the number dropped before.
    numbers: HashMap<CrashId, usize>,
    /// Number of remembered crashes per request.
    crash_counts: HashMap<Fingerprint, usize>,
    /// Number of remembered crashes per digest.
    digest_counts: HashMap<u64, usize>,
    /// When a request with this digest was last answered in full.
    sound: HashMap<u64, Time>,
}

impl PoisonDetector {
    /// Creates a detector without crashes.
    pub fn new(settings: PoisonSettings) -> PoisonDetector {
        PoisonDetector {
            settings,
            crashes: VecDeque::new(),
            dropped: 0,
            numbers: HashMap::new(),
            crash_counts: HashMap::new(),
            digest_counts: HashMap::new(),
            sound: HashMap::new(),
        }
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
        self.merge_notice(now, now, &notice);
        notice
    }

    /// Merges a notice of a crash at `at`; applying it again has no effect.
    pub fn merge_notice(&mut self, now: Time, at: Time, notice: &CrashNotice) {
        if now.since(at) >= self.settings.retention {
            return;
        }
        self.drop_expired(now);
        let known = self.numbers.get(&notice.crash).map(|number| number - self.dropped);
        let index = known.unwrap_or_else(|| self.add_crash(at, notice.crash));
        let Some(crash) = self.crashes.get_mut(index) else { return };
        for run in &notice.runs {
            let same = |known: &&mut AffectedRequest| known.fingerprint == run.fingerprint;
            if let Some(known) = crash.requests.iter_mut().find(same) {
                known.open |= run.open;
            } else if crash.requests.len() < self.settings.max_requests {
                crash.requests.push(*run);
                *self.crash_counts.entry(run.fingerprint).or_default() += 1;
                *self.digest_counts.entry(run.fingerprint.digest).or_default() += 1;
            }
        }
    }

    /// Whether a crash is known and remembered.
    pub fn knows(&self, crash: CrashId) -> bool {
        self.numbers.contains_key(&crash)
    }

    /// Whether a request or part with this digest was answered in full.
    pub fn is_sound(&self, digest: u64) -> bool {
        self.sound.contains_key(&digest)
    }

    /// Checks a request; to be called before it is queued and before each retry.
    pub fn check(&self, now: Time, fingerprint: Fingerprint) -> PoisonStatus {
        if self.settings.subject == PoisonSubject::Parts {
            return self.check_parts(now, &[fingerprint]);
        }
        if !self.crash_counts.contains_key(&fingerprint) {
            return PoisonStatus::Clear;
        }
        let sound_at = self.sound.get(&fingerprint.digest);
        let crashes = self.crashes.iter().filter(|crash| self.is_fresh(now, crash));
        let crashes = crashes.filter(|crash| sound_at.is_none_or(|at| crash.at > *at));
        let crashes: SmallVec<[&Crash; 4]> =
            crashes.filter(|crash| crash.affected(fingerprint).is_some()).collect();
        let Some(last) = crashes.iter().map(|crash| crash.at).max() else {
            return PoisonStatus::Clear;
        };
        let sole_cause = crashes.iter().any(|crash| crash.is_sole_cause(fingerprint));
        if crashes.len() < self.required_crashes(fingerprint.digest) || !sole_cause {
            return PoisonStatus::Suspect;
        }
        self.quarantined(now, last)
    }

    /// Number of crashes from which a request or a part with this digest is quarantined.
    fn required_crashes(&self, digest: u64) -> usize {
        let factor = if self.sound.contains_key(&digest) { SOUND_FACTOR } else { 1 };
        self.settings.min_crashes * factor
    }

    fn quarantined(&self, now: Time, last: Time) -> PoisonStatus {
        let until = last + self.settings.retention;
        PoisonStatus::Quarantined(Refusal::new(RefusalReason::Quarantined, until.since(now)))
    }

    /// Checks a request by the parts of its prompt that other requests may share; to be called
    /// before it is queued and before each retry.
    pub fn check_parts(&self, now: Time, parts: &[Fingerprint]) -> PoisonStatus {
        let mut status = PoisonStatus::Clear;
        for part in parts {
            match self.check_part(now, *part, parts) {
                PoisonStatus::Clear => {}
                PoisonStatus::Suspect => status = PoisonStatus::Suspect,
                quarantined @ PoisonStatus::Quarantined(_) => return quarantined,
            }
        }
        status
    }

    /// Checks one part of a request with these `parts`.
    fn check_part(&self, now: Time, part: Fingerprint, parts: &[Fingerprint]) -> PoisonStatus {
        let crashes = self.accusations(now, part.digest);
        let Some(last) = crashes.iter().map(|crash| crash.at).max() else {
            return PoisonStatus::Clear;
        };
        if crashes.len() < self.required_crashes(part.digest)
            || !self.is_common_cause(now, part.digest, &crashes, parts)
        {
            return PoisonStatus::Suspect;
        }
        let runs = crashes.iter().flat_map(|crash| &crash.requests);
        let senders = runs.filter(|run| run.fingerprint.digest == part.digest);
        let mut senders: SmallVec<[u32; 8]> = senders.map(|run| run.fingerprint.org.0).collect();
        senders.sort_unstable();
        senders.dedup();
        if senders.len() < 2 && !senders.contains(&part.org.0) {
            return PoisonStatus::Suspect;
        }
        self.quarantined(now, last)
    }

    /// Whether no other part explains all `crashes` of this one better, and those that explain
    /// them as well are among the `parts` of the request too.
    fn is_common_cause(
        &self,
        now: Time,
        digest: u64,
        crashes: &[&Crash],
        parts: &[Fingerprint],
    ) -> bool {
        let Some(first) = crashes.first() else { return false };
        let was_always_there =
            |other: u64| crashes.iter().all(|crash| self.is_accused(crash, other));
        let others = first.requests.iter().map(|run| run.fingerprint.digest);
        let mut rivals = others.filter(|other| *other != digest && was_always_there(*other));
        rivals.all(|rival| {
            parts.iter().any(|part| part.digest == rival)
                && self.accusations(now, rival).len() <= crashes.len()
        })
    }

    /// The crashes that accuse a request or a part and that no complete answer has acquitted it of.
    fn accusations(&self, now: Time, digest: u64) -> SmallVec<[&Crash; 4]> {
        if !self.digest_counts.contains_key(&digest) {
            return SmallVec::new();
        }
        let crashes = self.crashes.iter().filter(|crash| self.is_fresh(now, crash));
        crashes.filter(|crash| self.is_accused(crash, digest)).collect()
    }

    fn is_accused(&self, crash: &Crash, digest: u64) -> bool {
        crash.accuses(digest) && self.sound.get(&digest).is_none_or(|at| crash.at > *at)
    }

    /// Whether a crash accuses the request or the part with this digest.
    pub fn accuses(&self, now: Time, digest: u64) -> bool {
        self.accusation_count(now, digest) > 0
    }

    /// Number of crashes that accuse the request or the part with this digest.
    pub fn accusation_count(&self, now: Time, digest: u64) -> usize {
        self.accusations(now, digest).len()
    }

    /// Number of crashes that accuse a request or a part.
    pub fn crash_count(&self, now: Time, fingerprint: Fingerprint) -> usize {
        self.accusation_count(now, fingerprint.digest)
    }

    /// Records that this request, or one with this part, was answered in full. Returns whether it was
    /// accused, so that other hosts are to be told.
    pub fn record_sound(&mut self, now: Time, digest: u64) -> bool {
        let was_accused = self.accuses(now, digest);
        self.sound.insert(digest, now);
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Time> = self.sound.values().copied().collect();
            let middle = times.len() / 2;
            let median = *times.select_nth_unstable(middle).1;
            self.sound.retain(|_, at| *at > median);
        }
        was_accused
    }

    /// The requests or parts of a notice that this host knows to have been answered.
    pub fn sound_parts(&self, notice: &CrashNotice) -> SmallVec<[u64; 8]> {
        let digests = notice.runs.iter().map(|run| run.fingerprint.digest);
        digests.filter(|digest| self.sound.contains_key(digest)).collect()
    }

    /// Notices of crashes since `since`, with their times and without those that were acquitted.
    pub fn notices_since(&self, since: Time) -> Vec<(Time, CrashNotice)> {
        let recent = self.crashes.iter().filter(|crash| crash.at >= since);
        let notices = recent.map(|crash| {
            let mut notice = crash.to_notice();
            notice.runs.retain(|run| self.is_accused(crash, run.fingerprint.digest));
            (crash.at, notice)
        });
        notices.filter(|(_, notice)| !notice.runs.is_empty()).collect()
    }

    /// Records that a suspect was answered in full, so it does not crash targets.
    pub fn clear_suspect(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.check(now, fingerprint) != PoisonStatus::Suspect {
            return;
        }
        let count = self.crash_counts.remove(&fingerprint).unwrap_or_default();
        reduce(&mut self.digest_counts, fingerprint.digest, count);
        for crash in &mut self.crashes {
            crash.requests.retain(|run| run.fingerprint != fingerprint);
        }
    }

    /// Returns a notice for every known crash, for a host that has just started.
    pub fn notices(&self) -> Vec<CrashNotice> {
        self.crashes.iter().map(Crash::to_notice).collect()
    }

    fn is_fresh(&self, now: Time, crash: &Crash) -> bool {
        now.since(crash.at) < self.settings.retention
    }

    fn add_crash(&mut self, now: Time, id: CrashId) -> usize {
        if self.crashes.len() >= self.settings.max_crashes {
            self.drop_oldest();
        }
        self.numbers.insert(id, self.dropped + self.crashes.len());
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
        self.dropped += 1;
        self.numbers.remove(&crash.id);
        for run in crash.requests {
            reduce(&mut self.crash_counts, run.fingerprint, 1);
            reduce(&mut self.digest_counts, run.fingerprint.digest, 1);
        }
    }
}

/// Reduces a count, and removes it when it reaches zero.
fn reduce<K: Hash + Eq>(counts: &mut HashMap<K, usize>, key: K, by: usize) {
    if let Entry::Occupied(mut count) = counts.entry(key) {
        *count.get_mut() = count.get().saturating_sub(by);
        if *count.get() == 0 {
            count.remove();
        }
    }
}
