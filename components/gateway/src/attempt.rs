//! One request at one target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{Body, HttpSender, SendError};
use chervilgate_clock::Time;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    http::uri::{PathAndQuery, Uri},
};
use tokio::time::timeout;

use crate::{
    config::Route,
    fleet::{Outcome, Place, Ticket},
    protocol::{AnswerHead, Ask, Handover, Work},
    state::Shared,
    suspects::Fingerprint,
};

/// Longest time that a target gets for a prompt's computation before it is done
/// elsewhere.
const PREFILL_LIMIT: Duration = Duration::from_millis(2_500);

/// A caller's request, read whole.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) org: Option<Arc<str>>,
    pub(crate) priority: u8,
    /// When the request needs its final answer.
    pub(crate) end: Time,
}

/// Counts a request at its place until it is dropped.
pub(crate) struct Open {
    shared: Arc<Shared>,
    pub(crate) place: Place,
    ticket: Ticket,
    /// How the target did.
    pub(crate) outcome: Outcome,
}

impl Open {
    /// Counts `call` at `place`.
    pub(crate) fn new(shared: &Arc<Shared>, place: Place, call: &Call) -> Open {
        let now = shared.now();
        shared.metrics.time_queue(place.wait);
        let ticket = shared.state().fleet.start(now, &place, &call.ask.prompt);
        if place.is_long() {
            shared.urgent.notify_one();
        }
        Open { shared: shared.clone(), place, ticket, outcome: Outcome::Neutral }
    }

    /// Tells where the request was placed, and what was predicted.
    pub(crate) fn log_placed(&self, call: &Call, export: bool) {
        let Place { id: target, zone, compute, read, wait, .. } = &self.place;
        log::info!(
            target: "gateway", id = call.ask.id, target, zone, wait = *wait as u64,
            read = *read as u64, compute, export;
            "placed"
        );
    }

    /// Counts the prompt as computed.
    pub(crate) fn computed(&self) {
        let first = self.shared.state().fleet.computed(&self.place, self.ticket);
        if first && self.place.is_long() {
            self.shared.urgent.notify_one();
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = self.shared.now();
        let failing = self.shared.state().fleet.finish(now, &self.place, self.ticket, self.outcome);
        if failing {
            self.shared.urgent.notify_one();
        }
    }
}

/// How a target took a request.
pub(crate) enum Taken {
    /// The head of its answer.
    Answered(Response<Body>),
    /// It did not run the request.
    NotRun(NotRun),
    /// It may have run the request.
    Unknown,
    /// The request's time ran out.
    TimedOut,
}

/// Why a target did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// It could not be reached.
    Unreachable,
    /// It had no room.
    Refused,
    /// It is not the one that was meant.
    Gone,
}

/// Sends `call` to `place` once and waits for the head of the answer.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    open: &mut Open,
    work: Work<'_>,
    last_event: Option<u64>,
) -> Taken {
    let now = shared.now();
    let left = call.end.since(now);
    let handover = Handover {
        target: &open.place.id,
        org: call.org.as_deref(),
        left,
        priority: (!call.ask.prompt.parts.is_empty()).then_some(call.priority),
        work,
        last_event,
    };
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path.clone());
    *request.headers_mut() = shared.protocol.hand_over(&call.headers, &handover);
    let Ok(sent) = timeout(left, shared.targets.send(open.place.addr, request)).await else {
        open.outcome = Outcome::Failed;
        return Taken::TimedOut;
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) => return failed(shared, open, call, &error),
    };
    let head = shared.protocol.answer(response.status(), response.headers());
    judge(open, call, response, &head)
}

fn failed(shared: &Shared, open: &mut Open, call: &Call, error: &SendError) -> Taken {
    let (id, target) = (&call.ask.id, &open.place.id);
    log::warn!(target: "gateway", id, target, addr:% = open.place.addr, error:%; "target failed");
    if error.not_run() {
        open.outcome = Outcome::Unreachable;
        return Taken::NotRun(NotRun::Unreachable);
    }
    open.outcome = Outcome::Failed;
    shared.note_broken(call.fingerprint);
    Taken::Unknown
}

fn judge(open: &mut Open, call: &Call, response: Response<Body>, head: &AnswerHead) -> Taken {
    let (id, target) = (&call.ask.id, &open.place.id);
    let status = response.status().as_u16();
    if head.not_run {
        log::info!(target: "gateway", id, target, status; "target refused");
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            open.outcome = Outcome::Gone;
            return Taken::NotRun(NotRun::Gone);
        }
        open.outcome = Outcome::Full;
        return Taken::NotRun(NotRun::Refused);
    }
    if head.id.as_ref() != Some(id) {
        let other = head.id.as_deref().unwrap_or("none");
        log::warn!(target: "gateway", id, target, status, other; "answer to another request");
        open.outcome = Outcome::Failed;
        return Taken::Unknown;
    }
    open.outcome =
        if response.status().is_server_error() { Outcome::Failed } else { Outcome::Answered };
    Taken::Answered(response)
}

/// A prompt's KV cache at the target that computed it.
pub(crate) struct Export {
    shared: Arc<Shared>,
    place: Place,
    handle: Option<String>,
}

impl Export {
    /// Where it lies.
    pub(crate) fn place(&self) -> &Place {
        &self.place
    }

    /// What its target calls it.
    pub(crate) fn handle(&self) -> &str {
        self.handle.as_deref().unwrap_or_default()
    }

    /// Notes that another target has taken it.
    pub(crate) fn taken(mut self) {
        self.handle = None;
    }
}

impl Drop for Export {
    /// Deletes a cache that nobody took.
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let path = self.shared.protocol.export_path(&handle);
        let (shared, addr) = (self.shared.clone(), self.place.addr);
        let Ok(uri) = path.parse::<Uri>() else { return };
        let mut request = Request::new(Bytes::new());
        *request.method_mut() = Method::DELETE;
        *request.uri_mut() = uri;
        if let Ok(host) = addr.to_string().parse() {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        tokio::spawn(async move {
            let sent = timeout(PREFILL_LIMIT, shared.targets.send(addr, request)).await;
            if !matches!(sent, Ok(Ok(_))) {
                log::info!(target: "gateway", addr:%; "unused KV cache not deleted; it lapses");
            }
        });
    }
}

/// Has the prompt of `call` computed at `place`; none if that failed.
pub(crate) async fn prefill(shared: &Arc<Shared>, call: &Call, place: Place) -> Option<Export> {
    let mut open = Open::new(shared, place, call);
    let sent = timeout(PREFILL_LIMIT, send(shared, call, &mut open, Work::Prefill, None)).await;
    let Ok(taken) = sent else {
        log::warn!(target: "gateway", id = call.ask.id, target = open.place.id; "prompt is late");
        open.outcome = Outcome::Failed;
        return None;
    };
    let Taken::Answered(response) = taken else { return None };
    if !response.status().is_success() {
        return None;
    }
    let body = chervilgate_clients::body::collect(response.into_body(), PREFILL_ANSWER).await;
    let prefilled = shared.protocol.prefilled(&body.ok()?);
    let Some(prefilled) = prefilled else {
        log::warn!(target: "gateway", id = call.ask.id, target = open.place.id; "unreadable export");
        return None;
    };
    let handle = Some(prefilled.handle);
    Some(Export { shared: shared.clone(), place: open.place.clone(), handle })
}

/// Longest answer to a prompt's computation, in bytes.
const PREFILL_ANSWER: usize = 16 << 10;
