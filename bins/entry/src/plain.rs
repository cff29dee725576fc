//! Requests to plain services.
//!
//! A request that may be repeated is tried on another target after a failure.
//! One that may not is sent once; whatever happens then, its caller is told
//! whether it ran, or that this is not known.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use bytes::Bytes;
use chervilgate_clients::{
    Body,
    body::{collect, full},
};
use chervilgate_coord::window::Usage;
use chervilgate_policy::{OrgId, Outcome as PolicyOutcome, Priority, Request, ServiceId, TargetId};
use hyper::{
    Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    http::response::Parts,
};
use smallvec::SmallVec;

use crate::{
    attempt::{Call, REQUEST_ID, send_attempt},
    handover::{Handover, Right},
    host::Host,
    lane::Lane,
    outcome::{Failure, OUTCOME_HEADER, Outcome},
    refusal::to_failure,
};

/// Attempts at one request that may be repeated, the first one counted.
const MAX_ATTEMPTS: usize = 3;
/// The longest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A plain request on its way.
pub(crate) struct PlainJob {
    /// The host.
    pub host: Arc<Host>,
    /// The service's lane.
    pub lane: Arc<Lane>,
    /// The service.
    pub service: String,
    /// The organisation; none on open routes.
    pub organisation: Option<String>,
    /// What allows it to run.
    pub(crate) right: Right,
    /// What goes to a target.
    pub call: Call,
    /// The id that the caller knows the answer by.
    pub id: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl PlainJob {
    /// Runs the request and answers its caller.
    ///
    /// # Errors
    /// If no target gave a whole answer.
    pub(crate) async fn run(self) -> Result<Response<Body>, Failure> {
        let mut failed: SmallVec<[TargetId; 4]> = SmallVec::new();
        let mut worst = Outcome::NotRun;
        loop {
            let admitted = if failed.is_empty() {
                self.lane.admit(self.policy_request()).await
            } else {
                self.lane.readmit(self.policy_request(), &failed).await
            };
            let slot = match admitted {
                Ok(slot) => slot,
                Err(refusal) if worst == Outcome::NotRun => return Err(to_failure(&refusal)),
                Err(refusal) => {
                    let message = to_failure(&refusal).message().to_owned();
                    return Err(Failure::target(worst, message));
                }
            };
            let target = slot.route().decode;
            let handover = match Handover::begin(&self.host, &self.right, target) {
                Ok(handover) => handover,
                Err(barred) => {
                    slot.finish(PolicyOutcome::Cancelled);
                    match barred.to_failure() {
                        Some(failure) if worst == Outcome::NotRun => return Err(failure),
                        Some(failure) => return Err(Failure::target(worst, failure.message())),
                        None => failed.push(target),
                    }
                    continue;
                }
            };
            match self.attempt(handover, failed.len()).await {
                Ok(response) => {
                    slot.finish(PolicyOutcome::Done);
                    self.count();
                    return Ok(response);
                }
                Err(outcome) => {
                    slot.finish(PolicyOutcome::Failed);
                    worst = if worst == Outcome::NotRun { outcome } else { worst };
                }
            }
            failed.push(target);
            let may_retry = self.repeatable || worst == Outcome::NotRun;
            if !may_retry || failed.len() >= MAX_ATTEMPTS {
                return Err(Failure::target(worst, "no target gave a whole answer"));
            }
        }
    }

    async fn attempt(&self, handover: Handover, number: usize) -> Result<Response<Body>, Outcome> {
        let id = format!("{}-{number}", self.id);
        let sending = send_attempt(&self.host, handover.addr(), &self.call, &id);
        let response = sending.await.map_err(|error| {
            log::info!(target: "plain", id, reason = error.reason.as_str(); "attempt failed");
            error.outcome
        })?;
        drop(handover);
        let (head, body) = response.into_parts();
        match collect(body, ANSWER_LIMIT).await {
            Ok(bytes) => Ok(answer(head, bytes)),
            // The head of an answer shows that the target ran the request.
            Err(error) => {
                log::info!(target: "plain", id, error:%; "answer broke off");
                Err(Outcome::Ran)
            }
        }
    }

    fn policy_request(&self) -> Request {
        let now = self.host.borders.clock.now();
        let numbering = self.host.numbering();
        let organisation = self.organisation.as_deref().unwrap_or_default();
        Request {
            org: OrgId(numbering.number(organisation)),
            service: ServiceId(numbering.number(&self.service)),
            prompt: 0,
            output: 0,
            prefix: Arc::new([]),
            deadline: now + self.host.settings.service_deadline,
            priority: Priority::Normal,
            repeatable: self.repeatable,
            digest: digest(&self.call),
            suspect: false,
        }
    }

    fn count(&self) {
        let Some(organisation) = &self.organisation else {
            return;
        };
        let usage = Usage { requests: 1, ..Usage::default() };
        self.host.count(organisation, usage);
    }
}

fn digest(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.method.hash(&mut hasher);
    call.path.hash(&mut hasher);
    call.body.hash(&mut hasher);
    hasher.finish()
}

fn answer(mut head: Parts, body: Bytes) -> Response<Body> {
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    head.headers.remove(REQUEST_ID);
    let ran = HeaderValue::from_static(Outcome::Ran.as_str());
    head.headers.insert(OUTCOME_HEADER, ran);
    Response::from_parts(head, full(body))
}
