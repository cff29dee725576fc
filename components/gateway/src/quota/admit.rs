//! The check of a request against its organisation's quota.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{AskStep, Asking, Charge, GRANT_LIFE, Holdings};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};

use crate::{
    failure::Failure,
    gossip::{QuotaAsk, ask_quota},
    quota::{OrgQuota, Outcome, OwnerAnswer, PendingAsk, QuotaState, Reply},
    state::Shared,
};

/// Shortest time over which callers that are refused together are spread out.
const MIN_SPREAD: Duration = Duration::from_millis(50);

/// The same as a share of the time that they are told.
const SPREAD_SHARE: f64 = 0.25;

/// Takes `count` from the quota; asks owners if this host does not hold enough of it.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    id: &str,
    quota: &OrgQuota,
    count: f64,
    deadline: Time,
) -> Result<Charge, Failure> {
    let begun =
        WaitingRequest::begin(&mut shared.state().quota, shared.now(), quota.org, count, deadline);
    let mut request = match begun {
        Some(Ok(charge)) => return Ok(charge),
        Some(Err(request)) => request,
        // The organisation has just been removed from the configuration.
        None => return Err(Failure::QuotaUnknown),
    };
    let result = loop {
        let step = request.next(&mut shared.state().quota, shared.now());
        match step {
            Step::Admitted(charge) => break Ok(charge),
            Step::Ask(ask, to) => ask_quota(shared, &ask, to),
            Step::Wait(until) => {
                let wait = until.since(shared.now());
                if let Ok(Some(reply)) = timeout(wait, request.received.recv()).await {
                    request.apply(shared.now(), reply);
                }
            }
            Step::Again => {}
            Step::Failed(failure) => break Err(failure),
        }
    };
    let refused_for = match &result {
        Err(Failure::OverQuota(wait)) => Some(*wait),
        _ => None,
    };
    let state = &mut shared.state().quota;
    request.finish(state, shared.now());
    if let Some(org) = state.orgs.get(&quota.org) {
        match &result {
            Ok(_) => org.metrics.count_used(count),
            Err(Failure::OverQuota(_)) => org.metrics.count_refused(),
            Err(_) => {}
        }
    }
    if let Some(wait) = refused_for {
        let (org, unit, rate) = (&*quota.name, quota.quota.unit.as_str(), quota.quota.rate);
        let (config, wait) = (quota.config_version, wait.as_millis() as u64);
        log::info!(target: "quota", id, org, unit, count, rate, config, wait; "over quota");
    }
    result
}

/// The failure of a request that owners refuse for `wait`; `spread` is a random number from 0 to 1.
pub(super) fn over_quota(wait: Duration, spread: f64) -> Failure {
    Failure::OverQuota(wait + MIN_SPREAD.max(wait.mul_f64(SPREAD_SHARE)).mul_f64(spread))
}

/// A request that needs more than this host holds.
pub(super) struct WaitingRequest {
    org: u64,
    count: f64,
    asking: Asking,
    /// What was granted for this request.
    gathered: Holdings,
    replies: UnboundedSender<Reply>,
    received: UnboundedReceiver<Reply>,
}

pub(super) enum Step {
    Admitted(Charge),
    /// Send this to an owner.
    Ask(QuotaAsk, std::net::SocketAddr),
    Wait(Time),
    /// An owner on this host has answered.
    Again,
    Failed(Failure),
}

impl WaitingRequest {
    /// Takes `count` from what this host holds, or begins to ask owners; none if the organisation has no
    /// quota in force.
    pub(super) fn begin(
        state: &mut QuotaState,
        now: Time,
        org: u64,
        count: f64,
        deadline: Time,
    ) -> Option<Result<Charge, WaitingRequest>> {
        let known = state.orgs.get_mut(&org)?;
        if let Some(charge) = known.holdings.take(now, count) {
            known.holdings.count_request(now, count);
            known.metrics.count_used(count);
            return Some(Ok(charge));
        }
        let terms = known.terms;
        let order = state.order(now, org);
        state.wants_owners |= order.len() < state.owners.len();
        let asking = Asking::new(now, deadline, count, terms, &order, &state.orgs[&org].holdings);
        let (replies, received) = unbounded_channel();
        let gathered = Holdings::default();
        Some(Err(WaitingRequest { org, count, asking, gathered, replies, received }))
    }

