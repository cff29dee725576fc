//! Labels for the outgoing calls of the coordination protocols.
//!
//! Each outgoing call carries the name of its step, so that logs, spans and
//! fault-injection tests can tell the calls of a protocol apart.

use std::fmt;

/// The protocol a step belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Sessions of processes.
    Session,
    /// Ownership of shards and its takeover.
    Shard,
    /// Proof that a former owner can no longer send, and the takeover of its orders.
    Takeover,
    /// Orders to receivers.
    Order,
    /// Orders for targets, by availability zone.
    Target,
    /// Publication of configurations.
    Publication,
    /// Withdrawal of API keys.
    Withdrawal,
    /// Distribution and confirmation of views.
    View,
    /// The stored set of voters.
    Membership,
    /// Drain of targets.
    Drain,
    /// Requests that may run at most once.
    Claim,
    /// Usage accounting in windows.
    Window,
}

/// One outgoing call of a protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Step {
    /// The protocol.
    pub protocol: Protocol,
    /// The call's name within the protocol.
    pub name: &'static str,
}

impl Step {
    /// A call of `protocol` with this name.
    pub const fn new(protocol: Protocol, name: &'static str) -> Step {
        Step { protocol, name }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}.{}", self.protocol, self.name)
    }
}
