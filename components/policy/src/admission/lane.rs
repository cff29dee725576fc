//! Start-time fair queueing over organisations.
//!
//! Each lane has a tag: the cost it was served so far, divided by its weight. The
//! lane with the lowest tag is served next. It gives the shares of deficit round
//! robin, but a lane that finds no room keeps its place while others are tried,
//! where round robin would lose the lane's turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chervilgate_clock::Time;

use crate::{OrgId, Priority, Request, Ticket};

/// Ranks of requests within a lane.
const RANKS: usize = 3;

/// Time constant of an organisation's measured use, in seconds.
const USE_WINDOW: f64 = 5.0;

/// Share of the highest use, by weight, at which an organisation counts as over.
const TOP: f64 = 0.8;

/// Least weight, so that each lane has its turn.
const WEIGHT_FLOOR: f64 = 0.05;

/// Greatest weight.
const WEIGHT_CEILING: f64 = 1_000.0;

/// Tag units for one token at weight 1.
const TAG_SCALE: f64 = 1_024.0;

/// Idle lanes kept before they are swept.
const IDLE_LANES: usize = 2_048;

/// An organisation's share of a busy service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Share of the service when it is busy, against the other weights.
    pub weight: f64,
    /// Cost, in tokens, that it may run ahead of its share after a quiet time.
    pub burst: u64,
}

impl Default for Share {
    fn default() -> Share {
        Share { weight: 1.0, burst: 200_000 }
    }
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// When it is refused, if it was not started before.
    pub(super) expiry: Time,
}

/// One organisation's requests and what it was served.
#[derive(Debug, Default)]
pub(super) struct Lane {
    share: Option<Share>,
    ranks: [VecDeque<(Ticket, u64)>; RANKS],
    backlog: u64,
    tag: u64,
    used: f64,
    updated: Time,
}

impl Lane {
    /// Tag units for `cost` tokens.
    fn tag_units(&self, cost: u64) -> u64 {
        (cost as f64 * TAG_SCALE / self.share().weight) as u64
    }

    fn share(&self) -> Share {
        self.share.unwrap_or_default()
    }

    fn is_empty(&self) -> bool {
        self.ranks.iter().all(VecDeque::is_empty)
    }

    fn first(&self) -> Option<(Ticket, u64)> {
        self.ranks.iter().rev().find_map(VecDeque::front).copied()
    }

    fn last(&self) -> Option<(Ticket, u64)> {
        self.ranks.iter().find_map(VecDeque::back).copied()
    }

    /// Cost served lately, over about the time of the window.
    fn used(&self, now: Time) -> f64 {
        self.used * (-now.since(self.updated).as_secs_f64() / USE_WINDOW).exp()
    }

    fn charge(&mut self, now: Time, cost: u64) {
        self.used = self.used(now) + cost as f64;
        self.updated = now;
        self.tag += self.tag_units(cost);
    }
}

/// All lanes; those with waiting requests take turns.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    lanes: BTreeMap<OrgId, Lane>,
    /// Lanes with waiting requests, by tag.
    turns: BTreeSet<(u64, OrgId)>,
    /// Highest tag served so far.
    tag: u64,
    /// Cost served to all lately.
    used: f64,
    updated: Time,
}

