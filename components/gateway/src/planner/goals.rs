//! How many targets the lease holder wants in each zone, and when that changes.
//!
//! More targets are wanted at once. Fewer are wanted only after the demand has been lower for a
//! while, in steps, and never while targets or what is known of them are in doubt. What was there
//! when the lease was taken is kept for a while, since a new holder has seen nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::demand::{
    DemandPlan, EngineSpecs, FleetLimits, PlanReason, PlannedDemand, plan_demand,
};

use crate::{
    config::Scaling,
    planner::{
        MIN_CHANGE, ZoneTargets,
        exchange::{self, Exchange},
        full_on_demand, is_significant,
    },
};

/// Time from taking the lease for which no target is given back.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// Time from taking the lease after which a demand that is still unknown counts as large: hosts
/// report each 0.8 s, and the first sum takes two seconds.
const UNKNOWN_LIMIT: Duration = Duration::from_secs(10);

/// Time for which the demand must have been seen before a deployment for which nothing was ordered
/// before is filled less than to its limits: until then caches are cold, and callers may come in
/// numbers that were not seen yet.
const MIN_SPAN: Duration = Duration::from_secs(30);

/// Time for which the demand must have been lower before targets are given back.
const RETURN_DELAY: Duration = Duration::from_secs(20);

/// Time between two steps, in which the work of those given back is seen at the others.
const RETURN_INTERVAL: Duration = Duration::from_secs(5);

/// Share of all targets that one step gives back.
const RETURN_SHARE: f64 = 0.1;

/// Highest utilization by the largest work of the targets that serve, above which on-demand
/// targets take the place of reclaimable ones that are not available.
const SHORT_UTILIZATION: f64 = 0.7;

/// What the holder knows of the demand for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceDemand {
    /// Work of the last minute; none while too few hosts have reported.
    pub demand: Option<PlannedDemand>,
    /// What an engine can do.
    pub engine: EngineSpecs,
    /// Whether requests wait for engines now.
    pub is_waiting: bool,
    /// Whether targets may be given back, by what is known of the targets and the store.
    pub may_return: bool,
    /// Why on-demand targets may not be exchanged for reclaimable ones; none if they may.
    pub exchange_doubt: Option<&'static str>,
}

/// Number of targets wanted in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneGoal {
    /// On-demand targets.
    pub on_demand: u32,
    /// Reclaimable targets.
    pub reclaimable: u32,
}

/// What decided the goals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoalReason {
    /// What was there when the lease was taken.
    Kept,
    /// The demand.
    Demand(PlanReason),
    /// That on-demand targets are exchanged for reclaimable ones.
    Exchange,
    /// Requests that wait.
    Waiting,
    /// That the demand is not known.
    Unknown,
}

impl GoalReason {
    /// The name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            GoalReason::Kept => "kept",
            GoalReason::Demand(reason) => reason.as_str(),
            GoalReason::Exchange => "exchange",
            GoalReason::Waiting => "waiting",
            GoalReason::Unknown => "unknown",
        }
    }
}

/// Whether zones are filled to their limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Filling {
    /// They are not.
    No,
    /// At once, whatever the demand is.
    AtOnce,
    /// They are kept full by a known demand; on-demand targets are exchanged in steps.
    InSteps,
}

impl ZoneGoal {
    pub(super) fn total(self) -> u32 {
        self.on_demand + self.reclaimable
    }

    /// Number of on-demand targets to have now: further ones are returned as reclaimable ones
    /// replace them.
    pub(super) fn on_demand_now(self, current: &ZoneTargets) -> u32 {
        let needed = self.total().saturating_sub(current.reclaimable);
        current.on_demand.min(needed).max(self.on_demand)
    }
}

/// Goals of one service.
#[derive(Debug)]
pub(super) struct ServiceGoals {
    started_at: Time,
    /// Whether no reclaimable targets were listed when the lease was taken, so that no holder has
    /// ordered any before.
    is_first: bool,
    zones: BTreeMap<String, ZoneGoal>,
    exchange: Exchange,
    /// Whether goals were lowered by a plan, so that the on-demand targets of full zones are not a
    /// fixed share any more.
    was_lowered: bool,
    excess_since: Option<Time>,
    returned_at: Option<Time>,
    /// Number of busy targets by the largest work.
    busy: f64,
}

impl ServiceGoals {
    pub(super) fn new(now: Time) -> ServiceGoals {
        ServiceGoals {
            started_at: now,
            is_first: false,
            zones: BTreeMap::new(),
            exchange: Exchange::default(),
            was_lowered: false,
            excess_since: None,
            returned_at: None,
            busy: 0.0,
        }
    }

