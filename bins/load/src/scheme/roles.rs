//! Role planning: the policy's planner and the baselines for it.

use chervilgate_clock::Time;
use chervilgate_policy::{Demand, EngineStatus, Role, RoleChange, RolePlanner, TargetState};
use smallvec::SmallVec;

/// Plans role changes.
pub trait PlanRoles {
    /// Returns the role changes to order now.
    fn plan(
        &mut self,
        now: Time,
        demand: Demand,
        members: &[EngineStatus],
    ) -> SmallVec<[RoleChange; 4]>;
}

impl PlanRoles for RolePlanner {
    fn plan(
        &mut self,
        now: Time,
        demand: Demand,
        members: &[EngineStatus],
    ) -> SmallVec<[RoleChange; 4]> {
        self.plan_roles(now, demand, members)
    }
}

/// Never changes a role.
#[derive(Debug, Clone, Copy)]
pub struct FixedRoles;

impl PlanRoles for FixedRoles {
    fn plan(&mut self, _: Time, _: Demand, _: &[EngineStatus]) -> SmallVec<[RoleChange; 4]> {
        SmallVec::new()
    }
}

/// Immediately changes roles to the split that the current request mix needs.
#[derive(Debug, Clone, Copy)]
pub struct GreedyRoles;

impl PlanRoles for GreedyRoles {
    fn plan(
        &mut self,
        _: Time,
        demand: Demand,
        members: &[EngineStatus],
    ) -> SmallVec<[RoleChange; 4]> {
        let Some(first) = members.first() else { return SmallVec::new() };
        let specs = &first.target.specs;
        let prefill = demand.prompt_rate / specs.prefill_rate;
        let decode = demand.output_rate * specs.step_seq.as_secs_f64();
        if prefill + decode <= 0.0 {
            return SmallVec::new();
        }
        let wanted = prefill_count(members.len(), prefill / (prefill + decode));
        let current = members.iter().filter(|member| member.target.role == Role::Prefill).count();
        let (from, to) = if current < wanted {
            (Role::Decode, Role::Prefill)
        } else {
            (Role::Prefill, Role::Decode)
        };
        let movable = members.iter().filter(|member| {
            member.target.role == from && member.target.state == TargetState::Serving
        });
        movable
            .take(current.abs_diff(wanted))
            .map(|member| RoleChange { target: member.target.id, from, to })
            .collect()
    }
}

/// Number of prefill engines among `count` for work with a prefill share of `share`.
fn prefill_count(count: usize, share: f64) -> usize {
    let prefill = (count as f64 * share).round() as usize;
    prefill.clamp(1, count.saturating_sub(1).max(1))
}

/// Initial roles of `count` engines for work with a prefill share of `share`.
pub fn initial_roles(count: usize, share: f64) -> Vec<Role> {
    let prefill = prefill_count(count, share);
    // Prefill engines are spaced evenly, so that every zone has engines of both roles.
    let role = |index: usize| {
        let before = index * prefill / count;
        if (index + 1) * prefill / count > before { Role::Prefill } else { Role::Decode }
    };
    (0..count).map(role).collect()
}
