//! One request to a target and its answer, whatever it is for.
//!
//! What a target says of itself in an answer (that it leaves, its limit, the rest that it asks for) is
//! heeded here, so that no kind of request passes it over. An answer may come just after its time: a
//! target turns a request away when the time that it was given has passed in the queue, as this host
//! gives it up.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{Body, ConnectionHandle, SendError};
use chervilgate_clock::Time;
use hyper::{Request, Response};
use tokio::time::timeout;

use crate::{
    fleet::Placement,
    protocol::{LimitStatement, ResponseHead},
    state::Shared,
    verdict::Verdict,
};

/// Time for which the answer to a request that was given up is still awaited, to heed it.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(250);

/// The time for an answer has passed.
pub(crate) struct Late;

/// A target's answer, and what it says.
pub(crate) struct Answer {
    pub(crate) response: Response<Body>,
    pub(crate) head: ResponseHead,
    pub(crate) verdict: Verdict,
}

/// Sends `request` to the target of `placement`, unless `is_wanted` has become false by then, and waits up
/// to `limit` for the head of the answer. `id` is the request's id; none if it has none, and then answers bear none.
///
/// # Errors
/// If `limit` passes first; the request may have run.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    placement: &Placement,
    id: Option<&str>,
    limit: Duration,
    request: Request<Bytes>,
    is_wanted: impl Fn() -> bool + Send + 'static,
) -> Result<Result<Answer, SendError>, Late> {
    let (sent, addr, pool) = (shared.now(), placement.addr, shared.target_pool.clone());
    let mut sending = Box::pin(async move { pool.send_if(addr, request, is_wanted).await });
    let Ok(result) = timeout(limit, &mut sending).await else {
        shared.target_pool.distrust(addr);
        let (id, placement) = (id.map(str::to_owned), placement.clone());
        tokio::spawn(heed_late_answer(shared.clone(), placement, id, sent, sending));
        return Err(Late);
    };
    Ok(result.map(|response| heed(shared, placement, id, sent, response)))
}

async fn heed_late_answer(
    shared: Arc<Shared>,
    placement: Placement,
    id: Option<String>,
    sent: Time,
    sending: impl Future<Output = Result<Response<Body>, SendError>>,
) {
    if let Ok(Ok(response)) = timeout(LATE_ANSWER_TIME, sending).await {
        // More may be on its way that would be read for the next request.
        if let Some(connection) = response.extensions().get::<ConnectionHandle>() {
            connection.discard();
        }
        shared.metrics.count_answer("late");
        heed(&shared, &placement, id.as_deref(), sent, response);
    }
}

/// Reads the head of an answer to a request that was sent at `sent`, and records what the target
/// says of itself.
fn heed(
    shared: &Shared,
    placement: &Placement,
    id: Option<&str>,
    sent: Time,
    response: Response<Body>,
) -> Answer {
    let now = shared.now();
    let head = shared.protocol.parse_response(response.status(), response.headers());
    let verdict = Verdict::new(id, response.status(), &head);
    if verdict.is_of_target() {
        record_connection(shared, now, placement, sent, &response);
        record_leaving(shared, now, placement, &head);
        shared.state().fleet.record_rest(now, placement, head.rest);
        // An answer to a request without an id need not repeat the limit.
        if id.is_some() || head.limit != LimitStatement::Absent {
            record_limit(shared, now, placement, sent, head.limit);
        }
    }
    Answer { response, head, verdict }
}

/// Records that the target has answered over the connection of `response`, which may be older than what is
/// known of its end.
fn record_connection(
    shared: &Shared,
    now: Time,
    placement: &Placement,
    sent: Time,
    response: &Response<Body>,
) {
    let Some(connection) = response.extensions().get::<ConnectionHandle>() else { return };
    let opened = now.saturating_sub(connection.age());
    let state = &mut *shared.state();
    let settled = state.fleet.record_answer(now, placement, sent, opened);
    shared.settle_builds(state, settled.as_slice());
}

fn record_leaving(shared: &Shared, now: Time, placement: &Placement, head: &ResponseHead) {
    if !head.leaving {
        return;
    }
    shared.metrics.count_answer("leaving");
    if shared.state().fleet.announce_departure(now, placement) {
        let Placement { id: target, incarnation, .. } = placement;
        let id = head.id.as_deref();
        log::info!(target: "gateway", id, target, incarnation; "target says that it is leaving");
    }
}

fn record_limit(
    shared: &Shared,
    now: Time,
    placement: &Placement,
    sent: Time,
    statement: LimitStatement,
) {
    if shared.state().fleet.record_limit(now, placement, sent, statement) {
        shared.broadcast.notify_one();
    }
}
