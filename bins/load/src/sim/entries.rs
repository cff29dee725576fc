//! The simulated entries: queueing, sending and retrying of requests.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{
    AttemptOutcome, BlockHash, OrgId, PoisonStatus, Priority, QueueAction, Request, Route,
    ServiceId, TargetId, Ticket,
};

use crate::{
    scenario::TTFT_LIMIT,
    sim::{Attempt, BROADCAST_GROUPS, SimEvent, Simulation},
    stats::RequestOutcome,
};

/// Interval between attempts to find a target for a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its last token for which a broken stream waits for a target.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Weight of one answer in the moving average of the ratio of the answer length to the
/// caller's limit.
const RATIO_WEIGHT: f64 = 0.01;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let entry = self.arrivals[request].entry;
        if self.refuse_quarantined(request) {
            return;
        }
        let policy_request = self.request(request);
        self.entries[entry].budget.deposit();
        let ticket = Ticket(Attempt { request, number: 0 }.job());
        match self.entries[entry].dispatch.offer(self.now, ticket, policy_request) {
            Ok(()) => self.poll(entry),
            Err(refusal) => {
                self.count_demand(request, 0);
                self.stats.record_refusal(refusal.reason);
                self.close(request, RequestOutcome::Refused);
            }
        }
    }

    /// Adds a request to the measured demand; `cached` of its prompt tokens are known to be
    /// cached.
    fn count_demand(&mut self, request: usize, cached: u32) {
        let policy_request = self.request(request);
        let entry_state = &mut self.entries[self.arrivals[request].entry];
        entry_state.meter.record(self.now, &policy_request, cached);
        if !policy_request.idempotent {
            entry_state.nonrepeatable_meter.record(self.now, &policy_request, cached);
        }
    }

    pub(super) fn run_scheduled_poll(&mut self, entry: usize) {
        if self.entries[entry].next_poll == self.now {
            self.entries[entry].next_poll = Time::NEVER;
        }
        self.poll(entry);
    }

    pub(super) fn poll_group(&mut self, group: usize) {
        for entry in (group..self.entries.len()).step_by(BROADCAST_GROUPS) {
            self.poll(entry);
        }
    }

    pub(super) fn poll(&mut self, entry: usize) {
        let entry_state = &mut self.entries[entry];
        for action in entry_state.dispatch.poll(self.now, &mut self.rng) {
            match action {
                QueueAction::Start(ticket, route) => self.send(Attempt::from_job(ticket.0), route),
                QueueAction::Refuse(ticket, refusal) => {
                    let attempt = Attempt::from_job(ticket.0);
                    if !self.requests[attempt.request].closed {
                        self.count_demand(attempt.request, 0);
                        self.stats.record_refusal(refusal.reason);
                    }
                    self.close(attempt.request, RequestOutcome::Refused);
                }
            }
        }
        self.schedule_poll(entry);
    }

    fn schedule_poll(&mut self, entry: usize) {
        let entry_state = &mut self.entries[entry];
        let Some(at) = entry_state.dispatch.next_check() else { return };
        let at = at.max(self.now + Duration::from_millis(1));
        if at < entry_state.next_poll {
            entry_state.next_poll = at;
            self.queue.push(at, SimEvent::Poll(entry));
        }
    }

    fn send(&mut self, attempt: Attempt, route: Route) {
        self.announce_suspect(attempt, &route);
        if self.requests[attempt.request].sent_at.is_none() {
            self.count_demand(attempt.request, route.cached_tokens);
        }
        let state = &mut self.requests[attempt.request];
        state.route = Some(route);
        state.sent_at.get_or_insert(self.now);
        let entry = self.arrivals[attempt.request].entry;
        let mut at = self.now + self.network_delay(entry, route.prefill.0 as usize);
        if let Some(fetch) = route.fetch {
            at += self.scenario.profile.transfer_time(fetch.tokens);
        }
        self.queue.push(at, SimEvent::Submit(attempt));
    }

    pub(super) fn record_first_token(&mut self, attempt: Attempt) {
        let entry = self.arrivals[attempt.request].entry;
        self.entries[entry].dispatch.first_token(self.now, Ticket(attempt.job()));
        self.poll(entry);
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        at: Option<usize>,
    ) {
        let arrival = &self.arrivals[attempt.request];
        let (entry, ratio) =
            (arrival.entry, f64::from(arrival.output) / f64::from(arrival.limit.max(1)));
        let target = at.map(|engine| TargetId(engine as u32));
        let failed_target = target.filter(|_| outcome != AttemptOutcome::Done);
        if let (AttemptOutcome::Crashed, Some(engine)) = (outcome, at) {
            self.record_crash(entry, engine);
        }
        let entry_state = &mut self.entries[entry];
        entry_state.dispatch.finish(self.now, Ticket(attempt.job()), outcome, failed_target);
        if outcome == AttemptOutcome::Done {
            entry_state.output_ratio += RATIO_WEIGHT * (ratio - entry_state.output_ratio);
            self.clear_suspect(attempt.request);
        } else if self.is_current(attempt) {
            self.requests[attempt.request].failed_targets.extend(target);
            self.retry_if_granted(attempt);
        }
        self.poll(entry);
    }

    /// Retries a request with the next attempt number, if the retry budget grants it.
    fn retry_if_granted(&mut self, attempt: Attempt) {
        let policy_request = self.request(attempt.request);
        let entry = self.arrivals[attempt.request].entry;
        let ran = self.requests[attempt.request].runs > 0;
        if self.refuse_quarantined(attempt.request) {
            return;
        }
        let number = attempt.number + 1;
        if !self.entries[entry].budget.try_retry(self.now, &policy_request, number, ran) {
            let ending = match (ran, policy_request.idempotent) {
                (false, _) => RequestOutcome::Refused,
                (true, true) => RequestOutcome::Lost,
                (true, false) => RequestOutcome::Unknown,
            };
            self.close(attempt.request, ending);
            return;
        }
        self.stats.retries += 1;
        self.requests[attempt.request].number = number;
        self.retry(Attempt { number, ..attempt });
    }

    pub(super) fn retry(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        let entry = self.arrivals[attempt.request].entry;
        let policy_request = self.request(attempt.request);
        let except = self.requests[attempt.request].failed_targets.clone();
        let entry_state = &mut self.entries[entry];
        let ticket = Ticket(attempt.job());
        let route =
            entry_state.dispatch.retry(self.now, ticket, &policy_request, &except, &mut self.rng);
        match route {
            Ok(route) => self.send(attempt, route),
            Err(_) => self.wait_for_target(attempt),
        }
    }

    fn wait_for_target(&mut self, attempt: Attempt) {
        let state = &self.requests[attempt.request];
        let arrived = self.arrivals[attempt.request].at;
        let started = state.emitted > 0;
        let until = if started { state.last_token + RETRY_TIMEOUT } else { arrived + TTFT_LIMIT };
        if self.now < until {
            self.queue.push(self.now + RETRY_INTERVAL, SimEvent::Retry(attempt));
            return;
        }
        self.close(
            attempt.request,
            if started { RequestOutcome::Lost } else { RequestOutcome::Refused },
        );
    }

    /// The request as the entry sees it, with the answer length estimated from the limit.
    fn request(&self, request: usize) -> Request {
        let arrival = &self.arrivals[request];
        let ratio = self.entries[arrival.entry].output_ratio;
        let state = &self.requests[request];
        let prefix: Arc<[BlockHash]> = arrival.blocks.iter().map(|hash| BlockHash(*hash)).collect();
        let estimate = (f64::from(arrival.limit) * ratio).ceil() as u32;
        // The first-token limit of a broken stream counts from now: the caller waits for the
        // next token.
        let deadline = if state.emitted > 0 { self.now } else { arrival.at } + TTFT_LIMIT;
        Request {
            org: OrgId(arrival.org),
            service: ServiceId(0),
            prompt_tokens: arrival.prompt + state.emitted,
            output_tokens: estimate.saturating_sub(state.emitted).max(1),
            prefix,
            deadline,
            priority: Priority::Normal,
            idempotent: arrival.repeatable,
            digest: arrival.fingerprint,
            suspect: self.poison_status(request) == PoisonStatus::Suspect,
        }
    }
}
