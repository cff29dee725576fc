//! A circuit breaker for calls that get no answer.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::budget::Permit;

/// The state of a [`CircuitBreaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls are permitted.
    Closed,
    /// No call is permitted before this time.
    Open(Time),
    /// One trial call is in flight; other calls wait for its result, at most until this time.
    HalfOpen(Time),
}

/// Opens after consecutive failures and closes after one answered call.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    max_failures: u32,
    open_time: Duration,
    failures: u32,
    state: BreakerState,
}

impl CircuitBreaker {
    /// Creates a breaker that opens for `open_time` after `max_failures` consecutive failures.
    pub fn new(max_failures: u32, open_time: Duration) -> CircuitBreaker {
        CircuitBreaker { max_failures, open_time, failures: 0, state: BreakerState::Closed }
    }

    /// The current state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Requests permission for one call; after `open_time`, permits one trial call.
    pub fn acquire(&mut self, now: Time) -> Permit {
        match self.state {
            BreakerState::Closed => Permit::Now,
            BreakerState::Open(until) | BreakerState::HalfOpen(until) if now < until => {
                Permit::NotBefore(until)
            }
            BreakerState::Open(_) | BreakerState::HalfOpen(_) => {
                self.state = BreakerState::HalfOpen(now + self.open_time);
                Permit::Now
            }
        }
    }

    /// Records an answered call.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// Records a call that got no answer.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= self.max_failures {
            self.state = BreakerState::Open(now + self.open_time);
        }
    }
}
