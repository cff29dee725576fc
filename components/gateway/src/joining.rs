//! What may be passed on as the answer to a stream request, and what may be joined to a stream that
//! has begun.
//!
//! A caller sees one response, with the head of the first target that brought an event. Another
//! answer is joined to it only if it states that it is the rest of that stream: a plain success with a
//! receipt, of events, of which the first is the next one. The numbers of events increase by any step. Which one
//! is the next shows in the events before it, or in other streams of the same software version; where
//! neither was seen, the first event of an answer that was asked for what follows on the last one is the next.
//!
//! An answer without an event proves nothing: a target that has nothing left to say looks the same as
//! one that has lost the rest. The response must not look complete, so it is cut. A caller that holds
//! all events takes the stream up and gets the target's own word for its end.

use chervilgate_clients::Body;
use hyper::{
    HeaderMap, StatusCode,
    body::Body as _,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

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
    /// An event has a number that came before.
    Repeated,
    /// An event is missing between two answers.
    Gap,
    /// The first event has no number.
    Unnumbered,
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
            Rejection::Repeated => "repeated",
            Rejection::Gap => "gap",
            Rejection::Unnumbered => "unnumbered",
            Rejection::Empty => "empty",
        }
    }
}

/// By how much the numbers of a stream's events increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Steps {
    /// Nothing shows it.
    #[default]
    Unseen,
    /// Only the first event of the stream was seen, with this number.
    First(u64),
    /// Each by this much.
    Even(u64),
    /// By different amounts.
    Uneven,
}

impl Steps {
    fn record(&mut self, step: u64) {
        *self = match *self {
            Steps::Unseen | Steps::First(_) => Steps::Even(step),
            Steps::Even(known) if known == step => return,
            _ => Steps::Uneven,
        };
    }

    /// Whether an event that follows by `step` may be the next one; `counts_by_one` if other streams like
    /// this one do.
    fn allow(self, step: u64, counts_by_one: bool) -> bool {
        match self {
            Steps::Unseen | Steps::First(_) if counts_by_one => step == 1,
            // Events may hold several tokens each and be numbered by these. The request named the last
            // event, so the target's word holds.
            Steps::Unseen => true,
            // The first event was counted from zero, so that a larger step leaves one out.
            Steps::First(number) => step <= number.max(1),
            Steps::Even(known) => step == known,
            Steps::Uneven => true,
        }
    }
}

/// Where in the numbers of its events a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Position {
    /// Number of the last event.
    last: Option<u64>,
    steps: Steps,
    /// Whether other streams like this one count by one.
    others_count_by_one: bool,
    /// Whether the present answer has brought an event.
    has_events: bool,
    /// Whether an event without a number has passed, after which another answer cannot be placed.
    is_unplaced: bool,
}

impl Position {
    /// The position of the answer to a request for what follows on the event `last`, which another response
    /// brought; none at the start of a stream.
    pub fn after(last: Option<u64>) -> Position {
        let steps = match last {
            Some(first @ ..=1) => Steps::First(first),
            _ => Steps::Unseen,
        };
        Position { last, steps, ..Position::default() }
    }

    /// The same where all other streams of the software version were seen to count by one, if
    /// `counts_by_one`.
    pub fn like_others(self, counts_by_one: bool) -> Position {
        Position { others_count_by_one: counts_by_one, ..self }
    }

    /// The position of a further answer to the same request.
    pub fn next_answer(self) -> Position {
        Position { has_events: false, ..self }
    }

    /// Number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the present answer has brought an event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether the numbers were seen to increase by one; none if fewer than two events were seen.
    pub fn counts_by_one(&self) -> Option<bool> {
        match self.steps {
            Steps::Unseen | Steps::First(_) => None,
            Steps::Even(step) => Some(step == 1),
            Steps::Uneven => Some(false),
        }
    }

    /// Whether another answer may go on here.
    pub fn may_be_continued(&self) -> bool {
        !self.is_unplaced
    }

    /// Moves on to the next event of the answer, with its number if it has one. A stream need not have
    /// numbers. Within an answer they increase, by as much as its target likes; an answer that follows on
    /// another must begin with the next one.
    ///
    /// # Errors
    /// If the event is not the next one.
    pub fn advance(&mut self, number: Option<u64>) -> Result<(), Rejection> {
        match (self.last, number) {
            (Some(_), None) if !self.has_events => return Err(Rejection::Unnumbered),
            (_, None) => self.is_unplaced = true,
            (Some(last), Some(number)) if number <= last => return Err(Rejection::Repeated),
            (Some(last), Some(number))
                if !self.has_events
                    && !self.steps.allow(number - last, self.others_count_by_one) =>
            {
                return Err(Rejection::Gap);
            }
            (last, Some(number)) => {
                match last {
                    Some(last) => self.steps.record(number - last),
                    None if self.is_unplaced => {}
                    None => self.steps = Steps::First(number),
                }
                self.last = Some(number);
            }
        }
        self.has_events = true;
        Ok(())
    }
}

/// Whether events may be joined at `position` to a response whose head had `status`.
pub fn may_be_continued(status: StatusCode, position: &Position) -> bool {
    status.is_success() && position.may_be_continued()
}

/// Whether a target's answer with `status` and `head` may be passed on. A failure may, as the target's
/// own; a success needs its receipt.
///
/// # Errors
/// If it may not.
pub fn check_answer(status: StatusCode, head: &ResponseHead) -> Result<(), Rejection> {
    if status.is_success() && !head.signed {
        return Err(Rejection::Unsigned);
    }
    Ok(())
}

/// Whether an answer may be passed on to a stream request.
///
/// # Errors
/// If it may not.
pub fn check_first(status: StatusCode, head: &ResponseHead) -> Result<(), Rejection> {
    check_answer(status, head)?;
    if status.is_success() && head.content == Content::Other {
        return Err(Rejection::Content);
    }
    Ok(())
}

/// Whether an answer may be joined to a stream that has begun.
///
/// # Errors
/// If it may not.
pub fn check_joined(status: StatusCode, head: &ResponseHead) -> Result<(), Rejection> {
    if status != StatusCode::OK {
        return Err(Rejection::Status);
    }
    check_first(status, head)
}

/// Whether the end of an answer shows in its bytes: by a length, chunks or a status without a body.
pub fn is_framed(headers: &HeaderMap, body: &Body) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || body.is_end_stream()
}

/// An answer that came to its end without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Whether it was joined to a stream that has begun.
    pub is_joined: bool,
    /// Whether its end shows in its bytes.
    pub is_framed: bool,
    /// Whether it has brought an event.
    pub has_events: bool,
}

/// Whether a stream may end as complete with an answer that ended so. Without a frame, an end
/// before the first event is that of a target that ended after the head.
///
/// # Errors
/// If it may not.
pub fn check_end(end: AnswerEnd) -> Result<(), Rejection> {
    if !end.has_events && (end.is_joined || !end.is_framed) {
        return Err(Rejection::Empty);
    }
    Ok(())
}
