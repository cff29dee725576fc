//! Requests whose runs fail, one after another, since they may crash the targets that run them.
//!
//! Whether a request crashes targets shows only when it runs. A run that fails accuses it, and a whole answer
//! clears it, since a request that crashes targets is never answered. From [`SuspectSettings::min_runs`] failed
//! runs in a row it is refused.
//!
//! Runs of sound requests fail too, where a target ends that runs them along with others, and what is refused is
//! never answered. So a refused request is tried again now and then, one run at a time on all hosts together:
//! - A trial is due some time after the last failed run. The time depends on the request, so that requests which
//!   failed together are not tried together.
//! - The hosts take turns in an order by rank, since several may be sent the request at once, and tell each other of a
//!   trial as it begins: its end may be known seconds later.
//! - A request whose trials fail as well is refused for long. Runs that were under way when it was refused are
//!   no trials.
//!
//! A request that was answered before needs more failed runs to be refused. All hosts apply these rules to the
//! failed runs that they tell each other of.
//!
//! A digest tells what a request asks for, its headers, and the service that runs it ([`request_digest`]):
//! - An answer clears a request of its failed runs at the service that answered. Runs at all services count
//!   together.
//! - Headers may change as a request comes again, or may be what crashes targets. So requests with the same content
//!   and other headers are judged apart, unless runs with three different headers failed at three moments and none
//!   with this content was answered since: then all are refused that were not answered before. What fails at
//!   one moment may have run on one target.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

#[cfg(test)]
mod tests;

/// Maximum number of digests remembered as answered; the oldest are dropped first.
const MAX_ANSWERED: usize = 8_192;

/// Factor to the number of failed runs from which a request that was answered before is refused.
const ANSWERED_FACTOR: usize = 2;

/// Maximum number of failed runs remembered of requests with one content.
const MAX_RUNS: usize = 32;

/// Maximum number of trials remembered of requests with one content.
const MAX_TRIALS: usize = 8;

/// Time within which runs that fail may do so with one target.
const MOMENT: Duration = Duration::from_millis(500);

/// Part of its delay by which the trial of a request may come later, depending on the request.
const TRIAL_SPREAD: f64 = 1.0;

/// Bits of a digest that tell the service, and those that tell the headers; the others tell the content.
const SERVICE_BITS: u32 = 8;
const HEADER_BITS: u32 = 16;

/// The digest of a request from hashes over its content, its headers and the name of its service.
pub fn request_digest(content: u64, headers: u64, service: u64) -> u64 {
    let headers = headers >> (u64::BITS - HEADER_BITS) << SERVICE_BITS;
    let service = service >> (u64::BITS - SERVICE_BITS);
    content << (HEADER_BITS + SERVICE_BITS) | headers | service
}

fn content_of(digest: u64) -> u64 {
    digest >> (HEADER_BITS + SERVICE_BITS)
}

/// Whether two digests are of one request, at whatever services.
fn is_same(one: u64, other: u64) -> bool {
    one >> SERVICE_BITS == other >> SERVICE_BITS
}

/// Settings of [`Suspects`].
#[derive(Debug, Clone, PartialEq)]
pub struct SuspectSettings {
    /// Failed runs in a row from which a request is refused.
    pub min_runs: usize,
    /// Times from the last failed run to the trials of a request.
    pub trial_delays: SmallVec<[Duration; 2]>,
    /// Time for which each host leaves a trial to those that rank before it.
    pub turn: Duration,
    /// Time in which all hosts hear of a failed run. Runs that fail within it after the one for which the request is
    /// refused may have been under way.
    pub settle_time: Duration,
    /// Time for which a failed run counts, and a request is refused that may be tried again.
    pub run_ttl: Duration,
    /// Time from its last failed run for which a request is refused whose trials have failed, and for which the runs
    /// of a request count that has enough of them to be refused.
    pub refusal_time: Duration,
    /// Maximum number of requests with failed runs.
    pub max_requests: usize,
}

