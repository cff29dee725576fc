//! Queues and routes the requests of one service on this host.
//!
//! The policy crate makes the decisions. The scheduler holds its state, wakes
//! waiting requests and ensures that each attempt that starts is also ended.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use chervilgate_clock::{Clock, Time};
use chervilgate_policy::{
    AdmissionQueue, AttemptOutcome, LoadReport, QueueAction, QueueSettings, Refusal, RefusalReason,
    Request, Route, RouteSettings, Router, Target, TargetId, Ticket,
};
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tokio::sync::{Notify, oneshot};

/// Pause between attempts to find a target for a retried request.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

type RouteResult = Result<Route, Refusal>;

struct State {
    router: Router,
    queue: AdmissionQueue,
    rng: SmallRng,
    targets: HashSet<TargetId>,
    waiting: HashMap<Ticket, oneshot::Sender<RouteResult>>,
    running: HashSet<Ticket>,
    next_ticket: u64,
}

/// Number of requests in one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct RequestCounts {
    /// Requests queued for a target.
    pub waiting: usize,
    /// Requests sent to a target and not ended.
    pub running: usize,
}

/// One service's queue and router.
pub(crate) struct Scheduler {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    changed: Notify,
}

impl Scheduler {
    /// Creates a scheduler without targets; its timer runs until it is dropped.
    pub(crate) fn start(
        clock: Arc<dyn Clock>,
        routing: RouteSettings,
        seed: u64,
    ) -> Arc<Scheduler> {
        let state = State {
            router: Router::new(routing),
            queue: AdmissionQueue::new(QueueSettings::default()),
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

    /// Queues a request until the policy assigns it a target.
    ///
    /// # Errors
    /// If the policy refuses the request, which then has not run.
    pub(crate) async fn admit(self: &Arc<Scheduler>, request: Request) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = Ticket(state.next_ticket);
            state.next_ticket += 1;
            state.waiting.insert(ticket, sender);
            if let Err(refusal) = state.queue.enqueue(now, ticket, request) {
                state.waiting.remove(&ticket);
                return Err(refusal);
            }
            ticket
        };
        let mut guard = CancelGuard { scheduler: self.clone(), ticket, armed: true };
        self.poll();
        let result = receiver.await;
        guard.armed = false;
        let refused = || Refusal::new(RefusalReason::NoTarget, Duration::from_secs(1));
        let route = result.unwrap_or_else(|_| Err(refused()))?;
        Ok(Slot { scheduler: self.clone(), ticket, route, active: true })
    }

    /// Finds another target for a request that failed at those in `excluded`.
    ///
    /// Bypasses the queue, since the request has already waited in it once.
    ///
    /// # Errors
    /// If the policy refuses the request, or all targets are full until its deadline.
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
            let retryable = refusal.reason == RefusalReason::Full;
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

    /// Updates the load of one target.
    pub(crate) fn report(&self, id: TargetId, report: LoadReport) {
        let now = self.clock.now();
        self.lock().router.report(now, id, report);
        self.poll();
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let state = self.lock();
        RequestCounts { waiting: state.waiting.len(), running: state.running.len() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the policy's decisions and notifies the requests concerned.
    fn poll(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { router, queue, rng, waiting, running, .. } = &mut *state;
        for action in queue.poll(now, router, rng) {
            let (ticket, result) = match action {
                QueueAction::Start(ticket, route) => (ticket, Ok(route)),
                QueueAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let started = result.is_ok();
            let delivered =
                waiting.remove(&ticket).is_some_and(|sender| sender.send(result).is_ok());
            if started && delivered {
                running.insert(ticket);
            }
            if started && !delivered {
                router.finish(now, ticket, AttemptOutcome::Cancelled, None);
            }
        }
        drop(state);
        self.changed.notify_one();
    }

    fn end_attempt(&self, ticket: Ticket, outcome: AttemptOutcome, at: Option<TargetId>) {
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

/// Polls the queue when its next deadline is due.
async fn run_timer(weak: Weak<Scheduler>) {
    /// Upper bound, so that the timer of a dropped scheduler ends.
    const MAX_PAUSE: Duration = Duration::from_millis(500);
    while let Some(strong) = weak.upgrade() {
        let now = strong.clock.now();
        let due = strong.lock().queue.next_poll();
        let pause = due.map_or(MAX_PAUSE, |due| due.since(now).min(MAX_PAUSE));
        let changed = tokio::time::timeout(pause, strong.changed.notified()).await.is_ok();
        if !changed {
            strong.poll();
        }
        drop(strong);
        tokio::task::yield_now().await;
    }
}

/// Removes a request from the queue if it is dropped, as when the caller disconnects.
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
            self.scheduler.end_attempt(self.ticket, AttemptOutcome::Cancelled, None);
        }
    }
}

/// A running attempt; counts as cancelled if dropped before [`Slot::finish`].
pub(crate) struct Slot {
    scheduler: Arc<Scheduler>,
    ticket: Ticket,
    route: Route,
    active: bool,
}

impl Slot {
    /// The targets chosen for the attempt.
    pub(crate) fn route(&self) -> &Route {
        &self.route
    }

    /// Records the arrival of the first token.
    pub(crate) fn first_token(&self) {
        let now = self.scheduler.clock.now();
        self.scheduler.lock().router.first_token(now, self.ticket);
        self.scheduler.poll();
    }

    /// Ends the attempt and frees its capacity at the targets.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.active = false;
        let failed = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Crashed);
        let at = failed.then_some(self.route.decode);
        self.scheduler.end_attempt(self.ticket, outcome, at);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.active {
            self.scheduler.end_attempt(self.ticket, AttemptOutcome::Cancelled, None);
        }
    }
}
