//! The check of a request against its organisation's quota.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{AskStep, Asking, Charge, GRANT_LIFE, Holdings, QUOTA_PARTITIONS};
use smallvec::SmallVec;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};

use crate::{
    failure::Failure,
    gossip::{QuotaAsk, QuotaReturn, ask_quota, return_quota},
    quota::{
        OrgQuota, Outcome, OwnerAnswer, PendingAsk, QuotaState, Reply, owner::Ask, record_answer,
    },
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
    let (returns, refused) = {
        let (state, now) = (&mut shared.state().quota, shared.now());
        let org = state.orgs.get_mut(&quota.org);
        let refused = org.and_then(|org| match &result {
            Ok(_) => {
                org.metrics.count_used(count);
                None
            }
            Err(Failure::OverQuota(wait)) => {
                org.metrics.count_refused();
                org.refusals.count(now).map(|refused| (refused, *wait))
            }
            Err(_) => None,
        });
        (request.finish(state, now), refused)
    };
    returns.iter().for_each(|(returned, to)| return_quota(shared, *returned, *to));
    if let Some((refused, wait)) = refused {
        let (org, unit, rate) = (&*quota.name, quota.quota.unit.as_str(), quota.quota.rate);
        let (config, wait) = (quota.config_version, wait.as_millis() as u64);
        log::info!(
            target: "quota", id, org, unit, count, rate, config, wait, refused; "over quota"
        );
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
    /// Parts that were granted; they are of use only together.
    parts: SmallVec<[GrantedPart; QUOTA_PARTITIONS]>,
    replies: UnboundedSender<Reply>,
    received: UnboundedReceiver<Reply>,
}

struct GrantedPart {
    id: u64,
    partition: usize,
    amount: f64,
    until: Time,
}

/// What is returned to owners.
pub(super) type Returns = SmallVec<[(QuotaReturn, SocketAddr); QUOTA_PARTITIONS]>;

pub(super) enum Step {
    Admitted(Charge),
    /// Send this to an owner.
    Ask(QuotaAsk, SocketAddr),
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
        let partitions = state.known_partitions(now, org);
        state.wants_owners |= partitions.answering.len() < state.owners.len();
        let holdings = &state.orgs[&org].holdings;
        let held = holdings.held(now);
        let asking = Asking::new(now, deadline, count, held, terms, partitions, holdings);
        let (replies, received) = unbounded_channel();
        let gathered = Holdings::default();
        let parts = SmallVec::new();
        Some(Err(WaitingRequest { org, count, asking, gathered, parts, replies, received }))
    }

    /// Whether an owner's reply has not been processed.
    #[cfg(test)]
    pub(super) fn has_reply(&self) -> bool {
        !self.received.is_empty()
    }

    fn apply(&mut self, now: Time, reply: Reply) {
        match reply.outcome {
            Outcome::Granted(amount, until) => {
                if reply.is_part {
                    let Reply { id, partition, .. } = reply;
                    self.parts.push(GrantedPart { id, partition, amount, until });
                    self.asking.part_granted(partition);
                } else {
                    self.gathered.add(now, amount, until);
                    self.asking.answered(reply.partition);
                }
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
        let live = self.parts.iter().filter(|part| now < part.until);
        let parts: f64 = live.map(|part| part.amount).sum();
        let held = self.gathered.held(now) + parts + org.holdings.held(now);
        if held >= self.count {
            org.holdings.add_all(now, &mut self.gathered);
            for part in self.parts.drain(..) {
                org.holdings.add(now, part.amount, part.until);
            }
            if let Some(charge) = org.holdings.take(now, self.count) {
                org.holdings.count_request(now, self.count);
                return Step::Admitted(charge);
            }
        }
        let extra = org.holdings.advance_amount(now);
        match self.asking.next(now, held, extra, &org.holdings) {
            AskStep::Ask { partition, need, extra } => self.ask(state, now, partition, need, extra),
            AskStep::Wait(until) => Step::Wait(until),
            AskStep::Refuse(wait) => Step::Failed(over_quota(wait, rand::random())),
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
        state.next_id = state.next_id.wrapping_add(1);
        let id = state.next_id;
        let is_part = self.asking.is_in_parts();
        if state.leases[partition].may_grant(now) {
            let answer = state.answer(now, partition, &Ask { id, org: self.org, need, extra });
            if let Some(org) = state.orgs.get_mut(&self.org) {
                record_answer(&mut org.holdings, now, partition, need, answer);
            }
            let outcome = match answer {
                OwnerAnswer::Granted(amount) => Outcome::Granted(amount, now + GRANT_LIFE),
                OwnerAnswer::Refused(wait) | OwnerAnswer::TooLarge(wait) => Outcome::Refused(wait),
                OwnerAnswer::Unknown | OwnerAnswer::NotOwner => Outcome::Unknown,
            };
            self.apply(now, Reply { id, partition, is_part, outcome });
            return Step::Again;
        }
        let Some(owner) = state.owners[partition] else {
            self.asking.answered(partition);
            return Step::Again;
        };
        let ask = PendingAsk {
            org: self.org,
            partition,
            count: need,
            is_part,
            asked_at: now,
            replies: self.replies.clone(),
        };
        state.pending.insert(id, ask);
        let ask = QuotaAsk::new(id, self.org, partition, need, extra);
        Step::Ask(ask, owner.addr)
    }

    /// Leaves what was granted beyond the request's count to others, and parts that do not suffice to their
    /// owners.
    #[must_use]
    pub(super) fn finish(mut self, state: &mut QuotaState, now: Time) -> Returns {
        self.received.close();
        while let Ok(reply) = self.received.try_recv() {
            self.apply(now, reply);
        }
        if let Some(org) = state.orgs.get_mut(&self.org) {
            org.holdings.add_all(now, &mut self.gathered);
        }
        let mut returns = Returns::new();
        for GrantedPart { id, partition, .. } in self.parts {
            if state.may_grant(now, partition) {
                state.take_back(now, partition, id);
            } else if let Some(owner) = state.owners[partition] {
                returns.push((QuotaReturn::new(id, partition), owner.addr));
            }
        }
        returns
    }
}
