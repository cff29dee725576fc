//! Targets as their entries in the store describe them.

use std::{net::SocketAddr, sync::Arc};

use crate::fleet::{Build, departures::Departure};

/// Which stages of a request a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetRole {
    /// Computes prompts and exports their KV caches.
    Prefill,
    /// Generates output, and computes prompts in small chunks.
    Decode,
    /// Runs whole requests, such as the targets of plain services.
    Whole,
}

/// A target's entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Target id; may be kept across restarts.
    pub id: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address for requests.
    pub addr: SocketAddr,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
    /// Which stages of a request it runs.
    pub role: TargetRole,
    /// Its software version.
    pub build: Build,
    /// Distinguishes restarts under the same id.
    pub incarnation: u64,
    /// Number of the write by this start of the target; 0 if the target does not number them.
    pub sequence: u64,
    /// Whether it is a reclaimable target, which the platform may take away at short
    /// notice.
    pub reclaimable: bool,
}

impl TargetEntry {
    /// Whether the target wrote this before its write number `sequence`; both are of one start.
    pub(super) fn is_older_than(&self, sequence: u64) -> bool {
        self.sequence > 0 && self.sequence < sequence
    }

    /// Whether this is of a later start of the target than `known`. A start without a number is
    /// neither earlier nor later.
    pub(super) fn is_later_start_than(&self, known: &TargetEntry) -> bool {
        known.incarnation > 0 && self.incarnation > known.incarnation
    }

    /// The departure of a target whose last entry is this.
    pub(super) fn removal(&self) -> Departure {
        Departure::Removed { sequence: self.sequence }
    }
}

/// Number of targets by state; a failing target also counts as serving or draining.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Not draining.
    pub serving: u32,
    /// Draining.
    pub draining: u32,
    /// Recent failure rate high enough to be reported to other hosts.
    pub failing: u32,
    /// With a limit of the requests that they take.
    pub limited: u32,
    /// At rest from this host, as they asked for.
    pub resting: u32,
}
