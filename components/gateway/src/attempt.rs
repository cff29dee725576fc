//! A single attempt to run a request on one target.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use chervilgate_clients::{Body, ConnectionHandle, SendError, SentOver};
use chervilgate_clock::Time;
use chervilgate_policy::RunEnd;
use hyper::{Request, Response, StatusCode, http::uri::Uri};

use crate::{
    caller_request::CallerRequest,
    crash::look_for_end,
    exchange::{Answer, exchange},
    fleet::{AttemptId, AttemptOutcome, Hold, Placement},
    poison::{PoisonVerdict, SentRequest, SharedParts},
    progress::Stage,
    protocol::{ForwardedRequest, RequestStage},
    run_end::{EndedRun, record_run_end},
    state::Shared,
    verdict::Verdict,
};

/// Counts a request as in flight on its target; dropping it reports the outcome to the
/// fleet.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    service: Arc<str>,
    pub(crate) placement: Placement,
    attempt: AttemptId,
    pub(crate) started_at: Time,
    /// Reported to the fleet when this is dropped.
    pub(crate) outcome: AttemptOutcome,
    request: SentRequest,
    parts: SharedParts,
    /// Whether the target may run the request, and the end of that run is not known.
    is_running: bool,
    /// When the target sent the first event of its answer.
    pub(crate) begun_at: Option<Time>,
}

impl InFlight {
    /// Counts `call` as in flight on the target of `placement`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        placement: Placement,
        call: &CallerRequest,
    ) -> InFlight {
        let now = shared.now();
        shared.metrics.observe_queue(placement.wait_ms);
        let attempt = {
            let fleet = &mut shared.state().fleet;
            let computes = placement.prefill_ms > 0.0;
            if call.wait_count.should_count(computes, call.waits_long(&placement)) {
                fleet.record_wait(&call.service);
            }
            fleet.start(now, &placement, &call.ask.prompt)
        };
        if placement.has_long_prefill() {
            shared.broadcast.notify_one();
        }
        let outcome = AttemptOutcome::Unrelated;
        InFlight {
            shared: shared.clone(),
            service: call.service.clone(),
            placement,
            attempt,
            started_at: now,
            outcome,
            request: SentRequest::of(call),
            parts: call.parts.clone(),
            is_running: false,
            begun_at: None,
        }
    }

    /// Logs the target, the predicted times and the time that the request waited at this host;
    /// `export` is true if the KV cache comes from another target.
    pub(crate) fn log_placed(&self, call: &CallerRequest, export: bool, waited: Duration) {
        let Placement { id: target, zone, compute_tokens: compute, prefill_ms, wait_ms, .. } =
            &self.placement;
        let (tokens, build) = (call.ask.prompt.tokens, &self.placement.build.name);
        let (import, moved) = self.placement.import_fields();
        log::info!(
            target: "gateway", id = call.ask.id, target, zone, wait = *wait_ms as u64,
            read = *prefill_ms as u64, compute, tokens, export, import, moved, build,
            waited = waited.as_millis() as u64, config = call.config_version;
            "placed"
        );
    }

    pub(crate) fn now(&self) -> Time {
        self.shared.now()
    }

    /// Records how the run ended, once; without it the caller has left.
    pub(crate) fn end_run(&mut self, end: RunEnd) {
        if !std::mem::take(&mut self.is_running) {
            return;
        }
        let answering = self.begun_at.map(|at| self.shared.now().since(at));
        let run = EndedRun {
            request: &self.request,
            parts: &self.parts,
            placement: &self.placement,
            answering,
        };
        record_run_end(&self.shared, &run, end);
    }

    /// Records that there was no run, or that its end says nothing.
    pub(crate) fn forget_run(&mut self) {
        self.is_running = false;
    }

    /// Records that the request was answered in full with `status`. Only a success says something of the parts of its
    /// prompt.
    pub(crate) fn record_answer(&mut self, status: StatusCode) {
        if status.is_server_error() {
            return self.end_run(RunEnd::ErrorAnswer);
        }
        if !status.is_success() {
            self.parts.clear();
        }
        self.end_run(RunEnd::Answered);
    }

    /// Marks the prompt as computed.
    pub(crate) fn mark_computed(&self) {
        let now = self.shared.now();
        let first = {
            let fleet = &mut self.shared.state().fleet;
            let first = fleet.mark_computed(now, &self.placement, self.attempt);
            if first {
                fleet.record_life(&self.placement, self.started_at);
            }
            first
        };
        if first {
            let seen = now.since(self.started_at);
            self.shared.metrics.observe_prediction(self.placement.predicted_time().abs_diff(seen));
        }
        if first && self.placement.has_long_prefill() {
            self.shared.broadcast.notify_one();
        }
        if first {
            self.shared.free_capacity(&self.service);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end_run(RunEnd::CallerLeft);
        let now = self.shared.now();
        let failing =
            self.shared.state().fleet.finish(now, &self.placement, self.attempt, self.outcome);
        if failing {
            self.shared.broadcast.notify_one();
        }
        self.shared.free_capacity(&self.service);
    }
}

