//! Requests whose answer is read whole before it goes on to the caller.

use std::{sync::Arc, time::Duration};

use chervilgate_clients::{Body, body::collect, body::full};
use chervilgate_clock::Time;
use hyper::Response;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    answer::Failure,
    attempt::{Call, NotRun, Open, Taken, send},
    fleet::{Need, Outcome},
    protocol::Work,
    state::Shared,
};

/// Targets tried that could not be reached or were gone.
pub(crate) const UNREACHABLE_LIMIT: u32 = 3;

/// Targets tried that refused.
pub(crate) const REFUSED_LIMIT: u32 = 1;

/// Longest answer read whole, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// How often a request has been tried, and what became of it.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Targets that got the request or could not be reached.
    pub(crate) tried: SmallVec<[Arc<str>; 4]>,
    /// Times it may have run.
    pub(crate) ran: u32,
    unreachable: u32,
    refused: u32,
}

impl Tries {
    /// Counts a target that did not run the request; true if another may be tried.
    pub(crate) fn not_run(&mut self, shared: &Shared, call: &Call, why: NotRun) -> bool {
        match why {
            NotRun::Unreachable => {
                shared.metrics.count_retry("unreachable");
                self.unreachable += 1;
                self.unreachable <= UNREACHABLE_LIMIT
            }
            NotRun::Gone => {
                shared.metrics.count_retry("gone");
                self.unreachable += 1;
                self.unreachable <= UNREACHABLE_LIMIT && shared.spend(shared.now(), &call.service)
            }
            NotRun::Refused => {
                shared.metrics.count_retry("refused");
                self.refused += 1;
                self.refused <= REFUSED_LIMIT && shared.spend(shared.now(), &call.service)
            }
        }
    }

    /// Counts a run that failed; true if the request may run once more.
    pub(crate) fn ran(&mut self, shared: &Shared, call: &Call) -> bool {
        self.ran += 1;
        shared.metrics.count_retry("broken");
        call.route.kind.is_repeatable()
            && self.ran < call.route.attempts
            && call.end.since(shared.now()) > Duration::ZERO
            && shared.state().suspects.may_run(shared.now(), call.fingerprint)
            && shared.spend(shared.now(), &call.service)
    }

    /// The failure to report when no further target is tried.
    pub(crate) fn failure(&self, otherwise: Failure) -> Failure {
        if self.ran > 0 { Failure::Broken } else { otherwise }
    }
}

/// Refuses a request that cannot begin in its time, while it has not been sent.
///
/// Callers that are refused together come back spread over the time that they have.
pub(crate) fn check_time(
    now: Time,
    end: Time,
    tries: &Tries,
    predicted: Duration,
) -> Result<(), Failure> {
    let left = end.since(now);
    if predicted <= left || !tries.tried.is_empty() {
        return Ok(());
    }
    Err(Failure::Late(predicted - left + left.mul_f64(rand::random())))
}

/// Runs `call` and returns its whole answer.
pub(crate) async fn forward(shared: &Arc<Shared>, call: &Call) -> Result<Response<Body>, Failure> {
    let mut tries = Tries::default();
    loop {
        let now = shared.now();
        if now >= call.end {
            return Err(if tries.ran > 0 { Failure::TimedOut } else { Failure::Expired });
        }
        let need = Need { service: &call.service, prompt: &call.ask.prompt, except: &tries.tried };
        let place = shared.state().fleet.place(now, &need);
        let Some(plan) = place else { return Err(tries.failure(Failure::NoTarget)) };
        check_time(now, call.end, &tries, plan.predicted())?;
        let mut open = Open::new(shared, plan.place, call);
        open.log_placed(call, false);
        tries.tried.push(open.place.id.clone());
        match send(shared, call, &mut open, Work::Whole, None).await {
            Taken::Answered(response) => {
                shared.count(call.org.as_deref(), now);
                let failed = response.status().is_server_error();
                let whole = read_whole(shared, call, response).await;
                if let Some(response) = whole {
                    if failed && tries.ran(shared, call) {
                        continue;
                    }
                    return Ok(response);
                }
                open.outcome = Outcome::Failed;
                if !tries.ran(shared, call) {
                    return Err(Failure::Broken);
                }
            }
            Taken::NotRun(why) => {
                if !tries.not_run(shared, call, why) {
                    return Err(tries.failure(Failure::Full));
                }
            }
            Taken::Unknown => {
                shared.count(call.org.as_deref(), now);
                if !tries.ran(shared, call) {
                    return Err(Failure::Broken);
                }
            }
            Taken::TimedOut => return Err(Failure::TimedOut),
        }
    }
}

/// Reads the rest of an answer; none if it breaks off.
async fn read_whole(
    shared: &Shared,
    call: &Call,
    response: Response<Body>,
) -> Option<Response<Body>> {
    let (head, body) = response.into_parts();
    let left = call.end.since(shared.now());
    match timeout(left, collect(body, ANSWER_LIMIT)).await {
        Ok(Ok(bytes)) => {
            let mut response = Response::new(full(bytes));
            *response.status_mut() = head.status;
            *response.headers_mut() = shared.protocol.hand_back(&head.headers);
            Some(response)
        }
        Ok(Err(error)) => {
            log::warn!(target: "gateway", id = call.ask.id, error:%; "answer broke off");
            None
        }
        Err(_) => {
            log::warn!(target: "gateway", id = call.ask.id; "answer not read in time");
            None
        }
    }
}
