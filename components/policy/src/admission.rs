//! The queue of one service's requests on one host.
//!
//! Requests wait here, not at targets: each organisation has its own queue,
//! served by deficit round robin in token cost. A request whose deadline can no
//! longer be met is refused at the moment that is known.

use std::time::Duration;

use chervilgate_clock::Time;
use rand::Rng;
use smallvec::SmallVec;

use crate::{OrgId, Reason, Refusal, Request, Route, Router, Ticket};

/// An organisation's share of a busy service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Share of the service when it is busy, against the other weights.
    pub weight: f64,
    /// Cost, in tokens, that it may run ahead of its share after a quiet time.
    pub burst: u64,
}

impl Default for Share {
    fn default() -> Share {
        Share { weight: 1.0, burst: 20_000 }
    }
}

/// Limits of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Requests waiting at once, over all organisations.
    pub waiting: usize,
    /// Cost that one organisation of weight 1 is served in one round.
    pub quantum: u64,
    /// Time kept in hand before a deadline.
    pub margin: Duration,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings { waiting: 4_096, quantum: 2_048, margin: Duration::from_millis(20) }
    }
}

/// What to do with a request that was offered.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send it; the router counts it as started already.
    Start(Ticket, Route),
    /// Answer it "not run", at once.
    Refuse(Ticket, Refusal),
}

/// The waiting requests of one service on one host.
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
}

impl Queue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Queue {
        Queue { settings }
    }

    /// The limits in use.
    pub fn settings(&self) -> &QueueSettings {
        &self.settings
    }

    /// Sets an organisation's share.
    pub fn set_share(&mut self, _org: OrgId, _share: Share) {}

    /// Takes in a request; call [`Queue::poll`] next.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when it is known already that it will not run.
    pub fn offer(&mut self, _now: Time, _ticket: Ticket, _request: Request) -> Result<(), Refusal> {
        Err(Refusal::new(Reason::NoTarget, Duration::from_secs(1)))
    }

    /// Starts what can start and refuses what can no longer be in time.
    ///
    /// Call it after each offer, finish, first token and load report, and at
    /// [`Queue::next_check`].
    pub fn poll(
        &mut self,
        _now: Time,
        _router: &mut Router,
        _rng: &mut dyn Rng,
    ) -> SmallVec<[Action; 4]> {
        SmallVec::new()
    }

    /// When the next waiting request may have to be refused.
    pub fn next_check(&self) -> Option<Time> {
        None
    }

    /// Drops a waiting request whose caller left; false if it no longer waits.
    pub fn cancel(&mut self, _ticket: Ticket) -> bool {
        false
    }
}
