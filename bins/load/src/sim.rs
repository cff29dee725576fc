//! Simulates a scheme against engine models in virtual time.
//!
//! Each entry decides alone. It sees its own requests immediately, and the fleet through
//! target updates, load reports and cache events, which arrive with a delay that differs
//! between entries. One controller plans role changes and target orders from the same
//! delayed reports.

mod control;
mod engines;
mod entries;
mod orders;
mod request;
mod suspects;

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{EngineLoad, EventQueue, PriceList, TargetProvider, WeightStore};
use chervilgate_policy::{
    AttemptOutcome, CacheEvent, CrashNotice, DemandMeter, HostId, LoadReport, PoisonDetector,
    PoisonSettings, RetryBudget, RetrySettings, Role, RouteSettings, Target, TargetId,
    TargetLocation, Zone, choose_subset,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    experiment::SeedInput,
    scenario::{DRAIN_LIMIT, Fault, GAP_LIMIT, Scenario},
    scheme::{Dispatch, Scheme},
    sim::{control::Controller, engines::FleetEngine, request::RequestState},
    stats::{RequestOutcome, RunStats},
    workload::Arrival,
};

/// Maximum number of targets that one entry knows.
const SUBSET_SIZE: usize = 64;

/// Groups of entries that a broadcast reaches at different times. Entry `i` is in group
/// `i % BROADCAST_GROUPS`.
const BROADCAST_GROUPS: usize = 3;

/// An event of the simulation.
#[derive(Debug)]
enum SimEvent {
    /// A request reaches its entry.
    Arrive(usize),
    /// An engine completes a step or a role change.
    Wake(usize),
    /// An entry polls its queue.
    Poll(usize),
    /// A job reaches an engine.
    Submit(Attempt),
    /// The KV cache of a prompt reaches the decode engine.
    Handoff(Attempt),
    FirstToken(Attempt),
    /// An entry learns how an attempt ended, and at which engine.
    AttemptEnded(Attempt, AttemptOutcome, Option<usize>),
    Retry(Attempt),
    /// A target update reaches a group of entries.
    TargetUpdate(Box<Target>, usize),
    /// A load report reaches a group of entries.
    Report {
        engine: usize,
        load: EngineLoad,
        measured: Time,
        group: usize,
    },
    /// A cache event reaches a group of entries.
    Cache(Box<CacheEvent>, usize),
    /// An entry learns which requests ran on a target when it crashed.
    CrashNotice(Box<CrashNotice>, usize),
    /// An entry learns that another entry runs a suspect on a target.
    Hold(TargetId, usize),
    /// Engines send load reports.
    ReportLoads,
    /// The controller plans role changes and target orders.
    Plan,
    /// A drained engine changes its role.
    ChangeRole(usize, Role),
    /// An engine has loaded its weights and starts to serve.
    Ready(usize),
    /// A drained target is returned to the platform.
    Return(usize),
    Fault(usize),
}

/// One attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attempt {
    request: usize,
    number: u32,
}

/// An entry and what it knows of the fleet.
struct Entry {
    zone: u8,
    dispatch: Box<dyn Dispatch>,
    /// Numbers of the targets that the entry knows.
    known_targets: BTreeSet<u32>,
    /// Time of the next scheduled poll.
    next_poll: Time,
    budget: RetryBudget,
    meter: DemandMeter,
    /// As `meter`, for requests that must not be repeated.
    nonrepeatable_meter: DemandMeter,
    poison: Option<PoisonDetector>,
    /// Crashes already reported, as engine and incarnation.
    crashes: BTreeSet<(usize, u64)>,
    /// Moving average of the ratio of the answer length to the caller's limit. Starts at
    /// 0.67, since limits are 1 to 2 times the answer length, 1.5 times on average.
    output_ratio: f64,
}

impl Entry {
    fn new(scheme: Scheme, zone: u8, dispatch: Box<dyn Dispatch>) -> Entry {
        Entry {
            zone,
            dispatch,
            known_targets: BTreeSet::new(),
            next_poll: Time::NEVER,
            budget: RetryBudget::new(RetrySettings::default()),
            meter: DemandMeter::new(Time::ZERO, control::DEMAND_WINDOW),
            nonrepeatable_meter: DemandMeter::new(Time::ZERO, control::DEMAND_WINDOW),
            poison: scheme.quarantines().then(|| PoisonDetector::new(PoisonSettings::default())),
            crashes: BTreeSet::new(),
            output_ratio: 0.67,
        }
    }

