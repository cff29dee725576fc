//! The queue of one service's requests on one host.
//!
//! Requests wait here, not at targets: each organisation has its own lane, and
//! lanes are served by weighted fair queueing in token cost. An organisation above
//! its share fills targets less far than the others, so that those find room at
//! once when they come.
//!
//! A request whose turn is predicted to come too late is refused at the moment
//! that is known: when it is offered, or when service slows down while it waits.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    OrgId, Reason, Refusal, Request, Route, Router, Ticket,
    admission::{
        lane::{Lanes, Waiting},
        pace::Pace,
    },
    router::Fill,
};

pub use crate::admission::lane::Share;

mod lane;
mod pace;
#[cfg(test)]
mod tests;

/// Lanes above their share that are passed over in one poll.
const BLOCKED_LANES: usize = 8;

/// Tries, with new samples, before a request waits or is refused as late.
const TRIES: usize = 2;

/// Share of the time in hand that a new request may be predicted to wait.
const ACCEPTED_WAIT: f64 = 0.75;

/// Shortest retry time told.
const RETRY_FLOOR: Duration = Duration::from_millis(100);

/// Longest retry time told.
const RETRY_CEILING: Duration = Duration::from_secs(30);

/// Limits of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Requests waiting at once, over all organisations.
    pub waiting: usize,
    /// Time kept in hand before a deadline.
    pub margin: Duration,
    /// Share of a target that an organisation above its own share may fill, from 0 to 1.
    pub over_fill: f64,
    /// Time between two looks for requests whose turn will come too late.
    pub review: Duration,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            waiting: 4_096,
            margin: Duration::from_millis(20),
            over_fill: 0.9,
            review: Duration::from_millis(50),
        }
    }
}

/// What to do with a request that was offered.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send it; the router counts it as started already.
    Start(Ticket, Route),
    /// Answer it "not run", at once.
    Refuse(Ticket, Refusal),
}

/// Actions of one poll.
pub type Actions = SmallVec<[Action; 4]>;

/// The waiting requests of one service on one host.
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
    lanes: Lanes,
    waiting: HashMap<Ticket, Waiting>,
    expiries: BTreeSet<(Time, Ticket)>,
    suspects: VecDeque<Ticket>,
    pace: Pace,
    reviewed: Time,
}

