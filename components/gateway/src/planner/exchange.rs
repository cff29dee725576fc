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
    planner::{
        ZoneTargets, full_on_demand,
        goals::{ZoneGoal, rounded_up},
        is_significant,
    },
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

/// Share of a zone's targets that one step exchanges; at least one.
const STEP_SHARE: f64 = 0.1;

/// Number of targets of a zone below which none is exchanged: one that leaves is more than a
/// quarter of the zone.
const MIN_ZONE: u32 = 4;

/// Boot times within which the targets of a step, and of the exchange its next step, are expected.
const MAX_BOOT_TIMES: u32 = 3;

/// Shortest time between two log lines on what holds up the exchange.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which ordered targets that are not listed are not expected any more.
fn arrival_limit(scaling: &Scaling) -> Duration {
    scaling.boot_time.max(Duration::from_secs(1)) * MAX_BOOT_TIMES
}

/// A step of a full zone, whose on-demand targets leave before the reclaimable ones are listed.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// Number of on-demand targets that leave.
    count: u32,
    goal: ZoneGoal,
    taken_at: Time,
}

/// Progress of the exchange of one service.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Whether all targets of the goal of a zone are listed, and since when.
    complete: BTreeMap<String, (bool, Time)>,
    /// Steps whose reclaimable targets are not all listed, by zone.
    steps: BTreeMap<String, Step>,
    /// Zones in which a step was undone, with the lowest number of reclaimable targets since:
    /// the next step waits until the platform delivers one.
    failed: BTreeMap<String, u32>,
    /// Lowest number of on-demand targets that was wanted after a step, and when it was reached.
    progress: Option<(u32, Time)>,
    /// Whether no step was open or wanted when steps were last looked for.
    is_done: bool,
    grew_at: Option<Time>,
    /// What held up the exchange when that was last logged.
    held_by: Option<(&'static str, Time)>,
}

impl Exchange {
    /// Records that more on-demand targets are needed.
    pub(super) fn record_growth(&mut self, now: Time) {
        self.grew_at = Some(now);
    }

    /// Records in which zones all targets of the goal are listed, and undoes the steps whose
    /// reclaimable targets did not arrive in time.
    pub(super) fn observe(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        goals: &mut BTreeMap<String, ZoneGoal>,
        current: &BTreeMap<&str, ZoneTargets>,
    ) {
        for (zone, goal) in goals.iter_mut() {
            let listed = current.get(zone.as_str()).copied().unwrap_or_default();
            if let Some(lowest) = self.failed.get_mut(zone) {
                if listed.reclaimable > *lowest {
                    self.failed.remove(zone);
                } else {
                    *lowest = listed.reclaimable;
                }
            }
            if let Some(step) = self.steps.get(zone).copied() {
                let missing = goal.reclaimable.saturating_sub(listed.reclaimable).min(step.count);
                let is_late = now.since(step.taken_at) >= arrival_limit(scaling);
                if step.goal != *goal || missing == 0 {
                    self.steps.remove(zone);
                } else if is_late || listed.reclaimable == 0 {
                    self.steps.remove(zone);
                    self.failed.insert(zone.clone(), listed.reclaimable);
                    goal.on_demand += missing;
                    goal.reclaimable -= missing;
                    log::info!(target: "duty", service, zone, missing; "exchange of targets undone");
                }
            }
            let is_complete = listed.on_demand >= goal.on_demand
                && listed.reclaimable >= goal.reclaimable
                && !self.steps.contains_key(zone);
            let state = self.complete.entry(zone.clone()).or_insert((is_complete, now));
            if state.0 != is_complete {
                *state = (is_complete, now);
            }
        }
        self.complete.retain(|zone, _| goals.contains_key(zone));
        self.steps.retain(|zone, _| goals.contains_key(zone));
        self.failed.retain(|zone, _| goals.contains_key(zone));
    }

    /// Whether on-demand targets of a zone leave before reclaimable ones are listed.
    pub(super) fn is_in_step(&self, zone: &str) -> bool {
        self.steps.contains_key(zone)
    }

    /// Whether targets of a zone's goal have been missing for longer than they take to arrive.
    pub(super) fn is_overdue(&self, now: Time, scaling: &Scaling, zone: &str) -> bool {
        self.complete.get(zone).is_some_and(|(is_complete, since)| {
            !is_complete && now.since(*since) >= arrival_limit(scaling)
        })
    }

    /// Whether fewer on-demand targets are wanted than a short while ago: an exchange that makes
    /// no progress must not keep zones full.
    pub(super) fn is_in_progress(&self, now: Time, scaling: &Scaling) -> bool {
        let limit = arrival_limit(scaling) + SETTLING_TIME;
        !self.is_done && self.progress.is_some_and(|(_, at)| now.since(at) < limit)
    }

    /// Logs what holds up an exchange when that changes, at most once in [`LOG_INTERVAL`].
    pub(super) fn log_cause(&mut self, now: Time, service: &str, cause: &'static str) {
        let is_known =
            self.held_by.is_some_and(|(known, at)| known == cause || now.since(at) < LOG_INTERVAL);
        if !is_known {
            log::info!(target: "duty", service, cause; "exchange of targets held up");
            self.held_by = Some((cause, now));
        }
    }

