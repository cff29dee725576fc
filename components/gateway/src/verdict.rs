//! What a target's answer says about the request that it was read for.
//!
//! Connections to targets are kept. An answer that a target sends late, or twice, is read where
//! the answer to the next request is due. Only an answer with the request's own id says anything
//! about that request, so the id is compared before anything else.

use std::ops::RangeInclusive;

use hyper::StatusCode;

use crate::protocol::ResponseHead;

/// Statuses that callers take for the statement that a request did not run.
const REFUSAL_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses of HTTP; any other is no answer.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// What a target's answer says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers another request, so this one may have run.
    Foreign,
    /// Its status is an interim one where the final answer is due, or none of HTTP, so the request may
    /// have run.
    NotFinal,
    /// The target had no capacity and did not run the request.
    Refused,
    /// Another process answered at the target's address and did not run the request.
    Replaced,
    /// Its status reads as a refusal, but the target does not state that the request did not
    /// run.
    Unmarked,
    /// The target ran the request, successfully or not.
    Answered,
}

impl Verdict {
    /// Judges the answer with `status` and `head` that was read for request `id`, or for one without
    /// an id.
    pub fn new(id: Option<&str>, status: StatusCode, head: &ResponseHead) -> Verdict {
        if head.id.as_deref() != id {
            return Verdict::Foreign;
        }
        // Interim answers are skipped as they arrive, but for 101, which no request asks for.
        if status.is_informational() || !STATUSES.contains(&status.as_u16()) {
            return Verdict::NotFinal;
        }
        if head.not_run {
            return match status {
                StatusCode::MISDIRECTED_REQUEST => Verdict::Replaced,
                _ => Verdict::Refused,
            };
        }
        if REFUSAL_STATUSES.contains(&status) {
            return Verdict::Unmarked;
        }
        Verdict::Answered
    }

    /// Whether the answer is known to be from the target that the request was sent to.
    pub fn is_of_target(self) -> bool {
        !matches!(self, Verdict::Foreign | Verdict::Replaced)
    }

    /// The name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Verdict::Foreign => "foreign",
            Verdict::NotFinal => "not-final",
            Verdict::Refused => "refused",
            Verdict::Replaced => "replaced",
            Verdict::Unmarked => "unmarked",
            Verdict::Answered => "answered",
        }
    }
}
