//! Order of the requests of one service that wait at a host because no target has capacity.
//!
//! A request may be sent if the wait at the target leaves it on time and its own work leaves the
//! requests of more urgent kinds on time too ([`LatencyTargets::fit`]). While there is capacity
//! nothing waits. Otherwise requests that can still be on time start first, by priority, short ones
//! before long ones; then those that are late, by priority and latest start. Within a priority, the
//! organisations whose share of the work is smallest take turns. One start in [`FAIR_TURN_INTERVAL`] goes to the request that is closest to its
//! latest start, so that late and large requests are served too.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    OrgId, Ticket,
    admission::{FairQueue, ServiceRate},
    dispatch::{
        lane::Lane,
        request::{LaneKey, Standing},
    },
};

pub use crate::dispatch::{
    request::WaitingRequest,
    targets::{Fit, Forecast, LatencyTargets, Turn},
};

mod lane;
mod request;
mod targets;
#[cfg(test)]
mod tests;

/// Every how many starts of waiting requests one goes to the request closest to its latest start.
pub const FAIR_TURN_INTERVAL: u32 = 10;

/// Shortest time after which a refused caller may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller may return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Increase of the time after which a caller may return, for each step of priority: the most urgent
/// return first.
const RETURN_STEP: f64 = 0.25;

/// Time without requests to wait after which the rate of starts is forgotten.
const RATE_MEMORY: Duration = Duration::from_secs(5);

/// Limits of a [`DispatchQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchLimits {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum size of their bodies, in bytes.
    pub max_bytes: usize,
}

impl Default for DispatchLimits {
    fn default() -> DispatchLimits {
        DispatchLimits { max_waiting: 1_024, max_bytes: 16 << 20 }
    }
}

/// Requests that are refused, with their refusals.
pub type Refused = SmallVec<[(Ticket, Yielded); 2]>;

/// Whether a waiting request starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCheck {
    /// A target has capacity for it.
    Start,
    /// It has to wait.
    Wait,
    /// No target may be sent it any more.
    NoTarget,
}

/// Result of [`DispatchQueue::start_next`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NextStart {
    /// The request that starts; none if none does.
    pub started: Option<Ticket>,
    /// Requests that were removed, since no target may be sent them.
    pub without_target: SmallVec<[Ticket; 2]>,
}

/// Why a waiting request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum YieldReason {
    /// No target had capacity until its latest start.
    Expired,
    /// The requests ahead of it are predicted to start after its latest start.
    Outlook,
    /// Too many requests or bytes wait.
    Full,
}

impl YieldReason {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            YieldReason::Expired => "expired",
            YieldReason::Outlook => "outlook",
            YieldReason::Full => "full",
        }
    }
}

/// The refusal of a request that did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Yielded {
    /// Why it was refused.
    pub reason: YieldReason,
    /// Time after which its caller may return.
    pub retry_after: Duration,
    /// Number of waiting requests that come before it.
    pub ahead: usize,
    /// Priority of the request that started last, to which it yielded; none if none did.
    pub to: Option<u8>,
}

/// What is predicted of the targets of a service while none has capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Supply {
    /// Time until the first of them has capacity.
    pub until_capacity: Duration,
    /// Number of targets.
    pub targets: usize,
}

/// Where a request stands in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outlook {
    /// Number of waiting requests that come before it.
    pub ahead: usize,
    /// Predicted time until it starts.
    pub wait: Duration,
}

#[derive(Debug, Clone)]
struct Entry {
    request: WaitingRequest,
    standing: Standing,
}

/// The requests of one service that wait at this host.
#[derive(Debug, Clone, Default)]
pub struct DispatchQueue {
    limits: DispatchLimits,
    entries: HashMap<Ticket, Entry>,
    lanes: BTreeMap<LaneKey, Lane>,
    /// Requests that can still be on time, by their last start on time.
    on_time_ends: BTreeSet<(Time, Ticket)>,
    /// All requests, by their latest start.
    last_starts: BTreeSet<(Time, Ticket)>,
    bytes: usize,
    /// What was predicted last.
    supply: Supply,
    shares: FairQueue,
    rate: ServiceRate,
    /// When a request was offered last.
    active_at: Time,
    /// Starts of waiting requests since the last fair turn.
    ordinary_starts: u32,
    last_started: Option<u8>,
}

