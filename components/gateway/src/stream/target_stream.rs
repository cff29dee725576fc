//! The answer of one target to a stream request.

use std::time::Duration;

use bytes::Bytes;
use chervilgate_clients::Body;
use chervilgate_clock::Time;
use chervilgate_policy::{BEGIN_TIME, RunEnd};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_TYPE};
use tokio::time::timeout;

use crate::{
    attempt::InFlight,
    caller_request::CallerRequest,
    crash::is_cut,
    events::EventSplitter,
    joining::{AnswerEnd, Position, Rejection, check_end, is_framed},
    memory::Reservation,
    state::Shared,
};

/// Size limit of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size up to which an incomplete event does not count toward the budget for streams, in bytes.
const SMALL_EVENT_BYTES: usize = 8 << 10;

/// A response stream of one target.
pub(super) struct TargetStream {
    pub(super) in_flight: InFlight,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Body,
    pub(super) splitter: EventSplitter,
    /// What an incomplete event takes of the budget for streams.
    event_memory: Reservation,
    /// Whether the answer is joined to a stream that has begun.
    pub(super) is_joined: bool,
    /// Whether the end of the answer shows in its bytes.
    is_framed: bool,
    /// Whether the answer has come to a good end that shows.
    pub(super) is_whole: bool,
    /// Whether the host took no more of the answer for lack of memory.
    pub(super) is_given_up: bool,
}

/// Result of reading from a target's stream.
pub(super) enum ReadOutcome {
    Events(Bytes),
    End,
    Broken,
    TimedOut,
}

impl TargetStream {
    pub(super) fn new(
        shared: &Shared,
        in_flight: InFlight,
        response: Response<Body>,
        position: Position,
    ) -> TargetStream {
        let (head, body) = response.into_parts();
        TargetStream {
            is_framed: is_framed(&head.headers, &body),
            in_flight,
            status: head.status,
            headers: head.headers,
            body,
            splitter: EventSplitter::at(position.next_answer()),
            event_memory: Reservation::new(&shared.stream_buffers.budget()),
            is_joined: false,
            is_whole: false,
            is_given_up: false,
        }
    }

    /// Logs an answer that is not passed on, or not joined to a stream that has begun.
    pub(super) fn log_rejected(&self, shared: &Shared, id: &str, rejection: Rejection) {
        let head = shared.protocol.parse_response(self.status, &self.headers);
        let kind = self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let (status, target) = (self.status.as_u16(), &self.in_flight.placement.id);
        let (signed, last) = (head.signed, self.splitter.position().last());
        let reason = rejection.as_str();
        log::warn!(
            target: "gateway", id, target, status, kind, signed, last, reason;
            "answer does not belong to the stream"
        );
    }

    /// Whether the target began to answer so shortly ago that this may have ended it.
    pub(super) fn has_just_begun(&self, now: Time) -> bool {
        self.in_flight.begun_at.is_none_or(|at| now.since(at) < BEGIN_TIME)
    }

    /// How the run ended that broke off.
    pub(super) fn end_of_broken(&self) -> RunEnd {
        match self.in_flight.begun_at {
            _ if self.is_given_up => RunEnd::GivenUp,
            None => RunEnd::Unanswered,
            Some(_) => RunEnd::Broken,
        }
    }

    /// How the stream ended with the last byte of its target's answer.
    async fn end(&mut self, shared: &Shared, call: &CallerRequest) -> ReadOutcome {
        let is_success = self.status.is_success();
        let answer = AnswerEnd {
            is_joined: self.is_joined,
            is_framed: self.is_framed,
            has_events: self.splitter.position().has_events(),
        };
        if is_success && let Err(rejection) = check_end(answer) {
            self.log_rejected(shared, &call.ask.id, rejection);
            return ReadOutcome::Broken;
        }
        let InFlight { placement, started_at, .. } = &self.in_flight;
        let cut = is_cut(shared, call, placement, *started_at, self.is_framed);
        let left = call.deadline.since(shared.now());
        let Ok(is_cut) = timeout(left, cut).await else { return ReadOutcome::TimedOut };
        if is_cut {
            shared.metrics.count_stream_break();
            return ReadOutcome::Broken;
        }
        // A stream without an event may have been cut.
        self.is_whole = !is_success || self.in_flight.begun_at.is_some();
        ReadOutcome::End
    }

    /// Reads the next complete events, or how the stream ended.
    pub(super) async fn next(&mut self, shared: &Shared, call: &CallerRequest) -> ReadOutcome {
        loop {
            if let Some(rejection) = self.splitter.rejection() {
                self.log_rejected(shared, &call.ask.id, rejection);
                shared.metrics.count_stream_break();
                return ReadOutcome::Broken;
            }
            let left = call.deadline.since(shared.now());
            if left == Duration::ZERO {
                return ReadOutcome::TimedOut;
            }
            let Ok(frame) = timeout(left, self.body.frame()).await else {
                shared.target_pool.distrust(self.in_flight.placement.addr);
                return ReadOutcome::TimedOut;
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let (id, target) = (&call.ask.id, &self.in_flight.placement.id);
                    let (begun, parts) = (self.in_flight.begun_at.is_some(), call.shared_parts());
                    log::warn!(
                        target: "gateway", id, target, error:%, begun, parts; "stream broke off"
                    );
                    shared.metrics.count_stream_break();
                    return ReadOutcome::Broken;
                }
                None if self.splitter.buffered_len() > 0 && self.status.is_success() => {
                    return ReadOutcome::Broken;
                }
                None => return self.end(shared, call).await,
            };
            if !self.status.is_success() {
                return ReadOutcome::Events(bytes);
            }
            let events = self.splitter.push(&bytes);
            let buffered = self.splitter.buffered_len();
            let counted = if buffered > SMALL_EVENT_BYTES { buffered } else { 0 };
            let has_room = self.event_memory.try_set(counted);
            if !events.is_empty() {
                self.in_flight.begun_at.get_or_insert_with(|| shared.now());
                return ReadOutcome::Events(events);
            }
            if buffered > MAX_EVENT_BYTES || !has_room {
                let (id, target) = (&call.ask.id, &self.in_flight.placement.id);
                log::warn!(target: "gateway", id, target, buffered, has_room; "event without an end");
                if !has_room {
                    self.is_given_up = true;
                    shared.metrics.count_memory_refused("events");
                }
                shared.metrics.count_stream_break();
                return ReadOutcome::Broken;
            }
        }
    }
}
