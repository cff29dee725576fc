//! Which requests are sent to targets now, and which wait or are refused.
//!
//! A request is sent at once while targets have capacity for it and no other request of its service
//! waits at this host. The order of those that wait is that of [`chervilgate_policy::DispatchQueue`].
//! Hosts that see the same capacity at once would fill it together, so each waiting request takes
//! capacity that other hosts see too with a probability of the free targets over the requests that
//! wait at all hosts ([`claims`]).

mod claims;

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::{
    DispatchLimits, DispatchQueue, LatencyTargets, OrgId, StartCheck, Ticket, Turn, WaitingRequest,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    admission::claims::{Claims, Draw},
    fleet::{BuildId, Capacity, CapacityClaim, Fleet, Placement, Plan, TargetQuery},
    hash::stable_hash,
    protocol::Prompt,
};

pub use chervilgate_policy::{Outlook, YieldReason, Yielded};

/// Longest time between two looks for capacity while requests wait.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which another host's report of its waiting requests counts.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Maximum number of services and priorities in a report, so that it fits into one datagram.
const MAX_REPORTED: usize = 100;

/// Cost of an output token for the shares of organisations, in prompt tokens.
const OUTPUT_COST: u64 = 4;

/// Fixed cost of a request for the shares of organisations, in prompt tokens.
const REQUEST_COST: u64 = 16;

/// A request that is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Applicant<'a> {
    /// What it asks of its targets.
    pub query: TargetQuery<'a>,
    /// Organisation that it runs for; none without an API key.
    pub org: Option<&'a str>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// When it arrived.
    pub arrived_at: Time,
    /// Until when its first event is on time.
    pub on_time_by: Time,
    /// Until when its caller waits.
    pub deadline: Time,
    /// Size of its body.
    pub bytes: usize,
}

/// What becomes of a request that is offered.
#[derive(Debug, Clone, PartialEq)]
pub enum Offer {
    /// It is sent to these targets.
    Send(Box<Plan>),
    /// It waits.
    Wait(Ticket),
    /// It is refused.
    Refuse(Yielded),
    /// No target may be sent it.
    NoTarget,
}

/// What becomes of a request that waits.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is sent to these targets.
    Send(Ticket, Box<Plan>),
    /// It is refused.
    Refuse(Ticket, Yielded),
    /// No target may be sent it any more.
    NoTarget(Ticket),
}

/// Number of requests of one priority that wait for a service at one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaitingCount {
    /// Hash of the service's name.
    pub service: u32,
    /// Scheduling priority.
    pub priority: u8,
    /// Number of requests.
    pub waiting: u16,
}

/// Decides which requests are sent.
pub trait Admission: Send {
    /// Offers a request; `spread` is a random number from 0 to 1.
    fn offer(
        &mut self,
        now: Time,
        fleet: &Fleet,
        targets: &Arc<LatencyTargets>,
        applicant: &Applicant<'_>,
        spread: f64,
    ) -> Offer;

    /// What [`Admission::offer`] would return now, without any effect, and where the request would stand if
    /// it waited.
    fn forecast(
        &self,
        now: Time,
        fleet: &Fleet,
        targets: &Arc<LatencyTargets>,
        applicant: &Applicant<'_>,
        spread: f64,
    ) -> (Offer, Outlook);

    /// Records that a request of this host needs its target of `service` less than before. A waiting
    /// request may use what that has freed at the next [`Admission::poll`], whatever other hosts do.
    fn record_freed(&mut self, service: &str);

    /// Decides on waiting requests. At most one of each service is sent, whose work must be counted in
    /// `fleet` before the next call. `draw` returns random numbers from 0 to 1.
    fn poll(&mut self, now: Time, fleet: &Fleet, draw: &mut dyn FnMut() -> f64) -> Vec<Decision>;

    /// Removes a request whose caller left.
    fn cancel(&mut self, ticket: Ticket);

    /// Number of waiting requests by service, with those services that had some before.
    fn waiting(&self) -> Vec<(Arc<str>, usize)>;

    /// Whether no request waits.
    fn is_empty(&self) -> bool;

    /// Records the numbers that another host reported, in place of those before.
    fn apply_report(&mut self, now: Time, host: u32, counts: Vec<WaitingCount>);

    /// The numbers to report to other hosts.
    fn report(&self) -> Vec<WaitingCount>;
}

/// What a waiting request asks of its targets.
#[derive(Debug)]
struct Held {
    service: Arc<str>,
    prompt: Prompt,
    exclude: Vec<Arc<str>>,
    build: Option<BuildId>,
    max_pause: Option<Duration>,
    runs_once: bool,
    /// Whether it uses capacity that other hosts see too.
    draw: Option<Draw>,
}

impl Held {
    fn new(service: &Arc<str>, query: &TargetQuery<'_>) -> Held {
        Held {
            service: service.clone(),
            prompt: query.prompt.clone(),
            exclude: query.exclude.to_vec(),
            build: query.build,
            max_pause: query.max_pause,
            runs_once: query.runs_once,
            draw: None,
        }
    }