impl DispatchQueue {
    /// An empty queue.
    pub fn new(limits: DispatchLimits) -> DispatchQueue {
        DispatchQueue { limits, ..DispatchQueue::default() }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests by priority, the most urgent first.
    pub fn waiting_by_priority(&self) -> SmallVec<[(u8, usize); 4]> {
        let mut counts = SmallVec::<[(u8, usize); 4]>::new();
        for ((_, priority), lane) in &self.lanes {
            match counts.binary_search_by_key(priority, |(known, _)| *known) {
                Ok(at) => counts[at].1 += lane.len(),
                Err(at) => counts.insert(at, (*priority, lane.len())),
            }
        }
        counts
    }

    /// The waiting request with this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        self.entries.get(&ticket).map(|entry| &entry.request)
    }

    /// Adds a request. Returns those that have to leave for it, if the queue is full.
    ///
    /// `supply` is what is predicted of the targets now, and `spread` a random number from 0 to 1, which
    /// spreads out refused callers.
    ///
    /// # Errors
    /// If it cannot start in time, or the queue is full of requests that come before it.
    pub fn enqueue(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: WaitingRequest,
        supply: Supply,
        spread: f64,
    ) -> Result<Refused, Yielded> {
        self.supply = supply;
        if self.is_empty() && now.since(self.active_at) >= RATE_MEMORY {
            // What was seen in an earlier overload, or a stall, says nothing about this one.
            self.rate = ServiceRate::default();
        }
        self.active_at = now;
        let standing =
            if now <= request.last_on_time_start() { Standing::OnTime } else { Standing::Late };
        let key = request.lane_key(standing);
        let left = request.last_start().since(now);
        let wait = self.expected_wait(key, &request);
        let reason = if left.is_zero() {
            Some(YieldReason::Expired)
        } else if wait > left {
            Some(YieldReason::Outlook)
        } else if !self.has_room_after(key, request.bytes) {
            Some(YieldReason::Full)
        } else {
            None
        };
        if let Some(reason) = reason {
            return Err(self.yielded(&request, standing, reason, spread));
        }
        let mut refused = Refused::new();
        while self.is_full(request.bytes) {
            let Some(last) = self.lanes.values().next_back().and_then(Lane::last) else { break };
            refused.extend(self.refuse(last, YieldReason::Full, spread));
        }
        self.insert(now, ticket, request, standing);
        Ok(refused)
    }

    /// Removes a request and returns where it would stand as the latest of its lane; none if it does not
    /// wait.
    pub fn remove_with_outlook(&mut self, ticket: Ticket) -> Option<Outlook> {
        let Entry { request, standing } = self.remove(ticket)?;
        let key = request.lane_key(standing);
        Some(Outlook { ahead: self.ahead(key), wait: self.expected_wait(key, &request) })
    }

    /// Removes a request whose caller left; false if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Refuses the requests whose latest start is over, and updates the standing of the others; to be
    /// called before [`DispatchQueue::start_next`]. `draw` returns random numbers from 0 to 1, which
    /// spread out refused callers.
    pub fn expire(&mut self, now: Time, draw: &mut dyn FnMut() -> f64) -> Refused {
        let mut refused = Refused::new();
        while let Some((_, ticket)) = self.last_starts.first().filter(|(at, _)| *at <= now) {
            refused.extend(self.refuse(*ticket, YieldReason::Expired, draw()));
        }
        while let Some((at, ticket)) = self.on_time_ends.first().copied() {
            if at >= now {
                break;
            }
            self.on_time_ends.remove(&(at, ticket));
            self.move_to_late(ticket);
        }
        refused
    }

