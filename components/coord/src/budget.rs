//! How often a node may call the platform.
//!
//! The platform counts every call of all nodes together. A node spends its
//! share from a token bucket, waits longer after each failure, and stops
//! calling for a while when nothing gets through; one trial call then decides
//! whether it goes on. Calls that wait for the same answer share one call.

mod backoff;
mod breaker;
mod bucket;
mod flight;

use std::time::Duration;

use chervilgate_clock::Time;

pub use self::{
    backoff::Backoff,
    breaker::{Breaker, BreakerState},
    bucket::Bucket,
    flight::Flights,
};

/// Writes a second that all nodes together may make.
pub const FLEET_WRITES: f64 = 300.0;

/// Reads a second that all nodes together may make, waiting watches included.
pub const FLEET_READS: f64 = 2_000.0;

/// Writes that keep sessions and shards; never delayed by the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Renewals and releases: late ones lose authority.
    Renewal,
    /// Everything else.
    Ordinary,
}

/// Whether a call may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Now.
    Now,
    /// Not before this time.
    At(Time),
}

/// What a call costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read, a list or a watch.
    Read,
    /// A conditional update or a deletion.
    Write,
}

/// One node's share of the platform's calls.
#[derive(Debug, Clone)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
    breaker: Breaker,
}

impl Budget {
    /// The share of one node among `nodes`.
    ///
    /// A quarter of the fleet's rate is kept back for renewals and for beliefs
    /// of the fleet's size that differ.
    pub fn new(now: Time, nodes: usize) -> Budget {
        let share = 0.75 / nodes.max(1) as f64;
        Budget {
            reads: Bucket::new(now, FLEET_READS * share, READ_BURST),
            writes: Bucket::new(now, FLEET_WRITES * share, WRITE_BURST),
            breaker: Breaker::new(BREAKER_FAILURES, BREAKER_SPAN),
        }
    }

    /// Follows the fleet's size.
    pub fn resize(&mut self, now: Time, nodes: usize) {
        let share = 0.75 / nodes.max(1) as f64;
        self.reads.set_rate(now, FLEET_READS * share);
        self.writes.set_rate(now, FLEET_WRITES * share);
    }

    /// Asks for one call; a permit for now is spent.
    pub fn ask(&mut self, now: Time, kind: CallKind, urgency: Urgency) -> Permit {
        if let Permit::At(at) = self.breaker.ask(now) {
            return Permit::At(at);
        }
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        match urgency {
            Urgency::Renewal => {
                bucket.overdraw(now);
                Permit::Now
            }
            Urgency::Ordinary => bucket.ask(now),
        }
    }

    /// Notes that the platform answered, whatever it said.
    pub fn note_answer(&mut self) {
        self.breaker.note_answer();
    }

    /// Notes that no answer came, or that the platform could not be reached.
    pub fn note_failure(&mut self, now: Time) {
        self.breaker.note_failure(now);
    }

    /// Whether calls get through, as far as is known.
    pub fn state(&self) -> BreakerState {
        self.breaker.state()
    }
}

/// Reads that a node may make at once.
const READ_BURST: f64 = 40.0;
/// Writes that a node may make at once.
const WRITE_BURST: f64 = 10.0;
/// Failures in a row that open the breaker.
const BREAKER_FAILURES: u32 = 4;
/// How long the breaker stays open.
const BREAKER_SPAN: Duration = Duration::from_secs(1);