impl Default for SuspectSettings {
    fn default() -> SuspectSettings {
        SuspectSettings {
            min_runs: 3,
            trial_delays: [Duration::from_secs(15), Duration::from_secs(45)].into_iter().collect(),
            turn: Duration::from_secs(3),
            settle_time: Duration::from_secs(3),
            run_ttl: Duration::from_secs(120),
            refusal_time: Duration::from_secs(600),
            max_requests: 4_096,
        }
    }
}

/// A run that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Run {
    /// Digest of the request.
    digest: u64,
    id: u32,
    at: Time,
    /// Whether other hosts are to hear of it at once.
    is_news: bool,
}

type Runs = SmallVec<[Run; 4]>;

/// What is known of the requests with one content that have failed runs.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Failed runs since the last answer to the same request at the same service, in the order of their times.
    runs: Runs,
    /// When a request with this content was last answered since there are failed runs.
    answered_at: Option<Time>,
    /// The last trials that this host knows of and whose ends are not known, with the digests of the requests.
    trials: SmallVec<[(u64, Time); 2]>,
}

impl Suspect {
    fn last(&self) -> Option<Time> {
        self.runs.last().map(|run| run.at)
    }

    /// Drops a run if there are too many: the first of a request that has no other, or else the one before the last.
    fn limit_runs(&mut self) {
        if self.runs.len() <= MAX_RUNS {
            return;
        }
        let run_count = |digest| self.runs.iter().filter(|run| is_same(run.digest, digest)).count();
        let single = self.runs.iter().position(|run| run_count(run.digest) == 1);
        self.runs.remove(single.unwrap_or(MAX_RUNS - 1));
    }

    /// Records that a trial of a request began at `at`.
    fn begin_trial(&mut self, at: Time, digest: u64) {
        self.end_trial(digest);
        if self.trials.len() >= MAX_TRIALS {
            self.trials.remove(0);
        }
        self.trials.push((digest, at));
    }

    /// Forgets the trial of a request.
    fn end_trial(&mut self, digest: u64) {
        self.trials.retain(|(known, _)| !is_same(*known, digest));
    }

    /// When the last trial began of the request for whose `runs` it is refused.
    fn last_trial(&self, digest: u64, runs: &[Run]) -> Option<Time> {
        let is_alone = runs.iter().all(|run| is_same(run.digest, digest));
        let trials = self.trials.iter().filter(|(known, _)| !is_alone || is_same(*known, digest));
        trials.map(|(_, at)| *at).max()
    }

    fn knows(&self, digest: u64, run: u32) -> bool {
        self.runs.iter().any(|known| (known.digest, known.id) == (digest, run))
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It may.
    Clear,
    /// It is refused.
    Refused {
        /// When it may be tried again by the host that ranks first; none if not again.
        trial_from: Option<Time>,
    },
}

/// The trial of a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    began_at: Time,
}

/// A failed run, as hosts tell each other of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownRun {
    /// Digest of the request.
    pub digest: u64,
    /// Distinguishes the runs of a request.
    pub run: u32,
    /// When it failed.
    pub at: Time,
    /// Whether other hosts are to hear of it at once.
    pub is_news: bool,
    /// Whether the request has enough failed runs to be refused.
    pub is_refused: bool,
}

/// The last whole answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastAnswer {
    /// When this host got it, or heard of it.
    pub at: Time,
    /// Whether this host got it.
    pub is_own: bool,
}

/// The requests with failed runs that a host knows of.
#[derive(Debug)]
pub struct Suspects {
    settings: SuspectSettings,
    /// By content.
    suspects: HashMap<u64, Suspect>,
    answered: HashMap<u64, LastAnswer>,
    /// Times of answers that may yet be withdrawn, by digest.
    held: HashMap<u64, SmallVec<[Time; 2]>>,
}

impl Suspects {
    /// Creates a table without requests.
    pub fn new(settings: SuspectSettings) -> Suspects {
        Suspects {
            settings,
            suspects: HashMap::new(),
            answered: HashMap::new(),
            held: HashMap::new(),
        }
    }

    /// Records that run `run` of the request with this digest failed at `at`. A repeat has no effect, nor has a run
    /// from before its last answer.
    pub fn record_run(&mut self, now: Time, at: Time, digest: u64, run: u32) {
        self.add_run(now, Run { digest, id: run, at, is_news: true });
    }