    /// Starts the next request for which `check` finds a target with capacity, if there is one. Removes
    /// the requests before it that no target may be sent any more: they would keep those behind them
    /// waiting.
    ///
    /// Of each lane only the first request is tried: those behind it would take what it waits for.
    pub fn start_next(
        &mut self,
        now: Time,
        check: &mut dyn FnMut(Ticket, &WaitingRequest, Turn) -> StartCheck,
    ) -> NextStart {
        let mut without_target = SmallVec::new();
        let found = self.find_start(check, &mut without_target);
        if let Some((ticket, turn)) = found
            && let Some(entry) = self.remove(ticket)
        {
            let WaitingRequest { org, cost, priority, work, .. } = entry.request;
            self.ordinary_starts = match turn {
                Turn::Fair => 0,
                Turn::Ordinary => self.ordinary_starts.saturating_add(1),
            };
            self.last_started = Some(priority);
            self.charge(now, org, cost);
            self.rate.record_start(now, micros(work), work, true);
        }
        self.rate.set_empty(now, self.is_empty());
        NextStart { started: found.map(|(ticket, _)| ticket), without_target }
    }

    /// When [`DispatchQueue::expire`] has something to do next; none if no request waits.
    pub fn next_expiry(&self) -> Option<Time> {
        let (last_start, _) = self.last_starts.first()?;
        Some(self.on_time_ends.first().map_or(*last_start, |(at, _)| *last_start.min(at)))
    }

    fn find_start(
        &mut self,
        check: &mut dyn FnMut(Ticket, &WaitingRequest, Turn) -> StartCheck,
        without_target: &mut SmallVec<[Ticket; 2]>,
    ) -> Option<(Ticket, Turn)> {
        if self.ordinary_starts + 1 >= FAIR_TURN_INTERVAL {
            let closest =
                |queue: &DispatchQueue| queue.last_starts.first().map(|(_, first)| *first);
            let found = self.check_firsts(&closest, Turn::Fair, check, without_target);
            if let Some(ticket) = found {
                return Some((ticket, Turn::Fair));
            }
        }
        let keys: SmallVec<[LaneKey; 8]> = self.lanes.keys().copied().collect();
        keys.into_iter().find_map(|key| {
            let first = |queue: &DispatchQueue| queue.lanes.get(&key).and_then(Lane::next);
            let found = self.check_firsts(&first, Turn::Ordinary, check, without_target);
            found.map(|ticket| (ticket, Turn::Ordinary))
        })
    }

    /// Checks the request that `first` returns, and the next one if no target may be sent it. Returns it
    /// if it starts.
    fn check_firsts(
        &mut self,
        first: &dyn Fn(&DispatchQueue) -> Option<Ticket>,
        turn: Turn,
        check: &mut dyn FnMut(Ticket, &WaitingRequest, Turn) -> StartCheck,
        without_target: &mut SmallVec<[Ticket; 2]>,
    ) -> Option<Ticket> {
        while let Some(ticket) = first(self) {
            match check(ticket, self.get(ticket)?, turn) {
                StartCheck::Start => return Some(ticket),
                StartCheck::Wait => return None,
                StartCheck::NoTarget => {
                    self.remove(ticket);
                    without_target.push(ticket);
                }
            }
        }
        None
    }

    fn insert(&mut self, now: Time, ticket: Ticket, request: WaitingRequest, standing: Standing) {
        if self.is_empty() {
            self.rate.set_empty(now, false);
        }
        let tag = self.shares.tag(request.org);
        self.lanes.entry(request.lane_key(standing)).or_default().insert(
            ticket,
            &request,
            request.rank(standing),
            tag,
        );
        if standing == Standing::OnTime {
            self.on_time_ends.insert((request.last_on_time_start(), ticket));
        }
        self.last_starts.insert((request.last_start(), ticket));
        self.bytes += request.bytes;
        self.entries.insert(ticket, Entry { request, standing });
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        let request = &entry.request;
        self.remove_from_lane(ticket, request, entry.standing);
        self.on_time_ends.remove(&(request.last_on_time_start(), ticket));
        self.last_starts.remove(&(request.last_start(), ticket));
        self.bytes -= request.bytes;
        Some(entry)
    }

