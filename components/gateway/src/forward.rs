//! Requests whose response is read completely before it is returned to the caller.

use std::{sync::Arc, time::Duration};

use chervilgate_clients::{Body, BodyError};
use chervilgate_clock::Time;
use chervilgate_policy::RunEnd;
use hyper::Response;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    attempt::{InFlight, NotRunReason, SendOutcome, send},
    body::{Answer, read_answer},
    caller_request::CallerRequest,
    crash::{is_cut, record_break},
    failure::Failure,
    fleet::{AttemptOutcome, BuildId, Hold, TargetQuery},
    joining::{check_answer, is_framed},
    passed_on::pass_on,
    protocol::RequestStage,
    state::Shared,
    waiting::place_in_turn,
};

/// Maximum number of unreachable or replaced targets after which a request is still sent
/// to another one.
pub(crate) const MAX_UNREACHABLE: u32 = 3;

/// Maximum number of refusals after which a request is still sent to another target.
pub(crate) const MAX_REFUSED: u32 = 1;

/// Longest time for which a target's limit sends callers away: it may end earlier.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(5);

/// Longest time after the end of a rest over which callers return.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Size limit of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The attempts made for a request, and the limits on further ones.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Targets that are not tried again.
    pub(crate) tried: SmallVec<[Arc<str>; 4]>,
    /// Number of times the request may have run.
    pub(crate) runs: u32,
    /// Time that the request waited for capacity.
    pub(crate) waited: Duration,
    unreachable: u32,
    refused: u32,
}

impl Attempts {
    /// Whether the request has not been sent so far. One that has is not held back: its caller could not
    /// be told that it did not run.
    pub(crate) fn is_first(&self) -> bool {
        self.tried.is_empty() && self.runs == 0
    }

    /// Counts a target that did not run the request; returns whether another may be
    /// tried.
    pub(crate) fn may_retry_not_run(
        &mut self,
        shared: &Shared,
        call: &CallerRequest,
        reason: NotRunReason,
    ) -> bool {
        match reason {
            NotRunReason::Unreachable => {
                shared.metrics.count_retry("unreachable");
                self.unreachable += 1;
                self.unreachable <= MAX_UNREACHABLE
            }
            NotRunReason::Poison(_) | NotRunReason::CallerLeft | NotRunReason::Expired => false,
            NotRunReason::Held(hold) => {
                shared.metrics.count_retry(hold.as_str());
                if hold != Hold::Left {
                    return true;
                }
                self.unreachable += 1;
                self.unreachable <= MAX_UNREACHABLE
            }
            NotRunReason::Replaced => {
                shared.metrics.count_retry("gone");
                self.unreachable += 1;
                self.unreachable <= MAX_UNREACHABLE
                    && shared.try_repeat(shared.now(), &call.service, "replaced")
            }
            NotRunReason::Refused => {
                shared.metrics.count_retry("refused");
                self.refused += 1;
                self.refused <= MAX_REFUSED
                    && shared.try_repeat(shared.now(), &call.service, "refused")
            }
        }
    }

    /// Whether the next run is the last that the route allows.
    pub(crate) fn is_last_run(&self, call: &CallerRequest) -> bool {
        call.route.is_last_run(self.runs)
    }

    /// Counts a run that failed; returns whether the request may run again.
    pub(crate) fn may_retry_failed_run(&mut self, shared: &Shared, call: &CallerRequest) -> bool {
        self.runs += 1;
        shared.metrics.count_retry("broken");
        call.route.kind.is_retryable()
            && self.runs < call.route.attempts
            && call.trial.is_none()
            && call.deadline.since(shared.now()) > Duration::ZERO
            && shared.state().poison.may_retry(shared.now(), call.fingerprint, &call.parts)
            && shared.try_repeat(shared.now(), &call.service, "failed")
    }

    /// The failure to report when no other target is tried.
    pub(crate) fn failure(&self, otherwise: Failure) -> Failure {
        if self.runs > 0 { Failure::TargetFailed } else { otherwise }
    }

    /// The failure to report when no target can be chosen.
    pub(crate) fn no_target_failure(
        &self,
        shared: &Shared,
        now: Time,
        service: &str,
        build: Option<BuildId>,
    ) -> Failure {
        let is_gone =
            build.is_some_and(|build| !shared.state().fleet.serves_build(now, service, build));
        if is_gone {
            return self.failure(Failure::BuildGone);
        }
        self.failure(held_failure(shared, now, service, build).unwrap_or(Failure::NoTarget))
    }