    /// Takes the steps that are due, in the most expensive zones first; returns whether any goal
    /// changed, or what holds up the exchange.
    pub(super) fn step(
        &mut self,
        now: Time,
        scaling: &Scaling,
        goals: &mut BTreeMap<String, ZoneGoal>,
        current: &BTreeMap<&str, ZoneTargets>,
        plan: &DemandPlan,
    ) -> Result<bool, &'static str> {
        let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or_default();
        let mut zones: Vec<String> = goals.keys().cloned().collect();
        zones.sort_by(|a, b| price(b).total_cmp(&price(a)));
        // Targets that are listed now and still serve after the steps taken.
        let mut serving: BTreeMap<String, u32> =
            current.iter().map(|(zone, targets)| ((*zone).to_owned(), targets.total())).collect();
        let mut has_changed = false;
        let mut cause = None;
        for zone in zones {
            let Some(goal) = goals.get(&zone).copied() else { continue };
            let missing = missing(goal, scaling, plan);
            let most = if missing > 0 { missing } else { excess(goal, plan) };
            let is_due = self.complete.get(&zone).is_some_and(|(is_complete, since)| {
                *is_complete && now.since(*since) >= SETTLING_TIME
            });
            if most == 0 {
                continue;
            }
            if !is_due {
                cause = Some("incomplete");
                continue;
            }
            if missing == 0
                && let Some(reason) = self.obstacle(now, &zone, goal, current)
            {
                cause = Some(reason);
                continue;
            }
            let largest = ((f64::from(goal.total()) * STEP_SHARE) as u32).max(1).min(most);
            // Where the plan needs all targets, only one zone at a time lacks some.
            let is_only = goals.keys().all(|zone| self.complete.get(zone).is_some_and(|c| c.0));
            let step = (1..=largest).rev().find(|step| {
                let next = moved(goal, *step, missing > 0);
                let listed = serving.get(&zone).copied().unwrap_or_default();
                let after = listed.saturating_sub(*step);
                let others = serving.iter().filter(|(other, _)| **other != zone);
                let has_planned =
                    after >= plan.targets && others.clone().all(|(_, n)| *n >= plan.targets);
                let lost = goals.values().map(|goal| goal.reclaimable).max().unwrap_or_default();
                let left = others.map(|(_, n)| n).sum::<u32>() + after;
                let left = left.saturating_sub(lost.max(next.reclaimable));
                (has_planned || is_only) && (missing > 0 || plan.survives_with(left))
            });
            let Some(step) = step else {
                cause = Some("loss");
                continue;
            };
            let next = moved(goal, step, missing > 0);
            if let Some(serving) = serving.get_mut(&zone) {
                *serving = serving.saturating_sub(step);
            }
            self.complete.insert(zone.clone(), (false, now));
            if missing > 0 {
                self.grew_at = Some(now);
            } else {
                let step = Step { count: step, goal: next, taken_at: now };
                self.steps.insert(zone.clone(), step);
            }
            goals.insert(zone, next);
            has_changed = true;
        }
        let on_demand = goals.values().map(|goal| goal.on_demand).sum();
        if has_changed && self.progress.is_none_or(|(lowest, _)| on_demand < lowest) {
            self.progress = Some((on_demand, now));
        }
        self.is_done = self.steps.is_empty() && goals.values().all(|goal| excess(*goal, plan) == 0);
        match cause {
            Some(cause) if !has_changed => Err(cause),
            _ => Ok(has_changed),
        }
    }

    /// Why no on-demand target of a zone may leave before a reclaimable one is listed.
    fn obstacle(
        &self,
        now: Time,
        zone: &str,
        goal: ZoneGoal,
        current: &BTreeMap<&str, ZoneTargets>,
    ) -> Option<&'static str> {
        let has_delivered = current.get(zone).is_some_and(|listed| listed.reclaimable > 0)
            && !self.failed.contains_key(zone);
        let has_grown = self.grew_at.is_some_and(|at| now.since(at) < GROWTH_PAUSE);
        let obstacles = [
            (goal.total() < MIN_ZONE, "small zone"),
            (!has_delivered, "not delivered"),
            (has_grown, "growth"),
        ];
        obstacles.into_iter().find_map(|(holds, obstacle)| holds.then_some(obstacle))
    }
}

/// The goal after a step of `count` targets.
fn moved(goal: ZoneGoal, count: u32, is_growth: bool) -> ZoneGoal {
    let ZoneGoal { on_demand, reclaimable } = goal;
    if is_growth {
        ZoneGoal { on_demand: on_demand + count, reclaimable: reclaimable - count }
    } else {
        ZoneGoal { on_demand: on_demand - count, reclaimable: reclaimable + count }
    }
}

/// Number of on-demand targets that a full zone lacks, enough for an order; at most its share.
fn missing(goal: ZoneGoal, scaling: &Scaling, plan: &DemandPlan) -> u32 {
    let missing = plan.on_demand.min(full_on_demand(scaling)).saturating_sub(goal.on_demand);
    rounded_up(missing, goal.on_demand).min(goal.reclaimable)
}

/// Number of on-demand targets of a zone that the plan does not need; zero if they are too few for
/// an order.
fn excess(goal: ZoneGoal, plan: &DemandPlan) -> u32 {
    let excess = goal.on_demand.saturating_sub(plan.on_demand);
    if is_significant(excess, goal.on_demand) { excess } else { 0 }
}
