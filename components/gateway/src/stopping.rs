//! What a stopping host may still begin.
//!
//! A target works on some requests longer than any prediction says: it reads the prompt anew, queues, or slows down. A host that
//! began such a request cuts its answer as it ends, or answers that it may have run, while other hosts have all the time for it.
//! So what is begun follows from times alone: either the request itself ends before the host does, or it came so soon after the
//! stop that callers could not have known of it.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::config::RouteKind;

/// Share of the grace period after which requests in flight are answered unfinished. The time
/// from then until the host stops is for writing the answers.
pub const ANSWER_SHARE: f64 = 0.94;

/// Longest time after the stop in which each request is begun, so that callers learn of it.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);

/// The same as a share of the grace period, for short ones.
const NOTICE_SHARE: f64 = 0.35;

/// The times of a host's stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When the host was told to stop.
    pub since: Time,
    /// When requests are answered unfinished.
    pub answer_by: Time,
    /// Until when each request is begun.
    notice_end: Time,
}

impl Stop {
    /// A stop at `since` with this grace period.
    pub fn new(since: Time, grace: Duration) -> Stop {
        Stop {
            since,
            answer_by: since + grace.mul_f64(ANSWER_SHARE),
            notice_end: since + NOTICE_TIME.min(grace.mul_f64(NOTICE_SHARE)),
        }
    }

    /// Whether the host may begin a request that it has read to its end by `now` and that its caller or
    /// the operator gives up at `wanted_until`. A plain answer that may be repeated is not lost: the caller
    /// is told in time to repeat it.
    pub fn may_begin(&self, now: Time, kind: RouteKind, wanted_until: Time) -> bool {
        wanted_until <= self.answer_by || now <= self.notice_end || kind == RouteKind::Idempotent
    }
}