    /// Starts with the goal of full zones, for which targets were ordered before.
    pub(super) fn filled<'a>(
        now: Time,
        scaling: &Scaling,
        zones: impl Iterator<Item = &'a str>,
    ) -> ServiceGoals {
        let mut goals = ServiceGoals::new(now);
        goals.zones = zones.map(|zone| (zone.to_owned(), ZoneGoal::default())).collect();
        goals.fill(now, scaling, &BTreeMap::new(), &BTreeSet::new(), None);
        goals
    }

    /// Goals by zone.
    pub(super) fn zones(&self) -> impl Iterator<Item = (&str, ZoneGoal)> {
        self.zones.iter().map(|(zone, goal)| (zone.as_str(), *goal))
    }

    /// The goal of a zone.
    pub(super) fn zone(&self, zone: &str) -> ZoneGoal {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Number of on-demand targets wanted in a zone; none if the zone is not known.
    pub(super) fn on_demand(&self, zone: &str) -> Option<u32> {
        self.zones.get(zone).map(|goal| goal.on_demand)
    }

    /// Whether on-demand targets of a zone leave before reclaimable ones are listed.
    pub(super) fn is_in_step(&self, zone: &str) -> bool {
        self.exchange.is_in_step(zone)
    }

    /// Whether what was there when the lease was taken is kept.
    fn is_new(&self, now: Time) -> bool {
        now.since(self.started_at) < HOLD_TIME
    }

    /// Whether this number of targets is too small for the largest work.
    pub(super) fn is_short(&self, targets: u32) -> bool {
        self.busy > f64::from(targets) * SHORT_UTILIZATION
    }

    /// Wants all zones filled to their limits while no plan is made.
    pub(super) fn fill_unplanned(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        refused: &BTreeSet<String>,
    ) {
        self.exchange.observe(now, service, scaling, &mut self.zones, current);
        self.excess_since = None;
        self.fill(now, scaling, current, refused, None);
    }

    /// Updates the goals; returns whether and how zones are filled to their limits. The platform
    /// has `refused` reclaimable targets in some zones.
    pub(super) fn update(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        demand: &ServiceDemand,
        refused: &BTreeSet<String>,
    ) -> Filling {
        let before = self.zones.clone();
        if before.is_empty() {
            self.is_first = current.values().all(|zone| zone.reclaimable == 0);
            // The last holder may have lowered them.
            self.was_lowered = !self.is_first;
        }
        self.keep_current(now, scaling, current);
        self.exchange.observe(now, service, scaling, &mut self.zones, current);
        let limits = FleetLimits {
            zones: u32::try_from(current.len()).unwrap_or(u32::MAX),
            min_targets: scaling.min_targets,
            max_targets: scaling.max_targets,
        };
        let planned = demand.demand.filter(|demand| !demand.span.is_zero());
        let plan = planned.map(|planned| {
            self.busy = demand.engine.busy_targets(&planned.largest);
            plan_demand(&planned, &demand.engine, limits)
        });
        let (filling, mut reason) = self.filling(now, scaling, limits, plan.as_ref(), demand);
        match filling {
            Filling::AtOnce => {
                self.excess_since = None;
                self.fill(now, scaling, current, refused, plan.as_ref());
            }
            Filling::InSteps => {
                self.fill(now, scaling, current, refused, plan.as_ref());
                // The first holder sees the demand from its start, also while zones are full.
                let is_lower = |plan: &DemandPlan| plan.targets < scaling.max_targets;
                let is_lower = self.is_first && plan.as_ref().is_some_and(is_lower);
                self.excess_since = is_lower.then(|| self.excess_since.unwrap_or(now));
                if let Some(plan) = &plan
                    && self.exchange_step(now, service, scaling, current, plan, demand)
                {
                    reason = GoalReason::Exchange;
                }
            }
            Filling::No => {
                if !self.is_new(now) {
                    self.exchange_excess(scaling, plan.as_ref());
                }
                if let Some(plan) = &plan {
                    self.grow(now, scaling, plan);
                    self.give_back(now, scaling, current, plan, demand.may_return);
                }
            }
        }
        if self.zones != before {
            self.log_change(service, &before, plan.as_ref(), reason);
        }
        filling
    }

    /// Whether and how zones are filled, and what decided.
    fn filling(
        &self,
        now: Time,
        scaling: &Scaling,
        limits: FleetLimits,
        plan: Option<&DemandPlan>,
        demand: &ServiceDemand,
    ) -> (Filling, GoalReason) {
        if demand.is_waiting {
            return (Filling::AtOnce, GoalReason::Waiting);
        }
        let is_late = now.since(self.started_at) >= UNKNOWN_LIMIT;
        let Some(plan) = plan else {
            return if is_late || self.is_first {
                (Filling::AtOnce, GoalReason::Unknown)
            } else {
                (Filling::No, GoalReason::Kept)
            };
        };
        let span = demand.demand.map_or(Duration::ZERO, |demand| demand.span);
        let filled = if span < exchange::MIN_SPAN { Filling::AtOnce } else { Filling::InSteps };
        if plan.needs_limit(limits) {
            (filled, GoalReason::Demand(plan.reason))
        } else if self.is_first && span < MIN_SPAN {
            (filled, GoalReason::Unknown)
        } else if self.is_first && self.exchange.is_in_progress(now, scaling) {
            // In zones that are not full, on-demand targets would be exchanged only once no others
            // are given back, so the zones stay full while the exchange makes progress.
            (filled, GoalReason::Exchange)
        } else {
            (Filling::No, GoalReason::Demand(plan.reason))
        }
    }

    /// Takes a step of the exchange in full zones, if one is due; returns whether goals changed.
    fn exchange_step(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        plan: &DemandPlan,
        demand: &ServiceDemand,
    ) -> bool {
        // What an earlier holder ordered may not be listed yet.
        if self.is_new(now) && !self.is_first {
            return false;
        }
        let result = match demand.exchange_doubt {
            Some(doubt) => Err(doubt),
            None => self.exchange.step(now, scaling, &mut self.zones, current, plan),
        };
        match result {
            Ok(has_changed) => {
                self.was_lowered |= has_changed;
                has_changed
            }
            Err(cause) => {
                self.exchange.log_cause(now, service, cause);
                false
            }
        }
    }

    /// Takes what there is as the goal of zones that are new, and of all while the lease is.
    fn keep_current(
        &mut self,
        now: Time,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
    ) {
        self.zones.retain(|zone, _| current.contains_key(zone.as_str()));
        // Before the first holder nothing was ordered, so nothing is missing from the list.
        let is_new = self.is_new(now) && !self.is_first;
        for (zone, targets) in current {
            let on_demand = targets.on_demand.min(scaling.max_targets);
            let room = scaling.max_targets - on_demand;
            let reclaimable = targets.reclaimable.min(room);
            let goal =
                self.zones.entry((*zone).to_owned()).or_insert(ZoneGoal { on_demand, reclaimable });
            if is_new {
                // Those that the last holder ordered are still starting, and some may not have
                // been listed.
                goal.on_demand = goal.on_demand.max(on_demand);
                let room = scaling.max_targets.saturating_sub(goal.on_demand);
                goal.reclaimable = goal.reclaimable.max(reclaimable).min(room);
            }
        }
    }

    /// Wants all zones filled to their limits.
    ///
    /// On-demand targets are a fixed share until a plan has lowered them; then as many as are
    /// wanted or listed, and at least those of the plan. On-demand targets up to the share do not
    /// leave, since their caches are warm, and none replaces a reclaimable one that is listed. The
    /// share is wanted again where reclaimable targets are refused or overdue.
    fn fill(
        &mut self,
        now: Time,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        refused: &BTreeSet<String>,
        plan: Option<&DemandPlan>,
    ) {
        let full = full_on_demand(scaling);
        let needed = plan.map_or(0, |plan| plan.on_demand);
        for (zone, goal) in &mut self.zones {
            if self.exchange.is_in_step(zone) {
                continue;
            }
            let listed = current.get(zone.as_str()).copied().unwrap_or_default();
            let is_lowered = self.was_lowered && goal.on_demand > 0;
            let wanted = if is_lowered { goal.on_demand.min(full).max(needed) } else { full };
            let room = scaling.max_targets.saturating_sub(goal.total());
            let wanted = wanted.min(goal.on_demand + room);
            let is_short = listed.reclaimable < goal.reclaimable
                && (refused.contains(zone) || self.exchange.is_overdue(now, scaling, zone));
            let kept = if is_short { full } else { listed.on_demand.min(full) };
            let kept = kept.min(scaling.max_targets.saturating_sub(listed.reclaimable));
            let on_demand = wanted.max(kept).min(scaling.max_targets);
            // A mean at the edge of a whole number must not exchange a target at each look.
            let excess = goal.on_demand.saturating_sub(on_demand);
            let is_kept = excess < MIN_CHANGE && self.was_lowered;
            let on_demand =
                if is_kept { (on_demand + excess).min(scaling.max_targets) } else { on_demand };
            *goal = ZoneGoal { on_demand, reclaimable: scaling.max_targets - on_demand };
        }
    }

    /// Wants reclaimable targets in the place of on-demand ones above the share that a full zone
    /// has, so that their number stays the same. An order would end those that are not listed, so a
    /// new holder waits for them.
    fn exchange_excess(&mut self, scaling: &Scaling, plan: Option<&DemandPlan>) {
        let needed = plan.map_or(0, |plan| plan.on_demand);
        let most = full_on_demand(scaling).max(needed);
        for goal in self.zones.values_mut() {
            let excess = goal.on_demand.saturating_sub(most);
            goal.on_demand -= excess;
            goal.reclaimable += excess;
        }
    }

    fn grow(&mut self, now: Time, scaling: &Scaling, plan: &DemandPlan) {
        for goal in self.zones.values_mut() {
            let missing = plan.on_demand.saturating_sub(goal.on_demand);
            if missing > 0 {
                self.exchange.record_growth(now);
            }
            goal.on_demand += rounded_up(missing, goal.on_demand);
            goal.on_demand = goal.on_demand.min(scaling.max_targets);
            let missing = plan.targets.saturating_sub(goal.total());
            goal.reclaimable += rounded_up(missing, goal.reclaimable);
            goal.reclaimable = goal.reclaimable.min(scaling.max_targets - goal.on_demand);
        }
    }

    /// Takes a step towards a plan that needs fewer targets, if it is time to.
    fn give_back(
        &mut self,
        now: Time,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        plan: &DemandPlan,
        may_return: bool,
    ) {
        let is_excess =
            |goal: &ZoneGoal| goal.total() > plan.targets || goal.on_demand > plan.on_demand;
        if !self.zones.values().any(is_excess) {
            self.excess_since = None;
            return;
        }
        let since = *self.excess_since.get_or_insert(now);
        let is_due = now.since(since) >= RETURN_DELAY
            && !self.is_new(now)
            && self.returned_at.is_none_or(|at| now.since(at) >= RETURN_INTERVAL);
        // After a loss of targets, all that are left are needed.
        let listed: u32 = current.values().map(|zone| zone.on_demand + zone.reclaimable).sum();
        let is_whole = listed >= plan.targets * u32::try_from(current.len()).unwrap_or(u32::MAX);
        if !is_due || !may_return || !is_whole {
            return;
        }
        let total: u32 = self.zones.values().map(|goal| goal.total()).sum();
        let step = ((f64::from(total) * RETURN_SHARE) as u32).max(MIN_CHANGE);
        if self.take_step(scaling, plan, step) {
            self.was_lowered = true;
            self.returned_at = Some(now);
        }
    }

    /// Lowers the goals by `step` targets, in the most expensive zones first; returns whether any
    /// changed. On-demand targets that are not needed leave first; they are exchanged once there are
    /// no others to give back.
    fn take_step(&mut self, scaling: &Scaling, plan: &DemandPlan, step: u32) -> bool {
        let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or_default();
        let mut zones: Vec<(&String, &mut ZoneGoal)> = self.zones.iter_mut().collect();
        zones.sort_by(|a, b| price(b.0).total_cmp(&price(a.0)));
        let mut left = step;
        for (_, goal) in &mut zones {
            let excess = goal.total().saturating_sub(plan.targets).min(left);
            if !is_significant(excess, goal.total()) {
                continue;
            }
            // An on-demand target costs several times as much as a reclaimable one.
            let on_demand = excess.min(goal.on_demand.saturating_sub(plan.on_demand));
            let reclaimable = (excess - on_demand).min(goal.reclaimable);
            goal.on_demand -= on_demand;
            goal.reclaimable -= reclaimable;
            left -= reclaimable + on_demand;
        }
        if left < step {
            return true;
        }
        for (_, goal) in &mut zones {
            let excess = goal.on_demand.saturating_sub(plan.on_demand).min(left);
            if !is_significant(excess, goal.on_demand) {
                continue;
            }
            goal.on_demand -= excess;
            goal.reclaimable += excess;
            left -= excess;
        }
        left < step
    }

    fn log_change(
        &self,
        service: &str,
        before: &BTreeMap<String, ZoneGoal>,
        plan: Option<&DemandPlan>,
        reason: GoalReason,
    ) {
        let mean = plan.map_or(0.0, |plan| plan.mean);
        let peak = plan.map_or(0.0, |plan| plan.peak);
        let decided = reason.as_str();
        for (zone, goal) in &self.zones {
            let known = before.get(zone);
            if known == Some(goal) {
                continue;
            }
            let ZoneGoal { on_demand, reclaimable } = goal;
            let targets = known.map_or(0, |known| known.total());
            log::info!(
                target: "duty", service, zone, on_demand, reclaimable, before = targets, mean, peak,
                decided;
                "targets wanted"
            );
        }
    }
}

/// The smallest change that is worth a call and not less than `missing`.
pub(super) fn rounded_up(missing: u32, count: u32) -> u32 {
    if missing == 0 || is_significant(missing, count) { missing } else { MIN_CHANGE }
}
