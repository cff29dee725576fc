//! Admission queue for the requests of one service on one host.
//!
//! Requests wait here and not on targets. Each organisation has its own queue, and the queues
//! are served by weighted fair queueing in token cost. An organisation above its share may
//! fill targets only to a lower limit, so that requests of the others find free capacity when
//! they arrive.
//!
//! A request that is predicted to start too late is refused as soon as that is known: when it
//! is offered, or when the service slows down while it waits.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    OrgId, Refusal, RefusalReason, Request, Route, Router, Ticket, admission::fair_queue::Waiting,
    router::FillLimit,
};

pub use crate::admission::fair_queue::FairShare;
pub(crate) use crate::admission::{
    fair_queue::{FairQueue, TAG_SCALE, Tag},
    rate::ServiceRate,
};

mod fair_queue;
mod rate;
#[cfg(test)]
mod tests;

/// Maximum number of organisations skipped in one poll because they are above their share.
const MAX_BLOCKED_ORGS: usize = 8;

/// Number of target samples tried before a request waits or is refused as late.
const MAX_ROUTE_SAMPLES: usize = 2;

/// Share of the time left before its deadline that a new request may be predicted to wait.
const MAX_WAIT_SHARE: f64 = 0.75;

/// Minimum retry delay suggested to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum retry delay suggested to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Settings of [`AdmissionQueue`].
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests, over all organisations.
    pub max_waiting: usize,
    /// Time before its deadline at which a waiting request is refused.
    pub deadline_margin: Duration,
    /// Share of a target that an organisation above its fair share may fill, from 0 to 1.
    pub over_share_fill: f64,
    /// Time between two checks for requests that would start too late.
    pub late_check_interval: Duration,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            max_waiting: 4_096,
            deadline_margin: Duration::from_millis(20),
            over_share_fill: 0.9,
            late_check_interval: Duration::from_millis(50),
        }
    }
}

/// What to do with a request that was offered.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueAction {
    /// Send the request; the router has already recorded it as started.
    Start(Ticket, Route),
    /// Refuse the request without running it.
    Refuse(Ticket, Refusal),
}

/// Actions of one poll.
pub type Actions = SmallVec<[QueueAction; 4]>;

