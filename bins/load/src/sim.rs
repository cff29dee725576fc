//! Simulates a scheme against engine models in virtual time.
//!
//! Each entry decides alone. It sees its own requests immediately, and the fleet through
//! target updates, load reports and cache events, which arrive with a delay that differs
//! between entries. One controller plans role changes and target orders from the same
//! delayed reports.

mod control;
mod engines;
mod entries;
mod live;
mod orders;
mod suspects;

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{Load, Queue, Supply, Tariff, WeightStore};
use chervilgate_policy::{
    CacheEvent, HostId, LoadReport, Meter, Notice, Outcome, Place, Poison, PoisonSettings,
    RetryBudget, RetrySettings, Role, RouteSettings, Target, TargetId, Zone, choose_view,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    experiment::Draw,
    scenario::{DRAIN, Fault, GAP_LIMIT, Scenario},
    scheme::{Dispatch, Scheme},
    sim::{control::Control, engines::Unit, live::Live},
    tally::{Ending, Tally},
    workload::Arrival,
};

/// Maximum number of targets in the view of one entry.
const VIEW_SIZE: usize = 64;

/// Groups of entries that a broadcast reaches at different times. Entry `i` is in group
/// `i % BROADCAST_GROUPS`.
const WAVES: usize = 3;

/// An event of the simulation.
#[derive(Debug)]
enum Happening {
    /// A request reaches its entry.
    Arrive(usize),
    /// An engine completes a step or a role change.
    Wake(usize),
    /// An entry polls its queue.
    Check(usize),
    /// A job reaches an engine.
    Submit(Attempt),
    /// The KV cache of a prompt reaches the decode engine.
    Handoff(Attempt),
    FirstToken(Attempt),
    /// An entry learns how an attempt ended, and at which engine.
    Ended(Attempt, Outcome, Option<usize>),
    Retry(Attempt),
    /// A target update reaches a group of entries.
    View(Box<Target>, usize),
    /// A load report reaches a group of entries.
    Report {
        engine: usize,
        load: Load,
        measured: Time,
        wave: usize,
    },
    /// A cache event reaches a group of entries.
    Cache(Box<CacheEvent>, usize),
    /// An entry learns which requests ran on a target when it crashed.
    Notice(Box<Notice>, usize),
    /// An entry learns that another entry runs a suspect on a target.
    Hold(TargetId, usize),
    /// Engines send load reports.
    Sample,
    /// The controller plans role changes and target orders.
    Plan,
    /// A drained engine changes its role.
    StartChange(usize, Role),
    /// An engine has loaded its weights and starts to serve.
    Ready(usize),
    /// A drained target is returned to the provider.
    Return(usize),
    Fault(usize),
}

/// One attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attempt {
    request: usize,
    number: u32,
}

/// An entry host.
struct Entry {
    zone: u8,
    dispatch: Box<dyn Dispatch>,
    /// Numbers of the targets in the entry's view.
    view: BTreeSet<u32>,
    /// Time of the next scheduled poll.
    check: Time,
    budget: RetryBudget,
    meter: Meter,
    /// As `meter`, for requests that must not be repeated.
    firm: Meter,
    poison: Option<Poison>,
    /// Crashes already reported, as engine and incarnation.
    crashes: BTreeSet<(usize, u64)>,
    /// Moving average of answer length over the caller's limit.
    ratio: f64,
}

impl Entry {
    fn new(scheme: Scheme, zone: u8, dispatch: Box<dyn Dispatch>) -> Entry {
        Entry {
            zone,
            dispatch,
            view: BTreeSet::new(),
            check: Time::NEVER,
            budget: RetryBudget::new(RetrySettings::default()),
            meter: Meter::new(Time::ZERO, control::WINDOW),
            firm: Meter::new(Time::ZERO, control::WINDOW),
            poison: scheme.finds_poison().then(|| Poison::new(PoisonSettings::default())),
            crashes: BTreeSet::new(),
            ratio: 0.67,
        }
    }

    fn sees(&self, target: TargetId) -> bool {
        self.view.contains(&target.0)
    }
}

