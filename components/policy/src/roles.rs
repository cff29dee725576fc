//! Role changes of one service's engines.
//!
//! Routing takes up a shift of the mix first, as mixed and decode engines compute
//! prompts in chunks. A role is changed only when that no longer suffices: when
//! the work let through over a horizon is worth more than the seconds that the
//! change costs, and has been for a while.
//!
//! Without fresh measurements nothing is changed.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    Demand, Role, State, Target, TargetId,
    roles::{capacity::Capacity, outlook::Outlook},
};

mod capacity;
mod outlook;
#[cfg(test)]
mod tests;

/// Generating engines that serve at any time.
const SERVING_FLOOR: usize = 2;

/// Least worth that gains are compared with.
const SCALE_FLOOR: f64 = 0.05;

/// Changes that can be weighed.
const MOVES: [(Role, Role); 6] = [
    (Role::Prefill, Role::Decode),
    (Role::Decode, Role::Prefill),
    (Role::Mixed, Role::Decode),
    (Role::Mixed, Role::Prefill),
    (Role::Prefill, Role::Mixed),
    (Role::Decode, Role::Mixed),
];

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
    /// Time over which a change has to pay off, and over which past demand counts.
    pub horizon: Duration,
    /// Time for which a gain has to last before a change is ordered.
    pub hold: Duration,
    /// Time that an engine keeps a role at least.
    pub keep: Duration,
    /// Part of one engine's work that a change has to gain, net, over the horizon.
    pub gain: f64,
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
            cost: Duration::from_secs(10),
            horizon: Duration::from_secs(300),
            hold: Duration::from_secs(8),
            keep: Duration::from_secs(60),
            gain: 0.1,
            at_once: 2,
            stale: Duration::from_secs(6),
            gap: Duration::from_millis(60),
        }
    }
}

/// A move that has been worth it since a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pending {
    from: Role,
    to: Role,
    since: Time,
}

/// Plans the role changes of one service.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    outlook: Outlook,
    pending: Option<Pending>,
    ordered: BTreeMap<TargetId, (Role, Time)>,
}

