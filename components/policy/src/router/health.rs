//! Ejection of targets that fail, without ever ejecting the fleet.

use std::time::Duration;

use chervilgate_clock::Time;

/// Failures in a row after which a target is ejected.
const FAILURES: u32 = 5;

/// Time of a first ejection.
const FIRST: Duration = Duration::from_secs(5);

/// Doublings of the ejection time at most.
const DOUBLINGS: u32 = 5;

/// Share of the targets that may be ejected at once, as a divisor.
const EJECTED_DIVISOR: usize = 3;

/// One target's record of failures.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    row: u32,
    times: u32,
    until: Option<Time>,
}

impl Health {
    /// Notes an answer: the target works.
    pub(super) fn succeed(&mut self) {
        self.row = 0;
        self.times = self.times.saturating_sub(1);
    }

    /// Notes a failure; true if the target should be ejected.
    pub(super) fn fail(&mut self) -> bool {
        self.row += 1;
        self.row >= FAILURES
    }

    /// Takes the target out of use for a while, longer each time.
    pub(super) fn eject(&mut self, now: Time) {
        self.until = Some(now + FIRST * (1 << self.times.min(DOUBLINGS)));
        self.times += 1;
        self.row = 0;
    }

    /// Whether the target is out of use.
    pub(super) fn ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Whether one more of `total` targets may be ejected when `ejected` are.
pub(super) fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * EJECTED_DIVISOR <= total
}
