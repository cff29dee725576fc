//! Requests answered by a stream of events, passed on as they come.
//!
//! Until the first event nothing has gone to the caller, so a failed target is
//! replaced unseen where the route allows it. Later, a broken stream goes on at
//! another target after the last whole event, or is cut.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{Body, BodyError};
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    answer::Failure,
    attempt::{Call, Export, NotRun, Open, Taken, prefill, send},
    events::EventSplitter,
    fleet::{Need, Outcome, Place, Plan},
    forward::{Tries, check_time},
    protocol::Work,
    state::Shared,
};

/// Chunks of a stream that wait for a slow caller.
const WAITING_CHUNKS: usize = 32;

/// Targets that may export the same prompt for one request.
const PREFILLS: u32 = 1;

/// A stream at one target.
struct Source {
    open: Open,
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    events: EventSplitter,
}

/// What a source gave next.
enum Next {
    Events(Bytes),
    End,
    Broken,
    TimedOut,
}

/// A request's stream, across the targets that take part in it.
struct Relay {
    shared: Arc<Shared>,
    call: Arc<Call>,
    tries: Tries,
    prefills: u32,
    /// The last event that the caller has.
    last: Option<u64>,
    counted: bool,
}

/// Runs `call` and returns its answer as soon as the first events are there.
pub(crate) async fn stream(shared: &Arc<Shared>, call: Call) -> Result<Response<Body>, Failure> {
    let call = Arc::new(call);
    let mut relay = Relay {
        shared: shared.clone(),
        last: call.ask.last_event,
        call,
        tries: Tries::default(),
        prefills: 0,
        counted: false,
    };
    let (source, first) = relay.start().await?;
    let (events, frames) = mpsc::channel(WAITING_CHUNKS);
    let mut response = Response::new(channel_body(frames));
    *response.status_mut() = source.status;
    *response.headers_mut() = shared.protocol.hand_back(&source.headers);
    tokio::spawn(relay.run(source, first, events));
    Ok(response)
}

type Events = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

fn channel_body(mut frames: mpsc::Receiver<Result<Frame<Bytes>, BodyError>>) -> Body {
    StreamBody::new(poll_fn(move |cx| frames.poll_recv(cx))).boxed_unsync()
}

impl Relay {
    /// Finds a target that streams, and waits for its first events or its end.
    async fn start(&mut self) -> Result<(Source, Next), Failure> {
        loop {
            let mut source = self.connect().await?;
            let next = source.next(&self.shared, &self.call).await;
            if !matches!(next, Next::Broken) || source.status.is_client_error() {
                return Ok((source, next));
            }
            source.open.outcome = Outcome::Failed;
            self.shared.note_broken(self.call.fingerprint);
            self.tries.tried.push(source.open.place.id.clone());
            if !self.tries.ran(&self.shared, &self.call) {
                return Err(Failure::Broken);
            }
        }
    }

    /// Finds a target that answers with a stream.
    async fn connect(&mut self) -> Result<Source, Failure> {
        loop {
            let now = self.shared.now();
            if now >= self.call.end {
                return Err(if self.tries.ran > 0 { Failure::TimedOut } else { Failure::Expired });
            }
            let Some(plan) = self.plan() else { return Err(self.tries.failure(Failure::NoTarget)) };
            check_time(now, self.call.end, &self.tries, plan.predicted())?;
            let (export, place) = self.prefill(plan).await?;
            let (shared, call) = (self.shared.clone(), self.call.clone());
            let mut open = Open::new(&shared, place, &call);
            open.log_placed(&call, export.is_some());
            let work = match &export {
                Some(export) => Work::Decode { addr: export.place().addr, handle: export.handle() },
                None => Work::Whole,
            };
            let taken = send(&shared, &call, &mut open, work, self.last).await;
            if !matches!(taken, Taken::NotRun(NotRun::Unreachable))
                && let Some(export) = export
            {
                export.taken();
            }
            match taken {
                Taken::Answered(response) => {
                    if !response.status().is_server_error() {
                        return Ok(Source::new(open, response, self.last));
                    }
                    self.tries.tried.push(open.place.id.clone());
                    self.count();
                    if !self.tries.ran(&shared, &call) {
                        // The target's own failure goes on to the caller.
                        return Ok(Source::new(open, response, self.last));
                    }
                }
                Taken::NotRun(why) => {
                    self.tries.tried.push(open.place.id.clone());
                    if !self.tries.not_run(&shared, &call, why) {
                        return Err(self.tries.failure(Failure::Full));
                    }
                }
                Taken::Unknown => {
                    self.tries.tried.push(open.place.id.clone());
                    if !self.tries.ran(&shared, &call) {
                        return Err(Failure::Broken);
                    }
                }
                Taken::TimedOut => return Err(Failure::TimedOut),
            }
        }
    }

