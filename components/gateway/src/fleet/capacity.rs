//! Whether targets have capacity for a request, beside what others need of them.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{Fit, Forecast, LatencyTargets, Supply, Turn};

use crate::fleet::{
    Fleet, Placement, Plan, TargetQuery, TargetRole, placing::Rules, target::TargetState,
};

/// Share of the targets that requests of less urgent kinds leave to the more urgent ones.
const RESERVED_SHARE: f64 = 0.5;

/// Maximum number of targets left to them: what serves the urgent requests of the largest deployments.
/// With capacity for all, so many are found after looking at few targets of the fleet.
const MAX_RESERVED: usize = 24;

/// What a request asks of the capacity.
#[derive(Debug, Clone, Copy)]
pub struct CapacityClaim<'a> {
    /// Latency targets of the service's routes.
    pub targets: &'a LatencyTargets,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Time left until its first event is late.
    pub time_left: Duration,
    /// Whose turn it is.
    pub turn: Turn,
}

/// The targets that a request may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub enum Capacity {
    /// They have capacity for it.
    Free(Plan),
    /// The cheapest ones; no target has capacity for it.
    Full(Plan),
    /// No target may be sent it.
    NoTarget,
}

impl Fleet {
    /// Chooses targets that have capacity for a request: the cheapest, or else those that are not kept
    /// busy for long.
    pub fn place_with_capacity(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        claim: &CapacityClaim<'_>,
    ) -> Capacity {
        let rules = Rules { max_wait: None, assumes_work: true };
        let Some(cheapest) = self.place_by(now, query, rules) else { return Capacity::NoTarget };
        if self.has_capacity(now, query.service, &cheapest, claim) {
            return Capacity::Free(cheapest);
        }
        let waits = [claim.time_left / 2, claim.targets.late_wait(claim.priority)];
        for max_wait in waits.into_iter().filter(|wait| !wait.is_zero()) {
            if !self.has_free_target(now, query.service, max_wait) {
                continue;
            }
            let plan = self.place_by(now, query, Rules { max_wait: Some(max_wait), ..rules });
            let fitting = plan.filter(|plan| self.has_capacity(now, query.service, plan, claim));
            if let Some(plan) = fitting {
                return Capacity::Free(plan);
            }
        }
        Capacity::Full(cheapest)
    }

    /// Whether a waiting request may still be sent to a target that serves now: at once, or once a
    /// target may be sent something again, if that is by `last_start`. A stream that goes on at one
    /// software version does not wait for that, as the requests behind it may use other targets.
    pub fn may_find_target(&self, now: Time, query: &TargetQuery<'_>, last_start: Time) -> bool {
        let usable = |state: &TargetState| match self.hold(now, state) {
            None => true,
            Some((_, wait)) => query.build.is_none() && now + wait <= last_start,
        };
        self.targets.values().any(|state| {
            state.serves(now, query.service)
                && state.entry.role != TargetRole::Prefill
                && query.build.is_none_or(|build| state.build(now).id == build)
                && !query.exclude.contains(&state.entry.id)
                && usable(state)
        })
    }

    /// Number of targets of `service` that start a request within `max_wait`.
    pub fn free_targets(&self, now: Time, service: &str, max_wait: Duration) -> usize {
        let serving = self.targets.values().filter(|state| state.serves(now, service));
        serving.filter(|state| self.starts_within(now, state, max_wait)).count()
    }

    /// Whether a target of `service` starts a request within `max_wait`.
    fn has_free_target(&self, now: Time, service: &str, max_wait: Duration) -> bool {
        let mut serving = self.targets.values().filter(|state| state.serves(now, service));
        serving.any(|state| self.starts_within(now, state, max_wait))
    }

    /// What is predicted of the targets of `service`, for requests that wait until one starts them within
    /// `max_wait`.
    pub fn supply(&self, now: Time, service: &str, max_wait: Duration) -> Supply {
        let (mut shortest, mut targets) = (f64::INFINITY, 0);
        for state in self.targets.values().filter(|state| state.serves(now, service)) {
            targets += 1;
            let wait = if self.starts_within(now, state, max_wait) {
                0.0
            } else {
                self.assumed_wait(now, state)
            };
            shortest = shortest.min(wait);
        }
        let shortest = if targets == 0 { 0.0 } else { shortest };
        Supply { until_capacity: millis(shortest).saturating_sub(max_wait), targets }
    }

    /// Whether the targets of `plan` have capacity.
    fn has_capacity(
        &self,
        now: Time,
        service: &str,
        plan: &Plan,
        claim: &CapacityClaim<'_>,
    ) -> bool {
        let Plan { placement, prefill } = plan;
        let Some(state) = self.targets.get(&placement.id) else { return false };
        if state.entry.role == TargetRole::Whole {
            return self.has_slot(now, state);
        }
        let computing = prefill.as_ref().unwrap_or(placement);
        let targets = [Some(state), self.targets.get(&computing.id)];
        if targets.into_iter().flatten().any(|state| self.is_unreported(now, state)) {
            return false;
        }
        let forecast = Forecast {
            time_left: claim.time_left,
            wait: millis(computing.wait_ms.max(placement.wait_ms)),
            work: millis(computing.prefill_ms),
            first_event: plan.predicted_time(),
        };
        match claim.targets.fit(claim.priority, claim.turn, &forecast) {
            Fit::Fits => true,
            Fit::Full => false,
            Fit::IfOthersKeep(tolerance) => self.others_keep(now, service, computing, tolerance),
        }
    }

    /// Whether enough targets beside the one of `placement` make requests wait for no longer than
    /// `tolerance`.
    fn others_keep(
        &self,
        now: Time,
        service: &str,
        placement: &Placement,
        tolerance: Duration,
    ) -> bool {
        let (mut serving, mut others) = (0_usize, 0_usize);
        for state in self.targets.values().filter(|state| state.serves(now, service)) {
            serving += 1;
            let is_other = state.entry.id != placement.id;
            others += usize::from(is_other && self.starts_within(now, state, tolerance));
            if others == MAX_RESERVED {
                return true;
            }
        }
        others >= (serving as f64 * RESERVED_SHARE) as usize
    }

    /// Whether a target starts a request within `max_wait`.
    pub(super) fn starts_within(&self, now: Time, state: &TargetState, max_wait: Duration) -> bool {
        if self.hold(now, state).is_some() {
            return false;
        }
        if state.entry.role == TargetRole::Whole {
            return self.has_slot(now, state);
        }
        !self.is_unreported(now, state)
            && self.assumed_wait(now, state) <= max_wait.as_secs_f64() * 1e3
    }

    /// Whether fewer requests than its slots are open at the target of a plain service.
    fn has_slot(&self, now: Time, state: &TargetState) -> bool {
        let others = self.assumed_load(now, state);
        !self.is_unreported(now, state)
            && state.in_flight + others.in_flight < state.entry.slots.max(1)
    }
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}