/// Result of sending a request to a target.
pub(crate) enum SendOutcome {
    /// The response, with its body still to be read.
    Answered(Response<Body>),
    /// The target did not run the request.
    NotRun(NotRunReason),
    /// The request failed and may have run.
    Unknown,
    /// The target's answer is not passed on, since callers would read its status as a refusal;
    /// it counts as a run.
    Withheld,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Why a target did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    /// The connection failed.
    Unreachable,
    /// The target refused the request for lack of capacity.
    Refused,
    /// Another process answers at the target's address.
    Replaced,
    /// Nothing may be sent to the target since it was chosen; nothing was.
    Held(Hold),
    /// A part of the prompt crashes targets, or the request does; nothing was sent.
    Poison(PoisonVerdict),
    /// The caller has closed its connection; nothing was sent.
    CallerLeft,
    /// The deadline has passed; nothing was sent.
    Expired,
}

/// Sends `call` once to the target of `in_flight` and waits for the response headers, up to
/// `time_limit` and the caller's deadline.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    call: &CallerRequest,
    in_flight: &mut InFlight,
    time_limit: Duration,
    stage: RequestStage<'_>,
    last_event: Option<u64>,
) -> SendOutcome {
    if let Some(reason) = reason_not_to_send(shared.now(), call) {
        return not_sent(call, reason);
    }
    let is_prompt = stage == RequestStage::Prefill;
    call.progress.set(if is_prompt { Stage::Prompt } else { Stage::Answer });
    let now = shared.now();
    let import = {
        let mut state = shared.state();
        // All may have changed while the prompt was computed elsewhere.
        if let Some(verdict) = call.poison_verdict(now, &state.poison) {
            return SendOutcome::NotRun(NotRunReason::Poison(verdict));
        }
        if let Err(hold) = state.fleet.clear_to_send(now, &in_flight.placement) {
            return SendOutcome::NotRun(NotRunReason::Held(hold));
        }
        state.fleet.clear_to_import(now, &in_flight.placement, in_flight.attempt)
    };
    if in_flight.placement.import.is_some() {
        shared.metrics.count_import(if import.is_some() { "sent" } else { "dropped" });
    }
    let time_left = call.deadline.since(now);
    let forwarded = ForwardedRequest {
        target: &in_flight.placement.id,
        org: call.org.as_deref(),
        time_left,
        priority: (!call.ask.prompt.parts.is_empty()).then_some(call.priority),
        stage,
        last_event,
        import,
    };
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path.clone());
    *request.headers_mut() = shared.protocol.target_headers(&call.headers, &forwarded);
    // Counted before sending, since a timeout ends it at any point.
    let counted = u32::from(!is_prompt);
    call.sent.fetch_add(counted, Ordering::Relaxed);
    let addr = in_flight.placement.addr;
    if call.answered_over.retire(addr) > 0 {
        let target = &in_flight.placement.id;
        log::info!(target: "gateway", id = call.ask.id, target; "sent to the same target again");
    }
    let limit = time_left.min(time_limit);
    let id = Some(&*call.ask.id);
    let given_up_at = now + limit;
    let is_wanted = {
        let (shared, caller) = (shared.clone(), call.caller.clone());
        move || shared.now() < given_up_at && !caller.has_left()
    };
    in_flight.is_running = true;
    let sent = exchange(shared, &in_flight.placement, id, limit, request, is_wanted).await;
    let Ok(sent) = sent else {
        in_flight.outcome = AttemptOutcome::Failed;
        in_flight.end_run(RunEnd::TimedOut);
        return SendOutcome::TimedOut;
    };
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::Unwanted { sent, .. }) => {
            if sent.closed == 0 {
                call.sent.fetch_sub(counted, Ordering::Relaxed);
            }
            in_flight.forget_run();
            let reason = reason_not_to_send(shared.now(), call);
            return not_sent(call, reason.unwrap_or(NotRunReason::Expired));
        }
        Err(error) => {
            if error.not_run() && error.sent_over().closed == 0 {
                call.sent.fetch_sub(counted, Ordering::Relaxed);
            }
            log_closed(shared, in_flight, call, error.sent_over());
            return classify_error(in_flight, call, &error);
        }
    };
    call.answered_over.record(addr, &answer.response);
    log_closed(shared, in_flight, call, sent_over(&answer.response));
    log_answer(shared, in_flight, call, &answer);
    to_outcome(in_flight, answer)
}

