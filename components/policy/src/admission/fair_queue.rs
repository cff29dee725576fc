//! Start-time fair queueing over organisations.
//!
//! The queue of each organisation has a tag: the cost served so far, divided by its weight.
//! The queue with the lowest tag is served next. Shares are those of deficit round robin, but
//! a queue that cannot be served keeps its position while others are tried; with round robin
//! it would lose its turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chervilgate_clock::Time;

use crate::{OrgId, Priority, Request, Ticket};

/// Number of priorities.
const PRIORITIES: usize = 3;

/// Time constant of the recent cost of an organisation, in seconds.
const RECENT_COST_SECS: f64 = 5.0;

/// Fraction of the highest recent cost per weight from which an organisation counts as above
/// its fair share.
const OVER_SHARE_FRACTION: f64 = 0.8;

/// Minimum weight, so that every organisation is served eventually.
const MIN_WEIGHT: f64 = 0.05;

/// Maximum weight.
const MAX_WEIGHT: f64 = 1_000.0;

/// Tag units per token at weight 1.
pub(crate) const TAG_SCALE: f64 = 1_024.0;

/// Number of queues, idle ones included, from which idle ones are removed.
const IDLE_CLEANUP_THRESHOLD: usize = 2_048;

/// Cost served to an organisation over its weight, in units of 1/[`TAG_SCALE`] tokens.
pub(crate) type Tag = u64;

/// Share of an organisation in a busy service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Weight relative to the other organisations.
    pub weight: f64,
    /// Cost, in tokens, that it may run ahead of its share after an idle period.
    pub burst: u64,
}

impl Default for FairShare {
    fn default() -> FairShare {
        FairShare { weight: 1.0, burst: 200_000 }
    }
}

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// When the request is refused if it has not started.
    pub(super) expiry: Time,
}

/// The waiting requests of one organisation and the cost it was served.
#[derive(Debug, Clone, Default)]
pub(super) struct OrgQueue {
    share: Option<FairShare>,
    by_priority: [VecDeque<(Ticket, u64)>; PRIORITIES],
    backlog: u64,
    tag: u64,
    recent_cost: f64,
    updated: Time,
}

impl OrgQueue {
    /// Converts `cost` tokens to tag units.
    fn tag_units(&self, cost: u64) -> u64 {
        (cost as f64 * TAG_SCALE / self.share().weight) as u64
    }

    fn share(&self) -> FairShare {
        self.share.unwrap_or_default()
    }

    fn is_empty(&self) -> bool {
        self.by_priority.iter().all(VecDeque::is_empty)
    }

    fn first(&self) -> Option<(Ticket, u64)> {
        self.by_priority.iter().rev().find_map(VecDeque::front).copied()
    }

    fn last(&self) -> Option<(Ticket, u64)> {
        self.by_priority.iter().find_map(VecDeque::back).copied()
    }

    /// Recently served cost, with exponential decay.
    fn recent_cost(&self, now: Time) -> f64 {
        self.recent_cost * (-now.since(self.updated).as_secs_f64() / RECENT_COST_SECS).exp()
    }

    fn charge(&mut self, now: Time, cost: u64) {
        self.recent_cost = self.recent_cost(now) + cost as f64;
        self.updated = now;
        self.tag += self.tag_units(cost);
    }
}

/// The queues of all organisations.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    queues: BTreeMap<OrgId, OrgQueue>,
    /// Non-empty queues by tag.
    by_tag: BTreeSet<(u64, OrgId)>,
    /// Highest tag served so far.
    virtual_time: u64,
    /// Recently served cost of all organisations.
    recent_cost: f64,
    updated: Time,
}

impl FairQueue {
    pub(super) fn set_share(&mut self, org: OrgId, share: FairShare) {
        let weight = if share.weight.is_finite() { share.weight } else { 1.0 };
        let weight = weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.queues.entry(org).or_default().share = Some(FairShare { weight, ..share });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_tag.is_empty()
    }

    /// Organisations with waiting requests, in the order in which they are served.
    pub(super) fn waiting_orgs(&self) -> Vec<OrgId> {
        self.by_tag.iter().map(|(_, org)| *org).collect()
    }

    /// Total cost of all waiting requests.
    pub(super) fn total_cost(&self) -> u64 {
        self.by_tag.iter().map(|(_, org)| self.queues[org].backlog).sum()
    }

    /// The request of `org` that would be served last, with its cost.
    pub(super) fn last(&self, org: OrgId) -> Option<(Ticket, u64)> {
        self.queues.get(&org)?.last()
    }

