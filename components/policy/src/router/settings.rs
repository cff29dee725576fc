//! Settings of the router.

use std::time::Duration;

use crate::Zone;

/// Settings of [`Router`].
///
/// [`Router`]: crate::Router
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSettings {
    /// The zone of this host.
    pub zone: Zone,
    /// Additional one-way latency to a target in another zone.
    pub cross_zone_delay: Duration,
    /// Maximum acceptable time between tokens.
    pub token_gap: Duration,
    /// Targets sampled per role for each decision.
    pub sample_size: usize,
    /// Maximum time of queued prompt work on a target.
    pub max_backlog: Duration,
    /// Age at which a load report is ignored.
    pub report_max_age: Duration,
    /// Duration of slow start, in which the share of load of a new target grows to full.
    pub slow_start: Duration,
    /// Maximum number of blocks in the prefix index, over all targets.
    pub max_index_blocks: usize,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            zone: Zone(0),
            cross_zone_delay: Duration::from_micros(1_500),
            token_gap: Duration::from_millis(60),
            sample_size: 4,
            max_backlog: Duration::from_millis(400),
            report_max_age: Duration::from_secs(5),
            slow_start: Duration::from_secs(10),
            max_index_blocks: 65_536,
        }
    }
}