    /// The same for a run of which others do not hear as news, but along with all known runs.
    pub fn record_quiet_run(&mut self, now: Time, at: Time, digest: u64, run: u32) {
        self.add_run(now, Run { digest, id: run, at, is_news: false });
    }

    fn add_run(&mut self, now: Time, run: Run) {
        let Run { digest, id, at, .. } = run;
        let is_old = now.since(at) >= self.settings.refusal_time;
        let is_answered = self.last_answer(digest).is_some_and(|answer| at <= answer.at);
        // Each host repeats a run many times, so most of what comes is known.
        if is_old || is_answered || self.knows(digest, id) {
            return;
        }
        let content = content_of(digest);
        let is_full = self.suspects.len() >= self.settings.max_requests;
        if is_full && !self.suspects.contains_key(&content) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(content).or_default();
        if suspect.last().is_some_and(|last| now.since(last) >= self.settings.refusal_time) {
            *suspect = Suspect::default();
        }
        let index = suspect.runs.partition_point(|known| known.at <= at);
        suspect.runs.insert(index, run);
        suspect.limit_runs();
    }

    /// Records that a request was answered in full at `at`. Returns how many failed runs this clears it of.
    pub fn record_answer(&mut self, at: Time, digest: u64) -> usize {
        self.add_answer(digest, LastAnswer { at, is_own: true })
    }

    /// Records an answer that may yet be withdrawn. Until then the failed runs before it do not count.
    pub fn hold_answer(&mut self, now: Time, digest: u64) {
        self.held.entry(digest).or_default().push(now);
    }

    /// Takes back the answer that was held at `at`.
    pub fn withdraw_answer(&mut self, at: Time, digest: u64) {
        let Some(times) = self.held.get_mut(&digest) else { return };
        if let Some(index) = times.iter().position(|held| *held == at) {
            times.remove(index);
        }
        if times.is_empty() {
            self.held.remove(&digest);
        }
    }

    /// Whether the request was answered since the run, as far as that is not withdrawn.
    fn is_held(&self, run: &Run) -> bool {
        let times = self.held.get(&run.digest);
        times.is_some_and(|times| times.iter().any(|at| run.at <= *at))
    }

    /// Records that another host tells of an answer, with the same effect.
    pub fn hear_answer(&mut self, now: Time, digest: u64) -> usize {
        self.add_answer(digest, LastAnswer { at: now, is_own: false })
    }

    fn add_answer(&mut self, digest: u64, answer: LastAnswer) -> usize {
        let count = self.clear(answer.at, digest);
        self.answered.insert(digest, answer);
        if self.answered.len() > MAX_ANSWERED {
            let mut times: Vec<Time> = self.answered.values().map(|answer| answer.at).collect();
            let middle = times.len() / 2;
            let median = *times.select_nth_unstable(middle).1;
            self.answered.retain(|_, answer| answer.at > median);
        }
        count
    }

    /// Clears a request of its failed runs until `at`, when it was answered. Returns their number.
    pub fn clear(&mut self, at: Time, digest: u64) -> usize {
        let content = content_of(digest);
        let Some(suspect) = self.suspects.get_mut(&content) else { return 0 };
        let known = suspect.runs.len();
        suspect.runs.retain(|run| run.digest != digest || run.at > at);
        suspect.answered_at = Some(at);
        let left = suspect.runs.len();
        if left == 0 {
            self.suspects.remove(&content);
        }
        known - left
    }

    /// Whether the run is remembered.
    pub fn knows(&self, digest: u64, run: u32) -> bool {
        let suspect = self.suspects.get(&content_of(digest));
        suspect.is_some_and(|suspect| suspect.knows(digest, run))
    }

    /// The last whole answer to the request, if that is remembered.
    pub fn last_answer(&self, digest: u64) -> Option<LastAnswer> {
        self.answered.get(&digest).copied()
    }

    /// Number of failed runs of a request that count, at all services.
    pub fn run_count(&self, now: Time, digest: u64) -> usize {
        let suspect = self.suspects.get(&content_of(digest));
        suspect.map_or(0, |suspect| self.own_runs(now, digest, suspect).len())
    }