    fn knows(&self, target: TargetId) -> bool {
        self.known_targets.contains(&target.0)
    }
}

/// The state of one run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    arrivals: Vec<Arrival>,
    now: Time,
    queue: EventQueue<SimEvent>,
    rng: Pcg64,
    engines: Vec<FleetEngine>,
    entries: Vec<Entry>,
    requests: Vec<RequestState>,
    control: Controller,
    supply: TargetProvider,
    /// Time until which load reports and cache events are dropped.
    reports_paused_until: Time,
    /// Current delay of load reports.
    report_lag: Duration,
    /// Number of requests that have not ended.
    open_requests: usize,
    trace: bool,
    stats: RunStats,
}

/// Simulates `scheme` with `input` and returns the statistics of the run.
pub fn run(scenario: &Scenario, scheme: Scheme, input: &SeedInput) -> RunStats {
    let mut simulation = Simulation::new(scenario, scheme, input);
    simulation.set_up(scheme);
    let end = Time::ZERO + scenario.workload.span + DRAIN_LIMIT;
    while let Some((at, event)) = simulation.queue.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
        if simulation.open_requests == 0 {
            break;
        }
    }
    simulation.now = end;
    simulation.close_unfinished();
    simulation.stats
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, scheme: Scheme, input: &SeedInput) -> Simulation<'a> {
        let prices = scenario.spending.map_or(PriceList { steady: 0, cheap: 0 }, |spending| {
            PriceList { steady: spending.steady, cheap: spending.cheap }
        });
        let rate = scenario.spending.map_or(1, |spending| spending.store_rate);
        let entries = (0..scenario.workload.entries).map(|index| {
            let zone = (index % usize::from(scenario.zones)) as u8;
            let route = RouteSettings {
                zone: Zone(zone),
                cross_zone_delay: scenario.remote_delay,
                token_gap: GAP_LIMIT,
                ..RouteSettings::default()
            };
            let dispatch = scheme.dispatch(index, route);
            Entry::new(scheme, zone, dispatch)
        });
        Simulation {
            scenario,
            arrivals: input.arrivals.clone(),
            now: Time::ZERO,
            queue: EventQueue::default(),
            rng: Pcg64::seed_from_u64(input.seed ^ 0x5eed),
            engines: Vec::new(),
            entries: entries.collect(),
            requests: input.arrivals.iter().map(|_| RequestState::new()).collect(),
            control: Controller::new(scheme, scenario),
            supply: TargetProvider::new(prices, WeightStore::new(rate)),
            reports_paused_until: Time::ZERO,
            report_lag: scenario.report_lag,
            open_requests: input.arrivals.len(),
            trace: input.trace,
            stats: RunStats::new(),
        }
    }

    fn set_up(&mut self, scheme: Scheme) {
        let roles = scheme.starting_roles(self.scenario.fleet.len(), self.scenario.prefill_share);
        for (place, role) in self.scenario.fleet.iter().zip(roles) {
            let order_id = self.supply.add_running(self.now, place.zone, place.tier);
            let fleet_engine = FleetEngine::new(self.scenario, *place, role, order_id);
            self.engines.push(fleet_engine);
        }
        self.choose_subsets();
        for engine in 0..self.engines.len() {
            let target = self.engines[engine].target(engine, self.scenario);
            for entry in self.entries.iter_mut().filter(|entry| entry.knows(target.id)) {
                entry.dispatch.set_target(self.now, target.clone());
            }
        }
        self.queue.push(self.now, SimEvent::ReportLoads);
        self.queue.push(self.now + control::PLAN_INTERVAL, SimEvent::Plan);
        for (index, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.queue.push(*at, SimEvent::Fault(index));
        }
        if let Some(first) = self.arrivals.first() {
            self.queue.push(first.at, SimEvent::Arrive(0));
        }
    }

    /// Selects the targets that each entry knows.
    fn choose_subsets(&mut self) {
        let place = |(index, fleet_engine): (usize, &FleetEngine)| TargetLocation {
            id: TargetId(index as u32),
            zone: Zone(fleet_engine.place.zone),
        };
        let places: Vec<TargetLocation> = self.engines.iter().enumerate().map(place).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let host = HostId(index as u32);
            let chosen = choose_subset(host, Zone(entry.zone), &places, SUBSET_SIZE);
            entry.known_targets = chosen.into_iter().map(|id| id.0).collect();
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => {
                if let Some(next) = self.arrivals.get(request + 1) {
                    self.queue.push(next.at, SimEvent::Arrive(request + 1));
                }
                self.arrive(request);
            }
            SimEvent::Wake(engine) => self.advance(engine),
            SimEvent::Poll(entry) => self.run_scheduled_poll(entry),
            SimEvent::Submit(attempt) => self.submit(attempt),
            SimEvent::Handoff(attempt) => self.hand_off(attempt),
            SimEvent::FirstToken(attempt) => self.record_first_token(attempt),
            SimEvent::AttemptEnded(attempt, outcome, at) => self.end_attempt(attempt, outcome, at),
            SimEvent::Retry(attempt) => self.retry(attempt),
            SimEvent::TargetUpdate(target, group) => self.update_target(&target, group),
            SimEvent::Report { engine, load, measured, group } => {
                self.report(engine, load, measured, group);
            }
            SimEvent::Cache(change, group) => {
                let entries = self.entries.iter_mut().skip(group).step_by(BROADCAST_GROUPS);
                for entry in entries.filter(|entry| entry.knows(change.target)) {
                    entry.dispatch.cache_event(&change);
                }
            }
            SimEvent::CrashNotice(notice, entry) => self.receive_crash_notice(&notice, entry),
            SimEvent::Hold(target, entry) => {
                self.entries[entry].dispatch.hold(self.now, target);
            }
            SimEvent::ReportLoads => self.report_loads(),
            SimEvent::Plan => self.plan(),
            SimEvent::ChangeRole(engine, role) => self.start_role_change(engine, role),
            SimEvent::Ready(engine) => self.make_ready(engine),
            SimEvent::Return(engine) => self.return_target(engine),
            SimEvent::Fault(index) => self.inject_fault(self.scenario.faults[index].1),
        }
    }

    /// Schedules one event for each group of entries, after 3/4, 4/4 and 5/4 of `lag`.
    fn broadcast(&mut self, lag: Duration, event: impl Fn(usize) -> SimEvent) {
        for group in 0..BROADCAST_GROUPS {
            let at = self.now + lag * (group as u32 + 3) / 4;
            self.queue.push(at, event(group));
        }
    }

    fn update_target(&mut self, target: &Target, group: usize) {
        let now = self.now;
        let entries = self.entries.iter_mut().skip(group).step_by(BROADCAST_GROUPS);
        for entry in entries.filter(|entry| entry.knows(target.id)) {
            entry.dispatch.set_target(now, target.clone());
        }
        self.poll_group(group);
    }

    fn report(&mut self, engine: usize, load: EngineLoad, measured: Time, group: usize) {
        let now = self.now;
        if group == 0 {
            self.engines[engine].last_report = (load, measured);
        }
        let report = LoadReport {
            age: now.since(measured),
            running: load.running,
            waiting: load.waiting,
            prompt_queue: load.prompt_queue,
            kv_used: u64::from(load.kv_used),
        };
        let id = TargetId(engine as u32);
        let entries = self.entries.iter_mut().skip(group).step_by(BROADCAST_GROUPS);
        for entry in entries.filter(|entry| entry.knows(id)) {
            entry.dispatch.report(now, id, report);
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Reclaim { zone, withheld } => self.reclaim(zone, withheld),
            Fault::ReportDelay(lag) => self.report_lag = lag,
            Fault::ReportOutage(span) => self.reports_paused_until = self.now + span,
            Fault::Crash(engine) => self.crash(engine),
        }
    }

    /// One-way network delay between an entry and an engine.
    fn network_delay(&self, entry: usize, engine: usize) -> Duration {
        if self.entries[entry].zone == self.engines[engine].place.zone {
            self.scenario.local_delay
        } else {
            self.scenario.remote_delay
        }
    }

    fn close(&mut self, request: usize, ending: RequestOutcome) {
        let state = &mut self.requests[request];
        if state.closed {
            return;
        }
        state.closed = true;
        self.open_requests -= 1;
        let arrival = &self.arrivals[request];
        if self.trace {
            self.stats.traces.push(state.trace(arrival, ending));
        }
        if arrival.repeatable && !arrival.poison && ending == RequestOutcome::Lost {
            self.stats.lost_repeatable += 1;
        }
        if !arrival.poison {
            self.stats.record_ending(arrival.at, arrival.org, ending);
        }
    }

    fn close_unfinished(&mut self) {
        for request in 0..self.requests.len() {
            self.close(request, RequestOutcome::Lost);
        }
        self.stats.cost = self.supply.total_cost(Time::ZERO + self.scenario.workload.span);
    }
}
