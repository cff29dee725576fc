//! Plans role changes for the engines of one service.
//!
//! Routing absorbs a shift between prompt and output load first, since mixed and decode
//! engines compute prompts in chunks. A role is changed only if that is not enough: if the
//! additional load served over a horizon is worth more than the seconds that the change
//! costs, and has been for a while.
//!
//! Without recent measurements, nothing is changed.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    Demand, Role, Target, TargetId, TargetState,
    roles::{capacity::Capacity, history::DemandHistory},
};

mod capacity;
mod history;
#[cfg(test)]
mod tests;

/// Minimum number of serving engines that generate output.
const MIN_GENERATING: usize = 2;

/// Minimum value of the current capacity by which a gain is divided; avoids a division by
/// almost zero.
const MIN_CURRENT_VALUE: f64 = 0.05;

/// Role changes to consider.
const ROLE_CHANGES: [(Role, Role); 6] = [
    (Role::Prefill, Role::Decode),
    (Role::Decode, Role::Prefill),
    (Role::Mixed, Role::Decode),
    (Role::Mixed, Role::Prefill),
    (Role::Prefill, Role::Mixed),
    (Role::Decode, Role::Mixed),
];

/// An engine and its load as known to the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// The engine.
    pub target: Target,
    /// Sequences that are running or waiting on it.
    pub active_seqs: u32,
    /// When its load was last measured.
    pub measured_at: Time,
}

/// A role change to make once the engine is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub target: TargetId,
    /// The current role.
    pub from: Role,
    /// The new role.
    pub to: Role,
}

/// Settings of [`RolePlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct RoleSettings {
    /// Time for which a change takes an engine out of service, including its drain.
    pub change_time: Duration,
    /// Time over which a change must pay off; also the length of the demand history.
    pub horizon: Duration,
    /// Time for which a gain must last before a change is ordered.
    pub stable_time: Duration,
    /// Minimum time between two role changes of an engine.
    pub min_role_time: Duration,
    /// Minimum net gain of a change over the horizon, as a share of the work of one engine.
    pub min_gain: f64,
    /// Maximum number of changes in progress per service.
    pub max_concurrent: usize,
    /// Age at which measurements are too old for a decision.
    pub max_age: Duration,
    /// Maximum acceptable time between tokens.
    pub token_gap: Duration,
}

impl Default for RoleSettings {
    fn default() -> RoleSettings {
        RoleSettings {
            change_time: Duration::from_secs(10),
            horizon: Duration::from_secs(300),
            stable_time: Duration::from_secs(8),
            min_role_time: Duration::from_secs(60),
            min_gain: 0.1,
            max_concurrent: 2,
            max_age: Duration::from_secs(6),
            token_gap: Duration::from_millis(60),
        }
    }
}

/// The best change so far and since when it has been the best.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PendingChange {
    from: Role,
    to: Role,
    since: Time,
}

/// Plans the role changes of one service.
#[derive(Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    history: DemandHistory,
    pending: Option<PendingChange>,
    ordered: BTreeMap<TargetId, (Role, Time)>,
}

