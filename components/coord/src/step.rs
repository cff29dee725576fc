//! Labels of the protocols' steps.
//!
//! Each action that leaves a machine names its step, so that logs, spans and
//! the fault matrix can tell one call of a protocol from another.

use std::fmt;

/// The protocol a step belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Sessions of processes.
    Session,
    /// Ownership of shards and its takeover.
    Shard,
    /// Proof that a former owner is out, and what follows from it.
    Takeover,
    /// Orders to engines.
    Order,
    /// Orders for targets, by availability zone.
    Target,
    /// Publication of configurations.
    Publication,
    /// Withdrawal of keys.
    Withdrawal,
    /// Spread and confirmation of views.
    View,
    /// The recorded voters.
    Membership,
    /// Drain of targets.
    Drain,
    /// Requests that may run once at most.
    Claim,
    /// Usage windows.
    Window,
}

/// One outward call of a protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Step {
    /// The protocol.
    pub protocol: Protocol,
    /// The call's name within the protocol.
    pub name: &'static str,
}

impl Step {
    /// Names a step of `protocol`.
    pub const fn new(protocol: Protocol, name: &'static str) -> Step {
        Step { protocol, name }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}.{}", self.protocol, self.name)
    }
}
