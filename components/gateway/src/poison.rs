//! Requests, and parts of prompts, that crash the targets that run them.
//!
//! [`Suspects`] decides on whole requests and [`PoisonDetector`] on parts; this module tells them what the host sees.
//! A whole request comes again, to any host ([`identity`](crate::identity)), and each of its runs that failed before
//! its first event, or just after it, counts until one is answered in full. Requests that share a part of their prompt
//! need not be alike: once a target is known to have ended, the parts of the requests that it had not
//! begun to answer are accused. All hosts tell each other of failed runs, crashes and acquittals.
//!
//! A run that did not break off counts as failed if its target ends soon after it ([`RunEnd`]). Until that is known, a
//! whole answer clears its request on this host alone.
//!
//! [`RunEnd`]: chervilgate_policy::RunEnd

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{
    ANSWER_DOUBT_TIME, AffectedRequest, CrashId, CrashNotice, DOUBT_TIME, Fingerprint, KnownRun,
    OpenRuns, OrgId, PoisonDetector, PoisonSettings, PoisonStatus, PoisonSubject, SuspectSettings,
    SuspectStatus, Suspects, Trial,
};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{hash::stable_hash, protocol::Prompt};

/// Crashes from which a part is refused; the users' rules allow five.
const MIN_CRASHES: usize = 3;

/// Crashes that accuse a part of a request from which the request is not sent again after a
/// failure: a second accusation makes it more likely that it crashes the next target too.
const MAX_RETRY_CRASHES: usize = 1;

/// Failed runs from which other hosts are told that a request was answered. Most have one, and telling of
/// each would leave no room in the messages for parts that were answered.
const MIN_TOLD_RUNS: usize = 2;

/// Time for which a failed run or a crash is repeated in gossip messages.
const GOSSIP_TIME: Duration = Duration::from_secs(3);

/// Time from a whole answer that its target outlived in which others do not count as failed for the end of theirs.
const OUTLIVED_TIME: Duration = Duration::from_secs(600);

/// Number of gossip rounds in which a host tells that a part was answered.
const ACQUITTAL_ROUNDS: u8 = 3;

/// Maximum number of parts of a request that are looked at.
const MAX_PARTS: usize = 32;

/// Parts of a request's prompt that other requests may share, for the detector.
pub type SharedParts = SmallVec<[Fingerprint; 4]>;

/// Identifies the parts of a prompt that other requests may share.
pub fn part_fingerprints(service: &str, org: Option<&str>, prompt: &Prompt) -> SharedParts {
    let org = OrgId(stable_hash(&org) as u32);
    let parts = prompt.shared_parts().iter().take(MAX_PARTS);
    parts.map(|part| Fingerprint { org, digest: stable_hash(&(service, part.id)) }).collect()
}

/// A request that was sent to a target, as log lines and failed runs name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// What makes it the same one as it comes again.
    pub fingerprint: Fingerprint,
}

/// A failed run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FailedRun {
    /// Digest of the request's fingerprint.
    pub request: u64,
    /// Random number that distinguishes runs of the same request; [`FailedRun::TRIAL`] if it is no failed run, but the
    /// trial of a refused request that begins.
    pub run: u32,
}

impl FailedRun {
    /// Stands for a trial that begins.
    pub const TRIAL: u32 = 0;
}

/// What a host tells others of crashed targets.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Crashes with the parts that they accuse, and the milliseconds since each.
    pub crashes: Vec<(u32, CrashNotice)>,
    /// Digests of accused requests and parts that were answered.
    pub acquitted: Vec<u64>,
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// Its own runs failed too often.
    Request,
    /// A part of its prompt crashes targets; it is refused for this time.
    Part(Duration),
}

/// What is known on all hosts of requests and parts that crash targets.
#[derive(Debug)]
pub struct PoisonGuard {
    requests: Suspects,
    parts: PoisonDetector,
    /// Requests and parts that others are to be told were answered, with the number of rounds left.
    acquitted: HashMap<u64, u8>,
    /// Runs of this host that count as failed if their targets end soon.
    doubtful: OpenRuns<SentRequest>,
    /// Runs of this host that were answered, and that count as failed if their targets end soon.
    answered: OpenRuns<HeldAnswer>,
    /// Trials that have begun on this host of late, with the digests of their requests.
    trials: Vec<(Time, u64)>,
}

