//! Stops calls that do not get through.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::budget::Permit;

/// Whether calls get through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls are made.
    Closed,
    /// No call is made before this time.
    Open(Time),
    /// One trial call is out; others wait until this time for its result.
    Trial(Time),
}

/// Opens after failures in a row, and closes after one call that is answered.
#[derive(Debug, Clone)]
pub struct Breaker {
    limit: u32,
    span: Duration,
    failures: u32,
    state: BreakerState,
}

impl Breaker {
    /// Opens for `span` after `limit` failures in a row.
    pub fn new(limit: u32, span: Duration) -> Breaker {
        Breaker { limit, span, failures: 0, state: BreakerState::Closed }
    }

    /// The present state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Asks whether a call may be made.
    pub fn ask(&mut self, now: Time) -> Permit {
        match self.state {
            BreakerState::Closed => Permit::Now,
            BreakerState::Open(until) | BreakerState::Trial(until) if now < until => {
                Permit::At(until)
            }
            BreakerState::Open(_) | BreakerState::Trial(_) => {
                self.state = BreakerState::Trial(now + self.span);
                Permit::Now
            }
        }
    }

    /// Notes an answered call.
    pub fn note_answer(&mut self) {
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// Notes a call without an answer.
    pub fn note_failure(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= self.limit {
            self.state = BreakerState::Open(now + self.span);
        }
    }
}
