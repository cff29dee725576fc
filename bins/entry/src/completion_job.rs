//! Runs completion requests on engines.
//!
//! A completion may be repeated, so a failed attempt is retried on another
//! engine. A broken stream resumes there after the tokens already sent to the
//! caller, so no token is sent twice.

use std::sync::Arc;

use bytes::Bytes;
use chervilgate_clients::{Body, body::collect};
use chervilgate_clock::Time;
use chervilgate_coord::window::Usage;
use chervilgate_policy::{AttemptOutcome, OrgId, Priority, Refusal, Request, ServiceId, TargetId};
use hyper::{HeaderMap, Method, Response, header::CONTENT_TYPE};
use smallvec::SmallVec;

use crate::{
    attempt::{
        AttemptError, REQUEST_ID_HEADER, RequestTemplate, engine_refused, refusal_outcome,
        send_attempt,
    },
    completion::Completion,
    dispatch::{Authorization, Dispatch},
    host::Host,
    outcome::{Failure, OUTCOME_HEADER, Outcome},
    refusal::to_failure,
    relay::relay_stream,
    scheduler::{Scheduler, Slot},
};

/// Attempts per request, first one included, that an engine may have started.
const MAX_ATTEMPTS: usize = 4;
/// Engines that may fail on one request without producing a token.
///
/// The request itself may be what makes them crash.
const MAX_CRASHES: usize = 2;
/// The longest response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A completion request and the state of its attempts.
pub(crate) struct CompletionJob {
    pub host: Arc<Host>,
    pub scheduler: Arc<Scheduler>,
    pub organisation: String,
    /// What allows it to run; checked again before each attempt.
    pub(crate) authorization: Authorization,
    pub completion: Completion,
    /// When the whole request had been received.
    pub(crate) arrived: Time,
    /// The caller's headers that may be forwarded to engines.
    pub headers: HeaderMap,
    /// The request id returned to the caller; attempt ids are derived from it.
    pub id: String,
    /// Engines where an attempt failed; not chosen again.
    pub failed: SmallVec<[TargetId; 4]>,
    /// Attempts that an engine may have started.
    pub(crate) started: usize,
    /// Attempts that failed without a response or a further token.
    pub(crate) crashes: usize,
    /// The outcome reported to the caller if all attempts fail.
    pub worst_outcome: Outcome,
}

/// An attempt whose response head has arrived.
pub(crate) struct Attempt {
    /// Released when the attempt ends.
    pub slot: Slot,
    pub response: Response<Body>,
}

impl CompletionJob {
    /// Runs the completion and builds the response to the caller.
    ///
    /// # Errors
    /// If no engine gave a response.
    pub(crate) async fn run(mut self) -> Result<Response<Body>, Failure> {
        if self.completion.stream {
            let attempt = self.start_attempt(0).await?;
            if !attempt.response.status().is_success() {
                return self.forward_error(attempt).await;
            }
            return Ok(relay_stream(self, attempt));
        }
        loop {
            let attempt = self.start_attempt(0).await?;
            match self.collect_response(attempt).await? {
                Some(response) => return Ok(response),
                None => continue,
            }
        }
    }

    /// Starts an attempt that skips the first `sent` output tokens.
    ///
    /// # Errors
    /// If no attempts are left, or the policy refuses the request.
    pub(crate) async fn start_attempt(&mut self, sent: u64) -> Result<Attempt, Failure> {
        loop {
            if self.started >= MAX_ATTEMPTS || self.crashes >= MAX_CRASHES {
                return Err(Failure::target_failed(
                    self.worst_outcome,
                    "no engine finished the request",
                ));
            }
            let request = self.policy_request(sent);
            let admitted = if self.failed.is_empty() {
                self.scheduler.admit(request).await
            } else {
                self.scheduler.admit_retry(request, &self.failed).await
            };
            let slot = admitted.map_err(|refusal| self.refusal_failure(&refusal))?;
            let target = slot.route().decode;
            let dispatch = match Dispatch::begin(&self.host, &self.authorization, target) {
                Ok(dispatch) => dispatch,
                Err(denied) => {
                    self.record_failure(slot, AttemptOutcome::Cancelled);
                    match denied.to_failure() {
                        Some(failure) if self.worst_outcome == Outcome::NotRun => {
                            return Err(failure);
                        }
                        Some(failure) => {
                            return Err(Failure::target_failed(
                                self.worst_outcome,
                                failure.message(),
                            ));
                        }
                        None => continue,
                    }
                }
            };
            match self.send(&dispatch, sent).await {
                Ok(response) if engine_refused(response.status()) => {
                    self.count_attempt(refusal_outcome(&response));
                    self.record_failure(slot, AttemptOutcome::Failed);
                }
                Ok(response) => {
                    self.started += 1;
                    return Ok(Attempt { slot, response });
                }
                Err(error) => {
                    self.record_error(&error);
                    self.record_failure(slot, AttemptOutcome::Crashed);
                }
            }
        }
    }