impl Queue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Queue {
        Queue {
            lanes: Lanes::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            suspects: VecDeque::new(),
            pace: Pace::default(),
            reviewed: Time::ZERO,
            settings,
        }
    }

    /// The limits in use.
    pub fn settings(&self) -> &QueueSettings {
        &self.settings
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sets an organisation's share.
    pub fn set_share(&mut self, org: OrgId, share: Share) {
        self.lanes.set_share(org, share);
    }

    /// Takes in a request; call [`Queue::poll`] next.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when its turn is predicted to come too late, or when too
    /// many requests wait.
    pub fn offer(&mut self, now: Time, ticket: Ticket, request: Request) -> Result<(), Refusal> {
        if self.waiting.len() >= self.settings.waiting {
            return Err(self.refuse(Reason::Full, Duration::ZERO));
        }
        let expiry = request.deadline.before(self.settings.margin);
        let slack = expiry.since(now).saturating_sub(self.pace.first()).mul_f64(ACCEPTED_WAIT);
        let wait = self.pace.wait(self.lanes.ahead(request.org, request.cost()));
        if !request.suspect && !self.waiting.is_empty() && wait > slack {
            let reason = self.reason(now, request.org);
            return Err(self.refuse(reason, wait - slack));
        }
        self.expiries.insert((expiry, ticket));
        if request.suspect {
            self.suspects.push_back(ticket);
        } else {
            self.lanes.push(now, ticket, &request);
        }
        self.waiting.insert(ticket, Waiting { request, expiry });
        Ok(())
    }

    /// Starts what can start and refuses what can no longer be in time.
    ///
    /// Call it after each offer, finish, first token and load report, and at
    /// [`Queue::next_check`].
    pub fn poll(&mut self, now: Time, router: &mut Router, rng: &mut dyn Rng) -> Actions {
        let mut actions = Actions::new();
        self.expire(now, &mut actions);
        self.start_suspects(now, router, rng, &mut actions);
        self.start_lanes(now, router, rng, &mut actions);
        self.pace.idle(now, self.lanes.is_empty());
        if now.since(self.reviewed) >= self.settings.review {
            self.reviewed = now;
            self.review(now, &mut actions);
        }
        actions
    }

    /// When to poll next, if nothing happens before.
    pub fn next_check(&self) -> Option<Time> {
        let (expiry, _) = self.expiries.first()?;
        Some((*expiry).min(self.reviewed + self.settings.review))
    }

    /// Drops a waiting request whose caller left; false if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.take(ticket).is_some()
    }

    fn expire(&mut self, now: Time, actions: &mut Actions) {
        while let Some((expiry, ticket)) = self.expiries.first().copied() {
            if expiry > now {
                return;
            }
            let Some(waiting) = self.take(ticket) else { return };
            let reason = self.reason(now, waiting.request.org);
            let refusal = self.refuse(reason, self.pace.wait(self.lanes.cost()));
            actions.push(Action::Refuse(ticket, refusal));
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
                Err(refusal) if refusal.reason == Reason::Full => {
                    self.suspects.push_front(ticket);
                    return;
                }
                Err(refusal) => self.give_up(ticket, refusal, actions),
            }
        }
    }

    fn start_lanes(
        &mut self,
        now: Time,
        router: &mut Router,
        rng: &mut dyn Rng,
        actions: &mut Actions,
    ) {
        let mut blocked = SmallVec::<[OrgId; BLOCKED_LANES]>::new();
        while blocked.len() < BLOCKED_LANES {
            let Some((org, ticket)) = self.lanes.next(&blocked) else { return };
            let Some(waiting) = self.waiting.get(&ticket) else { return };
            let over = self.lanes.is_over(now, org);
            if over && !blocked.is_empty() {
                blocked.push(org);
                continue;
            }
            let fill = self.fill(over, router);
            match try_route(now, router, &waiting.request, fill, rng) {
                Ok(route) => self.start(now, ticket, route, router, actions),
                Err(refusal) if refusal.reason != Reason::Full => {
                    self.give_up(ticket, refusal, actions);
                }
                // A lane further back would take the room that this one waits for.
                Err(_) if !over => return,
                Err(_) => blocked.push(org),
            }
        }
    }

    /// Refuses requests from the back of lanes whose turn will come too late.
    fn review(&mut self, now: Time, actions: &mut Actions) {
        for org in self.lanes.active() {
            while let Some((ticket, cost)) = self.lanes.last(org) {
                let Some(waiting) = self.waiting.get(&ticket) else { break };
                let slack = waiting.expiry.since(now).saturating_sub(self.pace.first());
                let wait = self.pace.wait(self.lanes.ahead(org, 0).saturating_sub(cost));
                if wait <= slack {
                    break;
                }
                let refusal = self.refuse(self.reason(now, org), wait - slack);
                self.give_up(ticket, refusal, actions);
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
        let busy = !self.lanes.is_empty();
        let Some(waiting) = self.take(ticket) else { return };
        let cost = waiting.request.cost();
        router.start(now, ticket, &waiting.request, &route);
        self.lanes.charge(now, waiting.request.org, cost);
        self.pace.started(now, cost, route.first, busy);
        actions.push(Action::Start(ticket, route));
    }

    fn give_up(&mut self, ticket: Ticket, refusal: Refusal, actions: &mut Actions) {
        self.take(ticket);
        actions.push(Action::Refuse(ticket, self.refuse(refusal.reason, refusal.retry_after)));
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(waiting.expiry, ticket));
        if waiting.request.suspect {
            self.suspects.retain(|known| *known != ticket);
        } else {
            self.lanes.remove(ticket, &waiting.request);
        }
        Some(waiting)
    }

    fn fill(&self, over: bool, router: &Router) -> Fill {
        let share = if over { self.settings.over_fill } else { 1.0 };
        Fill { seqs: share, backlog: router.settings().backlog.mul_f64(share) }
    }

    fn reason(&self, now: Time, org: OrgId) -> Reason {
        if self.lanes.is_over(now, org) { Reason::ShareUsed } else { Reason::Late }
    }

    fn refuse(&self, reason: Reason, retry_after: Duration) -> Refusal {
        Refusal::new(reason, retry_after.clamp(RETRY_FLOOR, RETRY_CEILING))
    }
}

fn try_route(
    now: Time,
    router: &Router,
    request: &Request,
    fill: Fill,
    rng: &mut dyn Rng,
) -> Result<Route, Refusal> {
    let mut result = router.route_within(now, request, &[], fill, rng);
    for _ in 1..TRIES {
        if result.is_ok() {
            return result;
        }
        result = router.route_within(now, request, &[], fill, rng);
    }
    result
}