/// The state of one run.
struct World<'a> {
    scenario: &'a Scenario,
    arrivals: Vec<Arrival>,
    now: Time,
    queue: Queue<Happening>,
    rng: Pcg64,
    units: Vec<Unit>,
    entries: Vec<Entry>,
    live: Vec<Live>,
    control: Control,
    supply: Supply,
    /// Time until which load reports and cache events are dropped.
    silent_until: Time,
    /// Current delay of load reports.
    lag: Duration,
    /// Number of requests that have not ended.
    open: usize,
    trace: bool,
    tally: Tally,
}

/// Simulates `scheme` with `input` and returns the statistics of the run.
pub fn run(scenario: &Scenario, scheme: Scheme, draw: &Draw) -> Tally {
    let mut world = World::new(scenario, scheme, draw);
    world.begin(scheme);
    let end = Time::ZERO + scenario.workload.span + DRAIN;
    while let Some((at, happening)) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle(happening);
        if world.open == 0 {
            break;
        }
    }
    world.now = end;
    world.close_rest();
    world.tally
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, scheme: Scheme, draw: &Draw) -> World<'a> {
        let tariff = scenario.spend.map_or(Tariff { steady: 0, cheap: 0 }, |spend| Tariff {
            steady: spend.steady,
            cheap: spend.cheap,
        });
        let rate = scenario.spend.map_or(1, |spend| spend.store_rate);
        let entries = (0..scenario.workload.entries).map(|index| {
            let zone = (index % usize::from(scenario.zones)) as u8;
            let route = RouteSettings {
                zone: Zone(zone),
                far: scenario.far,
                gap: GAP_LIMIT,
                ..RouteSettings::default()
            };
            let dispatch = scheme.dispatch(index, route);
            Entry::new(scheme, zone, dispatch)
        });
        World {
            scenario,
            arrivals: draw.arrivals.clone(),
            now: Time::ZERO,
            queue: Queue::default(),
            rng: Pcg64::seed_from_u64(draw.seed ^ 0x5eed),
            units: Vec::new(),
            entries: entries.collect(),
            live: draw.arrivals.iter().map(|_| Live::new()).collect(),
            control: Control::new(scheme, scenario),
            supply: Supply::new(tariff, WeightStore::new(rate)),
            silent_until: Time::ZERO,
            lag: scenario.lag,
            open: draw.arrivals.len(),
            trace: draw.trace,
            tally: Tally::new(),
        }
    }

    fn begin(&mut self, scheme: Scheme) {
        let roles = scheme.initial(self.scenario.fleet.len(), self.scenario.share);
        for (place, role) in self.scenario.fleet.iter().zip(roles) {
            let rental = self.supply.adopt(self.now, place.zone, place.tier);
            let unit = Unit::new(self.scenario, *place, role, rental);
            self.units.push(unit);
        }
        self.choose_views();
        for engine in 0..self.units.len() {
            let target = self.units[engine].target(engine, self.scenario);
            for entry in self.entries.iter_mut().filter(|entry| entry.sees(target.id)) {
                entry.dispatch.set_target(self.now, target.clone());
            }
        }
        self.queue.push(self.now, Happening::Sample);
        self.queue.push(self.now + control::EVERY, Happening::Plan);
        for (index, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.queue.push(*at, Happening::Fault(index));
        }
        if let Some(first) = self.arrivals.first() {
            self.queue.push(first.at, Happening::Arrive(0));
        }
    }

    /// Selects the targets in each entry's view.
    fn choose_views(&mut self) {
        let place = |(index, unit): (usize, &Unit)| Place {
            id: TargetId(index as u32),
            zone: Zone(unit.place.zone),
        };
        let places: Vec<Place> = self.units.iter().enumerate().map(place).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let host = HostId(index as u32);
            let chosen = choose_view(host, Zone(entry.zone), &places, VIEW_SIZE);
            entry.view = chosen.into_iter().map(|id| id.0).collect();
        }
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => {
                if let Some(next) = self.arrivals.get(request + 1) {
                    self.queue.push(next.at, Happening::Arrive(request + 1));
                }
                self.arrive(request);
            }
            Happening::Wake(engine) => self.advance(engine),
            Happening::Check(entry) => self.check(entry),
            Happening::Submit(attempt) => self.submit(attempt),
            Happening::Handoff(attempt) => self.hand_off(attempt),
            Happening::FirstToken(attempt) => self.note_first(attempt),
            Happening::Ended(attempt, outcome, at) => self.end_attempt(attempt, outcome, at),
            Happening::Retry(attempt) => self.retry(attempt),
            Happening::View(target, wave) => self.show(&target, wave),
            Happening::Report { engine, load, measured, wave } => {
                self.report(engine, load, measured, wave);
            }
            Happening::Cache(event, wave) => {
                let entries = self.entries.iter_mut().skip(wave).step_by(WAVES);
                for entry in entries.filter(|entry| entry.sees(event.target)) {
                    entry.dispatch.cache_event(&event);
                }
            }
            Happening::Notice(notice, entry) => self.hear(&notice, entry),
            Happening::Hold(target, entry) => {
                self.entries[entry].dispatch.hold(self.now, target);
            }
            Happening::Sample => self.sample(),
            Happening::Plan => self.plan(),
            Happening::StartChange(engine, role) => self.start_change(engine, role),
            Happening::Ready(engine) => self.make_ready(engine),
            Happening::Return(engine) => self.return_target(engine),
            Happening::Fault(index) => self.strike(self.scenario.faults[index].1),
        }
    }

    /// Schedules one event for each group of entries, after 3/4, 4/4 and 5/4 of `lag`.
    fn broadcast(&mut self, lag: Duration, happening: impl Fn(usize) -> Happening) {
        for wave in 0..WAVES {
            let at = self.now + lag * (wave as u32 + 3) / 4;
            self.queue.push(at, happening(wave));
        }
    }

    fn show(&mut self, target: &Target, wave: usize) {
        let now = self.now;
        let entries = self.entries.iter_mut().skip(wave).step_by(WAVES);
        for entry in entries.filter(|entry| entry.sees(target.id)) {
            entry.dispatch.set_target(now, target.clone());
        }
        self.check_wave(wave);
    }

    fn report(&mut self, engine: usize, load: Load, measured: Time, wave: usize) {
        let now = self.now;
        if wave == 0 {
            self.units[engine].seen = (load, measured);
        }
        let report = LoadReport {
            age: now.since(measured),
            running: load.running,
            waiting: load.waiting,
            prompt_queue: load.prompt_queue,
            kv_used: u64::from(load.kv_used),
        };
        let id = TargetId(engine as u32);
        let entries = self.entries.iter_mut().skip(wave).step_by(WAVES);
        for entry in entries.filter(|entry| entry.sees(id)) {
            entry.dispatch.report(now, id, report);
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Reclaim { zone, withheld } => self.reclaim(zone, withheld),
            Fault::Lag(lag) => self.lag = lag,
            Fault::Silence(span) => self.silent_until = self.now + span,
            Fault::Crash(engine) => self.crash(engine),
        }
    }

    /// One-way network delay between an entry and an engine.
    fn distance(&self, entry: usize, engine: usize) -> Duration {
        if self.entries[entry].zone == self.units[engine].place.zone {
            self.scenario.near
        } else {
            self.scenario.far
        }
    }

    fn close(&mut self, request: usize, ending: Ending) {
        let live = &mut self.live[request];
        if live.closed {
            return;
        }
        live.closed = true;
        self.open -= 1;
        let arrival = &self.arrivals[request];
        if self.trace {
            self.tally.traces.push(live.trace(arrival, ending));
        }
        if arrival.repeatable && !arrival.poison && ending == Ending::Lost {
            self.tally.lost_repeatable += 1;
        }
        if !arrival.poison {
            self.tally.close(arrival.at, arrival.org, ending);
        }
    }

    fn close_rest(&mut self) {
        for request in 0..self.live.len() {
            self.close(request, Ending::Lost);
        }
        self.tally.cost = self.supply.cost(Time::ZERO + self.scenario.workload.span);
    }
}
