//! The waiting and running requests of one service on this host.
//!
//! The decisions are the policy's; a lane only holds its state, wakes those who
//! wait, and makes sure that each attempt that started is also ended.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use chervilgate_clock::{Clock, Time};
use chervilgate_policy::{
    Action, LoadReport, Outcome, Queue, QueueSettings, Reason, Refusal, Request, Route,
    RouteSettings, Router, Target, TargetId, Ticket,
};
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tokio::sync::{Notify, oneshot};

/// Pause before a further target is looked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

type RouteResult = Result<Route, Refusal>;

struct State {
    router: Router,
    queue: Queue,
    rng: SmallRng,
    targets: HashSet<TargetId>,
    waiting: HashMap<Ticket, oneshot::Sender<RouteResult>>,
    running: HashSet<Ticket>,
    next_ticket: u64,
}

/// Requests on one lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct RequestCounts {
    /// Requests that wait for a target.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
}

/// One service's queue and router.
pub(crate) struct Scheduler {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    changed: Notify,
}

impl Scheduler {
    /// A lane without targets; its timer runs until the lane is dropped.
    pub(crate) fn start(
        clock: Arc<dyn Clock>,
        routing: RouteSettings,
        seed: u64,
    ) -> Arc<Scheduler> {
        let state = State {
            router: Router::new(routing),
            queue: Queue::new(QueueSettings::default()),
            rng: SmallRng::seed_from_u64(seed),
            targets: HashSet::new(),
            waiting: HashMap::new(),
            running: HashSet::new(),
            next_ticket: 0,
        };
        let scheduler =
            Arc::new(Scheduler { state: Mutex::new(state), clock, changed: Notify::new() });
        tokio::spawn(run_timer(Arc::downgrade(&scheduler)));
        scheduler
    }

