//! Ways of serving that an experiment compares.
//!
//! Each baseline replaces one decision of the policy: the roles, the routing or
//! the order of the queue. All else is the policy's own code.

mod dispatch;
mod pick;
mod roles;

use chervilgate_policy::{
    Queue, QueueSettings, Role, RolePlanner, RoleSettings, RouteSettings, Router,
};

pub use crate::scheme::{
    dispatch::{Dispatch, FifoDispatch, PolicyDispatch},
    pick::{LeastLoaded, Pick, PolicyPick, RoundRobin},
    roles::{FixedRoles, GreedyRoles, PlanRoles, initial_roles},
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
            Scheme::Policy | Scheme::FirstCome => {
                Box::new(RolePlanner::new(RoleSettings::default()))
            }
            Scheme::GreedyRoles => Box::new(GreedyRoles),
            _ => Box::new(FixedRoles),
        }
    }
}