/// An answer that is withdrawn if its target ends soon.
#[derive(Debug)]
struct HeldAnswer {
    request: SentRequest,
    /// The parts of its prompt that the answer shows to be sound.
    parts: SharedParts,
    at: Time,
}

impl Default for PoisonGuard {
    fn default() -> PoisonGuard {
        let parts = PoisonSettings {
            subject: PoisonSubject::Parts,
            min_crashes: MIN_CRASHES,
            ..PoisonSettings::default()
        };
        PoisonGuard {
            requests: Suspects::new(SuspectSettings::default()),
            parts: PoisonDetector::new(parts),
            acquitted: HashMap::new(),
            doubtful: OpenRuns::new(DOUBT_TIME),
            answered: OpenRuns::new(ANSWER_DOUBT_TIME),
            trials: Vec::new(),
        }
    }
}

impl PoisonGuard {
    /// Records a failed run of this host.
    pub fn record_run(&mut self, now: Time, run: FailedRun) {
        self.requests.record_run(now, now, run.request, run.run);
    }

    /// Records a failed run that another host tells of; a repeat has no effect. It may have failed some time ago, so an
    /// answer since then clears the request, and the other host may not have heard of that.
    pub fn hear_run(&mut self, now: Time, run: FailedRun) {
        if run.run == FailedRun::TRIAL {
            return self.requests.hear_trial(now, run.request);
        }
        if self.requests.knows(run.request, run.run) {
            return;
        }
        self.requests.record_run(now, now, run.request, run.run);
        let earliest = now.saturating_sub(GOSSIP_TIME);
        let answer = self.requests.last_answer(run.request).filter(|answer| answer.at >= earliest);
        let Some(answer) = answer.filter(|_| self.is_told(now, run.request)) else { return };
        self.requests.clear(now, run.request);
        // What another host told may not start anew at each host that hears of it.
        if answer.is_own {
            self.tell_sound([run.request]);
        }
    }

    /// Records a run that failed once its answer had begun. Others hear of it with all known runs, not as
    /// news in each message: where many targets end, streams break off by the hundred.
    pub fn record_begun_run(&mut self, now: Time, run: FailedRun) {
        self.requests.record_quiet_run(now, now, run.request, run.run);
    }

    /// Records that a run of this host ended on this start of a target, which counts as failed if that ends soon.
    pub fn record_doubtful_run(&mut self, now: Time, start: CrashId, request: SentRequest) {
        self.doubtful.take_outlived(now);
        self.doubtful.add(now, start, request);
    }

    /// Takes out the runs of this host that count as failed, as this start of a target has ended. One of a request
    /// that targets have outlived ran beside what ended this one.
    pub fn take_failed_runs(&mut self, now: Time, start: CrashId) -> Vec<SentRequest> {
        let mut failed = self.doubtful.take_ended(now, start);
        for HeldAnswer { request, at, .. } in self.answered.take_ended(now, start) {
            self.requests.withdraw_answer(at, request.fingerprint.digest);
            failed.push(request);
        }
        failed.retain(|request| {
            let outlived = self.requests.last_answer(request.fingerprint.digest);
            outlived.is_none_or(|answer| now.since(answer.at) >= OUTLIVED_TIME)
        });
        failed
    }

    /// The failed run of a request on a start of a target that has ended: the same one on all hosts, as the target
    /// ended once, however many of its runs were open there.
    pub fn run_on_ended(request: Fingerprint, start: CrashId) -> FailedRun {
        FailedRun { request: request.digest, run: stable_hash(&start) as u32 }
    }

    /// Records that a request with these parts was answered in full on this start of a target, unless that ends soon.
    /// Returns how many failed runs do not count until then.
    pub fn hold_answer(
        &mut self,
        now: Time,
        start: CrashId,
        request: SentRequest,
        parts: &[Fingerprint],
    ) -> usize {
        self.settle_answers(now);
        let digest = request.fingerprint.digest;
        let runs = self.requests.run_count(now, digest);
        self.requests.hold_answer(now, digest);
        let held = HeldAnswer { request, parts: parts.into(), at: now };
        self.answered.add(now, start, held);
        runs
    }