impl RolePlanner {
    /// Creates a planner without history.
    pub fn new(settings: RoleSettings) -> RolePlanner {
        RolePlanner {
            history: DemandHistory::new(settings.horizon),
            pending: None,
            ordered: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RoleSettings {
        &self.settings
    }

    /// Returns the role changes to order now; to be called about once per second.
    ///
    /// An engine must be drained before its role is changed.
    pub fn plan_roles(
        &mut self,
        now: Time,
        demand: Demand,
        members: &[EngineStatus],
    ) -> SmallVec<[RoleChange; 4]> {
        self.drop_removed(members);
        let mut changes = SmallVec::new();
        if !self.has_fresh_data(now, &demand, members) {
            self.pending = None;
            return changes;
        }
        self.history.observe(demand);
        let mut capacity = self.capacity(members);
        let in_progress = members.iter().filter(|member| is_changing(member)).count();
        for _ in in_progress..self.settings.max_concurrent {
            let Some((from, to)) = self.best_change(capacity, members, &changes) else {
                self.pending = None;
                return changes;
            };
            if !self.is_stable(now, from, to) {
                return changes;
            }
            let Some(member) = self.pick_engine(now, from, members, &changes) else {
                return changes;
            };
            let target = member.target.id;
            changes.push(RoleChange { target, from, to });
            self.ordered.insert(target, (to, now));
            capacity = self.capacity_after(capacity, from, to, members);
        }
        changes
    }

    /// Records that an ordered change was cancelled or failed.
    pub fn cancel_change(&mut self, target: TargetId) {
        self.ordered.remove(&target);
    }

    fn drop_removed(&mut self, members: &[EngineStatus]) {
        self.ordered.retain(|id, _| members.iter().any(|member| member.target.id == *id));
    }

    /// Whether the demand and most engines were measured recently.
    fn has_fresh_data(&self, now: Time, demand: &Demand, members: &[EngineStatus]) -> bool {
        let fresh = members.iter().filter(|member| self.is_fresh(now, member.measured_at)).count();
        self.is_fresh(now, demand.measured_at) && fresh * 2 > members.len()
    }

    fn is_fresh(&self, now: Time, measured: Time) -> bool {
        now.since(measured) < self.settings.max_age
    }

    /// The capacity after the changes in progress.
    fn capacity(&self, members: &[EngineStatus]) -> Capacity {
        let available = members.iter().filter(|member| will_serve(member));
        available.fold(Capacity::default(), |sum, member| {
            let role = self.planned_role(member);
            sum.plus(self.engine_capacity(role, members))
        })
    }

    fn planned_role(&self, member: &EngineStatus) -> Role {
        let ordered = self.ordered.get(&member.target.id);
        match ordered {
            Some((to, _)) if is_changing(member) => *to,
            _ => member.target.role,
        }
    }

    /// The capacity of one engine in `role`, using the specs of an engine that has it.
    fn engine_capacity(&self, role: Role, members: &[EngineStatus]) -> Capacity {
        let example = members.iter().find(|member| member.target.role == role);
        let specs = example.or(members.first()).map(|member| member.target.specs);
        Capacity::of(role, &specs.unwrap_or_default(), self.settings.token_gap)
    }

    fn capacity_after(
        &self,
        capacity: Capacity,
        from: Role,
        to: Role,
        members: &[EngineStatus],
    ) -> Capacity {
        capacity.minus(self.engine_capacity(from, members)).plus(self.engine_capacity(to, members))
    }

    /// The role change with the highest net gain, if any gains enough.
    fn best_change(
        &self,
        capacity: Capacity,
        members: &[EngineStatus],
        planned: &[RoleChange],
    ) -> Option<(Role, Role)> {
        let horizon = self.settings.horizon.as_secs_f64();
        let mut best = None;
        let engines = members.len().max(1) as f64;
        let mut best_gain = self.settings.min_gain * horizon / engines;
        for (from, to) in ROLE_CHANGES {
            if !can_spare(from, members, planned) {
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

    /// Net gain of a change over the horizon, in seconds of the currently served work.
    fn gain(&self, capacity: Capacity, from: Role, to: Role, members: &[EngineStatus]) -> f64 {
        let change_time = self.settings.change_time.as_secs_f64();
        let remaining = self.settings.horizon.as_secs_f64() - change_time;
        let before = self.history.value(&capacity);
        let during = self.history.value(&capacity.minus(self.engine_capacity(from, members)));
        let after = self.history.value(&self.capacity_after(capacity, from, to, members));
        ((after - before) * remaining - (before - during) * change_time)
            / before.clamp(MIN_CURRENT_VALUE, 1.0)
    }

    /// Whether this change has been the best for long enough.
    fn is_stable(&mut self, now: Time, from: Role, to: Role) -> bool {
        let unchanged = self.pending.filter(|pending| pending.from == from && pending.to == to);
        let pending = unchanged.unwrap_or(PendingChange { from, to, since: now });
        self.pending = Some(pending);
        now.since(pending.since) >= self.settings.stable_time
    }

    /// The least busy engine that may change its role.
    fn pick_engine<'a>(
        &self,
        now: Time,
        from: Role,
        members: &'a [EngineStatus],
        planned: &[RoleChange],
    ) -> Option<&'a EngineStatus> {
        let candidates = members.iter().filter(|member| {
            let target = &member.target;
            target.role == from
                && target.state == TargetState::Serving
                && self.is_fresh(now, member.measured_at)
                && self.may_change_again(now, target.id)
                && !planned.iter().any(|change| change.target == target.id)
        });
        candidates.min_by_key(|member| (member.active_seqs, member.target.id))
    }

    fn may_change_again(&self, now: Time, id: TargetId) -> bool {
        let ordered = self.ordered.get(&id);
        ordered.is_none_or(|(_, at)| now.since(*at) >= self.settings.min_role_time)
    }
}

fn is_changing(member: &EngineStatus) -> bool {
    matches!(member.target.state, TargetState::Draining | TargetState::Changing)
}

/// Whether the engine is serving or will be soon.
fn will_serve(member: &EngineStatus) -> bool {
    member.target.state == TargetState::Serving || is_changing(member)
}

/// Whether a role can spare an engine; two engines that generate output always keep serving.
fn can_spare(from: Role, members: &[EngineStatus], planned: &[RoleChange]) -> bool {
    let (mut same, mut generating) = (0, 0);
    for member in members.iter().filter(|member| member.target.state == TargetState::Serving) {
        if planned.iter().any(|change| change.target == member.target.id) {
            continue;
        }
        same += usize::from(member.target.role == from);
        generating += usize::from(member.target.role != Role::Prefill);
    }
    let spare = from == Role::Prefill || generating > MIN_GENERATING;
    same > 0 && spare
}
