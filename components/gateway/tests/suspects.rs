//! Requests that crash targets, among sound ones that are like them, at several hosts.
//!
//! The model knows which requests crash targets; the hosts see runs that end, in any of the ways in which one can, and
//! later that targets have ended. Whatever a target runs fails with it, and targets end for other reasons too.

use chervilgate_clock::Time;
use chervilgate_gateway::{
    identity::{RequestContent, RequestIdentity},
    poison::{FailedRun, PoisonGuard, SentRequest},
};
use chervilgate_policy::{CrashId, Fingerprint, RunEnd, RunProof, TargetId, Trial};
use rand::RngExt;
use rand_pcg::Pcg64;

const HOSTS: usize = 4;
const TARGETS: usize = 4;

/// Times in milliseconds.
const STEP: u64 = 20;
const LENGTH: u64 = 500_000;
const GOSSIP_INTERVAL: u64 = 200;
const DOWN_TIME: u64 = 2_000;
/// Time in which a host finds that a target has ended on which runs ended before.
const NOTICE_TIME: u64 = 200;
/// Time in which all hosts hear of a failed run.
const CONTACT_TIME: u64 = 3_000;

/// Runs of one attempt of a caller.
const ATTEMPTS: usize = 2;
const HISTORIES: u64 = 200;

/// Retries of a request that crashes targets which may reach them once hosts have heard of the third crash.
const MAX_RETRIES: usize = 3;

/// Share of the sound requests that are not answered, though their targets go on.
const UNANSWERED_SHARE: f64 = 0.03;

/// Ways in which a run can end while its target goes on.
const OPEN_ENDS: [RunEnd; 5] =
    [RunEnd::ErrorAnswer, RunEnd::GivenUp, RunEnd::TimedOut, RunEnd::CallerLeft, RunEnd::Answered];

/// Longest time for which a sound request is refused while it comes.
const MAX_REFUSED: u64 = 90_000;

/// Largest share of the sound requests that are refused.
const MAX_REFUSED_SHARE: f64 = 0.01;

const CONTENT: RequestContent<'_> = RequestContent {
    method: "POST",
    host: "h.example",
    path: "/a/x?week=crash",
    org: Some("org-1"),
    body: b"body",
};

const REQUEST: RequestIdentity<'_> =
    RequestIdentity { content: CONTENT, headers: 1, service: "one" };

/// The requests that crash targets. Sound ones are like the first in all but one part.
const CULPRITS: [(&str, Varying); 3] = [
    (CONTENT.path, Varying::Nothing),
    ("/b/crash", Varying::Headers),
    ("/c/crash", Varying::Service),
];

/// What changes as a request comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Varying {
    Nothing,
    Headers,
    Service,
}

/// A request that comes again and again.
struct Kind {
    identity: RequestIdentity<'static>,
    varying: Varying,
    is_culprit: bool,
    /// How its runs end that crash targets; in any way if none.
    end: Option<RunEnd>,
    /// Mean time between two arrivals.
    interval: u64,
    /// Time for which a run lasts.
    work: u64,
    next_at: u64,
    /// Times at which it reached targets, and at which these ended under it.
    sent: Vec<u64>,
    crashes: Vec<u64>,
    answered: usize,
    refused: usize,
    /// When it was refused first since it last reached a target.
    refused_since: Option<u64>,
    longest_refused: u64,
}

impl Kind {
    fn new(
        identity: RequestIdentity<'static>,
        varying: Varying,
        is_culprit: bool,
        rng: &mut Pcg64,
    ) -> Kind {
        Kind {
            identity,
            varying,
            is_culprit,
            end: Some(RunEnd::Unanswered),
            interval: rng.random_range(300..15_000),
            work: rng.random_range(20..2_000),
            next_at: rng.random_range(0..4_000),
            sent: Vec::new(),
            crashes: Vec::new(),
            answered: 0,
            refused: 0,
            refused_since: None,
            longest_refused: 0,
        }
    }

    /// The fingerprint of the next arrival.
    fn next(&self, rng: &mut Pcg64) -> Fingerprint {
        let identity = match self.varying {
            Varying::Headers => RequestIdentity { headers: rng.random(), ..self.identity },
            Varying::Service if rng.random() => RequestIdentity { service: "two", ..self.identity },
            Varying::Service | Varying::Nothing => self.identity,
        };
        identity.fingerprint()
    }

