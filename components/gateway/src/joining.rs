//! What may be passed on as the answer to a stream request, and what may be joined to a stream that
//! has begun.
//!
//! A caller sees one response, with the head of the first target that brought an event. Another
//! answer is joined to it only if it states that it is the rest of that stream: a plain success with a
//! receipt, of events, of which the first is the next one.
//!
//! An answer without an event proves nothing: a target that has nothing left to say looks the same as
//! one that has lost the rest. The response must not look complete, so it is cut. A caller that holds
//! all events takes the stream up and gets the target's own word for its end.

use hyper::StatusCode;

use crate::protocol::{Content, ResponseHead};

/// Why an answer is not passed on or joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Its status is not the one of a stream.
    Status,
    /// It bears no receipt of its target.
    Unsigned,
    /// Its content is encoded, or no event stream.
    Content,
    /// It ended without an event.
    Empty,
}

impl Rejection {
    /// The name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Status => "status",
            Rejection::Unsigned => "unsigned",
            Rejection::Content => "content",
            Rejection::Empty => "empty",
        }
    }
}

/// Whether events may be joined to a response whose head had `status`.
pub fn may_be_continued(status: StatusCode) -> bool {
    status.is_success()
}

/// Whether an answer with `status` and `head` may be joined to a stream that has begun.
///
/// # Errors
/// If it may not.
pub fn check_joined(status: StatusCode, head: &ResponseHead) -> Result<(), Rejection> {
    if status != StatusCode::OK {
        return Err(Rejection::Status);
    }
    if !head.signed {
        return Err(Rejection::Unsigned);
    }
    match head.content {
        Content::Unstated | Content::Events => Ok(()),
        Content::Other => Err(Rejection::Content),
    }
}

/// Whether a stream may end as complete with an answer that came to a good end.
///
/// # Errors
/// If it may not: the answer was joined and has brought no event.
pub fn check_end(is_joined: bool, has_events: bool) -> Result<(), Rejection> {
    if is_joined && !has_events {
        return Err(Rejection::Empty);
    }
    Ok(())
}