    /// Whether a request may run, apart from trials.
    pub fn status(&self, now: Time, digest: u64) -> SuspectStatus {
        let Some(suspect) = self.suspects.get(&content_of(digest)) else {
            return SuspectStatus::Clear;
        };
        let Some(runs) = self.refusing_runs(now, digest, suspect) else {
            return SuspectStatus::Clear;
        };
        let Some(last) = runs.last() else { return SuspectStatus::Clear };
        let delay = self.settings.trial_delays.get(self.trial_count(&runs));
        let refusal_time =
            if delay.is_some() { self.settings.run_ttl } else { self.settings.refusal_time };
        if now.since(last.at) >= refusal_time {
            return SuspectStatus::Clear;
        }
        let since = suspect.last_trial(digest, &runs).map_or(last.at, |at| at.max(last.at));
        let trial_from = delay.map(|delay| since + delay.mul_f64(1.0 + spread(digest)));
        SuspectStatus::Refused { trial_from }
    }

    /// The failed runs for which a request is refused; none if it is not.
    fn refusing_runs(&self, now: Time, digest: u64, suspect: &Suspect) -> Option<Runs> {
        let own = self.own_runs(now, digest, suspect);
        if own.len() >= self.min_runs(now, digest) {
            return Some(own);
        }
        let unanswered = self.unanswered_runs(now, suspect);
        let is_refused =
            !self.was_answered(now, digest) && moments(&unanswered) >= self.settings.min_runs;
        is_refused.then_some(unanswered)
    }

    /// Whether a request would be refused if `more` runs of it had failed.
    pub fn would_refuse(&self, now: Time, digest: u64, more: usize) -> bool {
        let Some(suspect) = self.suspects.get(&content_of(digest)) else {
            return more >= self.min_runs(now, digest);
        };
        let moments = moments(&self.unanswered_runs(now, suspect)) + more.min(1);
        self.own_runs(now, digest, suspect).len() + more >= self.min_runs(now, digest)
            || !self.was_answered(now, digest) && moments >= self.settings.min_runs
    }

    /// Number of failed runs from which a request is refused.
    fn min_runs(&self, now: Time, digest: u64) -> usize {
        let factor = if self.was_answered(now, digest) { ANSWERED_FACTOR } else { 1 };
        self.settings.min_runs * factor
    }

    /// The runs that count since a request with this content was answered.
    fn unanswered_runs(&self, now: Time, suspect: &Suspect) -> Runs {
        let unanswered = suspect.runs.iter().filter(|run| suspect.answered_at < Some(run.at));
        self.counting(now, unanswered.filter(|run| !self.is_held(run)))
    }

    /// Begins a trial of a request if it is refused and a trial is due at this host, before which `rank` others take
    /// their turn.
    pub fn begin_trial(&mut self, now: Time, digest: u64, rank: usize) -> Option<Trial> {
        let SuspectStatus::Refused { trial_from } = self.status(now, digest) else { return None };
        let wait = self.settings.turn * u32::try_from(rank).unwrap_or(u32::MAX);
        if now < trial_from? + wait {
            return None;
        }
        let suspect = self.suspects.get_mut(&content_of(digest))?;
        suspect.begin_trial(now, digest);
        Some(Trial { began_at: now })
    }

    /// Records that another host has begun a trial of a refused request.
    pub fn hear_trial(&mut self, now: Time, digest: u64) {
        if let Some(suspect) = self.suspects.get_mut(&content_of(digest)) {
            suspect.begin_trial(now, digest);
        }
    }

    /// Records that a trial ended without a run, so that another may begin.
    pub fn cancel_trial(&mut self, digest: u64) {
        if let Some(suspect) = self.suspects.get_mut(&content_of(digest)) {
            suspect.end_trial(digest);
        }
    }

    /// Whether a trial may still send the request: no other run has failed since it began.
    pub fn allows(&self, digest: u64, trial: Trial) -> bool {
        let suspect = self.suspects.get(&content_of(digest));
        suspect.and_then(Suspect::last).is_none_or(|last| last <= trial.began_at)
    }