    fn remove_from_lane(&mut self, ticket: Ticket, request: &WaitingRequest, standing: Standing) {
        let key = request.lane_key(standing);
        let Some(lane) = self.lanes.get_mut(&key) else { return };
        lane.remove(ticket, request, request.rank(standing));
        if lane.is_empty() {
            self.lanes.remove(&key);
        }
    }

    fn move_to_late(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        entry.standing = Standing::Late;
        let request = entry.request;
        self.remove_from_lane(ticket, &request, Standing::OnTime);
        let tag = self.shares.tag(request.org);
        let lane = self.lanes.entry(request.lane_key(Standing::Late)).or_default();
        lane.insert(ticket, &request, request.rank(Standing::Late), tag);
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: YieldReason,
        spread: f64,
    ) -> Option<(Ticket, Yielded)> {
        let Entry { request, standing } = self.remove(ticket)?;
        Some((ticket, self.yielded(&request, standing, reason, spread)))
    }

    fn yielded(
        &self,
        request: &WaitingRequest,
        standing: Standing,
        reason: YieldReason,
        spread: f64,
    ) -> Yielded {
        let key = request.lane_key(standing);
        let ahead = self.ahead(key);
        let step = 1.0 + RETURN_STEP * f64::from(request.priority);
        let retry_after = self.expected_wait(key, request).mul_f64(step * (1.0 + spread));
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER.mul_f64(1.0 + spread), MAX_RETRY_AFTER);
        Yielded { reason, retry_after, ahead, to: self.last_started }
    }

    /// Number of waiting requests that come before a new one of this lane.
    fn ahead(&self, key: LaneKey) -> usize {
        self.lanes.range(..=key).map(|(_, lane)| lane.len()).sum()
    }

    /// Predicted time until a new request of this lane starts, by the rate of starts and by the work of
    /// the requests that come before it.
    fn expected_wait(&self, key: LaneKey, request: &WaitingRequest) -> Duration {
        let before = self.lanes.range(..key).map(|(_, lane)| lane.work()).sum::<Duration>();
        let own_lane = self.lanes.get(&key);
        let own_lane = own_lane.map(|lane| lane.work_before(request.org, request.work));
        let work = before + own_lane.unwrap_or_default();
        let Supply { until_capacity, targets } = self.supply;
        let by_work = until_capacity + work.div_f64(targets.max(1) as f64);
        self.rate.wait_for(micros(work)).max(by_work)
    }

    fn is_full(&self, bytes: usize) -> bool {
        self.len() >= self.limits.max_waiting || self.bytes + bytes > self.limits.max_bytes
    }

    /// Whether a request of this size fits once requests of later lanes have left.
    fn has_room_after(&self, key: LaneKey, bytes: usize) -> bool {
        if !self.is_full(bytes) {
            return true;
        }
        let (mut waiting, mut kept_bytes) = (0, 0);
        for lane in self.lanes.range(..=key).map(|(_, lane)| lane) {
            waiting += lane.len();
            kept_bytes += lane.bytes();
        }
        waiting < self.limits.max_waiting && kept_bytes + bytes <= self.limits.max_bytes
    }

    /// Charges an organisation for a started request.
    pub fn charge(&mut self, now: Time, org: OrgId, cost: u64) {
        self.shares.charge_started(now, org, cost);
        let tag = self.shares.tag(org);
        for lane in self.lanes.values_mut() {
            lane.update_tag(org, tag);
        }
    }
}

/// Work as a cost in the rate of starts.
fn micros(work: Duration) -> u64 {
    u64::try_from(work.as_micros()).unwrap_or(u64::MAX)
}