    /// Ends a failed attempt and excludes its engine from further ones.
    pub(crate) fn record_failure(&mut self, slot: Slot, outcome: AttemptOutcome) {
        self.failed.push(slot.route().decode);
        slot.finish(outcome);
    }

    /// Records that an engine ran the request or may have; `Ran` is never overwritten.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if self.worst_outcome != Outcome::Ran {
            self.worst_outcome = outcome;
        }
    }

    /// Adds the request and `generated` tokens to the organisation's usage.
    pub(crate) fn count_usage(&self, generated: u64) {
        let prompt = u64::from(self.completion.prompt_tokens);
        let usage = Usage { requests: 1, prompt, generated };
        self.host.metrics.count_tokens(generated);
        self.host.count_usage(&self.organisation, usage);
    }

    fn record_error(&mut self, error: &AttemptError) {
        log::info!(target: "complete", id = self.id.as_str(), reason = error.reason.as_str();
            "attempt failed");
        self.crashes += usize::from(error.crashed);
        self.count_attempt(error.outcome);
    }

    /// Counts a failed attempt, unless the engine certainly did not start it.
    fn count_attempt(&mut self, outcome: Outcome) {
        if outcome != Outcome::NotRun {
            self.started += 1;
            self.record_outcome(outcome);
        }
    }

    fn refusal_failure(&self, refusal: &Refusal) -> Failure {
        let failure = to_failure(refusal);
        if self.worst_outcome == Outcome::NotRun {
            return failure;
        }
        Failure::target_failed(
            self.worst_outcome,
            format!("an engine failed, then: {}", failure.message()),
        )
    }

    async fn send(&self, dispatch: &Dispatch, sent: u64) -> Result<Response<Body>, AttemptError> {
        let template = RequestTemplate {
            method: Method::POST,
            path: self.completion.interface.path().to_owned(),
            headers: self.headers.clone(),
            body: self.completion.to_body(&self.completion.model, sent),
        };
        send_attempt(&self.host, dispatch.addr(), &template, &self.attempt_id()).await
    }

    fn attempt_id(&self) -> String {
        format!("{}-{}", self.id, self.failed.len())
    }

    fn policy_request(&self, sent: u64) -> Request {
        let now = self.host.deps.clock.now();
        let interner = self.host.interner();
        let sent = u32::try_from(sent).unwrap_or(u32::MAX);
        Request {
            org: OrgId(interner.intern(&self.organisation)),
            service: ServiceId(interner.intern(&self.completion.model)),
            prompt_tokens: self.completion.prompt_tokens.saturating_add(sent),
            output_tokens: self.completion.max_output.saturating_sub(sent).max(1),
            prefix: self.completion.prefix.clone(),
            deadline: now + self.host.settings.deadline,
            priority: Priority::Normal,
            idempotent: true,
            digest: self.completion.digest(),
            suspect: false,
        }
    }

    /// Reads a response that is not streamed; `None` if it broke off.
    async fn collect_response(
        &mut self,
        attempt: Attempt,
    ) -> Result<Option<Response<Body>>, Failure> {
        let Attempt { slot, response } = attempt;
        let (head, body) = response.into_parts();
        match collect(body, MAX_RESPONSE_BYTES).await {
            Ok(bytes) => {
                slot.finish(AttemptOutcome::Done);
                self.count_usage(output_tokens(&bytes));
                Ok(Some(self.caller_response(Response::from_parts(head, bytes))))
            }
            Err(error) => {
                log::info!(target: "complete", id = self.id.as_str(), error:%; "response body broke off");
                self.crashes += 1;
                self.record_outcome(Outcome::Ran);
                self.record_failure(slot, AttemptOutcome::Crashed);
                Ok(None)
            }
        }
    }

    async fn forward_error(&mut self, attempt: Attempt) -> Result<Response<Body>, Failure> {
        match self.collect_response(attempt).await? {
            Some(response) => Ok(response),
            None => Err(Failure::target_failed(
                self.worst_outcome,
                "the engine's error response broke off",
            )),
        }
    }

    fn caller_response(&self, found: Response<Bytes>) -> Response<Body> {
        let mut response = Response::new(chervilgate_clients::body::full(found.body().clone()));
        *response.status_mut() = found.status();
        if let Some(kind) = found.headers().get(CONTENT_TYPE) {
            response.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        if !found.status().is_success() {
            let outcome = hyper::header::HeaderValue::from_static(Outcome::Ran.as_str());
            response.headers_mut().insert(OUTCOME_HEADER, outcome);
        }
        response.headers_mut().remove(REQUEST_ID_HEADER);
        response
    }
}

fn output_tokens(answer: &[u8]) -> u64 {
    let value: serde_json::Value = serde_json::from_slice(answer).unwrap_or_default();
    value["usage"]["completion_tokens"].as_u64().unwrap_or(0)
}