    fn plan(&self) -> Option<Plan> {
        let need = Need {
            service: &self.call.service,
            prompt: &self.call.ask.prompt,
            except: &self.tries.tried,
        };
        self.shared.state().fleet.place(self.shared.now(), &need)
    }

    /// Has the prompt computed where the plan says so, and places the rest anew.
    async fn prefill(&mut self, plan: Plan) -> Result<(Option<Export>, Place), Failure> {
        let Some(place) = plan.prefill.filter(|_| self.prefills < PREFILLS) else {
            return Ok((None, plan.place));
        };
        self.prefills += 1;
        log::info!(
            target: "gateway", id = self.call.ask.id, target = place.id, zone = place.zone,
            wait = place.wait as u64, read = place.read as u64, compute = place.compute;
            "prompt placed"
        );
        let export = prefill(&self.shared, &self.call, place).await;
        let need = Need {
            service: &self.call.service,
            prompt: &self.call.ask.prompt,
            except: &self.tries.tried,
        };
        let now = self.shared.now();
        let state = self.shared.state();
        let place = match &export {
            Some(_) => state.fleet.place_decode(now, &need),
            None => state.fleet.place(now, &need).map(|plan| plan.place),
        };
        let place = place.ok_or_else(|| self.tries.failure(Failure::NoTarget))?;
        Ok((export, place))
    }

    /// Counts the request as begun, once.
    fn count(&mut self) {
        if !self.counted {
            self.counted = true;
            self.shared.count(self.call.org.as_deref(), self.shared.now());
        }
    }

    /// Passes events on until the stream ends, is cut, or the caller leaves.
    async fn run(mut self, mut source: Source, first: Next, events: Events) {
        let mut next = first;
        let id = self.call.ask.id.clone();
        let mut passed = self.shared.now();
        loop {
            match next {
                Next::Events(bytes) => {
                    source.open.computed();
                    self.count();
                    self.last = source.events.last();
                    let now = self.shared.now();
                    self.shared.metrics.time_pause(now.since(passed));
                    passed = now;
                    if events.send(Ok(Frame::data(bytes))).await.is_err() {
                        log::info!(target: "gateway", id; "caller left");
                        return;
                    }
                }
                Next::End => {
                    log::info!(target: "gateway", id; "stream ended");
                    return;
                }
                Next::TimedOut => return cut(&events, &id, "timed out").await,
                Next::Broken => {
                    source.open.outcome = Outcome::Failed;
                    self.tries.tried.push(source.open.place.id.clone());
                    if !self.tries.ran(&self.shared, &self.call) {
                        return cut(&events, &id, "broken").await;
                    }
                    drop(source);
                    log::info!(target: "gateway", id, last = self.last; "stream goes on elsewhere");
                    source = tokio::select! {
                        found = self.connect() => match found {
                            Ok(found) if found.status.is_success() => found,
                            _ => return cut(&events, &id, "not resumed").await,
                        },
                        () = events.closed() => return,
                    };
                }
            }
            next = tokio::select! {
                next = source.next(&self.shared, &self.call) => next,
                () = events.closed() => {
                    log::info!(target: "gateway", id; "caller left");
                    return;
                }
            };
        }
    }
}

/// Breaks the caller's answer off, so that it does not look complete.
async fn cut(events: &Events, id: &str, reason: &str) {
    log::warn!(target: "gateway", id, reason; "stream cut");
    let error = BodyError::Abandoned { reason: reason.to_owned() };
    // A caller that has left needs no sign.
    events.send(Err(error)).await.ok();
}

impl Source {
    fn new(open: Open, response: Response<Body>, last: Option<u64>) -> Source {
        let (head, body) = response.into_parts();
        Source {
            open,
            status: head.status,
            headers: head.headers,
            body,
            events: EventSplitter::after(last),
        }
    }

    /// The next whole events, or how the stream ended.
    async fn next(&mut self, shared: &Shared, call: &Call) -> Next {
        loop {
            let left = call.end.since(shared.now());
            if left == Duration::ZERO {
                return Next::TimedOut;
            }
            let Ok(frame) = timeout(left, self.body.frame()).await else { return Next::TimedOut };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let (id, target) = (&call.ask.id, &self.open.place.id);
                    log::warn!(target: "gateway", id, target, error:%; "stream broke off");
                    shared.metrics.count_break();
                    return Next::Broken;
                }
                None if self.events.rest() > 0 && self.status.is_success() => return Next::Broken,
                None => return Next::End,
            };
            if !self.status.is_success() {
                return Next::Events(bytes);
            }
            let events = self.events.push(&bytes);
            if !events.is_empty() {
                return Next::Events(events);
            }
        }
    }
}