    /// The failure to report when no other target is tried after one that did not run the request.
    pub(crate) fn not_run_failure(
        &self,
        shared: &Shared,
        service: &str,
        build: Option<BuildId>,
        reason: NotRunReason,
    ) -> Failure {
        if reason == NotRunReason::Expired && self.runs > 0 {
            return Failure::TimedOut;
        }
        self.failure(match reason {
            NotRunReason::Expired => Failure::Expired,
            NotRunReason::Poison(verdict) => Failure::from(verdict),
            NotRunReason::CallerLeft => Failure::CallerLeft,
            _ => held_failure(shared, shared.now(), service, build).unwrap_or(Failure::TargetsFull),
        })
    }
}

/// The failure to report while all targets of `service` rest or have reached their limits; none if
/// one may be sent something. The caller may return once one may; the random part spreads out
/// callers that are refused together.
fn held_failure(
    shared: &Shared,
    now: Time,
    service: &str,
    build: Option<BuildId>,
) -> Option<Failure> {
    let (hold, wait) = shared.state().fleet.wait_for_target(now, service, build)?;
    Some(hold_failure(hold, wait, rand::random()))
}

/// The failure to report while `hold` lasts for `wait`; `spread` is a random number from 0 to 1.
pub(crate) fn hold_failure(hold: Hold, wait: Duration, spread: f64) -> Failure {
    match hold {
        Hold::Resting => Failure::Resting(wait + wait.min(MAX_RETURN_SPREAD).mul_f64(spread)),
        _ => Failure::Limited(wait.min(MAX_LIMIT_WAIT).mul_f64(1.0 + spread)),
    }
}

/// Refuses a request that is predicted to miss its deadline, if it has not been sent
/// yet.
///
/// The random retry delay spreads out callers that are refused together.
pub(crate) fn check_deadline(
    now: Time,
    deadline: Time,
    attempts: &Attempts,
    predicted: Duration,
) -> Result<(), Failure> {
    match late_by(now, deadline, predicted) {
        Some(late) if attempts.tried.is_empty() => {
            Err(Failure::Late(late + deadline.since(now).mul_f64(rand::random())))
        }
        _ => Ok(()),
    }
}

/// Time by which a request is predicted to miss its deadline; none if it is not.
pub(crate) fn late_by(now: Time, deadline: Time, predicted: Duration) -> Option<Duration> {
    predicted.checked_sub(deadline.since(now)).filter(|late| !late.is_zero())
}

