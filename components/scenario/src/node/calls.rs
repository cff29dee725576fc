//! Execution of callers' requests at a node.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Incarnation, Protocol, Step, Version,
    claim::{Admission, IdempotencyKeys, RequestState, ScopedKey, Ticket},
    drain::InTransitRequests,
    encode,
    view::{KeyHash, LocalView, ViewStatus},
};
use chervilgate_testbed::{Answer, Fact, Outcome, Output, Request, RequestId};

use crate::node::message::{
    Call, CallOutcome, OnceKey, TargetReply, TargetRequest, key_object, target_endpoint,
};

/// Maximum number of attempts at a repeatable request.
const MAX_ATTEMPTS: usize = 4;

/// Maximum number of repeated queries for an answer before the attempt counts as lost.
const MAX_ANSWER_QUERIES: usize = 5;

/// Interval between queries for an answer.
const COLLECT_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before the next attempt at a request that was refused or lost.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Receiver of a request's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Waiter {
    /// A caller connected to this node.
    Caller,
    /// A node that forwarded the request; `number` is its id there.
    Node { addr: SocketAddr, number: u64 },
}

#[derive(Debug)]
enum Stage {
    Claiming,
    Starting { id: CallId, target: String },
    Running { target: String, at: Time, tries: usize },
    Collecting { id: CallId, target: String, tries: usize },
    Waiting { at: Time },
}

#[derive(Debug)]
struct Job {
    call: Call,
    waiters: Vec<Waiter>,
    stage: Stage,
    attempts: usize,
    tried: Vec<String>,
    /// An attempt got no definite reply, so the target may have run it.
    may_have_run: bool,
}

/// A finished request, its outcome and the receivers of the outcome.
#[derive(Debug)]
pub(super) struct FinishedCall {
    pub(super) call: Call,
    pub(super) waiters: Vec<Waiter>,
    pub(super) end: CallOutcome,
}

/// Checks requests against the current view.
pub(super) struct AccessCheck<'a> {
    pub(super) status: ViewStatus,
    pub(super) local_view: &'a LocalView,
}

impl AccessCheck<'_> {
    /// Returns the organisation of a permitted call; `None` if the call is refused,
    /// `Some(None)` if it has no key.
    pub(super) fn admit(&self, call: &Call) -> Option<Option<String>> {
        let Some(key) = &call.key else {
            return Some(None);
        };
        if !self.status.is_fresh() {
            return None;
        }
        if self.local_view.is_withdrawn(&hash_key(key)) {
            return None;
        }
        let owner = self.local_view.snapshot().objects.get(&key_object(key))?;
        Some(Some(String::from_utf8_lossy(owner).into_owned()))
    }
}

/// Requests in progress at a node.
#[derive(Debug)]
pub(super) struct Jobs {
    me: Incarnation,
    jobs: BTreeMap<u64, Job>,
    next: u64,
    pub(super) handovers: InTransitRequests,
}

impl Jobs {
    pub(super) fn new(me: Incarnation) -> Jobs {
        Jobs { me, jobs: BTreeMap::new(), next: 0, handovers: InTransitRequests::default() }
    }

    /// Adds a request; with `claiming` set, it waits for its claim before dispatch.
    pub(super) fn add(&mut self, call: Call, waiter: Waiter, claiming: bool) -> Ticket {
        self.next += 1;
        let stage = match claiming {
            true => Stage::Claiming,
            false => Stage::Waiting { at: Time::ZERO },
        };
        let (waiters, tried) = (vec![waiter], Vec::new());
        self.jobs.insert(
            self.next,
            Job { call, waiters, stage, attempts: 0, tried, may_have_run: false },
        );
        Ticket(self.next)
    }

    /// Adds a waiter to the job with this scoped key; false if there is none.
    pub(super) fn join(&mut self, key: &ScopedKey, waiter: Waiter) -> bool {
        let same = |job: &&mut Job| job.call.once == Some(OnceKey::Scoped(key.clone()));
        let Some(job) = self.jobs.values_mut().find(same) else {
            return false;
        };
        job.waiters.push(waiter);
        true
    }

