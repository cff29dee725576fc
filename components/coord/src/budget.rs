//! Limits how often a node calls the platform.
//!
//! The platform limits the calls of all nodes together. Each node takes its
//! share from token buckets and backs off after failures. A circuit breaker
//! stops all calls after consecutive failures; a trial call then decides
//! whether it closes again. Requests for the same result share one call.

mod backoff;
mod breaker;
mod single_flight;
mod token_bucket;

use std::time::Duration;

use chervilgate_clock::Time;

pub use self::{
    backoff::Backoff,
    breaker::{BreakerState, CircuitBreaker},
    single_flight::SingleFlight,
    token_bucket::TokenBucket,
};

/// Writes per second that all nodes together may make.
pub const FLEET_WRITE_RATE: f64 = 300.0;

/// Reads per second that all nodes together may make, pending watches included.
pub const FLEET_READ_RATE: f64 = 2_000.0;

/// Whether the token buckets may delay a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Renewals and releases of sessions and shards: never delayed by the token buckets, since a
    /// late one loses authority.
    Renewal,
    /// Every other call.
    Ordinary,
}

/// The answer to a request for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The call may be made now.
    Now,
    /// The call may not be made before this time.
    NotBefore(Time),
}

/// Which of the two rates a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read, a list or a watch.
    Read,
    /// A conditional write or a delete.
    Write,
}

/// One node's share of the platform's call rate.
#[derive(Debug, Clone)]
pub struct Budget {
    reads: TokenBucket,
    writes: TokenBucket,
    breaker: CircuitBreaker,
}

impl Budget {
    /// Creates the budget of one node in a fleet of `nodes`.
    ///
    /// A quarter of the fleet's rate is reserved for renewals and for nodes that
    /// disagree about the fleet's size.
    pub fn new(now: Time, nodes: usize) -> Budget {
        let share = 0.75 / nodes.max(1) as f64;
        Budget {
            reads: TokenBucket::new(now, FLEET_READ_RATE * share, READ_BURST),
            writes: TokenBucket::new(now, FLEET_WRITE_RATE * share, WRITE_BURST),
            breaker: CircuitBreaker::new(MAX_FAILURES, BREAKER_OPEN_TIME),
        }
    }

    /// Adjusts the rates to a new fleet size.
    pub fn resize(&mut self, now: Time, nodes: usize) {
        let share = 0.75 / nodes.max(1) as f64;
        self.reads.set_rate(now, FLEET_READ_RATE * share);
        self.writes.set_rate(now, FLEET_WRITE_RATE * share);
    }

    /// Requests permission for one call; [`Permit::Now`] consumes a token.
    pub fn acquire(&mut self, now: Time, kind: CallKind, urgency: Urgency) -> Permit {
        if let Permit::NotBefore(at) = self.breaker.acquire(now) {
            return Permit::NotBefore(at);
        }
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        match urgency {
            Urgency::Renewal => {
                bucket.force_acquire(now);
                Permit::Now
            }
            Urgency::Ordinary => bucket.acquire(now),
        }
    }

    /// Records that the platform answered a call, whatever the answer.
    pub fn record_success(&mut self) {
        self.breaker.record_success();
    }

    /// Records that a call got no answer or that the platform was unreachable.
    pub fn record_failure(&mut self, now: Time) {
        self.breaker.record_failure(now);
    }

    /// The state of the circuit breaker.
    pub fn state(&self) -> BreakerState {
        self.breaker.state()
    }
}

/// Reads that a node may make in one burst.
const READ_BURST: f64 = 40.0;
/// Writes that a node may make in one burst.
const WRITE_BURST: f64 = 10.0;
/// Consecutive failures that open the circuit breaker.
const MAX_FAILURES: u32 = 4;
/// How long the circuit breaker stays open.
const BREAKER_OPEN_TIME: Duration = Duration::from_secs(1);
