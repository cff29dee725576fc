//! Ways of serving that an experiment compares.
//!
//! Each baseline replaces one decision of the policy: the roles, the routing or
//! the order of the queue. All else is the policy's own code.

mod dispatch;
mod pick;
mod roles;
mod spending;

use chervilgate_policy::{
    Queue, QueueSettings, Role, RolePlanner, RoleSettings, RouteSettings, Router, SpendSettings,
    TargetPlanner,
};

use crate::scenario::Spend;

pub use crate::scheme::{
    dispatch::{Dispatch, FifoDispatch, PolicyDispatch},
    pick::{LeastLoaded, Pick, PolicyPick, RoundRobin},
    roles::{FixedRoles, GreedyRoles, PlanRoles, initial_roles},
    spending::{CheapestFirst, FixedFleet, PlanTargets},
};

/// The name of a way of serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheme {
    /// Every decision by the policy.
    Policy,
    /// Prefill and decode engines in a fixed split.
    StaticSplit,
    /// Roles follow the present mix at once.
    GreedyRoles,
    /// Mixed engines only.
    NoSplit,
    /// Mixed engines, the one with the least reported load.
    LeastLoaded,
    /// Mixed engines in turn.
    RoundRobin,
    /// Requests in order of arrival, whatever their organisation.
    FirstCome,
    /// Requests that crash targets are not found.
    NoQuarantine,
    /// No target is ordered or returned.
    FixedFleet,
    /// The cheapest targets, as many as the present load asks for.
    CheapestFirst,
    /// Steady targets only, otherwise the policy.
    SteadyOnly,
}

impl Scheme {
    /// Every scheme, the policy first.
    pub const ALL: [Scheme; 7] = [
        Scheme::Policy,
        Scheme::StaticSplit,
        Scheme::GreedyRoles,
        Scheme::NoSplit,
        Scheme::LeastLoaded,
        Scheme::RoundRobin,
        Scheme::FirstCome,
    ];

    /// The schemes that differ in target orders, the policy first.
    pub const SPENDING: [Scheme; 4] =
        [Scheme::Policy, Scheme::FixedFleet, Scheme::CheapestFirst, Scheme::SteadyOnly];

    /// The name in tables.
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

    /// The roles of `count` engines at the start, for work with `share` of prefill.
    pub fn initial(self, count: usize, share: f64) -> Vec<Role> {
        match self {
            Scheme::StaticSplit | Scheme::GreedyRoles => initial_roles(count, share),
            _ => vec![Role::Mixed; count],
        }
    }

    /// The decisions of the entry numbered `index`.
    pub fn dispatch(self, index: usize, route: RouteSettings) -> Box<dyn Dispatch> {
        match self {
            Scheme::LeastLoaded => Box::new(FifoDispatch::new(Box::new(LeastLoaded::default()))),
            Scheme::RoundRobin => Box::new(FifoDispatch::new(Box::new(RoundRobin::new(index)))),
            Scheme::FirstCome => {
                Box::new(FifoDispatch::new(Box::new(PolicyPick::new(Router::new(route)))))
            }
            _ => {
                let queue = Queue::new(QueueSettings::default());
                Box::new(PolicyDispatch::new(queue, Router::new(route)))
            }
        }
    }

    /// The decisions on roles.
    pub fn roles(self) -> Box<dyn PlanRoles> {
        match self {
            Scheme::GreedyRoles => Box::new(GreedyRoles),
            Scheme::StaticSplit | Scheme::NoSplit | Scheme::LeastLoaded | Scheme::RoundRobin => {
                Box::new(FixedRoles)
            }
            _ => Box::new(RolePlanner::new(RoleSettings::default())),
        }
    }

    /// The decisions on target orders.
    pub fn spending(self, spend: Spend) -> Box<dyn PlanTargets> {
        let settings = SpendSettings {
            cold_start: spend.cold_start,
            floor: spend.floor,
            ceiling: spend.ceiling,
            cheap: self != Scheme::SteadyOnly,
            ..SpendSettings::default()
        };
        match self {
            Scheme::FixedFleet => Box::new(FixedFleet),
            Scheme::CheapestFirst => Box::new(CheapestFirst::new(settings)),
            _ => Box::new(TargetPlanner::new(settings)),
        }
    }

    /// Whether requests that crash targets are looked for.
    pub fn finds_poison(self) -> bool {
        !matches!(self, Scheme::NoQuarantine | Scheme::LeastLoaded | Scheme::RoundRobin)
    }
}