/// Why nobody waits for the answer to `call`; none if its caller does.
fn reason_not_to_send(now: Time, call: &CallerRequest) -> Option<NotRunReason> {
    if call.caller.has_left() {
        return Some(NotRunReason::CallerLeft);
    }
    (now >= call.deadline).then_some(NotRunReason::Expired)
}

/// A request that was not sent for `reason`.
fn not_sent(call: &CallerRequest, reason: NotRunReason) -> SendOutcome {
    let id = &call.ask.id;
    if reason == NotRunReason::CallerLeft {
        log::info!(target: "gateway", id; "caller left before the request was sent");
    } else {
        log::info!(target: "gateway", id; "deadline passed before the request was sent");
    }
    SendOutcome::NotRun(reason)
}

fn sent_over(response: &Response<Body>) -> SentOver {
    response.extensions().get().copied().unwrap_or_default()
}

/// Logs connections that took the request and closed, which counts as not sent.
fn log_closed(shared: &Shared, in_flight: &InFlight, call: &CallerRequest, over: SentOver) {
    if over.closed == 0 {
        return;
    }
    let (id, target, sent) = (&call.ask.id, &in_flight.placement.id, call.sent_count());
    log::warn!(
        target: "gateway", id, target, closed = over.closed, sent;
        "connection closed before the request was written"
    );
    shared.metrics.count_retry("closed");
}

/// Counts a target's answer, and logs it unless it is an ordinary one.
fn log_answer(shared: &Shared, in_flight: &InFlight, call: &CallerRequest, answer: &Answer) {
    let Answer { response, head, verdict } = answer;
    shared.metrics.count_answer(verdict.as_str());
    let (id, target, sent) = (&call.ask.id, &in_flight.placement.id, call.sent_count());
    let (status, kept) = (response.status().as_u16(), sent_over(response).kept);
    match verdict {
        Verdict::Foreign => {
            let other = head.id.as_deref().unwrap_or("none");
            log::warn!(
                target: "gateway", id, target, status, other, kept, sent;
                "answer to another request"
            );
        }
        Verdict::NotFinal => {
            log::warn!(target: "gateway", id, target, status, kept, sent; "no final status");
        }
        Verdict::Refused | Verdict::Replaced => {
            let rest = head.rest.as_millis() as u64;
            log::warn!(target: "gateway", id, target, status, rest, kept, sent; "target refused");
        }
        Verdict::Unmarked => {
            let signed = head.signed;
            let rest = head.rest.as_millis() as u64;
            log::warn!(
                target: "gateway", id, target, status, rest, signed, kept, sent;
                "status promises not run without the mark"
            );
        }
        Verdict::Answered => {}
    }
}

fn classify_error(
    in_flight: &mut InFlight,
    call: &CallerRequest,
    error: &SendError,
) -> SendOutcome {
    let (id, target, sent) = (&call.ask.id, &in_flight.placement.id, call.sent_count());
    let kept = error.sent_over().kept;
    let parts = call.shared_parts();
    log::warn!(
        target: "gateway", id, target, addr:% = in_flight.placement.addr, error:%, kept, sent, parts;
        "target failed"
    );
    look_for_end(&in_flight.shared, &in_flight.placement, in_flight.started_at);
    if error.not_run() {
        in_flight.forget_run();
        in_flight.outcome = AttemptOutcome::Unreachable;
        return SendOutcome::NotRun(NotRunReason::Unreachable);
    }
    in_flight.outcome = AttemptOutcome::Failed;
    in_flight.end_run(RunEnd::Unanswered);
    SendOutcome::Unknown
}

fn to_outcome(in_flight: &mut InFlight, answer: Answer) -> SendOutcome {
    let response = answer.response;
    match answer.verdict {
        Verdict::Foreign | Verdict::NotFinal => {
            if let Some(connection) = response.extensions().get::<ConnectionHandle>() {
                connection.discard();
            }
            in_flight.outcome = AttemptOutcome::Failed;
            in_flight.end_run(RunEnd::Unanswered);
            SendOutcome::Unknown
        }
        Verdict::Unmarked => {
            in_flight.outcome = AttemptOutcome::Failed;
            in_flight.end_run(RunEnd::ErrorAnswer);
            SendOutcome::Withheld
        }
        Verdict::Refused => {
            in_flight.forget_run();
            in_flight.outcome = AttemptOutcome::Full;
            SendOutcome::NotRun(NotRunReason::Refused)
        }
        Verdict::Replaced => {
            in_flight.forget_run();
            in_flight.outcome = AttemptOutcome::Replaced;
            SendOutcome::NotRun(NotRunReason::Replaced)
        }
        Verdict::Answered => {
            in_flight.outcome = if response.status().is_server_error() {
                AttemptOutcome::ErrorAnswer
            } else {
                AttemptOutcome::Answered
            };
            SendOutcome::Answered(response)
        }
    }
}
