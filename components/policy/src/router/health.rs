//! Outlier ejection: takes failing targets out of use, but never the whole fleet.

use std::time::Duration;

use chervilgate_clock::Time;

/// Consecutive failures after which a target is ejected.
const MAX_FAILURES: u32 = 5;

/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

/// At most one in this many targets may be ejected at once.
const EJECTED_DIVISOR: usize = 3;

/// Failure history of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Records an answer: the target works.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failure; true if the target should be ejected.
    pub(super) fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= MAX_FAILURES
    }

    /// Ejects the target, for longer each time.
    pub(super) fn eject(&mut self, now: Time) {
        self.ejected_until = Some(now + BASE_EJECTION * (1 << self.ejections.min(MAX_DOUBLINGS)));
        self.ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Whether the target is ejected at `now`.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// Whether another of `total` targets may be ejected when `ejected` already are.
pub(super) fn can_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * EJECTED_DIVISOR <= total
}