    fn query(&self) -> TargetQuery<'_> {
        TargetQuery {
            service: &self.service,
            prompt: &self.prompt,
            exclude: &self.exclude,
            build: self.build,
            max_pause: self.max_pause,
            runs_once: self.runs_once,
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceQueue {
    queue: DispatchQueue,
    targets: Arc<LatencyTargets>,
    claims: Claims,
    /// How often requests of this host have freed capacity that no waiting one has used.
    freed: u32,
}

/// Queues of waiting requests, one for each service.
#[derive(Debug, Default)]
pub struct Queues {
    services: HashMap<Arc<str>, ServiceQueue>,
    held: HashMap<Ticket, Held>,
    /// Refused in favour of another request, and not yet told.
    evicted: Vec<Decision>,
    last_ticket: u64,
    reports: HashMap<u32, (Time, Vec<WaitingCount>)>,
}

impl Queues {
    /// Numbers of requests that other hosts reported as waiting for `service`, by priority.
    fn waiting_elsewhere(&self, now: Time, service: &str) -> SmallVec<[(u8, usize); 8]> {
        let service = stable_hash(&service) as u32;
        let live = self.reports.values().filter(|(at, _)| now.since(*at) < REPORT_TTL);
        let counts = live.flat_map(|(_, counts)| counts).filter(|count| count.service == service);
        let mut sums = SmallVec::<[(u8, usize); 8]>::new();
        for WaitingCount { priority, waiting, .. } in counts {
            match sums.iter_mut().find(|(known, _)| known == priority) {
                Some((_, sum)) => *sum += usize::from(*waiting),
                None => sums.push((*priority, usize::from(*waiting))),
            }
        }
        sums
    }

    fn service(&mut self, name: &str, targets: &Arc<LatencyTargets>) -> &mut ServiceQueue {
        let service = match self.services.entry(name.into()) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => vacant.insert(ServiceQueue {
                queue: DispatchQueue::new(DispatchLimits::default()),
                targets: targets.clone(),
                claims: Claims::default(),
                freed: 0,
            }),
        };
        if !Arc::ptr_eq(&service.targets, targets) {
            service.targets = targets.clone();
        }
        service
    }
}

impl Admission for Queues {
    fn offer(
        &mut self,
        now: Time,
        fleet: &Fleet,
        targets: &Arc<LatencyTargets>,
        applicant: &Applicant<'_>,
        spread: f64,
    ) -> Offer {
        let Applicant { query, priority, .. } = applicant;
        let org = OrgId(applicant.org.map_or(0, |org| stable_hash(&org) as u32));
        let service = self.service(query.service, targets);
        let time_left = applicant.on_time_by.since(now);
        let claim = CapacityClaim { targets, priority: *priority, time_left, turn: Turn::Ordinary };
        let cheapest = match fleet.place_with_capacity(now, query, &claim) {
            Capacity::NoTarget => return Offer::NoTarget,
            Capacity::Free(plan) if service.queue.is_empty() => {
                service.queue.charge(now, org, cost(&plan, query.prompt));
                return Offer::Send(Box::new(plan));
            }
            Capacity::Free(plan) | Capacity::Full(plan) => plan,
        };
        let request = WaitingRequest {
            org,
            priority: *priority,
            arrived_at: applicant.arrived_at,
            on_time_by: applicant.on_time_by,
            deadline: applicant.deadline,
            work: Duration::from_secs_f64(computing(&cheapest).prefill_ms.max(0.0) / 1e3),
            cost: cost(&cheapest, query.prompt),
            bytes: applicant.bytes,
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let supply = fleet.supply(now, query.service, targets.late_wait(*priority));
        let service = self.service(query.service, targets);
        match service.queue.enqueue(now, ticket, request, supply, spread) {
            Err(yielded) => Offer::Refuse(yielded),
            Ok(refused) => {
                for (evicted, yielded) in refused {
                    self.held.remove(&evicted);
                    self.evicted.push(Decision::Refuse(evicted, yielded));
                }
                let name = self.services.get_key_value(query.service).map(|(name, _)| name);
                if let Some(name) = name {
                    self.held.insert(ticket, Held::new(name, query));
                }
                Offer::Wait(ticket)
            }
        }
    }

    fn forecast(
        &self,
        now: Time,
        fleet: &Fleet,
        targets: &Arc<LatencyTargets>,
        applicant: &Applicant<'_>,
        spread: f64,
    ) -> (Offer, Outlook) {
        // The same code decides on a copy, so that nothing is queued, charged or evicted.
        let service = applicant.query.service;
        let known = self.services.get_key_value(service);
        let services = known.map(|(name, queue)| (name.clone(), queue.clone()));
        let mut copy = Queues {
            services: services.into_iter().collect(),
            last_ticket: self.last_ticket,
            ..Queues::default()
        };
        let offer = copy.offer(now, fleet, targets, applicant, spread);
        let outlook = match &offer {
            Offer::Wait(ticket) => {
                let queue = copy.services.get_mut(service).map(|service| &mut service.queue);
                queue.and_then(|queue| queue.remove_with_outlook(*ticket))
            }
            Offer::Refuse(yielded) => {
                Some(Outlook { ahead: yielded.ahead, wait: yielded.retry_after })
            }
            Offer::Send(_) | Offer::NoTarget => None,
        };
        (offer, outlook.unwrap_or_default())
    }

    fn record_freed(&mut self, service: &str) {
        if let Some(service) = self.services.get_mut(service)
            && !service.queue.is_empty()
        {
            service.freed = service.freed.saturating_add(1);
        }
    }

    fn poll(&mut self, now: Time, fleet: &Fleet, draw: &mut dyn FnMut() -> f64) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.evicted);
        let waiting = self.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let waiting: Vec<Arc<str>> = waiting.map(|(name, _)| name.clone()).collect();
        for name in waiting {
            let others = self.waiting_elsewhere(now, &name);
            let Some(service) = self.services.get_mut(&name) else { continue };
            let ServiceQueue { queue, targets, claims, freed } = service;
            let held = &mut self.held;
            let refused = queue.expire(now, draw);
            let own = queue.waiting_by_priority();
            for (priority, _) in &own {
                let free = fleet.free_targets(now, &name, targets.shortest_up_to(*priority));
                let (own, others) = (competing(&own, *priority), competing(&others, *priority));
                let all = own + others;
                let chance = if others == 0 { 1.0 } else { (free as f64 / all as f64).min(1.0) };
                claims.show(now, *priority, free, chance);
            }
            let has_freed = *freed > 0;
            let mut plan = None;
            let next = queue.start_next(now, &mut |ticket, request, turn| {
                let Some(held) = held.get_mut(&ticket) else { return StartCheck::NoTarget };
                if !fleet.may_find_target(now, &held.query(), request.last_start()) {
                    return StartCheck::NoTarget;
                }
                let is_own = has_freed && turn == Turn::Ordinary;
                let priority = request.priority;
                if claims.free(priority) == 0
                    || (!is_own && !claims.is_claimed(priority, &mut held.draw, draw))
                {
                    return StartCheck::Wait;
                }
                let time_left = request.on_time_by.since(now);
                let claim = CapacityClaim { targets, priority, time_left, turn };
                match fleet.place_with_capacity(now, &held.query(), &claim) {
                    Capacity::Free(found) => {
                        plan = Some(found);
                        StartCheck::Start
                    }
                    Capacity::Full(_) | Capacity::NoTarget => StartCheck::Wait,
                }
            });
            // What no request could use by now is for all hosts.
            *freed = if next.started.is_some() { freed.saturating_sub(1) } else { 0 };
            for (ticket, yielded) in refused {
                self.held.remove(&ticket);
                decisions.push(Decision::Refuse(ticket, yielded));
            }
            for ticket in next.without_target {
                self.held.remove(&ticket);
                decisions.push(Decision::NoTarget(ticket));
            }
            if let (Some(ticket), Some(plan)) = (next.started, plan) {
                self.held.remove(&ticket);
                decisions.push(Decision::Send(ticket, Box::new(plan)));
            }
        }
        decisions
    }

