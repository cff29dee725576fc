//! Exchanges on-demand targets for reclaimable ones in zones that are filled to their limits.
//!
//! An on-demand target costs several times as much as a reclaimable one. Those that the mean work
//! does not need are replaced in small steps, so that the number of targets stays nearly the same
//! and callers lose only the caches of a few targets at a time.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::demand::DemandPlan;

use crate::{
    config::Scaling,
    planner::{ZoneTargets, full_on_demand, goals::ZoneGoal, is_significant},
};

/// Time for which the demand must have been seen: three sums of two seconds. On-demand targets are
/// kept for the mean at a utilization of 0.8, so a mean that is too low by a fifth still fits, and
/// a burst in one of the sums raises it.
pub(super) const MIN_SPAN: Duration = Duration::from_secs(6);

/// Time for which all targets of a zone must have been listed before its next step: one sum of the
/// demand, which shows whether prompts wait without those that left, and in which the new ones
/// receive prompts.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time without an exchange after more on-demand targets were needed, so that a mean that varies
/// around a whole number of targets does not move them back and forth.
const GROWTH_PAUSE: Duration = Duration::from_secs(20);

/// Share of a zone's targets that one step exchanges.
const STEP_SHARE: f64 = 0.1;

/// Number of targets in a step of a zone with `targets`.
pub(super) fn step_size(targets: u32) -> u32 {
    ((f64::from(targets) * STEP_SHARE) as u32).max(1)
}

/// Progress of the exchange of one service.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Zones in which all targets of the goal are listed, and since when.
    settled: BTreeMap<String, Time>,
    grew_at: Option<Time>,
    /// What held up the exchange when it was last due.
    held_by: Option<&'static str>,
}

impl Exchange {
    /// Records that more on-demand targets are needed.
    pub(super) fn record_growth(&mut self, now: Time) {
        self.grew_at = Some(now);
    }

    /// Records in which zones all targets of the goal are listed.
    pub(super) fn observe(
        &mut self,
        now: Time,
        goals: &BTreeMap<String, ZoneGoal>,
        current: &BTreeMap<&str, ZoneTargets>,
    ) {
        for (zone, goal) in goals {
            let listed = current.get(zone.as_str()).copied().unwrap_or_default();
            if is_listed(*goal, listed) {
                self.settled.entry(zone.clone()).or_insert(now);
            } else {
                self.settled.remove(zone);
            }
        }
        self.settled.retain(|zone, _| goals.contains_key(zone));
    }

    /// Forgets which zones are complete, while zones are not kept full.
    pub(super) fn clear_settled(&mut self) {
        self.settled.clear();
    }

    /// Logs what holds up an exchange, whenever that changes.
    pub(super) fn log_doubt(&mut self, service: &str, doubt: Option<&'static str>) {
        if let Some(cause) = doubt.filter(|_| doubt != self.held_by) {
            log::info!(target: "duty", service, cause; "exchange of targets held up");
        }
        self.held_by = doubt;
    }

    /// Takes the steps that are due, in the most expensive zones first; returns whether any goal
    /// changed.
    pub(super) fn step(
        &mut self,
        now: Time,
        scaling: &Scaling,
        goals: &mut BTreeMap<String, ZoneGoal>,
        current: &BTreeMap<&str, ZoneTargets>,
        plan: &DemandPlan,
    ) -> bool {
        let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or_default();
        let mut zones: Vec<String> = goals.keys().cloned().collect();
        zones.sort_by(|a, b| price(b).total_cmp(&price(a)));
        // Targets that are listed now and still serve after the steps taken.
        let mut serving: BTreeMap<String, u32> =
            current.iter().map(|(zone, targets)| ((*zone).to_owned(), targets.total())).collect();
        let mut has_changed = false;
        for zone in zones {
            let is_due =
                self.settled.get(&zone).is_some_and(|since| now.since(*since) >= SETTLING_TIME);
            let Some(goal) = goals.get(&zone).copied().filter(|_| is_due) else { continue };
            let Some(next) = self.next_goal(now, scaling, goal, plan) else { continue };
            // At the limit, targets leave before those that replace them can be ordered.
            let moved = goal.on_demand.abs_diff(next.on_demand);
            let missing = (goal.total() + moved).saturating_sub(scaling.max_targets);
            let Some(listed) = serving.get(&zone).copied() else { continue };
            serving.insert(zone.clone(), listed.saturating_sub(missing));
            let has_planned = serving.values().all(|serving| *serving >= plan.targets);
            // Where the plan needs all targets, only one zone at a time lacks some.
            let is_only = self.settled.len() == goals.len();
            let largest = goals.values().map(|goal| goal.reclaimable).max().unwrap_or_default();
            let lost = largest.max(next.reclaimable);
            let left = serving.values().sum::<u32>().saturating_sub(lost);
            let is_lower = next.on_demand < goal.on_demand;
            if !(has_planned || is_only) || (is_lower && !plan.survives_with(left)) {
                serving.insert(zone, listed);
                continue;
            }
            if !is_lower {
                self.grew_at = Some(now);
            }
            self.settled.remove(&zone);
            goals.insert(zone, next);
            has_changed = true;
        }
        has_changed
    }

    /// The goal of a zone after its next step; none if the plan needs no other one.
    fn next_goal(
        &self,
        now: Time,
        scaling: &Scaling,
        goal: ZoneGoal,
        plan: &DemandPlan,
    ) -> Option<ZoneGoal> {
        let step = step_size(goal.total());
        // More than the share of a full zone are wanted in no full zone.
        let missing = plan.on_demand.min(full_on_demand(scaling)).saturating_sub(goal.on_demand);
        if missing > 0 {
            let step = missing.min(step).min(goal.reclaimable);
            let (on_demand, reclaimable) = (goal.on_demand + step, goal.reclaimable - step);
            return (step > 0).then_some(ZoneGoal { on_demand, reclaimable });
        }
        let excess = excess(goal, plan);
        let has_grown = self.grew_at.is_some_and(|at| now.since(at) < GROWTH_PAUSE);
        if has_grown || excess == 0 {
            return None;
        }
        let step = excess.min(step);
        let (on_demand, reclaimable) = (goal.on_demand - step, goal.reclaimable + step);
        Some(ZoneGoal { on_demand, reclaimable })
    }
}

/// Number of on-demand targets of a zone that the plan does not need; zero if they are too few for
/// an order.
pub(super) fn excess(goal: ZoneGoal, plan: &DemandPlan) -> u32 {
    let excess = goal.on_demand.saturating_sub(plan.on_demand);
    if is_significant(excess, goal.on_demand) { excess } else { 0 }
}

/// Whether all targets of a goal, and no others, are listed.
fn is_listed(goal: ZoneGoal, listed: ZoneTargets) -> bool {
    listed.on_demand == goal.on_demand && listed.reclaimable == goal.reclaimable
}
