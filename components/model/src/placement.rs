//! Placements: how many targets of a service run in each zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The target counts of a service by availability zone, and its model version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// The placement's name.
    pub name: Name,
    /// The service that the targets run.
    pub service: Name,
    /// The model version to load; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Target counts by availability zone.
    pub zones: BTreeMap<Name, ZoneCount>,
    /// Whether its targets refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// Target counts in one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ZoneCount {
    /// Targets on capacity that the platform does not reclaim.
    pub steady: u32,
    /// Targets on cheaper capacity that the platform may reclaim at any time.
    pub cheap: u32,
}

impl Placement {
    /// The sum of the counts of all zones.
    pub fn total(&self) -> ZoneCount {
        self.zones.values().fold(ZoneCount::default(), |sum, zone| ZoneCount {
            steady: sum.steady.saturating_add(zone.steady),
            cheap: sum.cheap.saturating_add(zone.cheap),
        })
    }
}