    /// Waits for a target; the slot must be ended by its holder.
    ///
    /// # Errors
    /// The policy's refusal: the request was not run.
    pub(crate) async fn admit(self: &Arc<Scheduler>, request: Request) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = Ticket(state.next_ticket);
            state.next_ticket += 1;
            state.waiting.insert(ticket, sender);
            if let Err(refusal) = state.queue.offer(now, ticket, request) {
                state.waiting.remove(&ticket);
                return Err(refusal);
            }
            ticket
        };
        let mut guard = CancelGuard { scheduler: self.clone(), ticket, armed: true };
        self.poll();
        let result = receiver.await;
        guard.armed = false;
        let refused = || Refusal::new(Reason::NoTarget, Duration::from_secs(1));
        let route = result.unwrap_or_else(|_| Err(refused()))?;
        Ok(Slot { scheduler: self.clone(), ticket, route, active: true })
    }

    /// Finds a further target for a request that failed at those in `except`.
    ///
    /// It has had its turn in the queue, so it goes ahead of it.
    ///
    /// # Errors
    /// The policy's refusal, once the request's deadline does not allow more waiting.
    pub(crate) async fn admit_retry(
        self: &Arc<Scheduler>,
        request: Request,
        excluded: &[TargetId],
    ) -> Result<Slot, Refusal> {
        loop {
            let now = self.clock.now();
            let refusal = match self.start_excluding(now, &request, excluded) {
                Ok((ticket, route)) => {
                    return Ok(Slot { scheduler: self.clone(), ticket, route, active: true });
                }
                Err(refusal) => refusal,
            };
            let retryable = refusal.reason == Reason::Full;
            if !retryable || now + RETRY_INTERVAL >= request.deadline {
                return Err(refusal);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn start_excluding(
        &self,
        now: Time,
        request: &Request,
        excluded: &[TargetId],
    ) -> Result<(Ticket, Route), Refusal> {
        let mut state = self.lock();
        let State { router, rng, running, next_ticket, .. } = &mut *state;
        let route = router.route(now, request, excluded, rng)?;
        let ticket = Ticket(*next_ticket);
        *next_ticket += 1;
        router.start(now, ticket, request, &route);
        running.insert(ticket);
        Ok((ticket, route))
    }

    /// Replaces the router's targets.
    pub(crate) fn set_targets(&self, targets: Vec<Target>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let listed: HashSet<TargetId> = targets.iter().map(|target| target.id).collect();
        let gone: Vec<TargetId> = state.targets.difference(&listed).copied().collect();
        for id in gone {
            state.router.remove_target(id);
        }
        for target in targets {
            state.router.set_target(now, target);
        }
        state.targets = listed;
        drop(state);
        self.poll();
    }

    /// Takes in a load report.
    pub(crate) fn report(&self, id: TargetId, report: LoadReport) {
        let now = self.clock.now();
        self.lock().router.report(now, id, report);
        self.poll();
    }

    /// Requests that wait and that run.
    pub(crate) fn counts(&self) -> RequestCounts {
        let state = self.lock();
        RequestCounts { waiting: state.waiting.len(), running: state.running.len() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts and refuses what the policy says, and wakes those concerned.
    fn poll(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { router, queue, rng, waiting, running, .. } = &mut *state;
        for action in queue.poll(now, router, rng) {
            let (ticket, result) = match action {
                Action::Start(ticket, route) => (ticket, Ok(route)),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let started = result.is_ok();
            let delivered =
                waiting.remove(&ticket).is_some_and(|sender| sender.send(result).is_ok());
            if started && delivered {
                running.insert(ticket);
            }
            if started && !delivered {
                router.finish(now, ticket, Outcome::Cancelled, None);
            }
        }
        drop(state);
        self.changed.notify_one();
    }

    fn end_attempt(&self, ticket: Ticket, outcome: Outcome, at: Option<TargetId>) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            if !state.running.remove(&ticket) {
                return;
            }
            state.router.finish(now, ticket, outcome, at);
        }
        self.poll();
    }
}

/// Polls the queue when the next refusal is due.
async fn run_timer(weak: Weak<Scheduler>) {
    /// Longest pause, so that a dropped lane's timer ends.
    const MAX_PAUSE: Duration = Duration::from_millis(500);
    while let Some(scheduler) = weak.upgrade() {
        let now = scheduler.clock.now();
        let due = scheduler.lock().queue.next_check();
        let pause = due.map_or(MAX_PAUSE, |due| due.since(now).min(MAX_PAUSE));
        let changed = tokio::time::timeout(pause, scheduler.changed.notified()).await.is_ok();
        if !changed {
            scheduler.poll();
        }
        drop(scheduler);
        tokio::task::yield_now().await;
    }
}

/// Takes a request out of the queue when its caller leaves.
struct CancelGuard {
    scheduler: Arc<Scheduler>,
    ticket: Ticket,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut state = self.scheduler.lock();
        state.waiting.remove(&self.ticket);
        let queued = state.queue.cancel(self.ticket);
        drop(state);
        if !queued {
            self.scheduler.end_attempt(self.ticket, Outcome::Cancelled, None);
        }
    }
}

/// One attempt's place at its targets; an unended one counts as cancelled.
pub(crate) struct Slot {
    scheduler: Arc<Scheduler>,
    ticket: Ticket,
    route: Route,
    active: bool,
}

impl Slot {
    /// Where the attempt runs.
    pub(crate) fn route(&self) -> &Route {
        &self.route
    }

    /// Notes that the first token came.
    pub(crate) fn first_token(&self) {
        let now = self.scheduler.clock.now();
        self.scheduler.lock().router.first_token(now, self.ticket);
        self.scheduler.poll();
    }

    /// Ends the attempt.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.active = false;
        let failed = matches!(outcome, Outcome::Failed | Outcome::Crashed);
        let at = failed.then_some(self.route.decode);
        self.scheduler.end_attempt(self.ticket, outcome, at);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.active {
            self.scheduler.end_attempt(self.ticket, Outcome::Cancelled, None);
        }
    }
}
