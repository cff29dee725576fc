//! Answers that are passed on as they arrive, since the host has no memory to collect them.
//!
//! Their head is with the caller before their end is known, so no other target can be tried. They keep
//! the limits of answers that are collected: the size, and the request's deadline. An answer that goes
//! beyond one is cut, which its caller cannot take for its end, and the connection to its target closes.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use chervilgate_clients::{Body, BodyError, body::empty};
use chervilgate_policy::RunEnd;
use chervilgate_serve::Cutoff;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
};
use tokio::time::{Sleep, sleep};

use crate::{
    attempt::InFlight, caller_request::CallerRequest, fleet::AttemptOutcome, stream::CUT_WRITE_TIME,
};

/// The body of an answer that is passed on as it arrives.
struct PassedOn {
    body: Body,
    /// Bytes that may still follow.
    left: usize,
    deadline: Pin<Box<Sleep>>,
    /// None once the answer has ended.
    open: Option<OpenAnswer>,
}

/// What an answer takes until its end, and what its end tells.
struct OpenAnswer {
    /// Keeps the request in flight.
    in_flight: InFlight,
    status: StatusCode,
    id: String,
    cutoff: Option<Cutoff>,
}

/// Passes on `body`, the answer of the target of `in_flight` to `call`, until its end, `limit` bytes or the
/// deadline of `call`.
pub(crate) fn pass_on(
    call: &CallerRequest,
    in_flight: InFlight,
    body: Body,
    limit: usize,
    status: StatusCode,
) -> Body {
    let left = call.deadline.since(in_flight.now());
    let open =
        OpenAnswer { in_flight, status, id: call.ask.id.clone(), cutoff: call.cutoff.clone() };
    let deadline = Box::pin(sleep(left));
    PassedOn { body, left: limit, deadline, open: Some(open) }.boxed_unsync()
}

impl OpenAnswer {
    fn end(mut self) {
        self.in_flight.record_answer(self.status);
    }

    fn fail(mut self, end: RunEnd) {
        self.in_flight.outcome = AttemptOutcome::Failed;
        self.in_flight.end_run(end);
    }

    fn cut(self, end: RunEnd, reason: &str) {
        let (id, target) = (&self.id, &self.in_flight.placement.id);
        log::warn!(target: "gateway", id, target, reason; "answer cut that was passed on as it arrived");
        // A connection with full buffers does not ask for the rest, so it does not learn of the cut.
        if let Some(cutoff) = &self.cutoff {
            cutoff.cut(CUT_WRITE_TIME);
        }
        self.fail(end);
    }
}

impl PassedOn {
    fn cut(&mut self, end: RunEnd, reason: &str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body = empty();
        if let Some(open) = self.open.take() {
            open.cut(end, reason);
        }
        Poll::Ready(Some(Err(BodyError::Aborted { reason: reason.to_owned() })))
    }
}

impl HttpBody for PassedOn {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.open.is_none() {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return self.cut(RunEnd::TimedOut, "timed out");
        }
        let Poll::Ready(read) = Pin::new(&mut self.body).poll_frame(cx) else {
            return Poll::Pending;
        };
        match &read {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                let Some(left) = self.left.checked_sub(length) else {
                    return self.cut(RunEnd::GivenUp, "too long");
                };
                self.left = left;
            }
            Some(Err(_)) => {
                if let Some(open) = self.open.take() {
                    open.fail(RunEnd::Broken);
                }
            }
            None => {
                if let Some(open) = self.open.take() {
                    open.end();
                }
            }
        }
        Poll::Ready(read)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PassedOn {
    fn drop(&mut self) {
        // The end of a body with a length is not asked for.
        if let Some(open) = self.open.take_if(|_| self.body.is_end_stream()) {
            open.end();
        }
    }
}
