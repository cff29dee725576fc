//! Target orders of one service: how many of which kind in which zone.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{Kind, TargetId, Zone};

/// The targets of one service, as the platform lists them.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Every target of the service, with its idle time so far.
    pub targets: &'a [(crate::Target, Duration)],
    /// Zones in which targets can be ordered.
    pub zones: &'a [Zone],
}

/// What to ask the platform for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Order `count` targets.
    Order {
        /// How many.
        count: u32,
    },
    /// Drain and return one target.
    Return {
        /// Which.
        target: TargetId,
    },
}

/// One order to the platform's interface of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: Zone,
    /// The kind of target.
    pub kind: Kind,
    /// What to ask for.
    pub change: Change,
}

/// Limits and prices of target orders.
#[derive(Debug, Clone, PartialEq)]
pub struct SpendSettings {
    /// Time from an order to a target that serves.
    pub cold_start: Duration,
    /// Time a target is idle before it is returned.
    pub idle: Duration,
    /// Load of a target at which the fleet is large enough, from 0 to 1.
    pub fill: f64,
    /// Targets kept at least.
    pub floor: u32,
    /// Targets ordered at most.
    pub ceiling: u32,
    /// Targets ordered in one replacement after a reclaim, at most.
    pub replace: u32,
    /// Time for which a zone that gave no target of a kind is not asked again.
    pub refused: Duration,
}

impl Default for SpendSettings {
    fn default() -> SpendSettings {
        SpendSettings {
            cold_start: Duration::from_secs(120),
            idle: Duration::from_secs(120),
            fill: 0.8,
            floor: 3,
            ceiling: 64,
            replace: 4,
            refused: Duration::from_secs(60),
        }
    }
}

/// Plans the target orders of one service.
#[derive(Debug)]
pub struct TargetPlanner {
    settings: SpendSettings,
}

impl TargetPlanner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: SpendSettings) -> TargetPlanner {
        TargetPlanner { settings }
    }

    /// The limits and prices in use.
    pub fn settings(&self) -> &SpendSettings {
        &self.settings
    }

    /// The orders to place now; call it every second or so.
    ///
    /// `load` is the work offered, in targets kept fully busy; `firm` is the part
    /// of it that may not be repeated.
    pub fn plan_targets(
        &mut self,
        _now: Time,
        _load: f64,
        _firm: f64,
        _fleet: Fleet<'_>,
    ) -> SmallVec<[Order; 4]> {
        SmallVec::new()
    }

    /// Notes that the platform had no target of `kind` in `zone`.
    pub fn unavailable(&mut self, _now: Time, _zone: Zone, _kind: Kind) {}
}
