//! Prompts that are computed apart, and the KV caches that targets export for them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::BodyError;
use chervilgate_policy::RunEnd;
use hyper::{Method, Request, http::uri::Uri};
use tokio::time::timeout;

use crate::{
    attempt::{InFlight, NotRunReason, SendOutcome, send},
    caller_request::CallerRequest,
    exchange::exchange,
    fleet::Placement,
    protocol::{PrefillResponse, RequestStage},
    state::Shared,
};

/// Time allowed for computing a prompt on a prefill target, after which the prompt is
/// computed elsewhere; also the timeout of a call that deletes an exported KV cache.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A KV cache exported by the target that computed the prompt.
///
/// Dropping it deletes the cache, unless another target has imported it.
pub(crate) struct Export {
    shared: Arc<Shared>,
    placement: Placement,
    handle: Option<String>,
}

impl Export {
    /// The target that holds the cache.
    pub(crate) fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The target's name for the cache.
    pub(crate) fn handle(&self) -> &str {
        self.handle.as_deref().unwrap_or_default()
    }

    /// Marks the cache as imported, so that dropping it does not delete it.
    pub(crate) fn mark_imported(mut self) {
        self.handle = None;
    }
}

impl Drop for Export {
    /// Deletes the cache in the background if it was not imported.
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let path = self.shared.protocol.export_path(&handle);
        let (shared, addr) = (self.shared.clone(), self.placement.addr);
        let now = shared.now();
        if let Err(hold) = shared.state().fleet.clear_to_send(now, &self.placement) {
            log::info!(
                target: "gateway", target = self.placement.id, hold = hold.as_str();
                "exported KV cache not deleted"
            );
            return;
        }
        let Ok(uri) = path.parse::<Uri>() else { return };
        let mut request = Request::new(Bytes::new());
        *request.method_mut() = Method::DELETE;
        *request.uri_mut() = uri;
        if let Ok(host) = addr.to_string().parse() {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        let placement = self.placement.clone();
        tokio::spawn(async move {
            let sent = exchange(&shared, &placement, None, PREFILL_TIMEOUT, request, || true).await;
            if !matches!(sent, Ok(Ok(_))) {
                log::info!(
                    target: "gateway", addr:%;
                    "exported KV cache not deleted; the target drops it after its retention time"
                );
            }
        });
    }
}

/// What became of a prompt that was to be computed apart.
pub(crate) enum Prefilled {
    Exported(Box<Export>),
    /// It did not reach a target.
    NotSent,
    /// It reached a target, and none is known to have accepted it.
    Refused,
}

/// Computes the prompt of `call` on the target of `placement`.
pub(crate) async fn prefill(
    shared: &Arc<Shared>,
    call: &CallerRequest,
    placement: Placement,
) -> Prefilled {
    let mut in_flight = InFlight::new(shared, placement, call);
    call.computed_apart.store(true, Ordering::Relaxed);
    let result =
        send(shared, call, &mut in_flight, PREFILL_TIMEOUT, RequestStage::Prefill, None).await;
    if matches!(result, SendOutcome::TimedOut) {
        log_late_prompt(call, &in_flight);
    }
    let arrived = !matches!(
        result,
        SendOutcome::NotRun(
            NotRunReason::Unreachable
                | NotRunReason::Held(_)
                | NotRunReason::Poison(_)
                | NotRunReason::CallerLeft
                | NotRunReason::Expired
        )
    );
    let limit = PREFILL_TIMEOUT.saturating_sub(shared.now().since(in_flight.started_at));
    let limit = limit.min(call.deadline.since(shared.now()));
    let prefilled = timeout(limit, read_prefill(shared, call, &mut in_flight, result)).await;
    let prefilled = prefilled.unwrap_or_else(|_| {
        log_late_prompt(call, &in_flight);
        in_flight.end_run(RunEnd::TimedOut);
        shared.target_pool.distrust(in_flight.placement.addr);
        None
    });
    let Some(prefilled) = prefilled else {
        if !arrived {
            return Prefilled::NotSent;
        }
        shared.state().repeats.record_refused_prompt(shared.now(), &call.service);
        return Prefilled::Refused;
    };
    let handle = Some(prefilled.handle);
    let placement = in_flight.placement.clone();
    Prefilled::Exported(Box::new(Export { shared: shared.clone(), placement, handle }))
}

fn log_late_prompt(call: &CallerRequest, in_flight: &InFlight) {
    let (id, target) = (&call.ask.id, &in_flight.placement.id);
    log::warn!(target: "gateway", id, target; "prompt is late");
}

/// Reads the response to a prefill; none if the prompt was not computed.
async fn read_prefill(
    shared: &Shared,
    call: &CallerRequest,
    in_flight: &mut InFlight,
    result: SendOutcome,
) -> Option<PrefillResponse> {
    let SendOutcome::Answered(response) = result else { return None };
    if !response.status().is_success() {
        if response.status().is_server_error() {
            in_flight.end_run(RunEnd::ErrorAnswer);
        }
        in_flight.forget_run();
        return None;
    }
    let body = chervilgate_clients::body::collect(response.into_body(), MAX_PREFILL_RESPONSE).await;
    if let Err(error @ (BodyError::Connection { .. } | BodyError::Aborted { .. })) = &body {
        let (id, target) = (&call.ask.id, &in_flight.placement.id);
        log::warn!(target: "gateway", id, target, error:%; "prefill response broke off");
        in_flight.end_run(RunEnd::Broken);
    }
    // A prompt that is computed says nothing of the answer.
    in_flight.forget_run();
    let prefilled = shared.protocol.parse_prefill(&body.ok()?);
    if prefilled.is_none() {
        log::warn!(
            target: "gateway", id = call.ask.id, target = in_flight.placement.id;
            "invalid prefill response"
        );
    }
    prefilled
}

/// Size limit of a prefill response, in bytes.
const MAX_PREFILL_RESPONSE: usize = 16 << 10;