impl Lanes {
    pub(super) fn set_share(&mut self, org: OrgId, share: Share) {
        let weight = if share.weight.is_finite() { share.weight } else { 1.0 };
        let weight = weight.clamp(WEIGHT_FLOOR, WEIGHT_CEILING);
        self.lanes.entry(org).or_default().share = Some(Share { weight, ..share });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Organisations with waiting requests, in their turns.
    pub(super) fn active(&self) -> Vec<OrgId> {
        self.turns.iter().map(|(_, org)| *org).collect()
    }

    /// Cost of all waiting requests.
    pub(super) fn cost(&self) -> u64 {
        self.turns.iter().map(|(_, org)| self.lanes[org].backlog).sum()
    }

    /// The request of `org` that would be served last, with its cost.
    pub(super) fn last(&self, org: OrgId) -> Option<(Ticket, u64)> {
        self.lanes.get(&org)?.last()
    }

    /// Cost served before a new request of `org` has its turn, its own included.
    ///
    /// Each other lane is served until its tag reaches the tag that the request
    /// will have, or until it is empty.
    pub(super) fn ahead(&self, org: OrgId, cost: u64) -> u64 {
        let idle = Lane::default();
        let own = self.lanes.get(&org).unwrap_or(&idle);
        let tag = if own.is_empty() { self.entry_tag(own) } else { own.tag };
        let turn = tag + own.tag_units(own.backlog);
        let others = self.turns.iter().take_while(|(tag, _)| *tag < turn);
        let others = others.filter(|(_, other)| *other != org);
        let served = others.map(|(tag, other)| {
            let lane = &self.lanes[other];
            let until_turn = (turn - tag) as f64 * lane.share().weight / TAG_SCALE;
            lane.backlog.min(until_turn as u64)
        });
        own.backlog + cost + served.sum::<u64>()
    }

    /// The tag of a lane that begins to wait: a quiet one is ahead by its burst.
    fn entry_tag(&self, lane: &Lane) -> u64 {
        let burst = lane.tag_units(lane.share().burst);
        lane.tag.max(self.tag.saturating_sub(burst))
    }

    pub(super) fn push(&mut self, now: Time, ticket: Ticket, request: &Request) {
        self.sweep(now);
        let cost = request.cost();
        let idle = Lane::default();
        let tag = self.entry_tag(self.lanes.get(&request.org).unwrap_or(&idle));
        let lane = self.lanes.entry(request.org).or_default();
        if lane.is_empty() {
            lane.tag = tag;
            self.turns.insert((lane.tag, request.org));
        }
        lane.ranks[rank(request.priority)].push_back((ticket, cost));
        lane.backlog += cost;
    }

    pub(super) fn remove(&mut self, ticket: Ticket, request: &Request) {
        let Some(lane) = self.lanes.get_mut(&request.org) else { return };
        let queue = &mut lane.ranks[rank(request.priority)];
        let at = match (queue.front(), queue.back()) {
            (Some((first, _)), _) if *first == ticket => Some(0),
            (_, Some((last, _))) if *last == ticket => Some(queue.len() - 1),
            _ => queue.iter().position(|(known, _)| *known == ticket),
        };
        let Some((_, cost)) = at.and_then(|at| queue.remove(at)) else { return };
        lane.backlog -= cost;
        if lane.is_empty() {
            self.turns.remove(&(lane.tag, request.org));
        }
    }

    /// The next request to serve, passing over `blocked` lanes.
    pub(super) fn next(&self, blocked: &[OrgId]) -> Option<(OrgId, Ticket)> {
        let (_, org) = self.turns.iter().find(|(_, org)| !blocked.contains(org))?;
        let (ticket, _) = self.lanes[org].first()?;
        Some((*org, ticket))
    }

    /// Charges an organisation for a started request.
    pub(super) fn charge(&mut self, now: Time, org: OrgId, cost: u64) {
        self.used = self.total_used(now) + cost as f64;
        self.updated = now;
        let lane = self.lanes.entry(org).or_default();
        let waits = self.turns.remove(&(lane.tag, org));
        self.tag = self.tag.max(lane.tag);
        lane.charge(now, cost);
        if waits {
            self.turns.insert((lane.tag, org));
        }
    }

    /// Whether an organisation was served most of late, by weight, and more than an
    /// equal share, while others wait or were served too.
    pub(super) fn is_over(&self, now: Time, org: OrgId) -> bool {
        let Some(lane) = self.lanes.get(&org) else { return false };
        let level = lane.used(now) / lane.share().weight;
        let (mut weights, mut highest) = (0.0, level);
        for other in self.lanes.values() {
            let (used, weight) = (other.used(now), other.share().weight);
            if !other.is_empty() || used >= 1.0 {
                weights += weight;
                highest = highest.max(used / weight);
            }
        }
        level > self.total_used(now) / weights && level >= TOP * highest
    }

    fn total_used(&self, now: Time) -> f64 {
        self.used * (-now.since(self.updated).as_secs_f64() / USE_WINDOW).exp()
    }

    /// Forgets idle lanes when there are many.
    fn sweep(&mut self, now: Time) {
        if self.lanes.len() < IDLE_LANES {
            return;
        }
        self.lanes
            .retain(|_, lane| lane.share.is_some() || !lane.is_empty() || lane.used(now) >= 1.0);
    }
}

fn rank(priority: Priority) -> usize {
    match priority {
        Priority::Batch => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}