    /// The failed runs that count, in no order.
    pub fn runs(&self, now: Time) -> Vec<KnownRun> {
        let runs = self.suspects.values().flat_map(|suspect| {
            suspect.runs.iter().filter_map(move |run| {
                let own = self.own_runs(now, run.digest, suspect);
                let is_refused = own.len() >= self.settings.min_runs;
                let Run { digest, id, at, is_news } = *run;
                let known = KnownRun { digest, run: id, at, is_news, is_refused };
                own.contains(run).then_some(known)
            })
        });
        runs.collect()
    }

    /// Number of runs that failed too late to have been under way when the request was refused.
    fn trial_count(&self, runs: &[Run]) -> usize {
        let Some(refused) = runs.get(self.settings.min_runs - 1) else { return 0 };
        let settled = refused.at + self.settings.settle_time;
        runs.iter().filter(|run| run.at > settled).count()
    }

    fn was_answered(&self, now: Time, digest: u64) -> bool {
        let answer = self.last_answer(digest);
        let is_recent = |answer: LastAnswer| now.since(answer.at) < self.settings.refusal_time;
        self.held.contains_key(&digest) || answer.is_some_and(is_recent)
    }

    /// The runs of a request that count, at all services.
    fn own_runs(&self, now: Time, digest: u64, suspect: &Suspect) -> Runs {
        let own = suspect.runs.iter().filter(|run| is_same(run.digest, digest));
        self.counting(now, own.filter(|run| !self.is_held(run)))
    }

    /// Those of `runs`, in the order of their times, that count: from the first of enough within the time for which
    /// one counts, or else the recent ones.
    fn counting<'a>(&self, now: Time, runs: impl Iterator<Item = &'a Run>) -> Runs {
        let SuspectSettings { min_runs, run_ttl, refusal_time, .. } = self.settings;
        let runs: Runs = runs.copied().collect();
        let is_close = |row: &[Run]| row[row.len() - 1].at.since(row[0].at) < run_ttl;
        let first = runs.windows(min_runs).position(is_close);
        let is_fresh = |run: &Run| now.since(run.at) < refusal_time;
        match first.filter(|_| runs.last().is_some_and(is_fresh)) {
            Some(first) => runs[first..].into(),
            None => runs.iter().filter(|run| now.since(run.at) < run_ttl).copied().collect(),
        }
    }

    /// Drops what is forgotten, and, if that is little, the older half of the requests that are not refused, or of
    /// all if most are.
    fn make_room(&mut self, now: Time) {
        let mut suspects = std::mem::take(&mut self.suspects);
        let is_refused = |suspect: &Suspect| {
            let mut runs = suspect.runs.iter();
            runs.any(|run| self.own_runs(now, run.digest, suspect).len() >= self.settings.min_runs)
        };
        suspects.retain(|_, suspect| {
            is_refused(suspect) || !self.counting(now, suspect.runs.iter()).is_empty()
        });
        let half = self.settings.max_requests / 2;
        if suspects.len() > half {
            let refused = suspects.values().filter(|suspect| is_refused(suspect)).count();
            let keeps_refused = refused <= half;
            let candidates = suspects.values().filter(|one| !keeps_refused || !is_refused(one));
            let mut times: Vec<Time> = candidates.filter_map(Suspect::last).collect();
            let middle = times.len() / 2;
            let median = times.select_nth_unstable(middle).1.to_owned();
            suspects.retain(|_, suspect| {
                (keeps_refused && is_refused(suspect))
                    || suspect.last().is_some_and(|last| last > median)
            });
        }
        self.suspects = suspects;
    }
}

/// Number of moments at which runs failed, of which each has headers that the others lack.
fn moments(runs: &[Run]) -> usize {
    let mut counted: SmallVec<[Run; 4]> = SmallVec::new();
    for run in runs {
        let is_apart = counted.last().is_none_or(|last| run.at.since(last.at) >= MOMENT);
        if is_apart && counted.iter().all(|other| !is_same(other.digest, run.digest)) {
            counted.push(*run);
        }
    }
    counted.len()
}

/// By how much of its delay the trial of a request comes later.
fn spread(digest: u64) -> f64 {
    f64::from((digest >> 32) as u32) / f64::from(u32::MAX) * TRIAL_SPREAD
}
