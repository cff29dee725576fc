//! Role changes of one service's engines.
//!
//! A change is ordered when the work it lets through over a horizon is worth
//! more than the seconds it costs, and when that has been so for a while.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{Demand, Role, Target, TargetId};

/// One engine, with its load as known to the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The engine.
    pub target: Target,
    /// Sequences that run or wait on it.
    pub busy: u32,
    /// When its load was last measured.
    pub measured: Time,
}

/// An order to change one engine's role, once it has nothing left to finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub target: TargetId,
    /// Its role so far.
    pub from: Role,
    /// Its new role.
    pub to: Role,
}

/// Limits of role changes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleSettings {
    /// Time that a change takes an engine away, its drain counted.
    pub cost: Duration,
    /// Time over which a change has to pay off.
    pub horizon: Duration,
    /// Time for which a gain has to last before a change is ordered.
    pub hold: Duration,
    /// Time that an engine keeps a role at least.
    pub keep: Duration,
    /// Changes of one service under way at once.
    pub at_once: usize,
    /// Age after which measurements no longer support a decision.
    pub stale: Duration,
    /// Longest time between tokens that is still good.
    pub gap: Duration,
}

impl Default for RoleSettings {
    fn default() -> RoleSettings {
        RoleSettings {
            cost: Duration::from_secs(8),
            horizon: Duration::from_secs(90),
            hold: Duration::from_secs(10),
            keep: Duration::from_secs(60),
            at_once: 2,
            stale: Duration::from_secs(6),
            gap: Duration::from_millis(60),
        }
    }
}

/// Plans the role changes of one service.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
}

impl RolePlanner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: RoleSettings) -> RolePlanner {
        RolePlanner { settings }
    }

    /// The limits in use.
    pub fn settings(&self) -> &RoleSettings {
        &self.settings
    }

    /// The changes to order now; call it every second or so.
    ///
    /// An engine that is returned must be drained before it is changed.
    pub fn plan_roles(
        &mut self,
        _now: Time,
        _demand: Demand,
        _members: &[Member],
    ) -> SmallVec<[RoleChange; 4]> {
        SmallVec::new()
    }
}
