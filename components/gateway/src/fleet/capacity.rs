//! Whether targets have capacity for a request, beside what others need of them.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{Fit, Forecast, LatencyTargets, Supply, Turn};

use crate::{
    fleet::{
        Fleet, Placement, Plan, TargetQuery, TargetRole, placing::Rules, room::Need,
        target::TargetState,
    },
    protocol::Prompt,
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

/// Longest time for which a stream that goes on at one software version waits for targets that ask for
/// rest or name a limit: in this time requests behind it do not start.
const MAX_BOUND_WAIT: Duration = Duration::from_millis(250);

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
        if self.has_capacity(now, query, &cheapest, claim) {
            return Capacity::Free(cheapest);
        }
        let waits = [claim.time_left / 2, claim.targets.late_wait(claim.priority)];
        for max_wait in waits.into_iter().filter(|wait| !wait.is_zero()) {
            if !self.has_free_target(now, query.service, max_wait) {
                continue;
            }
            let plan = self.place_by(now, query, Rules { max_wait: Some(max_wait), ..rules });
            let fitting = plan.filter(|plan| self.has_capacity(now, query, plan, claim));
            if let Some(plan) = fitting {
                return Capacity::Free(plan);
            }
        }
        Capacity::Full(cheapest)
    }

    /// Whether a waiting request may still be sent to a target that is listed: now, or once it may be
    /// sent something again, if that is by `last_start`. A stream that goes on at one software version
    /// waits only shortly for that, as the requests behind it may use other targets meanwhile.
    pub fn may_find_target(&self, now: Time, query: &TargetQuery<'_>, last_start: Time) -> bool {
        let last_wait = match query.build {
            None => last_start.since(now),
            Some(_) => last_start.since(now).min(MAX_BOUND_WAIT),
        };
        self.targets.values().any(|state| {
            let entry = &state.entry;
            let held = self.hold(now, state).map_or(Duration::ZERO, |(_, wait)| wait);
            let avoided = state.avoided_until.map_or(Duration::ZERO, |until| until.since(now));
            *entry.service == *query.service
                && !entry.draining
                && entry.role != TargetRole::Prefill
                && query.build.is_none_or(|build| state.build(now).id == build)
                && !query.exclude.contains(&entry.id)
                && held.max(avoided) <= last_wait
        })
    }

    /// Number of targets of `service` that start a request within `max_wait`.
    pub fn free_targets(&self, now: Time, service: &str, max_wait: Duration) -> usize {
        let need = self.least_need(service);
        let serving = self.targets.values().filter(|state| state.serves(now, service));
        serving.filter(|state| self.starts_within(now, state, max_wait, &need)).count()
    }

    /// Whether a target of `service` starts a request within `max_wait`.
    fn has_free_target(&self, now: Time, service: &str, max_wait: Duration) -> bool {
        let need = self.least_need(service);
        let mut serving = self.targets.values().filter(|state| state.serves(now, service));
        serving.any(|state| self.starts_within(now, state, max_wait, &need))
    }

    /// What is predicted of the targets of `service`, for requests that wait until one starts them within
    /// `max_wait`.
    pub fn supply(&self, now: Time, service: &str, max_wait: Duration) -> Supply {
        let need = self.least_need(service);
        let (mut shortest, mut targets) = (f64::INFINITY, 0);
        for state in self.targets.values().filter(|state| state.serves(now, service)) {
            targets += 1;
            let wait = if self.starts_within(now, state, max_wait, &need) {
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
    pub(super) fn has_capacity(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        plan: &Plan,
        claim: &CapacityClaim<'_>,
    ) -> bool {
        let Plan { placement, prefill } = plan;
        if !prefill.iter().chain([placement]).all(|placement| self.has_room(now, placement, query))
        {
            return false;
        }
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
            Fit::IfOthersKeep(tolerance) => {
                self.others_keep(now, query.service, computing, tolerance)
            }
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
        let need = self.least_need(service);
        let (mut serving, mut others) = (0_usize, 0_usize);
        for state in self.targets.values().filter(|state| state.serves(now, service)) {
            serving += 1;
            let is_other = state.entry.id != placement.id;
            others += usize::from(is_other && self.starts_within(now, state, tolerance, &need));
            if others == MAX_RESERVED {
                return true;
            }
        }
        others >= (serving as f64 * RESERVED_SHARE) as usize
    }

    /// What a request of the service takes at least.
    pub(super) fn least_need(&self, service: &str) -> Need {
        self.need(service, &Prompt::default())
    }

    /// Whether a target has room for `need` and starts a request within `max_wait`.
    pub(super) fn starts_within(
        &self,
        now: Time,
        state: &TargetState,
        max_wait: Duration,
        need: &Need,
    ) -> bool {
        if self.hold(now, state).is_some() {
            return false;
        }
        if state.entry.role == TargetRole::Whole {
            return self.has_slot(now, state);
        }
        self.excess(now, state, need) <= 0.0
            && !self.is_unreported(now, state)
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