    /// Cost served until a new request of `org` has started, including the cost of `org` itself.
    ///
    /// Every other queue is served until its tag reaches the tag of the request, or until it is
    /// empty.
    pub(super) fn cost_ahead(&self, org: OrgId, cost: u64) -> u64 {
        let idle = OrgQueue::default();
        let own = self.queues.get(&org).unwrap_or(&idle);
        let tag = if own.is_empty() { self.start_tag(own) } else { own.tag };
        let request_tag = tag + own.tag_units(own.backlog);
        let others = self.by_tag.iter().take_while(|(tag, _)| *tag < request_tag);
        let others = others.filter(|(_, other)| *other != org);
        let served = others.map(|(tag, other)| {
            let queue = &self.queues[other];
            let cost_until = (request_tag - tag) as f64 * queue.share().weight / TAG_SCALE;
            queue.backlog.min(cost_until as u64)
        });
        own.backlog + cost + served.sum::<u64>()
    }

    /// Tag of a queue that becomes non-empty: after an idle period, it starts ahead by its burst.
    fn start_tag(&self, queue: &OrgQueue) -> u64 {
        let burst = queue.tag_units(queue.share().burst);
        queue.tag.max(self.virtual_time.saturating_sub(burst))
    }

    pub(super) fn push(&mut self, now: Time, ticket: Ticket, request: &Request) {
        self.drop_idle(now);
        let cost = request.cost();
        let idle = OrgQueue::default();
        let tag = self.start_tag(self.queues.get(&request.org).unwrap_or(&idle));
        let queue = self.queues.entry(request.org).or_default();
        if queue.is_empty() {
            queue.tag = tag;
            self.by_tag.insert((queue.tag, request.org));
        }
        queue.by_priority[priority_index(request.priority)].push_back((ticket, cost));
        queue.backlog += cost;
    }

    pub(super) fn remove(&mut self, ticket: Ticket, request: &Request) {
        let Some(queue) = self.queues.get_mut(&request.org) else { return };
        let requests = &mut queue.by_priority[priority_index(request.priority)];
        let index = match (requests.front(), requests.back()) {
            (Some((first, _)), _) if *first == ticket => Some(0),
            (_, Some((last, _))) if *last == ticket => Some(requests.len() - 1),
            _ => requests.iter().position(|(known, _)| *known == ticket),
        };
        let Some((_, cost)) = index.and_then(|index| requests.remove(index)) else { return };
        queue.backlog -= cost;
        if queue.is_empty() {
            self.by_tag.remove(&(queue.tag, request.org));
        }
    }

    /// The next request to serve, skipping `blocked` organisations.
    pub(super) fn next(&self, blocked: &[OrgId]) -> Option<(OrgId, Ticket)> {
        let (_, org) = self.by_tag.iter().find(|(_, org)| !blocked.contains(org))?;
        let (ticket, _) = self.queues[org].first()?;
        Some((*org, ticket))
    }

    /// Charges an organisation for a started request.
    pub(super) fn charge(&mut self, now: Time, org: OrgId, cost: u64) {
        self.recent_cost = self.total_recent_cost(now) + cost as f64;
        self.updated = now;
        let queue = self.queues.entry(org).or_default();
        let waits = self.by_tag.remove(&(queue.tag, org));
        self.virtual_time = self.virtual_time.max(queue.tag);
        queue.charge(now, cost);
        if waits {
            self.by_tag.insert((queue.tag, org));
        }
    }

    /// Tag of an organisation whose requests are queued elsewhere.
    pub(crate) fn tag(&self, org: OrgId) -> Tag {
        let idle = OrgQueue::default();
        self.start_tag(self.queues.get(&org).unwrap_or(&idle))
    }

    /// Charges an organisation whose requests are queued elsewhere for a started one. While it asked
    /// for nothing, it saved up no more than its burst.
    pub(crate) fn charge_started(&mut self, now: Time, org: OrgId, cost: u64) {
        self.drop_idle(now);
        let tag = self.tag(org);
        self.queues.entry(org).or_default().tag = tag;
        self.charge(now, org, cost);
    }

    /// Whether an organisation is above its share: its recent weighted use is near the highest
    /// and above the mean, counting organisations that are waiting or were served recently.
    pub(super) fn is_over_share(&self, now: Time, org: OrgId) -> bool {
        let Some(queue) = self.queues.get(&org) else { return false };
        let weighted_use = queue.recent_cost(now) / queue.share().weight;
        let (mut weights, mut max_use) = (0.0, weighted_use);
        for other in self.queues.values() {
            let (recent_cost, weight) = (other.recent_cost(now), other.share().weight);
            if !other.is_empty() || recent_cost >= 1.0 {
                weights += weight;
                max_use = max_use.max(recent_cost / weight);
            }
        }
        weighted_use > self.total_recent_cost(now) / weights
            && weighted_use >= OVER_SHARE_FRACTION * max_use
    }

    fn total_recent_cost(&self, now: Time) -> f64 {
        self.recent_cost * (-now.since(self.updated).as_secs_f64() / RECENT_COST_SECS).exp()
    }

    /// Removes idle queues if there are many.
    fn drop_idle(&mut self, now: Time) {
        if self.queues.len() < IDLE_CLEANUP_THRESHOLD {
            return;
        }
        self.queues.retain(|_, queue| {
            queue.share.is_some() || !queue.is_empty() || queue.recent_cost(now) >= 1.0
        });
    }
}

fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Batch => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}