impl RolePlanner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: RoleSettings) -> RolePlanner {
        RolePlanner {
            outlook: Outlook::new(settings.horizon),
            pending: None,
            ordered: BTreeMap::new(),
            settings,
        }
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
        now: Time,
        demand: Demand,
        members: &[Member],
    ) -> SmallVec<[RoleChange; 4]> {
        self.forget_gone(members);
        let mut changes = SmallVec::new();
        if !self.is_informed(now, &demand, members) {
            self.pending = None;
            return changes;
        }
        self.outlook.observe(demand);
        let mut capacity = self.capacity(members);
        let under_way = members.iter().filter(|member| is_changing(member)).count();
        for _ in under_way..self.settings.at_once {
            let Some((from, to)) = self.best_move(capacity, members, &changes) else {
                self.pending = None;
                return changes;
            };
            if !self.has_lasted(now, from, to) {
                return changes;
            }
            let Some(member) = self.pick(now, from, members, &changes) else { return changes };
            let target = member.target.id;
            changes.push(RoleChange { target, from, to });
            self.ordered.insert(target, (to, now));
            capacity = self.moved(capacity, from, to, members);
        }
        changes
    }

    /// Notes that a change was not made after all, or failed.
    pub fn give_up(&mut self, target: TargetId) {
        self.ordered.remove(&target);
    }

    fn forget_gone(&mut self, members: &[Member]) {
        self.ordered.retain(|id, _| members.iter().any(|member| member.target.id == *id));
    }

    /// Whether demand and most members were measured lately.
    fn is_informed(&self, now: Time, demand: &Demand, members: &[Member]) -> bool {
        let fresh = members.iter().filter(|member| self.is_fresh(now, member.measured)).count();
        self.is_fresh(now, demand.at) && fresh * 2 > members.len()
    }

    fn is_fresh(&self, now: Time, measured: Time) -> bool {
        now.since(measured) < self.settings.stale
    }

    /// The capacity once the changes under way are made.
    fn capacity(&self, members: &[Member]) -> Capacity {
        let counted = members.iter().filter(|member| will_serve(member));
        counted.fold(Capacity::default(), |sum, member| {
            let role = self.role_to_be(member);
            sum.plus(self.one(role, members))
        })
    }

    fn role_to_be(&self, member: &Member) -> Role {
        let ordered = self.ordered.get(&member.target.id);
        match ordered {
            Some((to, _)) if is_changing(member) => *to,
            _ => member.target.role,
        }
    }

    /// The capacity of one engine in `role`, by the specs of one that has it.
    fn one(&self, role: Role, members: &[Member]) -> Capacity {
        let like = members.iter().find(|member| member.target.role == role);
        let specs = like.or(members.first()).map(|member| member.target.specs);
        Capacity::of(role, &specs.unwrap_or_default(), self.settings.gap)
    }

    fn moved(&self, capacity: Capacity, from: Role, to: Role, members: &[Member]) -> Capacity {
        capacity.minus(self.one(from, members)).plus(self.one(to, members))
    }

    /// The move with the highest net gain, if one gains enough.
    fn best_move(
        &self,
        capacity: Capacity,
        members: &[Member],
        taken: &[RoleChange],
    ) -> Option<(Role, Role)> {
        let horizon = self.settings.horizon.as_secs_f64();
        let mut best = None;
        let engines = members.len().max(1) as f64;
        let mut best_gain = self.settings.gain * horizon / engines;
        for (from, to) in MOVES {
            if !may_leave(from, members, taken) {
                continue;
            }
            let gain = self.gain(capacity, from, to, members);
            if gain > best_gain {
                best_gain = gain;
                best = Some((from, to));
            }
        }
        best
    }

    /// Work gained by a move against the work done without, over the horizon, in seconds.
    fn gain(&self, capacity: Capacity, from: Role, to: Role, members: &[Member]) -> f64 {
        let cost = self.settings.cost.as_secs_f64();
        let rest = self.settings.horizon.as_secs_f64() - cost;
        let before = self.outlook.worth(&capacity);
        let during = self.outlook.worth(&capacity.minus(self.one(from, members)));
        let after = self.outlook.worth(&self.moved(capacity, from, to, members));
        ((after - before) * rest - (before - during) * cost) / before.clamp(SCALE_FLOOR, 1.0)
    }

    /// Whether the same move has been the best for long enough.
    fn has_lasted(&mut self, now: Time, from: Role, to: Role) -> bool {
        let same = self.pending.filter(|pending| pending.from == from && pending.to == to);
        let pending = same.unwrap_or(Pending { from, to, since: now });
        self.pending = Some(pending);
        now.since(pending.since) >= self.settings.hold
    }

    /// The least busy engine that may leave the role.
    fn pick<'a>(
        &self,
        now: Time,
        from: Role,
        members: &'a [Member],
        taken: &[RoleChange],
    ) -> Option<&'a Member> {
        let fit = members.iter().filter(|member| {
            let target = &member.target;
            target.role == from
                && target.state == State::Serving
                && self.is_fresh(now, member.measured)
                && self.has_kept(now, target.id)
                && !taken.iter().any(|change| change.target == target.id)
        });
        fit.min_by_key(|member| (member.busy, member.target.id))
    }

    fn has_kept(&self, now: Time, id: TargetId) -> bool {
        let ordered = self.ordered.get(&id);
        ordered.is_none_or(|(_, at)| now.since(*at) >= self.settings.keep)
    }
}

fn is_changing(member: &Member) -> bool {
    matches!(member.target.state, State::Draining | State::Changing)
}

/// Whether the engine serves now or soon.
fn will_serve(member: &Member) -> bool {
    member.target.state == State::Serving || is_changing(member)
}

/// Whether a role can spare an engine: two generating ones serve at any time.
fn may_leave(from: Role, members: &[Member], taken: &[RoleChange]) -> bool {
    let (mut same, mut generating) = (0, 0);
    for member in members.iter().filter(|member| member.target.state == State::Serving) {
        if taken.iter().any(|change| change.target == member.target.id) {
            continue;
        }
        same += usize::from(member.target.role == from);
        generating += usize::from(member.target.role != Role::Prefill);
    }
    let spare = from == Role::Prefill || generating > SERVING_FLOOR;
    same > 0 && spare
}
