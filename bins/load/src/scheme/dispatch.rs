//! Queues and routes the requests of one entry.

use std::collections::VecDeque;

use chervilgate_clock::Time;
use chervilgate_policy::{
    AdmissionQueue, AttemptOutcome, CacheEvent, LoadReport, QueueAction, Refusal, RefusalReason,
    Request, Route, Router, RunningAttempt, Target, TargetId, Ticket,
};
use rand::Rng;
use smallvec::SmallVec;

use crate::scheme::pick::TargetPicker;

/// Queueing and routing at one entry, driven by the simulation.
pub trait Dispatch {
    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the request is not queued and will not run.
    fn offer(&mut self, now: Time, ticket: Ticket, request: Request) -> Result<(), Refusal>;

    /// Returns the queued requests that start or are refused now.
    fn poll(&mut self, now: Time, rng: &mut dyn Rng) -> SmallVec<[QueueAction; 4]>;

    /// Latest time of the next poll; None if nothing waits.
    fn next_check(&self) -> Option<Time>;

    /// Routes a retry, which bypasses the queue, and counts it as sent.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no target outside `except` can take it.
    fn retry(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal>;

    /// Adds or updates a target.
    fn set_target(&mut self, now: Time, target: Target);

    /// Handles a load report of a target.
    fn report(&mut self, now: Time, id: TargetId, report: LoadReport);

    /// Handles a prefix-cache event of a target.
    fn cache_event(&mut self, event: &CacheEvent);

    /// Records the first token of an attempt.
    fn first_token(&mut self, now: Time, ticket: Ticket);

    /// Records the end of an attempt; `at` is the target that failed, if one did.
    fn finish(&mut self, now: Time, ticket: Ticket, outcome: AttemptOutcome, at: Option<TargetId>);

    /// Attempts of this entry that run on a target; empty if the scheme does not track them.
    fn running(&self, _target: TargetId) -> Vec<RunningAttempt> {
        Vec::new()
    }

    /// Keeps unproven requests away from a target that runs a suspect of another entry.
    fn hold(&mut self, _now: Time, _target: TargetId) {}
}

/// Uses the policy's queue and router.
#[derive(Debug)]
pub struct PolicyDispatch {
    queue: AdmissionQueue,
    router: Router,
}

impl PolicyDispatch {
    /// A dispatch that uses `queue` and `router`.
    pub fn new(queue: AdmissionQueue, router: Router) -> PolicyDispatch {
        PolicyDispatch { queue, router }
    }
}

impl Dispatch for PolicyDispatch {
    fn offer(&mut self, now: Time, ticket: Ticket, request: Request) -> Result<(), Refusal> {
        self.queue.enqueue(now, ticket, request)
    }

    fn poll(&mut self, now: Time, rng: &mut dyn Rng) -> SmallVec<[QueueAction; 4]> {
        self.queue.poll(now, &mut self.router, rng)
    }

    fn next_check(&self) -> Option<Time> {
        self.queue.next_poll()
    }

    fn retry(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        let route = self.router.route(now, request, except, rng)?;
        self.router.start(now, ticket, request, &route);
        Ok(route)
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

    fn running(&self, target: TargetId) -> Vec<RunningAttempt> {
        self.router.running(target)
    }

    fn hold(&mut self, now: Time, target: TargetId) {
        self.router.isolate(now, target);
    }
}

/// A single queue in order of arrival in front of any target picker.
pub struct FifoDispatch {
    picker: Box<dyn TargetPicker>,
    waiting: VecDeque<(Ticket, Request)>,
}

impl FifoDispatch {
    /// An empty queue in front of `picker`.
    pub fn new(picker: Box<dyn TargetPicker>) -> FifoDispatch {
        FifoDispatch { picker, waiting: VecDeque::new() }
    }
}

impl Dispatch for FifoDispatch {
    fn offer(&mut self, _: Time, ticket: Ticket, request: Request) -> Result<(), Refusal> {
        self.waiting.push_back((ticket, request));
        Ok(())
    }

    fn poll(&mut self, now: Time, rng: &mut dyn Rng) -> SmallVec<[QueueAction; 4]> {
        let mut actions = SmallVec::new();
        while let Some((ticket, request)) = self.waiting.front() {
            let ticket = *ticket;
            if request.deadline <= now {
                let refusal = Refusal::new(RefusalReason::Late, std::time::Duration::from_secs(1));
                actions.push(QueueAction::Refuse(ticket, refusal));
                self.waiting.pop_front();
                continue;
            }
            let Ok(route) = self.picker.pick(now, request, &[], rng) else { break };
            self.picker.start(now, ticket, request, &route);
            actions.push(QueueAction::Start(ticket, route));
            self.waiting.pop_front();
        }
        actions
    }

    fn next_check(&self) -> Option<Time> {
        self.waiting.front().map(|(_, request)| request.deadline)
    }

    fn retry(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        let route = self.picker.pick(now, request, except, rng)?;
        self.picker.start(now, ticket, request, &route);
        Ok(route)
    }

    fn set_target(&mut self, now: Time, target: Target) {
        self.picker.set_target(now, target);
    }

    fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        self.picker.report(now, id, report);
    }

    fn cache_event(&mut self, event: &CacheEvent) {
        self.picker.cache_event(event);
    }

    fn first_token(&mut self, now: Time, ticket: Ticket) {
        self.picker.first_token(now, ticket);
    }

    fn finish(&mut self, now: Time, ticket: Ticket, outcome: AttemptOutcome, at: Option<TargetId>) {
        self.picker.finish(now, ticket, outcome, at);
    }
}
