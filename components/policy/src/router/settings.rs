//! Limits and weights of routing.

use std::time::Duration;

use crate::Zone;

/// Limits and weights of routing.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSettings {
    /// This host's zone.
    pub zone: Zone,
    /// Extra one-way time to a target in another zone.
    pub far: Duration,
    /// Longest time between tokens that is still good.
    pub gap: Duration,
    /// Targets sampled for each part of a decision.
    pub choices: usize,
    /// Prompt work that may wait at a target.
    pub backlog: Duration,
    /// Age after which a load report no longer counts.
    pub stale: Duration,
    /// Time over which a new target's share of work grows to full.
    pub slow_start: Duration,
    /// Cached blocks remembered, over all targets.
    pub index_blocks: usize,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            zone: Zone(0),
            far: Duration::from_micros(1_500),
            gap: Duration::from_millis(60),
            choices: 4,
            backlog: Duration::from_millis(400),
            stale: Duration::from_secs(5),
            slow_start: Duration::from_secs(10),
            index_blocks: 65_536,
        }
    }
}