    fn record_refused(&mut self, now: u64) {
        self.refused += 1;
        let since = *self.refused_since.get_or_insert(now);
        self.longest_refused = self.longest_refused.max(now - since);
    }
}

/// An attempt of a caller at a target.
struct Run {
    kind: usize,
    request: Fingerprint,
    host: usize,
    target: usize,
    ends_at: u64,
    tried: Vec<usize>,
    trial: Option<Trial>,
}

struct World {
    rng: Pcg64,
    now: u64,
    guards: Vec<PoisonGuard>,
    kinds: Vec<Kind>,
    runs: Vec<Run>,
    /// When each target is back, and how often it has ended.
    back_at: [u64; TARGETS],
    starts: [u64; TARGETS],
    /// Crashes that are due: when, under which kind, and on which start of a target.
    due: Vec<(u64, usize, CrashId)>,
    /// When hosts notice that starts of targets have ended.
    notices: Vec<(u64, usize, CrashId)>,
    /// Mean time between two ends of targets for other reasons.
    end_interval: u64,
    /// Whether runs end in other ways than with their targets, or answered by targets that go on.
    has_open_ends: bool,
}

fn time(millis: u64) -> Time {
    // Before the hosts start there is nothing.
    Time::from_millis(10_000 + millis)
}

/// Sound requests that differ from the culprit in one part, and others.
fn sound_requests() -> Vec<RequestIdentity<'static>> {
    let paths = ["/a/x?week=1", "/a/x?week=2", "/a/x", "/a/y?week=crash", "/b/1", "/b/2", "/b/3"];
    let paths = paths.map(|path| RequestContent { path, ..CONTENT });
    let others = [
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { host: "i.example", ..CONTENT },
        RequestContent { org: Some("org-2"), ..CONTENT },
        RequestContent { org: None, ..CONTENT },
        RequestContent { body: b"other", ..CONTENT },
    ];
    let contents = paths.into_iter().chain(others);
    let contents = contents.map(|content| RequestIdentity { content, ..REQUEST });
    contents.chain([RequestIdentity { headers: 2, ..REQUEST }]).collect()
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Pcg64::new(seed.into(), 66);
        let mut kinds = Vec::new();
        for identity in sound_requests() {
            kinds.push(Kind::new(identity, Varying::Nothing, false, &mut rng));
        }
        for (path, varying) in CULPRITS {
            let identity =
                RequestIdentity { content: RequestContent { path, ..CONTENT }, ..REQUEST };
            kinds.push(Kind::new(identity, varying, true, &mut rng));
        }
        let end_interval = rng.random_range(4_000..40_000);
        World {
            rng,
            now: 0,
            guards: (0..HOSTS).map(|_| PoisonGuard::default()).collect(),
            kinds,
            runs: Vec::new(),
            back_at: [0; TARGETS],
            starts: [0; TARGETS],
            due: Vec::new(),
            notices: Vec::new(),
            end_interval,
            has_open_ends: false,
        }
    }

    /// A world in which runs end in any way.
    fn with_open_ends(seed: u64) -> World {
        let mut world = World::new(seed);
        world.has_open_ends = true;
        for kind in world.kinds.iter_mut().filter(|kind| kind.is_culprit) {
            let ends = [&OPEN_ENDS[..], &[RunEnd::Unanswered]].concat();
            let end = ends[world.rng.random_range(0..ends.len())];
            kind.end = world.rng.random_bool(0.7).then_some(end);
        }
        world
    }

    fn play(&mut self) {
        while self.now < LENGTH {
            self.now += STEP;
            if self.rng.random_range(0..self.end_interval) < STEP {
                let target = self.rng.random_range(0..TARGETS);
                self.end_target(target);
            }
            self.finish_runs();
            self.crash_targets();
            self.notice_ends();
            self.receive();
            if self.now.is_multiple_of(GOSSIP_INTERVAL) {
                self.gossip();
            }
        }
    }

    fn receive(&mut self) {
        for kind in 0..self.kinds.len() {
            if self.now < self.kinds[kind].next_at {
                continue;
            }
            let interval = self.kinds[kind].interval;
            self.kinds[kind].next_at = self.now + self.rng.random_range(1..2 * interval);
            let host = self.rng.random_range(0..HOSTS);
            let (now, request) = (time(self.now), self.kinds[kind].next(&mut self.rng));
            let mut trial = None;
            if self.guards[host].verdict(now, request, &[]).is_some() {
                let rank = rank(request.digest, host);
                trial = self.guards[host].begin_trial(now, request, &[], rank);
                if trial.is_none() {
                    self.kinds[kind].record_refused(self.now);
                    continue;
                }
            }
            self.send((kind, request), host, Vec::new(), trial);
        }
    }

    fn send(
        &mut self,
        (kind, request): (usize, Fingerprint),
        host: usize,
        mut tried: Vec<usize>,
        trial: Option<Trial>,
    ) {
        let now = time(self.now);
        let guard = &mut self.guards[host];
        let verdict = match trial {
            Some(trial) => guard.trial_verdict(now, request, &[], trial),
            None => guard.verdict(now, request, &[]),
        };
        let up = (0..TARGETS).filter(|target| self.back_at[*target] <= self.now);
        let up: Vec<usize> = up.filter(|target| !tried.contains(target)).collect();
        if verdict.is_some() || up.is_empty() {
            if trial.is_some() {
                guard.cancel_trial(request);
            }
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        tried.push(target);
        let Kind { is_culprit, work, .. } = self.kinds[kind];
        let ends_at = self.now + if is_culprit { STEP } else { work };
        self.kinds[kind].sent.push(self.now);
        self.kinds[kind].refused_since = None;
        self.runs.push(Run { kind, request, host, target, ends_at, tried, trial });
    }

    fn start_of(&self, target: usize) -> CrashId {
        CrashId { target: TargetId(target as u32), incarnation: self.starts[target] }
    }

    fn finish_runs(&mut self) {
        while let Some(index) = self.runs.iter().position(|run| run.ends_at <= self.now) {
            let Run { kind, target, .. } = self.runs[index];
            let start = self.start_of(target);
            let Kind { is_culprit, end, .. } = self.kinds[kind];
            let any = self.has_open_ends.then(|| {
                let is_unanswered = self.rng.random_bool(UNANSWERED_SHARE);
                let any = OPEN_ENDS[self.rng.random_range(0..OPEN_ENDS.len())];
                if is_culprit || is_unanswered { any } else { RunEnd::Answered }
            });
            let end = match is_culprit {
                true => end.or(any).unwrap_or(RunEnd::Unanswered),
                false => any.unwrap_or(RunEnd::Answered),
            };
            let within = match end.proof(None) {
                RunProof::FailedIfEnded(time) | RunProof::SoundUnlessEnded(time) => {
                    time.as_millis()
                }
                _ => 0,
            } as u64;
            if is_culprit {
                let delay = if within > 0 { self.rng.random_range(0..within) } else { 0 };
                self.due.push((self.now + delay, kind, start));
            }
            if within == 0 {
                // It ends with its target.
                self.crash_targets();
                continue;
            }
            let run = self.runs.swap_remove(index);
            self.end_run(run, start, end);
        }
    }

    /// Has the host of a run see it end, whose target goes on.
    fn end_run(&mut self, run: Run, start: CrashId, end: RunEnd) {
        let Run { kind, request, host, tried, trial, .. } = run;
        let (now, guard) = (time(self.now), &mut self.guards[host]);
        let sent = SentRequest { id: String::new(), fingerprint: request };
        if end == RunEnd::Answered && !self.has_open_ends {
            self.kinds[kind].answered += 1;
            guard.record_answer(now, request, &[]);
            return;
        }
        if end == RunEnd::Answered {
            self.kinds[kind].answered += 1;
            guard.hold_answer(now, start, sent, &[]);
            return;
        }
        guard.record_doubtful_run(now, start, sent);
        let may_repeat = trial.is_none() && tried.len() < ATTEMPTS;
        let is_tried_again = end == RunEnd::ErrorAnswer && may_repeat;
        if is_tried_again && guard.may_retry(now, request, &[]) {
            self.send((kind, request), host, tried, trial);
        }
    }

    /// Ends the targets whose crashes are due.
    fn crash_targets(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = self.due.iter().partition(|(at, ..)| *at <= now);
        self.due = left;
        for (_, kind, start) in due {
            let target = start.target.0 as usize;
            if self.start_of(target) == start {
                self.kinds[kind].crashes.push(now);
                self.end_target(target);
            }
        }
    }

    /// Has hosts count what ended on targets that have ended.
    fn notice_ends(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = self.notices.iter().partition(|(at, ..)| *at <= now);
        self.notices = left;
        for (_, host, start) in due {
            let guard = &mut self.guards[host];
            for SentRequest { fingerprint, .. } in guard.take_failed_runs(time(now), start) {
                let run = PoisonGuard::run_on_ended(fingerprint, start);
                guard.record_begun_run(time(now), run);
            }
        }
    }

    /// Ends a target with all that it runs.
    fn end_target(&mut self, target: usize) {
        let start = self.start_of(target);
        for host in (0..HOSTS).filter(|_| self.has_open_ends) {
            let at = self.now + self.rng.random_range(0..NOTICE_TIME);
            self.notices.push((at, host, start));
        }
        self.starts[target] += 1;
        self.back_at[target] = self.now + DOWN_TIME;
        let runs = std::mem::take(&mut self.runs);
        let (failed, left): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.target == target);
        self.runs = left;
        for Run { kind, request, host, tried, trial, .. } in failed {
            let run = FailedRun { request: request.digest, run: self.rng.random() };
            let now = time(self.now);
            self.guards[host].record_run(now, run);
            if tried.len() < ATTEMPTS && self.guards[host].may_retry(now, request, &[]) {
                self.send((kind, request), host, tried, trial);
            }
        }
    }

    fn gossip(&mut self) {
        let now = time(self.now);
        let told = self.guards.iter_mut().map(|guard| {
            (guard.runs_to_gossip(now), guard.all_runs(now), guard.evidence_to_gossip(now))
        });
        let told: Vec<_> = told.collect();
        for (index, guard) in self.guards.iter_mut().enumerate() {
            for (from, (news, all, evidence)) in told.iter().enumerate() {
                if from == index {
                    continue;
                }
                news.iter().for_each(|run| guard.hear_run(now, *run));
                guard.merge_runs(now, all);
                guard.merge_evidence(now, evidence);
            }
        }
    }
}