    pub(super) fn count(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn wake_at(&self) -> Time {
        let due = self.jobs.values().map(|job| match job.stage {
            Stage::Running { at, .. } | Stage::Waiting { at } => at,
            Stage::Claiming | Stage::Starting { .. } | Stage::Collecting { .. } => Time::NEVER,
        });
        due.min().unwrap_or(Time::NEVER)
    }

    /// Handles a claim's result: starts the job, or ends it with the given outcome.
    pub(super) fn claim_decided(
        &mut self,
        ticket: Ticket,
        end: Option<CallOutcome>,
    ) -> Option<FinishedCall> {
        match end {
            Some(end) => self.end(ticket.0, end),
            None => {
                if let Some(job) = self.jobs.get_mut(&ticket.0) {
                    job.stage = Stage::Waiting { at: Time::ZERO };
                }
                None
            }
        }
    }

    /// Sends due requests to targets and queries due answers.
    pub(super) fn advance(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        access: &AccessCheck<'_>,
        out: &mut Vec<Output>,
    ) -> Vec<FinishedCall> {
        let mut finished = Vec::new();
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            match &job.stage {
                Stage::Waiting { at } if *at <= now => {
                    let id = ids.next_id();
                    // Unique across connections and processes.
                    let connection = self.me.0.wrapping_add(id.0);
                    let connection_ids = ConnectionIds { id, connection };
                    if let Some(end) =
                        dispatch(job, connection_ids, access, &mut self.handovers, out)
                    {
                        finished.extend(self.end(number, end));
                    }
                }
                Stage::Running { target, at, tries } if *at <= now => {
                    let (target, tries) = (target.clone(), *tries);
                    let id = ids.next_id();
                    let message = TargetRequest::Collect { request: job.call.request };
                    out.push(call_target(id, "collect", &target, &message));
                    job.stage = Stage::Collecting { id, target, tries };
                }
                _ => {}
            }
        }
        finished
    }

    /// Handles a target's answer; `None` if the call was not made here.
    pub(super) fn handle_answer(
        &mut self,
        now: Time,
        id: CallId,
        answer: &Answer,
    ) -> Option<Vec<FinishedCall>> {
        let number = *self.jobs.iter().find(|(_, job)| job.waits_for(id))?.0;
        let job = self.jobs.get_mut(&number)?;
        let reply = match answer {
            Answer::Bytes(bytes) => chervilgate_coord::decode::<TargetReply>(bytes).ok(),
            Answer::NotSent => Some(TargetReply::Refused),
            Answer::Order(_) | Answer::Unknown => None,
        };
        let end = match std::mem::replace(&mut job.stage, Stage::Claiming) {
            Stage::Starting { target, .. } => {
                self.handovers.end(&target);
                job.handle_start(now, target, reply)
            }
            Stage::Collecting { target, tries, .. } => {
                job.handle_collect(now, target, tries, reply)
            }
            stage => {
                job.stage = stage;
                None
            }
        };
        Some(end.and_then(|end| self.end(number, end)).into_iter().collect())
    }

    fn end(&mut self, number: u64, end: CallOutcome) -> Option<FinishedCall> {
        let job = self.jobs.remove(&number)?;
        Some(FinishedCall { call: job.call, waiters: job.waiters, end })
    }
}

impl Job {
    fn waits_for(&self, call: CallId) -> bool {
        match &self.stage {
            Stage::Starting { id, .. } | Stage::Collecting { id, .. } => *id == call,
            Stage::Claiming | Stage::Running { .. } | Stage::Waiting { .. } => false,
        }
    }

    fn handle_start(
        &mut self,
        now: Time,
        target: String,
        reply: Option<TargetReply>,
    ) -> Option<CallOutcome> {
        match reply {
            Some(TargetReply::Started) => {
                let at = now + self.call.takes;
                self.stage = Stage::Running { target, at, tries: 0 };
                None
            }
            // The target did not run the request, so a retry is safe.
            Some(TargetReply::Refused) => self.retry_later(now, target),
            _ => self.attempt_lost(now, target),
        }
    }

    fn handle_collect(
        &mut self,
        now: Time,
        target: String,
        tries: usize,
        reply: Option<TargetReply>,
    ) -> Option<CallOutcome> {
        match reply {
            Some(TargetReply::Done { request }) => Some(CallOutcome::Answered { origin: request }),
            Some(TargetReply::Gone) => self.attempt_lost(now, target),
            _ if tries >= MAX_ANSWER_QUERIES => self.attempt_lost(now, target),
            _ => {
                let at = now + COLLECT_INTERVAL;
                self.stage = Stage::Running { target, at, tries: tries + 1 };
                None
            }
        }
    }