    /// Records the answers whose targets have outlived them.
    fn settle_answers(&mut self, now: Time) {
        for HeldAnswer { request, parts, at } in self.answered.take_outlived(now) {
            self.requests.withdraw_answer(at, request.fingerprint.digest);
            self.record_answer_at(now, at, request.fingerprint, &parts);
        }
    }

    /// Number of failed runs that count against a request.
    pub fn run_count(&self, now: Time, request: Fingerprint) -> usize {
        self.requests.run_count(now, request.digest)
    }

    /// Records that a target ended before it had begun to answer a request with these parts.
    pub fn record_crash(&mut self, now: Time, crash: CrashId, parts: &[Fingerprint]) {
        let runs = parts.iter().map(|part| AffectedRequest { fingerprint: *part, open: true });
        let notice = CrashNotice { crash, runs: runs.collect() };
        self.parts.merge_notice(now, now, &notice);
    }

    /// Records that a request with these parts was answered in full. Returns how many failed runs this
    /// acquits the request of.
    pub fn record_answer(
        &mut self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> usize {
        self.record_answer_at(now, now, request, parts)
    }

    /// The same for one that was answered at `at`.
    fn record_answer_at(
        &mut self,
        now: Time,
        at: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> usize {
        if self.is_told(now, request.digest) {
            self.acquitted.insert(request.digest, ACQUITTAL_ROUNDS);
        }
        let acquitted_runs = self.requests.record_answer(at, request.digest);
        for part in parts {
            if self.parts.record_sound(at, part.digest) {
                self.acquitted.insert(part.digest, ACQUITTAL_ROUNDS);
            }
        }
        acquitted_runs
    }

    /// Records what another host tells.
    pub fn merge_evidence(&mut self, now: Time, evidence: &CrashEvidence) {
        for (age, notice) in &evidence.crashes {
            let at = now.saturating_sub(Duration::from_millis((*age).into()));
            self.parts.merge_notice(now, at, notice);
            self.tell_sound(self.parts.sound_parts(notice));
        }
        for digest in evidence.acquitted.iter().copied() {
            // The message does not say whether it is a request or a part, and the failed runs of a request may
            // arrive later.
            let is_request_told = self.is_told(now, digest);
            let cleared_runs = self.requests.hear_answer(now, digest);
            // Failed runs at another service stay, so their number alone would have hosts tell each other for good.
            if self.parts.record_sound(now, digest) || is_request_told && cleared_runs > 0 {
                self.acquitted.insert(digest, ACQUITTAL_ROUNDS);
            }
        }
    }

    /// Whether other hosts are told that the request with this digest was answered.
    fn is_told(&self, now: Time, digest: u64) -> bool {
        self.requests.run_count(now, digest) >= MIN_TOLD_RUNS
    }

    /// Has another host told that these were answered here, which it may not know.
    fn tell_sound(&mut self, digests: impl IntoIterator<Item = u64>) {
        for digest in digests {
            self.acquitted.entry(digest).or_insert(ACQUITTAL_ROUNDS);
        }
    }

    /// Why a request may not run; none if it may.
    pub fn verdict(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> Option<PoisonVerdict> {
        if self.requests.status(now, request.digest) != SuspectStatus::Clear {
            return Some(PoisonVerdict::Request);
        }
        self.parts_verdict(now, parts)
    }

    /// Why a request with these parts may not run, whatever else it is; none if it may.
    pub fn parts_verdict(&self, now: Time, parts: &[Fingerprint]) -> Option<PoisonVerdict> {
        match self.parts.check_parts(now, parts) {
            PoisonStatus::Quarantined(refusal) => Some(PoisonVerdict::Part(refusal.retry_after)),
            _ => None,
        }
    }

    /// Whether a request whose run failed may be sent to another target. It may not if the runs that count as failed
    /// once their targets end would have it refused.
    pub fn may_retry(&self, now: Time, request: Fingerprint, parts: &[Fingerprint]) -> bool {
        let open = self.doubtful.runs().filter(|run| run.fingerprint == request).count();
        self.verdict(now, request, parts).is_none()
            && !self.requests.would_refuse(now, request.digest, open)
            && parts.iter().all(|part| self.parts.crash_count(now, *part) <= MAX_RETRY_CRASHES)
    }

    /// Begins a trial of a request that is refused for its failed runs, if one is due here; `rank` others take their
    /// turn before this host.
    pub fn begin_trial(
        &mut self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
        rank: usize,
    ) -> Option<Trial> {
        if self.parts_verdict(now, parts).is_some() {
            return None;
        }
        let trial = self.requests.begin_trial(now, request.digest, rank)?;
        self.trials.retain(|(at, _)| now.since(*at) < GOSSIP_TIME);
        self.trials.push((now, request.digest));
        Some(trial)
    }

    /// Records that the trial of a request ended without a run.
    pub fn cancel_trial(&mut self, request: Fingerprint) {
        self.requests.cancel_trial(request.digest);
    }

    /// Why a request may not be sent, whose trial this is; none if it may.
    pub fn trial_verdict(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
        trial: Trial,
    ) -> Option<PoisonVerdict> {
        if !self.requests.allows(request.digest, trial) {
            return Some(PoisonVerdict::Request);
        }
        self.parts_verdict(now, parts)
    }

    /// Trials that have begun and recent failed runs to send to other hosts, of refused requests first; not all may fit,
    /// and each call puts others first.
    pub fn runs_to_gossip(&self, now: Time) -> Vec<FailedRun> {
        let since = now.saturating_sub(GOSSIP_TIME);
        let runs = self.runs(now, |known| known.is_news && known.at >= since);
        let trials = self.trials.iter().filter(|(at, _)| *at >= since);
        let trials =
            trials.map(|(_, request)| FailedRun { request: *request, run: FailedRun::TRIAL });
        trials.chain(runs.into_iter().map(|(_, run)| run)).collect()
    }

    /// All known failed runs with the milliseconds since each, in the same order, for hosts that have started since.
    pub fn all_runs(&self, now: Time) -> Vec<(u32, FailedRun)> {
        self.runs(now, |_| true)
    }

    fn runs(&self, now: Time, is_wanted: impl Fn(&KnownRun) -> bool) -> Vec<(u32, FailedRun)> {
        let mut runs = self.requests.runs(now);
        runs.retain(is_wanted);
        runs.shuffle(&mut rand::rng());
        runs.sort_by_key(|known| !known.is_refused);
        let runs = runs
            .into_iter()
            .map(|known| (age(now, known.at), FailedRun { request: known.digest, run: known.run }));
        runs.collect()
    }

    /// Records failed runs that another host tells of, with the milliseconds since each.
    pub fn merge_runs(&mut self, now: Time, runs: &[(u32, FailedRun)]) {
        for (age, run) in runs {
            let at = now.saturating_sub(Duration::from_millis((*age).into()));
            self.requests.record_quiet_run(now, at, run.request, run.run);
        }
    }

    /// Recent crashes and acquittals to send to other hosts; counts a round.
    pub fn evidence_to_gossip(&mut self, now: Time) -> CrashEvidence {
        self.settle_answers(now);
        let crashes = self.crashes_since(now, now.saturating_sub(GOSSIP_TIME));
        let acquitted = self.acquitted.keys().copied().collect();
        self.acquitted.retain(|_, rounds| {
            *rounds -= 1;
            *rounds > 0
        });
        CrashEvidence { crashes, acquitted }
    }

    /// All known crashes in random order, for hosts that have started since.
    pub fn all_evidence(&self, now: Time) -> CrashEvidence {
        let mut crashes = self.crashes_since(now, Time::ZERO);
        crashes.shuffle(&mut rand::rng());
        CrashEvidence { crashes, acquitted: Vec::new() }
    }

    /// Crashes that still accuse parts, in order of time, for the record in the store.
    pub fn accusing_crashes(&self) -> Vec<CrashNotice> {
        self.parts.notices_since(Time::ZERO).into_iter().map(|(_, notice)| notice).collect()
    }

    /// Records crashes that the record in the store holds. When they were is not known.
    pub fn learn_crashes(&mut self, now: Time, notices: &[CrashNotice]) {
        let crashes = notices.iter().map(|notice| (0, notice.clone())).collect();
        self.merge_evidence(now, &CrashEvidence { crashes, acquitted: Vec::new() });
    }

    fn crashes_since(&self, now: Time, since: Time) -> Vec<(u32, CrashNotice)> {
        let notices = self.parts.notices_since(since).into_iter();
        notices.map(|(at, notice)| (age(now, at), notice)).collect()
    }
}

/// Milliseconds since `at`.
fn age(now: Time, at: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}
