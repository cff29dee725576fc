//! Target selection: the policy's router and the baselines for it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::{
    AttemptOutcome, CacheEvent, LoadReport, Refusal, RefusalReason, Request, Route, Router, Target,
    TargetId, TargetState, Ticket,
};
use rand::Rng;

/// Selects a target for each request.
pub trait TargetPicker {
    /// Routes a request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no target outside `except` can take it now.
    fn pick(
        &mut self,
        now: Time,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal>;

    /// Counts an attempt as sent.
    fn start(&mut self, now: Time, ticket: Ticket, request: &Request, route: &Route);

    /// Adds or updates a target.
    fn set_target(&mut self, now: Time, target: Target);

    /// Handles a load report of a target.
    fn report(&mut self, _now: Time, _id: TargetId, _report: LoadReport) {}

    /// Handles a prefix-cache event of a target.
    fn cache_event(&mut self, _event: &CacheEvent) {}

    /// Records the first token of an attempt.
    fn first_token(&mut self, _now: Time, _ticket: Ticket) {}

    /// Records the end of an attempt; `_at` is the target that failed, if one did.
    fn finish(
        &mut self,
        _now: Time,
        _ticket: Ticket,
        _outcome: AttemptOutcome,
        _at: Option<TargetId>,
    ) {
    }
}

/// Selects targets with the policy's router.
#[derive(Debug)]
pub struct PolicyPicker {
    router: Router,
}

impl PolicyPicker {
    /// A picker that uses `router`.
    pub fn new(router: Router) -> PolicyPicker {
        PolicyPicker { router }
    }
}

impl TargetPicker for PolicyPicker {
    fn pick(
        &mut self,
        now: Time,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        self.router.route(now, request, except, rng)
    }

    fn start(&mut self, now: Time, ticket: Ticket, request: &Request, route: &Route) {
        self.router.start(now, ticket, request, route);
    }

    fn set_target(&mut self, now: Time, target: Target) {
        self.router.set_target(now, target);
    }

    fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        self.router.report(now, id, report);
    }

    fn cache_event(&mut self, event: &CacheEvent) {
        self.router.cache_event(event);
    }

    fn first_token(&mut self, now: Time, ticket: Ticket) {
        self.router.first_token(now, ticket);
    }

    fn finish(&mut self, now: Time, ticket: Ticket, outcome: AttemptOutcome, at: Option<TargetId>) {
        self.router.finish(now, ticket, outcome, at);
    }
}

/// Picks the target with the least load: the last report plus the requests sent since.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    targets: BTreeMap<TargetId, TargetLoad>,
}

#[derive(Debug, Default)]
struct TargetLoad {
    serving: bool,
    reported: u32,
    sent: VecDeque<Time>,
}

impl TargetLoad {
    fn load(&self) -> usize {
        self.reported as usize + self.sent.len()
    }
}

impl TargetPicker for LeastLoaded {
    fn pick(
        &mut self,
        _now: Time,
        _request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        let usable = self.targets.iter().filter(|(id, t)| t.serving && !except.contains(id));
        // A random tie-break, so that entries with the same reports do not all choose
        // the same target.
        let least = usable.min_by_key(|(_, target)| (target.load(), rng.next_u32()));
        least.map(|(id, _)| single_target_route(*id)).ok_or_else(no_target)
    }

    fn start(&mut self, now: Time, _: Ticket, _: &Request, route: &Route) {
        if let Some(target) = self.targets.get_mut(&route.decode) {
            target.sent.push_back(now);
        }
    }

    fn set_target(&mut self, _: Time, target: Target) {
        self.targets.entry(target.id).or_default().serving = target.state == TargetState::Serving;
    }

    fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.reported = report.running + report.waiting;
        let measured = now.saturating_sub(report.age);
        while target.sent.front().is_some_and(|at| *at <= measured) {
            target.sent.pop_front();
        }
    }
}

/// Picks the serving targets in turn.
#[derive(Debug)]
pub struct RoundRobin {
    serving: Vec<TargetId>,
    next_index: usize,
}

impl RoundRobin {
    /// Creates a picker that starts with the target at position `next_index`.
    pub fn new(next_index: usize) -> RoundRobin {
        RoundRobin { serving: Vec::new(), next_index }
    }
}

impl TargetPicker for RoundRobin {
    fn pick(
        &mut self,
        _now: Time,
        _request: &Request,
        except: &[TargetId],
        _rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        for _ in 0..self.serving.len() {
            let id = self.serving[self.next_index % self.serving.len()];
            self.next_index += 1;
            if !except.contains(&id) {
                return Ok(single_target_route(id));
            }
        }
        Err(no_target())
    }

    fn start(&mut self, _: Time, _: Ticket, _: &Request, _: &Route) {}

    fn set_target(&mut self, _: Time, target: Target) {
        self.serving.retain(|id| *id != target.id);
        if target.state == TargetState::Serving {
            self.serving.push(target.id);
            self.serving.sort();
        }
    }
}

fn single_target_route(id: TargetId) -> Route {
    Route { prefill: id, decode: id, cached_tokens: 0, fetch: None, ttft: Duration::ZERO }
}

fn no_target() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, Duration::from_secs(1))
}