    fn cancel(&mut self, ticket: Ticket) {
        self.evicted.retain(
            |decision| !matches!(decision, Decision::Refuse(evicted, _) if *evicted == ticket),
        );
        let Some(held) = self.held.remove(&ticket) else { return };
        if let Some(service) = self.services.get_mut(&held.service) {
            service.queue.cancel(ticket);
        }
    }

    fn waiting(&self) -> Vec<(Arc<str>, usize)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.clone(), service.queue.len())).collect()
    }

    fn is_empty(&self) -> bool {
        self.held.is_empty() && self.evicted.is_empty()
    }

    fn report(&self) -> Vec<WaitingCount> {
        let services = self.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let counts = services.flat_map(|(name, service)| {
            let hash = stable_hash(&&**name) as u32;
            let by_priority = service.queue.waiting_by_priority();
            by_priority.into_iter().map(move |(priority, waiting)| WaitingCount {
                service: hash,
                priority,
                waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            })
        });
        counts.take(MAX_REPORTED).collect()
    }

    fn apply_report(&mut self, now: Time, host: u32, counts: Vec<WaitingCount>) {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        if counts.is_empty() {
            self.reports.remove(&host);
        } else {
            self.reports.insert(host, (now, counts));
        }
    }
}

/// Number of waiting requests of `priority` and more urgent ones: less urgent requests do not compete for
/// what a request may use.
fn competing(waiting: &[(u8, usize)], priority: u8) -> usize {
    let competing = waiting.iter().filter(|(known, _)| *known <= priority);
    competing.map(|(_, count)| count).sum()
}

/// The placement whose target computes the prompt.
fn computing(plan: &Plan) -> &Placement {
    plan.prefill.as_ref().unwrap_or(&plan.placement)
}

/// Cost of a request for the shares of organisations, in tokens.
fn cost(plan: &Plan, prompt: &Prompt) -> u64 {
    u64::from(computing(plan).compute_tokens)
        + OUTPUT_COST * u64::from(prompt.max_output)
        + REQUEST_COST
}