    /// Whether an owner's reply has not been processed.
    #[cfg(test)]
    pub(super) fn has_reply(&self) -> bool {
        !self.received.is_empty()
    }

    fn apply(&mut self, now: Time, reply: Reply) {
        match reply.outcome {
            Outcome::Granted(amount, until) => {
                self.gathered.add(now, amount, until);
                self.asking.answered(reply.partition);
            }
            Outcome::Refused(wait) => self.asking.refused(reply.partition, wait),
            Outcome::Unknown => self.asking.answered(reply.partition),
        }
    }

    pub(super) fn next(&mut self, state: &mut QuotaState, now: Time) -> Step {
        while let Ok(reply) = self.received.try_recv() {
            self.apply(now, reply);
        }
        let Some(org) = state.orgs.get_mut(&self.org) else {
            return Step::Failed(Failure::QuotaUnknown);
        };
        let held = self.gathered.held(now) + org.holdings.held(now);
        if held >= self.count {
            org.holdings.add_all(now, &mut self.gathered);
            if let Some(charge) = org.holdings.take(now, self.count) {
                org.holdings.count_request(now, self.count);
                return Step::Admitted(charge);
            }
        }
        let extra = org.holdings.advance_amount(now);
        match self.asking.next(now, held, extra) {
            AskStep::Ask { partition, need, extra } => self.ask(state, now, partition, need, extra),
            AskStep::Wait(until) => Step::Wait(until),
            AskStep::Refuse(wait) => {
                let order = state.order(now, self.org);
                let holdings = &state.orgs[&self.org].holdings;
                if self.asking.begin_parts(now, &order, holdings) {
                    return Step::Again;
                }
                Step::Failed(over_quota(wait, rand::random()))
            }
            AskStep::Unknown => {
                state.wants_owners = true;
                Step::Failed(Failure::QuotaUnknown)
            }
        }
    }

    fn ask(
        &mut self,
        state: &mut QuotaState,
        now: Time,
        partition: usize,
        need: f64,
        extra: f64,
    ) -> Step {
        let (need, extra) = (need.ceil(), extra.floor());
        if state.leases[partition].may_grant(now) {
            let outcome = match state.answer(now, self.org, partition, need, extra) {
                OwnerAnswer::Granted(amount) => Outcome::Granted(amount, now + GRANT_LIFE),
                OwnerAnswer::Refused(wait) => {
                    if let Some(org) = state.orgs.get_mut(&self.org) {
                        org.holdings.record_refusal(now, partition, need, wait);
                    }
                    Outcome::Refused(wait)
                }
                OwnerAnswer::Unknown | OwnerAnswer::NotOwner => Outcome::Unknown,
            };
            self.apply(now, Reply { partition, outcome });
            return Step::Again;
        }
        let Some(owner) = state.owners[partition] else {
            self.asking.answered(partition);
            return Step::Again;
        };
        state.next_id = state.next_id.wrapping_add(1);
        let id = state.next_id;
        let ask = PendingAsk {
            org: self.org,
            partition,
            count: need,
            asked_at: now,
            replies: self.replies.clone(),
        };
        state.pending.insert(id, ask);
        let ask = QuotaAsk::new(id, self.org, partition, need, extra);
        Step::Ask(ask, owner.addr)
    }

    /// Leaves what was granted beyond the request's count to others.
    pub(super) fn finish(mut self, state: &mut QuotaState, now: Time) {
        self.received.close();
        while let Ok(reply) = self.received.try_recv() {
            self.apply(now, reply);
        }
        if let Some(org) = state.orgs.get_mut(&self.org) {
            org.holdings.add_all(now, &mut self.gathered);
        }
    }
}
