//! Runs requests to plain services.
//!
//! After a failure, a request that may be repeated is retried on another
//! target. One that may not is retried only if it certainly has not run;
//! otherwise its caller is told that it ran, or that this is not known.

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
use chervilgate_policy::{AttemptOutcome, OrgId, Priority, Request, ServiceId, TargetId};
use hyper::{
    Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    http::response::Parts,
};
use smallvec::SmallVec;

use crate::{
    attempt::{REQUEST_ID_HEADER, RequestTemplate, send_attempt},
    dispatch::{Authorization, Dispatch},
    host::Host,
    outcome::{Failure, OUTCOME_HEADER, Outcome},
    refusal::to_failure,
    scheduler::Scheduler,
};

/// Attempts per request, first one included.
const MAX_ATTEMPTS: usize = 3;
/// The longest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request to a plain service.
pub(crate) struct PlainJob {
    pub host: Arc<Host>,
    pub scheduler: Arc<Scheduler>,
    pub service: String,
    /// `None` on routes that need no key; their usage is not counted.
    pub organisation: Option<String>,
    /// What allows it to run; checked again before each attempt.
    pub(crate) authorization: Authorization,
    /// The request as sent in each attempt.
    pub template: RequestTemplate,
    /// The request id returned to the caller; attempt ids are derived from it.
    pub id: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl PlainJob {
    /// Runs the request and builds the response to the caller.
    ///
    /// # Errors
    /// If no target gave a complete response.
    pub(crate) async fn run(self) -> Result<Response<Body>, Failure> {
        let mut failed: SmallVec<[TargetId; 4]> = SmallVec::new();
        let mut worst_outcome = Outcome::NotRun;
        loop {
            let admitted = if failed.is_empty() {
                self.scheduler.admit(self.policy_request()).await
            } else {
                self.scheduler.admit_retry(self.policy_request(), &failed).await
            };
            let slot = match admitted {
                Ok(slot) => slot,
                Err(refusal) if worst_outcome == Outcome::NotRun => {
                    return Err(to_failure(&refusal));
                }
                Err(refusal) => {
                    let message = to_failure(&refusal).message().to_owned();
                    return Err(Failure::target_failed(worst_outcome, message));
                }
            };
            let target = slot.route().decode;
            let dispatch = match Dispatch::begin(&self.host, &self.authorization, target) {
                Ok(dispatch) => dispatch,
                Err(denied) => {
                    slot.finish(AttemptOutcome::Cancelled);
                    match denied.to_failure() {
                        Some(failure) if worst_outcome == Outcome::NotRun => return Err(failure),
                        Some(failure) => {
                            return Err(Failure::target_failed(worst_outcome, failure.message()));
                        }
                        None => failed.push(target),
                    }
                    continue;
                }
            };
            match self.attempt(dispatch, failed.len()).await {
                Ok(response) => {
                    slot.finish(AttemptOutcome::Done);
                    self.count_usage();
                    return Ok(response);
                }
                Err(outcome) => {
                    slot.finish(AttemptOutcome::Failed);
                    worst_outcome =
                        if worst_outcome == Outcome::NotRun { outcome } else { worst_outcome };
                }
            }
            failed.push(target);
            let may_retry = self.repeatable || worst_outcome == Outcome::NotRun;
            if !may_retry || failed.len() >= MAX_ATTEMPTS {
                return Err(Failure::target_failed(
                    worst_outcome,
                    "no target gave a complete response",
                ));
            }
        }
    }

    async fn attempt(&self, dispatch: Dispatch, number: usize) -> Result<Response<Body>, Outcome> {
        let id = format!("{}-{number}", self.id);
        let sending = send_attempt(&self.host, dispatch.addr(), &self.template, &id);
        let response = sending.await.map_err(|error| {
            log::info!(target: "plain", id, reason = error.reason.as_str(); "attempt failed");
            error.outcome
        })?;
        drop(dispatch);
        let (head, body) = response.into_parts();
        match collect(body, MAX_RESPONSE_BYTES).await {
            Ok(bytes) => Ok(caller_response(head, bytes)),
            // The response head has arrived, so the target ran the request.
            Err(error) => {
                log::info!(target: "plain", id, error:%; "response body broke off");
                Err(Outcome::Ran)
            }
        }
    }

    fn policy_request(&self) -> Request {
        let now = self.host.deps.clock.now();
        let interner = self.host.interner();
        let organisation = self.organisation.as_deref().unwrap_or_default();
        Request {
            org: OrgId(interner.intern(organisation)),
            service: ServiceId(interner.intern(&self.service)),
            prompt_tokens: 0,
            output_tokens: 0,
            prefix: Arc::new([]),
            deadline: now + self.host.settings.service_deadline,
            priority: Priority::Normal,
            idempotent: self.repeatable,
            digest: digest(&self.template),
            suspect: false,
        }
    }

    fn count_usage(&self) {
        let Some(organisation) = &self.organisation else {
            return;
        };
        let usage = Usage { requests: 1, ..Usage::default() };
        self.host.count_usage(organisation, usage);
    }
}

fn digest(template: &RequestTemplate) -> u64 {
    let mut hasher = DefaultHasher::new();
    template.method.hash(&mut hasher);
    template.path.hash(&mut hasher);
    template.body.hash(&mut hasher);
    hasher.finish()
}

fn caller_response(mut head: Parts, body: Bytes) -> Response<Body> {
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    head.headers.remove(REQUEST_ID_HEADER);
    let ran = HeaderValue::from_static(Outcome::Ran.as_str());
    head.headers.insert(OUTCOME_HEADER, ran);
    Response::from_parts(head, full(body))
}
