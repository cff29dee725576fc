//! Completions: one request, as many attempts as its safety allows.
//!
//! A completion may be repeated, so a failed attempt is tried on another
//! engine. A stream that broke goes on there after the tokens already passed
//! on; none is sent twice.

use std::sync::Arc;

use bytes::Bytes;
use chervilgate_clients::{Body, body::collect};
use chervilgate_clock::Time;
use chervilgate_coord::window::Usage;
use chervilgate_policy::{
    OrgId, Outcome as PolicyOutcome, Priority, Refusal, Request, ServiceId, TargetId,
};
use hyper::{HeaderMap, Method, Response, header::CONTENT_TYPE};
use smallvec::SmallVec;

use crate::{
    attempt::{AttemptError, REQUEST_ID_HEADER, RequestTemplate, engine_refused, send_attempt},
    completion::Completion,
    dispatch::{Authorization, Dispatch},
    host::Host,
    outcome::{Failure, OUTCOME_HEADER, Outcome},
    refusal::to_failure,
    relay::relay_stream,
    scheduler::{Scheduler, Slot},
};

/// Attempts at one request that an engine may have begun, the first one counted.
const MAX_ATTEMPTS: usize = 4;
/// Engines that may break off without a token of one request, which may be what
/// makes them crash.
const MAX_CRASHES: usize = 2;
/// The longest answer that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A completion on its way.
pub(crate) struct CompletionJob {
    /// The host.
    pub host: Arc<Host>,
    /// The service's lane.
    pub scheduler: Arc<Scheduler>,
    /// The organisation.
    pub organisation: String,
    /// What allows it to run.
    pub(crate) authorization: Authorization,
    /// The request.
    pub completion: Completion,
    /// When it had come in whole.
    pub(crate) arrived: Time,
    /// Headers that may go on.
    pub headers: HeaderMap,
    /// The id that the caller knows the answer by.
    pub id: String,
    /// Engines that failed it.
    pub failed: SmallVec<[TargetId; 4]>,
    /// Attempts that an engine may have begun.
    pub(crate) started: usize,
    /// Engines that broke off under it.
    pub(crate) crashes: usize,
    /// What the caller will be told if all attempts fail.
    pub worst_outcome: Outcome,
}

/// An attempt whose response has begun.
pub(crate) struct Attempt {
    /// Its place at the engine.
    pub slot: Slot,
    /// Its response.
    pub response: Response<Body>,
}

impl CompletionJob {
    /// Runs the completion and answers its caller.
    ///
    /// # Errors
    /// If no engine gave an answer.
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

    /// Starts an attempt that continues after `sent` tokens.
    ///
    /// # Errors
    /// If attempts have run out, or the policy refuses.
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
                    self.record_failure(slot, PolicyOutcome::Cancelled);
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
                    self.record_failure(slot, PolicyOutcome::Failed);
                }
                Ok(response) => {
                    self.started += 1;
                    return Ok(Attempt { slot, response });
                }
                Err(error) => {
                    self.record_error(&error);
                    self.record_failure(slot, PolicyOutcome::Crashed);
                }
            }
        }
    }

    /// Ends an attempt that failed.
    pub(crate) fn record_failure(&mut self, slot: Slot, outcome: PolicyOutcome) {
        self.failed.push(slot.route().decode);
        slot.finish(outcome);
    }

    /// Notes that an engine may have run the request.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if self.worst_outcome != Outcome::Ran {
            self.worst_outcome = outcome;
        }
    }

    /// Counts usage for the organisation.
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
        if error.outcome != Outcome::NotRun {
            self.started += 1;
            self.record_outcome(error.outcome);
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
            prompt: self.completion.prompt_tokens.saturating_add(sent),
            output: self.completion.max_output.saturating_sub(sent).max(1),
            prefix: self.completion.prefix.clone(),
            deadline: now + self.host.settings.deadline,
            priority: Priority::Normal,
            repeatable: true,
            digest: self.completion.digest(),
            suspect: false,
        }
    }

    /// Reads an answer that is not streamed; none if it broke off.
    async fn collect_response(
        &mut self,
        attempt: Attempt,
    ) -> Result<Option<Response<Body>>, Failure> {
        let Attempt { slot, response } = attempt;
        let (head, body) = response.into_parts();
        match collect(body, MAX_RESPONSE_BYTES).await {
            Ok(bytes) => {
                slot.finish(PolicyOutcome::Done);
                self.count_usage(output_tokens(&bytes));
                Ok(Some(self.caller_response(Response::from_parts(head, bytes))))
            }
            Err(error) => {
                log::info!(target: "complete", id = self.id.as_str(), error:%; "answer broke off");
                self.crashes += 1;
                self.record_outcome(Outcome::Ran);
                self.record_failure(slot, PolicyOutcome::Crashed);
                Ok(None)
            }
        }
    }

    async fn forward_error(&mut self, attempt: Attempt) -> Result<Response<Body>, Failure> {
        match self.collect_response(attempt).await? {
            Some(response) => Ok(response),
            None => {
                Err(Failure::target_failed(self.worst_outcome, "the engine's refusal broke off"))
            }
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