    /// Handles an attempt that may have run: retries if the request is repeatable.
    fn attempt_lost(&mut self, now: Time, target: String) -> Option<CallOutcome> {
        if self.call.once.is_some() || self.attempts >= MAX_ATTEMPTS {
            return Some(CallOutcome::Unknown);
        }
        self.may_have_run = true;
        self.retry_later(now, target)
    }

    fn retry_later(&mut self, now: Time, target: String) -> Option<CallOutcome> {
        self.tried.push(target);
        self.stage = Stage::Waiting { at: now + RETRY_DELAY };
        None
    }
}

/// Ids of a new call to a target and of its connection.
#[derive(Debug, Clone, Copy)]
struct ConnectionIds {
    id: CallId,
    connection: u64,
}

/// Sends a request to a target; returns the outcome if no target may run it.
fn dispatch(
    job: &mut Job,
    connection_ids: ConnectionIds,
    access: &AccessCheck<'_>,
    handovers: &mut InTransitRequests,
    out: &mut Vec<Output>,
) -> Option<CallOutcome> {
    let refusal = if job.may_have_run { CallOutcome::Unknown } else { CallOutcome::NotRun };
    let Some(organisation) = access.admit(&job.call) else {
        return Some(refusal);
    };
    let root = access.local_view.root();
    let draining = |target: &str| root.is_some_and(|root| root.is_draining(target));
    let candidates = job.call.targets.iter().filter(|target| !draining(target));
    let mut candidates: Vec<&String> = candidates.collect();
    candidates.sort_by_key(|target| job.tried.iter().filter(|tried| tried == target).count());
    let target = match candidates.first() {
        Some(target) if job.attempts < MAX_ATTEMPTS => (*target).clone(),
        _ => return Some(refusal),
    };
    job.attempts += 1;
    handovers.begin(&target);
    let ConnectionIds { id, connection } = connection_ids;
    let message =
        TargetRequest::Start { request: job.call.request, takes: job.call.takes, connection };
    let bytes = encode(&message);
    let key = job.call.key.clone();
    let exposed = key.as_ref().is_some_and(|key| contains(&bytes, key.as_bytes()));
    out.push(Output::Record(Fact::Dispatched {
        request: RequestId(job.call.request),
        target: target.clone(),
        organisation,
        key,
        exposed,
        config: Version::first_era(access.local_view.seq().0),
    }));
    out.push(call_target(id, "dispatch", &target, &message));
    job.stage = Stage::Starting { id, target };
    None
}

pub(super) fn call_target(
    id: CallId,
    name: &'static str,
    target: &str,
    message: &TargetRequest,
) -> Output {
    Output::Call {
        id,
        step: Step::new(Protocol::Claim, name),
        endpoint: target_endpoint(target),
        request: Request::Bytes(encode(message)),
        deadline: Time::NEVER,
    }
}

/// Reports an outcome to the caller, as a fact in the history.
pub(super) fn reply_to_caller(call: &Call, end: CallOutcome) -> Output {
    let request = RequestId(call.request);
    Output::Record(match end {
        CallOutcome::Answered { origin } => {
            Fact::Answered { request, origin: RequestId(origin), whole: true }
        }
        CallOutcome::NotRun => Fact::Refused { request, outcome: Outcome::NotRun },
        CallOutcome::Unknown => Fact::Refused { request, outcome: Outcome::Unknown },
    })
}

/// Starts, joins or answers a request with a scoped key, from the results kept at this node.
pub(super) fn admit_scoped(
    now: Time,
    memory: &mut IdempotencyKeys,
    jobs: &mut Jobs,
    call: Call,
    key: &ScopedKey,
    waiter: Waiter,
) -> Option<FinishedCall> {
    let end = match memory.admit(now, key) {
        Ok(Admission::Run) => {
            jobs.add(call, waiter, false);
            return None;
        }
        Ok(Admission::Duplicate(RequestState::Running)) if jobs.join(key, waiter) => return None,
        Ok(Admission::Duplicate(RequestState::Ran(Some(_)))) => {
            CallOutcome::Answered { origin: call.request }
        }
        Ok(Admission::Duplicate(_) | Admission::Expired) => CallOutcome::Unknown,
        Ok(Admission::NotRun) | Err(_) => CallOutcome::NotRun,
    };
    Some(FinishedCall { call, waiters: vec![waiter], end })
}

pub(super) fn hash_key(key: &str) -> KeyHash {
    KeyHash(chervilgate_coord::view::Digest::of(key.as_bytes()).0)
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && bytes.windows(part.len()).any(|window| window == part)
}