/// Place of a host in the order in which trials of a request are made.
fn rank(digest: u64, host: usize) -> usize {
    (host + digest as usize) % HOSTS
}

/// What became of all requests in some histories.
#[derive(Default)]
struct Outcome {
    sound: usize,
    refused: usize,
    longest: u64,
    /// Culprits that came too often, by seed and path, and how often.
    late: Vec<(u64, &'static str, usize)>,
    /// Sound requests that were refused for too long, by seed and path, and for how long.
    long: Vec<(u64, &'static str, u64)>,
}

impl Outcome {
    fn of(start: impl Fn(u64) -> World) -> Outcome {
        let mut outcome = Outcome::default();
        for seed in 0..HISTORIES {
            let mut world = start(seed);
            world.play();
            world.kinds.iter().for_each(|kind| outcome.add(seed, kind));
        }
        let Outcome { sound, refused, longest, .. } = outcome;
        println!("{sound} sound requests, {refused} refused, at most for {longest} ms");
        outcome
    }

    fn add(&mut self, seed: u64, kind: &Kind) {
        let path = kind.identity.content.path;
        if kind.is_culprit {
            let third = kind.crashes.get(2).copied().unwrap_or(LENGTH);
            let late = kind.sent.iter().filter(|at| **at > third + CONTACT_TIME).count();
            if late > MAX_RETRIES {
                self.late.push((seed, path, late));
            }
            return;
        }
        self.sound += kind.sent.len() + kind.refused;
        self.refused += kind.refused;
        self.longest = self.longest.max(kind.longest_refused);
        if kind.longest_refused > MAX_REFUSED {
            self.long.push((seed, path, kind.longest_refused));
        }
    }

    /// Asserts that no culprit came too often, and that few sound requests were refused, and none for long.
    fn assert_kept(&self) {
        let Outcome { sound, refused, late, .. } = self;
        assert!(late.is_empty(), "retries of culprits by seed and path: {late:?}");
        let share = *refused as f64 / *sound as f64;
        assert!(share <= MAX_REFUSED_SHARE, "{refused} of {sound} sound requests refused");
        assert!(self.long.is_empty(), "sound requests refused, in ms: {:?}", self.long);
    }
}

// Guards against requests that crash targets without end beside sound ones which are like them, and against sound
// ones that are refused for the company in which they ran.
#[test]
fn culprits_are_stopped_and_sound_requests_are_not() {
    Outcome::of(World::new).assert_kept();
}

// Guards against the same where runs end in any way before their targets do.
#[test]
fn culprits_are_stopped_and_sound_requests_are_not_however_runs_end() {
    Outcome::of(World::with_open_ends).assert_kept();
}
