//! Targets as their entries in the store describe them.

use std::{net::SocketAddr, sync::Arc};

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
    /// Distinguishes restarts under the same id.
    pub incarnation: u64,
    /// Whether it is a reclaimable target, which the platform may take away at short
    /// notice.
    pub reclaimable: bool,
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
}