/// The waiting requests of one service on one host.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: QueueSettings,
    fair_queue: FairQueue,
    waiting: HashMap<Ticket, Waiting>,
    expiries: BTreeSet<(Time, Ticket)>,
    suspects: VecDeque<Ticket>,
    rate: ServiceRate,
    last_late_check: Time,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> AdmissionQueue {
        AdmissionQueue {
            fair_queue: FairQueue::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            suspects: VecDeque::new(),
            rate: ServiceRate::default(),
            last_late_check: Time::ZERO,
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &QueueSettings {
        &self.settings
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sets the weight and burst of an organisation.
    pub fn set_share(&mut self, org: OrgId, share: FairShare) {
        self.fair_queue.set_share(org, share);
    }

    /// Adds a request; call [`AdmissionQueue::poll`] next.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request is predicted to start too late, or if too many
    /// requests are waiting.
    pub fn enqueue(&mut self, now: Time, ticket: Ticket, request: Request) -> Result<(), Refusal> {
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(self.clamped_refusal(RefusalReason::Full, Duration::ZERO));
        }
        let expiry = request.deadline.saturating_sub(self.settings.deadline_margin);
        let slack = expiry.since(now).saturating_sub(self.rate.mean_ttft()).mul_f64(MAX_WAIT_SHARE);
        let wait = self.rate.wait_for(self.fair_queue.cost_ahead(request.org, request.cost()));
        if !request.suspect && !self.waiting.is_empty() && wait > slack {
            let reason = self.late_reason(now, request.org);
            return Err(self.clamped_refusal(reason, wait - slack));
        }
        self.expiries.insert((expiry, ticket));
        if request.suspect {
            self.suspects.push_back(ticket);
        } else {
            self.fair_queue.push(now, ticket, &request);
        }
        self.waiting.insert(ticket, Waiting { request, expiry });
        Ok(())
    }

    /// Starts requests that have a target and refuses those that are too late.
    ///
    /// To be called after each enqueued request, finished attempt, first token and load
    /// report, and at [`AdmissionQueue::next_poll`].
    pub fn poll(&mut self, now: Time, router: &mut Router, rng: &mut dyn Rng) -> Actions {
        let mut actions = Actions::new();
        self.expire(now, &mut actions);
        self.start_suspects(now, router, rng, &mut actions);
        self.start_queued(now, router, rng, &mut actions);
        self.rate.set_empty(now, self.fair_queue.is_empty());
        if now.since(self.last_late_check) >= self.settings.late_check_interval {
            self.last_late_check = now;
            self.refuse_late(now, &mut actions);
        }
        actions
    }

    /// When to poll next if nothing else happens; `None` if no request is waiting.
    pub fn next_poll(&self) -> Option<Time> {
        let (expiry, _) = self.expiries.first()?;
        Some((*expiry).min(self.last_late_check + self.settings.late_check_interval))
    }

    /// Removes a waiting request whose caller disconnected; false if it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove_waiting(ticket).is_some()
    }

    fn expire(&mut self, now: Time, actions: &mut Actions) {
        while let Some((expiry, ticket)) = self.expiries.first().copied() {
            if expiry > now {
                return;
            }
            let Some(waiting) = self.remove_waiting(ticket) else { return };
            let reason = self.late_reason(now, waiting.request.org);
            let refusal =
                self.clamped_refusal(reason, self.rate.wait_for(self.fair_queue.total_cost()));
            actions.push(QueueAction::Refuse(ticket, refusal));
        }
    }

    fn start_suspects(
        &mut self,
        now: Time,
        router: &mut Router,
        rng: &mut dyn Rng,
        actions: &mut Actions,
    ) {
        for _ in 0..self.suspects.len() {
            let Some(ticket) = self.suspects.pop_front() else { return };
            let Some(waiting) = self.waiting.get(&ticket) else { continue };
            match router.route(now, &waiting.request, &[], rng) {
                Ok(route) => self.start(now, ticket, route, router, actions),
                Err(refusal) if refusal.reason == RefusalReason::Full => {
                    self.suspects.push_front(ticket);
                    return;
                }
                Err(refusal) => self.refuse_waiting(ticket, refusal, actions),
            }
        }
    }

    fn start_queued(
        &mut self,
        now: Time,
        router: &mut Router,
        rng: &mut dyn Rng,
        actions: &mut Actions,
    ) {
        let mut blocked = SmallVec::<[OrgId; MAX_BLOCKED_ORGS]>::new();
        while blocked.len() < MAX_BLOCKED_ORGS {
            let Some((org, ticket)) = self.fair_queue.next(&blocked) else { return };
            let Some(waiting) = self.waiting.get(&ticket) else { return };
            let over_share = self.fair_queue.is_over_share(now, org);
            if over_share && !blocked.is_empty() {
                blocked.push(org);
                continue;
            }
            let fill = self.fill_limit(over_share, router);
            match try_route(now, router, &waiting.request, fill, rng) {
                Ok(route) => self.start(now, ticket, route, router, actions),
                Err(refusal) if refusal.reason != RefusalReason::Full => {
                    self.refuse_waiting(ticket, refusal, actions);
                }
                // A queue further back would take the capacity that this one is waiting for.
                Err(_) if !over_share => return,
                Err(_) => blocked.push(org),
            }
        }
    }

    /// Refuses requests at the back of each queue that would start too late.
    fn refuse_late(&mut self, now: Time, actions: &mut Actions) {
        for org in self.fair_queue.waiting_orgs() {
            while let Some((ticket, cost)) = self.fair_queue.last(org) {
                let Some(waiting) = self.waiting.get(&ticket) else { break };
                let slack = waiting.expiry.since(now).saturating_sub(self.rate.mean_ttft());
                let wait =
                    self.rate.wait_for(self.fair_queue.cost_ahead(org, 0).saturating_sub(cost));
                if wait <= slack {
                    break;
                }
                let refusal = self.clamped_refusal(self.late_reason(now, org), wait - slack);
                self.refuse_waiting(ticket, refusal, actions);
            }
        }
    }

    fn start(
        &mut self,
        now: Time,
        ticket: Ticket,
        route: Route,
        router: &mut Router,
        actions: &mut Actions,
    ) {
        let busy = !self.fair_queue.is_empty();
        let Some(waiting) = self.remove_waiting(ticket) else { return };
        let cost = waiting.request.cost();
        router.start(now, ticket, &waiting.request, &route);
        self.fair_queue.charge(now, waiting.request.org, cost);
        self.rate.record_start(now, cost, route.ttft, busy);
        actions.push(QueueAction::Start(ticket, route));
    }

    fn refuse_waiting(&mut self, ticket: Ticket, refusal: Refusal, actions: &mut Actions) {
        self.remove_waiting(ticket);
        actions.push(QueueAction::Refuse(
            ticket,
            self.clamped_refusal(refusal.reason, refusal.retry_after),
        ));
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(waiting.expiry, ticket));
        if waiting.request.suspect {
            self.suspects.retain(|known| *known != ticket);
        } else {
            self.fair_queue.remove(ticket, &waiting.request);
        }
        Some(waiting)
    }

    fn fill_limit(&self, over_share: bool, router: &Router) -> FillLimit {
        let share = if over_share { self.settings.over_share_fill } else { 1.0 };
        FillLimit { seq_share: share, backlog: router.settings().max_backlog.mul_f64(share) }
    }

    fn late_reason(&self, now: Time, org: OrgId) -> RefusalReason {
        if self.fair_queue.is_over_share(now, org) {
            RefusalReason::ShareUsed
        } else {
            RefusalReason::Late
        }
    }

    fn clamped_refusal(&self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal::new(reason, retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

fn try_route(
    now: Time,
    router: &Router,
    request: &Request,
    fill: FillLimit,
    rng: &mut dyn Rng,
) -> Result<Route, Refusal> {
    let mut result = router.route_within(now, request, &[], fill, rng);
    for _ in 1..MAX_ROUTE_SAMPLES {
        if result.is_ok() {
            return result;
        }
        result = router.route_within(now, request, &[], fill, rng);
    }
    result
}
