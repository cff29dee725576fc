//! The serving schemes that an experiment compares: the policy and its baselines.
//!
//! Each baseline replaces one decision of the policy: the roles, the routing, the queue
//! order, the quarantine or the target orders. All other decisions run the policy's code.

mod dispatch;
mod pick;
mod roles;
mod spending;

use chervilgate_policy::{
    AdmissionQueue, QueueSettings, Role, RolePlanner, RoleSettings, RouteSettings, Router,
    ScalingSettings, TargetPlanner,
};

use crate::scenario::SpendingConfig;

pub use crate::scheme::{
    dispatch::{Dispatch, FifoDispatch, PolicyDispatch},
    pick::{LeastLoaded, PolicyPicker, RoundRobin, TargetPicker},
    roles::{FixedRoles, GreedyRoles, PlanRoles, initial_roles},
    spending::{CheapestFirst, FixedFleet, PlanTargets},
};

/// Identifies a serving scheme.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheme {
    /// The policy makes every decision.
    Policy,
    /// A fixed number of prefill engines; all others decode.
    StaticSplit,
    /// Roles follow the current request mix immediately.
    GreedyRoles,
    /// All engines stay in the mixed role.
    NoSplit,
    /// Mixed engines; each request goes to the one with the least load.
    LeastLoaded,
    /// Mixed engines; requests go to them in turn.
    RoundRobin,
    /// The queue is in order of arrival, without shares of the organisations.
    FirstCome,
    /// Requests that crash targets are not quarantined.
    NoQuarantine,
    /// Targets are neither ordered nor returned.
    FixedFleet,
    /// As many targets as the current load needs, cheap ones first.
    CheapestFirst,
    /// The policy without cheap targets.
    SteadyOnly,
}

impl Scheme {
    /// The schemes that differ in roles, routing or queue order; the policy comes first.
    pub const ALL: [Scheme; 7] = [
        Scheme::Policy,
        Scheme::StaticSplit,
        Scheme::GreedyRoles,
        Scheme::NoSplit,
        Scheme::LeastLoaded,
        Scheme::RoundRobin,
        Scheme::FirstCome,
    ];

    /// The schemes that differ in target orders; the policy comes first.
    pub const SPENDING: [Scheme; 4] =
        [Scheme::Policy, Scheme::FixedFleet, Scheme::CheapestFirst, Scheme::SteadyOnly];

    /// Name of the scheme in reports.
    pub fn name(self) -> &'static str {
        match self {
            Scheme::Policy => "policy",
            Scheme::StaticSplit => "static split",
            Scheme::GreedyRoles => "greedy roles",
            Scheme::NoSplit => "no split",
            Scheme::LeastLoaded => "least loaded",
            Scheme::RoundRobin => "round robin",
            Scheme::FirstCome => "first come",
            Scheme::NoQuarantine => "no quarantine",
            Scheme::FixedFleet => "fixed fleet",
            Scheme::CheapestFirst => "cheapest first",
            Scheme::SteadyOnly => "steady only",
        }
    }

    /// Initial roles of `count` engines for work with a prefill share of `share`.
    pub fn starting_roles(self, count: usize, share: f64) -> Vec<Role> {
        match self {
            Scheme::StaticSplit | Scheme::GreedyRoles => initial_roles(count, share),
            _ => vec![Role::Mixed; count],
        }
    }

    /// Creates the queue and the router of the entry with this index.
    pub fn dispatch(self, index: usize, route: RouteSettings) -> Box<dyn Dispatch> {
        match self {
            Scheme::LeastLoaded => Box::new(FifoDispatch::new(Box::new(LeastLoaded::default()))),
            Scheme::RoundRobin => Box::new(FifoDispatch::new(Box::new(RoundRobin::new(index)))),
            Scheme::FirstCome => {
                Box::new(FifoDispatch::new(Box::new(PolicyPicker::new(Router::new(route)))))
            }
            _ => {
                let queue = AdmissionQueue::new(QueueSettings::default());
                Box::new(PolicyDispatch::new(queue, Router::new(route)))
            }
        }
    }

    /// Creates the planner of role changes.
    pub fn role_planner(self) -> Box<dyn PlanRoles> {
        match self {
            Scheme::GreedyRoles => Box::new(GreedyRoles),
            Scheme::StaticSplit | Scheme::NoSplit | Scheme::LeastLoaded | Scheme::RoundRobin => {
                Box::new(FixedRoles)
            }
            _ => Box::new(RolePlanner::new(RoleSettings::default())),
        }
    }

    /// Creates the planner of target orders.
    pub fn target_planner(self, spending: SpendingConfig) -> Box<dyn PlanTargets> {
        let settings = ScalingSettings {
            cold_start: spending.cold_start,
            min_targets: spending.floor,
            max_targets: spending.ceiling,
            use_cheap: self != Scheme::SteadyOnly,
            ..ScalingSettings::default()
        };
        match self {
            Scheme::FixedFleet => Box::new(FixedFleet),
            Scheme::CheapestFirst => Box::new(CheapestFirst::new(settings)),
            _ => Box::new(TargetPlanner::new(settings)),
        }
    }

    /// Whether the entries detect and quarantine requests that crash targets.
    pub fn quarantines(self) -> bool {
        !matches!(self, Scheme::NoQuarantine | Scheme::LeastLoaded | Scheme::RoundRobin)
    }
}
