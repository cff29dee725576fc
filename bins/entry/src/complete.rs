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
    attempt::{AttemptError, Call, REQUEST_ID, engine_refused, send_attempt},
    completion::Completion,
    handover::{Handover, Right},
    host::Host,
    lane::{Lane, Slot},
    outcome::{Failure, OUTCOME_HEADER, Outcome},
    refusal::to_failure,
    relay::relay_stream,
};

/// Attempts at one request that an engine may have begun, the first one counted.
const MAX_ATTEMPTS: usize = 4;
/// Engines that may break off without a token of one request, which may be what
/// makes them crash.
const MAX_CRASHES: usize = 2;
/// The longest answer that is not streamed, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A completion on its way.
pub(crate) struct Job {
    /// The host.
    pub host: Arc<Host>,
    /// The service's lane.
    pub lane: Arc<Lane>,
    /// The organisation.
    pub organisation: String,
    /// What allows it to run.
    pub(crate) right: Right,
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
    pub(crate) begun: usize,
    /// Engines that broke off under it.
    pub(crate) crashes: usize,
    /// What the caller will be told if all attempts fail.
    pub worst: Outcome,
}

/// An attempt whose response has begun.
pub(crate) struct Attempt {
    /// Its place at the engine.
    pub slot: Slot,
    /// Its response.
    pub response: Response<Body>,
}

impl Job {
    /// Runs the completion and answers its caller.
    ///
    /// # Errors
    /// If no engine gave an answer.
    pub(crate) async fn run(mut self) -> Result<Response<Body>, Failure> {
        if self.completion.stream {
            let attempt = self.begin(0).await?;
            if !attempt.response.status().is_success() {
                return self.pass_on(attempt).await;
            }
            return Ok(relay_stream(self, attempt));
        }
        loop {
            let attempt = self.begin(0).await?;
            match self.collect_whole(attempt).await? {
                Some(response) => return Ok(response),
                None => continue,
            }
        }
    }

    /// Starts an attempt that continues after `sent` tokens.
    ///
    /// # Errors
    /// If attempts have run out, or the policy refuses.
    pub(crate) async fn begin(&mut self, sent: u64) -> Result<Attempt, Failure> {
        loop {
            if self.begun >= MAX_ATTEMPTS || self.crashes >= MAX_CRASHES {
                return Err(Failure::target(self.worst, "no engine finished the request"));
            }
            let request = self.policy_request(sent);
            let admitted = if self.failed.is_empty() {
                self.lane.admit(request).await
            } else {
                self.lane.readmit(request, &self.failed).await
            };
            let slot = admitted.map_err(|refusal| self.refused(&refusal))?;
            let target = slot.route().decode;
            let handover = match Handover::begin(&self.host, &self.right, target) {
                Ok(handover) => handover,
                Err(barred) => {
                    self.note_failure(slot, PolicyOutcome::Cancelled);
                    match barred.to_failure() {
                        Some(failure) if self.worst == Outcome::NotRun => return Err(failure),
                        Some(failure) => {
                            return Err(Failure::target(self.worst, failure.message()));
                        }
                        None => continue,
                    }
                }
            };
            match self.send(&handover, sent).await {
                Ok(response) if engine_refused(response.status()) => {
                    self.note_failure(slot, PolicyOutcome::Failed);
                }
                Ok(response) => {
                    self.begun += 1;
                    return Ok(Attempt { slot, response });
                }
                Err(error) => {
                    self.note_error(&error);
                    self.note_failure(slot, PolicyOutcome::Crashed);
                }
            }
        }
    }

    /// Ends an attempt that failed.
    pub(crate) fn note_failure(&mut self, slot: Slot, outcome: PolicyOutcome) {
        self.failed.push(slot.route().decode);
        slot.finish(outcome);
    }

    /// Notes that an engine may have run the request.
    pub(crate) fn note_ran(&mut self, outcome: Outcome) {
        if self.worst != Outcome::Ran {
            self.worst = outcome;
        }
    }