/// Runs `call` and returns the complete response.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    call: &CallerRequest,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let now = shared.now();
        if now >= call.deadline {
            return Err(if attempts.runs > 0 { Failure::TimedOut } else { Failure::Expired });
        }
        let query = TargetQuery {
            service: &call.service,
            prompt: &call.ask.prompt,
            exclude: &attempts.tried,
            build: None,
            max_pause: None,
            runs_once: attempts.is_last_run(call),
        };
        let placement = if attempts.is_first() {
            let (plan, waited) = place_in_turn(shared, call, query).await?;
            attempts.waited = waited;
            plan
        } else {
            shared.state().fleet.place(now, &query)
        };
        let now = shared.now();
        let Some(plan) = placement else {
            shared.state().fleet.record_unplaced(&call.service, &call.ask.prompt);
            return Err(attempts.no_target_failure(shared, now, &call.service, None));
        };
        check_deadline(now, call.deadline, &attempts, plan.predicted_time())
            .inspect_err(|_| shared.state().fleet.record_refused(&call.service, &plan))?;
        let mut in_flight = InFlight::new(shared, plan.placement, call);
        in_flight.log_placed(call, false, attempts.waited);
        attempts.tried.push(in_flight.placement.id.clone());
        match send(shared, call, &mut in_flight, Duration::MAX, RequestStage::Whole, None).await {
            SendOutcome::Answered(response) => {
                shared.count_usage(call.org.as_deref(), now);
                let failed = response.status().is_server_error();
                let head = shared.protocol.parse_response(response.status(), response.headers());
                if let Err(rejection) = check_answer(response.status(), &head) {
                    let (id, target) = (&call.ask.id, &in_flight.placement.id);
                    let (status, reason) = (response.status().as_u16(), rejection.as_str());
                    log::warn!(target: "gateway", id, target, status, reason; "answer not passed on");
                    in_flight.outcome = AttemptOutcome::Failed;
                    in_flight.end_run(RunEnd::ErrorAnswer);
                    if attempts.may_retry_failed_run(shared, call) {
                        continue;
                    }
                    return Err(Failure::TargetFailed);
                }
                let read = read_whole(shared, call, &in_flight, response).await;
                let is_read = matches!(read, Read::Whole(_) | Read::Partial(_));
                if is_read && failed && attempts.may_retry_failed_run(shared, call) {
                    in_flight.end_run(RunEnd::ErrorAnswer);
                    continue;
                }
                let end = match read {
                    Read::Whole(response) => {
                        in_flight.record_answer(response.status());
                        return Ok(response);
                    }
                    Read::Partial(response) => {
                        let status = response.status();
                        return Ok(response.map(|body| {
                            pass_on(call, in_flight, body, MAX_RESPONSE_BYTES, status)
                        }));
                    }
                    Read::Unfinished(end) => end,
                };
                in_flight.outcome = AttemptOutcome::Failed;
                in_flight.end_run(end);
                record_break(shared, call, &in_flight.placement, in_flight.started_at).await;
                if !attempts.may_retry_failed_run(shared, call) {
                    return Err(Failure::TargetFailed);
                }
            }
            SendOutcome::NotRun(why) => {
                if !attempts.may_retry_not_run(shared, call, why) {
                    return Err(attempts.not_run_failure(shared, &call.service, None, why));
                }
            }
            SendOutcome::Unknown | SendOutcome::Withheld => {
                shared.count_usage(call.org.as_deref(), now);
                record_break(shared, call, &in_flight.placement, in_flight.started_at).await;
                if !attempts.may_retry_failed_run(shared, call) {
                    return Err(Failure::TargetFailed);
                }
            }
            SendOutcome::TimedOut => return Err(Failure::TimedOut),
        }
    }
}

/// What was read of a response.
enum Read {
    Whole(Response<Body>),
    /// As much as the host may hold. The rest has no limits yet.
    Partial(Response<Body>),
    /// It ended otherwise.
    Unfinished(RunEnd),
}

/// Reads the body of a response.
async fn read_whole(
    shared: &Shared,
    call: &CallerRequest,
    in_flight: &InFlight,
    response: Response<Body>,
) -> Read {
    let InFlight { placement, started_at, .. } = in_flight;
    let (head, body) = response.into_parts();
    let is_framed = is_framed(&head.headers, &body);
    let left = call.deadline.since(shared.now());
    let respond = |body| {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = shared.protocol.caller_headers(&head.headers);
        response
    };
    let read = async {
        let budget = &shared.answer_budget;
        match read_answer(body, MAX_RESPONSE_BYTES, budget, is_framed).await {
            Ok(Answer::Whole(body)) => {
                let is_cut = is_cut(shared, call, placement, *started_at, is_framed).await;
                if is_cut { Read::Unfinished(RunEnd::Broken) } else { Read::Whole(respond(body)) }
            }
            Ok(Answer::Partial(body)) => {
                shared.metrics.count_memory_refused("answers");
                log::info!(target: "gateway", id = call.ask.id; "answer passed on as it arrives");
                Read::Partial(respond(body))
            }
            Ok(Answer::OverBudget) => {
                shared.metrics.count_memory_refused("answers");
                let reason = "no memory for an answer whose end does not show";
                log::warn!(target: "gateway", id = call.ask.id, reason; "response body given up");
                Read::Unfinished(RunEnd::GivenUp)
            }
            Err(error) => {
                log::warn!(target: "gateway", id = call.ask.id, error:%; "response body ended early");
                let is_own_limit = matches!(error, BodyError::TooLong { .. });
                Read::Unfinished(if is_own_limit { RunEnd::GivenUp } else { RunEnd::Broken })
            }
        }
    };
    timeout(left, read).await.unwrap_or_else(|_| {
        log::warn!(target: "gateway", id = call.ask.id; "response body timed out");
        shared.target_pool.distrust(placement.addr);
        Read::Unfinished(RunEnd::TimedOut)
    })
}
