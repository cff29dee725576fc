//! Callers' requests that wait until targets have capacity for them.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::Ticket;
use tokio::{sync::oneshot, task::yield_now, time::timeout};

use crate::{
    admission::{Applicant, Decision, Offer, POLL_INTERVAL, Yielded},
    caller_request::CallerRequest,
    failure::Failure,
    fleet::{Plan, TargetQuery},
    progress::Stage,
    state::{Shared, State},
};

/// How the wait of a request ends: it is sent, refused, or no target may be sent it any more.
type Verdict = Result<Option<Box<Plan>>, Yielded>;

/// Tells a waiting request how its wait ends.
pub(crate) type TurnSender = oneshot::Sender<Verdict>;

/// Chooses the targets of a request that was not sent before, once they have capacity for it; none if
/// none may be sent it. Returns the time that it waited, too.
///
/// # Errors
/// If it is refused for lack of capacity.
pub(crate) async fn place_in_turn(
    shared: &Arc<Shared>,
    call: &CallerRequest,
    query: TargetQuery<'_>,
) -> Result<(Option<Plan>, Duration), Failure> {
    call.progress.set(Stage::Turn);
    let began_at = shared.now();
    let (waiter, turn) = match offer(shared, call, began_at, query) {
        Placed::Chosen(plan) => return Ok((plan.map(|plan| *plan), Duration::ZERO)),
        Placed::Refused(yielded) => return Err(refuse(shared, call, began_at, &yielded)),
        Placed::Waits(waiter, turn) => (waiter, turn),
    };
    let verdict = timeout(call.deadline.since(began_at), turn).await;
    drop(waiter);
    let now = shared.now();
    let waited = now.since(began_at);
    shared.metrics.observe_wait(call.priority, waited);
    // The stop may have begun while the request waited.
    let stop = shared.state().stop;
    if stop.is_some_and(|stop| !stop.may_begin(now, call.route.kind, call.wanted_until)) {
        return Err(Failure::Stopping);
    }
    let Ok(verdict) = verdict else { return Err(Failure::Expired) };
    match verdict {
        Ok(Ok(plan)) => Ok((plan.map(|plan| *plan), waited)),
        Ok(Err(yielded)) => Err(refuse(shared, call, began_at, &yielded)),
        // Nobody decides on waiting requests any more.
        Err(_) => Ok((shared.state().fleet.place(now, &query), waited)),
    }
}

/// How a request stands after it was offered.
enum Placed {
    Chosen(Option<Box<Plan>>),
    Refused(Yielded),
    Waits(Waiter, oneshot::Receiver<Verdict>),
}

fn offer(shared: &Arc<Shared>, call: &CallerRequest, now: Time, query: TargetQuery<'_>) -> Placed {
    let state = &mut *shared.state();
    let State { view, fleet, admission, turns, .. } = state;
    let targets = view.config().and_then(|config| config.latency_targets(&call.service));
    let Some(targets) = targets else {
        return Placed::Chosen(fleet.place(now, &query).map(Box::new));
    };
    let applicant = Applicant {
        query,
        org: call.org.as_deref(),
        priority: call.priority,
        arrived_at: call.arrived_at,
        on_time_by: call.arrived_at + call.route.latency_target,
        deadline: call.deadline,
        bytes: call.body.len(),
    };
    match admission.offer(now, fleet, targets, &applicant, rand::random()) {
        Offer::Send(plan) => Placed::Chosen(Some(plan)),
        Offer::NoTarget => Placed::Chosen(None),
        Offer::Refuse(yielded) => Placed::Refused(yielded),
        Offer::Wait(ticket) => {
            let (sender, turn) = oneshot::channel();
            turns.insert(ticket, sender);
            shared.has_waiting.notify_one();
            Placed::Waits(Waiter { shared: shared.clone(), ticket }, turn)
        }
    }
}

/// A request's place among those that wait; dropping it frees the place.
struct Waiter {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let State { admission, turns, .. } = &mut *self.shared.state();
        turns.remove(&self.ticket);
        admission.cancel(self.ticket);
    }
}

/// Logs and counts a refusal.
fn refuse(shared: &Shared, call: &CallerRequest, began_at: Time, yielded: &Yielded) -> Failure {
    let Yielded { reason, retry_after, ahead, to } = *yielded;
    let (id, service, priority) = (&call.ask.id, &call.service, call.priority);
    let waited = shared.now().since(began_at).as_millis() as u64;
    let (reason, retry) = (reason.as_str(), retry_after.as_millis() as u64);
    log::info!(
        target: "gateway", id, service, priority, reason, waited, ahead, yielded_to = to, retry;
        "turned away for the urgent"
    );
    shared.metrics.count_yielded(priority, reason);
    Failure::Yielded(retry_after)
}

/// Gives waiting requests their turns.
pub(crate) async fn serve_waiting(shared: Arc<Shared>) {
    loop {
        if shared.state().admission.is_empty() {
            update_gauges(&shared);
            shared.has_waiting.notified().await;
        }
        // Without a notice, other hosts may have freed capacity.
        timeout(POLL_INTERVAL, shared.has_waiting.notified()).await.ok();
        while poll(&shared) {
            // The requests that were sent count at their targets once their tasks have run.
            yield_now().await;
        }
        update_gauges(&shared);
    }
}

/// Decides on waiting requests once; returns whether any is sent.
fn poll(shared: &Shared) -> bool {
    let now = shared.now();
    let State { fleet, admission, turns, .. } = &mut *shared.state();
    let mut has_sent = false;
    for decision in admission.poll(now, fleet, &mut rand::random) {
        let (ticket, verdict) = match decision {
            Decision::Send(ticket, plan) => (ticket, Ok(Some(plan))),
            Decision::NoTarget(ticket) => (ticket, Ok(None)),
            Decision::Refuse(ticket, yielded) => (ticket, Err(yielded)),
        };
        has_sent |= matches!(verdict, Ok(Some(_)));
        if let Some(turn) = turns.remove(&ticket) {
            // It only fails if the caller has just left.
            turn.send(verdict).ok();
        }
    }
    has_sent
}

fn update_gauges(shared: &Shared) {
    for (service, waiting) in shared.state().admission.waiting() {
        shared.metrics.set_waiting(&service, waiting);
    }
}