    /// Counts usage for the organisation.
    pub(crate) fn count(&self, generated: u64) {
        let prompt = u64::from(self.completion.prompt);
        let usage = Usage { requests: 1, prompt, generated };
        self.host.metrics.count_tokens(generated);
        self.host.count(&self.organisation, usage);
    }

    fn note_error(&mut self, error: &AttemptError) {
        log::info!(target: "complete", id = self.id.as_str(), reason = error.reason.as_str();
            "attempt failed");
        self.crashes += usize::from(error.crashed);
        if error.outcome != Outcome::NotRun {
            self.begun += 1;
            self.note_ran(error.outcome);
        }
    }

    fn refused(&self, refusal: &Refusal) -> Failure {
        let failure = to_failure(refusal);
        if self.worst == Outcome::NotRun {
            return failure;
        }
        Failure::target(self.worst, format!("an engine failed, then: {}", failure.message()))
    }

    async fn send(&self, handover: &Handover, sent: u64) -> Result<Response<Body>, AttemptError> {
        let call = Call {
            method: Method::POST,
            path: self.completion.interface.path().to_owned(),
            headers: self.headers.clone(),
            body: self.completion.to_body(&self.completion.model, sent),
        };
        send_attempt(&self.host, handover.addr(), &call, &self.attempt_id()).await
    }

    fn attempt_id(&self) -> String {
        format!("{}-{}", self.id, self.failed.len())
    }

    fn policy_request(&self, sent: u64) -> Request {
        let now = self.host.borders.clock.now();
        let numbering = self.host.numbering();
        let sent = u32::try_from(sent).unwrap_or(u32::MAX);
        Request {
            org: OrgId(numbering.number(&self.organisation)),
            service: ServiceId(numbering.number(&self.completion.model)),
            prompt: self.completion.prompt.saturating_add(sent),
            output: self.completion.output.saturating_sub(sent).max(1),
            prefix: self.completion.prefix.clone(),
            deadline: now + self.host.settings.deadline,
            priority: Priority::Normal,
            repeatable: true,
            digest: self.completion.digest(),
            suspect: false,
        }
    }

    /// Reads an answer that is not streamed; none if it broke off.
    async fn collect_whole(&mut self, attempt: Attempt) -> Result<Option<Response<Body>>, Failure> {
        let Attempt { slot, response } = attempt;
        let (head, body) = response.into_parts();
        match collect(body, ANSWER_LIMIT).await {
            Ok(bytes) => {
                slot.finish(PolicyOutcome::Done);
                self.count(output_tokens(&bytes));
                Ok(Some(self.answer(Response::from_parts(head, bytes))))
            }
            Err(error) => {
                log::info!(target: "complete", id = self.id.as_str(), error:%; "answer broke off");
                self.crashes += 1;
                self.note_ran(Outcome::Ran);
                self.note_failure(slot, PolicyOutcome::Crashed);
                Ok(None)
            }
        }
    }

    async fn pass_on(&mut self, attempt: Attempt) -> Result<Response<Body>, Failure> {
        match self.collect_whole(attempt).await? {
            Some(response) => Ok(response),
            None => Err(Failure::target(self.worst, "the engine's refusal broke off")),
        }
    }

    fn answer(&self, found: Response<Bytes>) -> Response<Body> {
        let mut response = Response::new(chervilgate_clients::body::full(found.body().clone()));
        *response.status_mut() = found.status();
        if let Some(kind) = found.headers().get(CONTENT_TYPE) {
            response.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        if !found.status().is_success() {
            let outcome = hyper::header::HeaderValue::from_static(Outcome::Ran.as_str());
            response.headers_mut().insert(OUTCOME_HEADER, outcome);
        }
        response.headers_mut().remove(REQUEST_ID);
        response
    }
}

fn output_tokens(answer: &[u8]) -> u64 {
    let value: serde_json::Value = serde_json::from_slice(answer).unwrap_or_default();
    value["usage"]["completion_tokens"].as_u64().unwrap_or(0)
}
