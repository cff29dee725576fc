//! The HTTP API of the fake engine.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use chervilgate_clients::{
    Body, BodyError, EngineOrder, LoadReport, OrderOutcome, OrderRequest,
    body::{collect, full},
};
use chervilgate_serve::Handler;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{AUTHORIZATION, CONTENT_TYPE},
    http::request::Parts,
};
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use super::{Shared, answer::CompletionRequest};

/// Longest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 8 << 20;
/// Header with the request's id, which the answer has to repeat.
const REQUEST_ID: &str = "x-request-id";

pub(super) struct Api {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(content) = collect(body, MAX_REQUEST_BYTES).await else {
            return error_response(StatusCode::BAD_REQUEST, "cannot read the request body");
        };
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => self.load(),
            (&Method::POST, "/orders") => self.order(&content).await,
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&head, &content).await
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Api {
    fn load(&self) -> Response<Body> {
        let state = self.shared.lock();
        let report = LoadReport {
            role: state.role.clone(),
            running: state.record.running,
            model: self.shared.spec.model.clone(),
            epoch: state.epoch,
            ..LoadReport::default()
        };
        drop(state);
        json_response(&report)
    }

    async fn order(&self, content: &Bytes) -> Response<Body> {
        let order: OrderRequest = match serde_json::from_slice(content) {
            Ok(order) => order,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let outcome = self.apply_order(&order);
        if outcome == OrderOutcome::Done && matches!(order.order, EngineOrder::ChangeRole { .. }) {
            sleep(self.shared.spec.role_change_time).await;
        }
        json_response(&outcome)
    }

    fn apply_order(&self, order: &OrderRequest) -> OrderOutcome {
        let mut state = self.shared.lock();
        if state.record.orders.iter().any(|known| known.id == order.id) {
            return OrderOutcome::Repeated;
        }
        if self.shared.spec.checks_fencing && order.epoch < state.epoch {
            state.record.fenced += 1;
            return OrderOutcome::Fenced;
        }
        if self.shared.spec.checks_fencing {
            state.epoch = order.epoch;
        }
        if let EngineOrder::ChangeRole { role } = &order.order {
            state.role = role.clone();
        }
        state.record.orders.push(order.clone());
        OrderOutcome::Done
    }

    async fn complete(&self, head: &Parts, content: &Bytes) -> Response<Body> {
        let request: CompletionRequest = match serde_json::from_slice(content) {
            Ok(request) => request,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if request.model != self.shared.spec.model {
            return error_response(
                StatusCode::NOT_FOUND,
                "this engine does not serve the requested model",
            );
        }
        let id = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
        let faults = self.shared.lock().faults.clone();
        if faults.refuse {
            let refusal = error_response(StatusCode::SERVICE_UNAVAILABLE, "no room");
            return with_id(refusal, id);
        }
        let run = Run::start(&self.shared, id, head.headers.contains_key(AUTHORIZATION));
        sleep(faults.delay + self.shared.spec.prefill_time).await;
        if faults.crash_text.is_some_and(|text| request.prompt().contains(&text)) {
            self.shared.lock().crashes += 1;
        }
        if faults.refusal_without_id {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "no room");
        }
        let sent_id = if faults.wrong_id { format!("{id}-crossed") } else { id.to_owned() };
        let response = if request.stream {
            run.respond_stream(request, faults.break_after, faults.malformed_at)
        } else {
            run.respond_whole(request, faults.break_after).await
        };
        with_id(response, &sent_id)
    }
}

/// A running request; dropping it before it is finished counts as cancelled.
struct Run {
    shared: Arc<Shared>,
    id: String,
    crashes: u64,
    finished: bool,
}

impl Run {
    fn start(shared: &Arc<Shared>, id: &str, with_key: bool) -> Run {
        let mut state = shared.lock();
        *state.record.runs.entry(id.to_owned()).or_default() += 1;
        state.record.running += 1;
        state.record.keys_seen += u64::from(with_key);
        Run { shared: shared.clone(), id: id.to_owned(), crashes: state.crashes, finished: false }
    }

    fn crashed(&self) -> bool {
        self.shared.lock().crashes > self.crashes
    }

    async fn respond_whole(
        mut self,
        request: CompletionRequest,
        break_after: Option<u64>,
    ) -> Response<Body> {
        let tokens = request.tokens();
        sleep(self.shared.spec.token_time * u32::try_from(tokens).unwrap_or(u32::MAX)).await;
        if self.crashed() || break_after.is_some_and(|after| after < tokens) {
            return crate::listen::broken_response(Vec::new());
        }
        self.finished = true;
        self.shared.lock().record.tokens += tokens;
        let mut response = Response::new(full(request.full_body(&self.id)));
        response.headers_mut().insert(CONTENT_TYPE, json_type());
        response
    }

    fn respond_stream(
        self,
        request: CompletionRequest,
        break_after: Option<u64>,
        garble_at: Option<u64>,
    ) -> Response<Body> {
        let first = request.resume_from;
        let (index, done) = (first, false);
        let state = Stream { run: self, request, index, first, break_after, garble_at, done };
        let frames = stream::unfold(state, |mut state| async move {
            let frame = state.next().await?;
            Some((frame, state))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.record.running -= 1;
        state.record.cancelled += u64::from(!self.finished);
    }
}

struct Stream {
    run: Run,
    request: CompletionRequest,
    index: u64,
    first: u64,
    break_after: Option<u64>,
    garble_at: Option<u64>,
    done: bool,
}

impl Stream {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.done {
            return None;
        }
        sleep(self.run.shared.spec.token_time).await;
        let broken = self.break_after.is_some_and(|after| self.index - self.first >= after);
        if broken || self.run.crashed() {
            self.done = true;
            let reason = "the engine crashed".to_owned();
            return Some(Err(BodyError::Aborted { reason }));
        }
        if self.index >= self.request.tokens() {
            self.done = true;
            self.run.finished = true;
            return Some(Ok(Frame::data(self.request.last_events(&self.run.id))));
        }
        let mut event = self.request.token_event(&self.run.id, self.index);
        if self.garble_at == Some(self.index) {
            event = Bytes::from_static(b"data: {\"choices\n\n");
        }
        self.index += 1;
        self.run.shared.lock().record.tokens += 1;
        Some(Ok(Frame::data(event)))
    }
}

fn with_id(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

fn json_type() -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_static("application/json")
}

fn json_response(content: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(content) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(code: StatusCode, message: &str) -> Response<Body> {
    let content = json!({ "error": { "message": message } });
    let mut response = Response::new(full(content.to_string()));
    *response.status_mut() = code;
    response
}
