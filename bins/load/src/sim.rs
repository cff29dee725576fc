//! Runs a scheme against engine models in virtual time.
//!
//! Each entry decides alone: it sees its own requests at once, and the fleet
//! through target updates, load reports and cache events that arrive late, at
//! different times at different entries. One controller decides on roles and
//! target orders from the same late reports.

mod control;
mod engines;
mod entries;
mod live;

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{Load, Queue, Supply, Tariff, WeightStore};
use chervilgate_policy::{
    CacheEvent, LoadReport, Outcome, Role, RouteSettings, Target, TargetId, Zone,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    scenario::{DRAIN, Fault, GAP_LIMIT, Scenario},
    scheme::{Dispatch, Scheme},
    sim::{control::Control, engines::Unit, live::Live},
    tally::{Ending, Tally},
    workload::Arrival,
};

/// Times at which broadcasts reach the entries, one group after the other.
const WAVES: usize = 3;

/// Something that happens at a set time.
#[derive(Debug)]
enum Happening {
    Arrive(usize),
    /// An engine has something to do.
    Wake(usize),
    /// An entry polls its queue.
    Check(usize),
    /// A job reaches an engine.
    Submit(Attempt),
    /// A KV cache reaches the decode engine.
    Handoff(Attempt),
    FirstToken(Attempt),
    /// An entry hears how an attempt ended.
    Ended(Attempt, Outcome, Option<usize>),
    Retry(Attempt),

    View(Box<Target>, usize),
    Report {
        engine: usize,
        load: Load,
        measured: Time,
        wave: usize,
    },
    Cache(Box<CacheEvent>, usize),
    /// Engines take load reports.
    Sample,
    /// The controller decides.
    Plan,
    StartChange(usize, Role),
    /// A target has loaded its weights.
    Ready(usize),
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
    check: Time,
    /// Tokens produced for each token of the callers' limits, lately.
    ratio: f64,
}

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
    silent_until: Time,
    lag: Duration,
    tally: Tally,
}

/// Runs `scheme` over `arrivals` and returns what was measured.
pub fn run(scenario: &Scenario, scheme: Scheme, arrivals: &[Arrival], seed: u64) -> Tally {
    let mut world = World::new(scenario, scheme, arrivals, seed);
    world.begin(scheme);
    let end = Time::ZERO + scenario.workload.span + DRAIN;
    while let Some((at, happening)) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle(happening);
    }
    world.now = end;
    world.close_rest();
    world.tally
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, scheme: Scheme, arrivals: &[Arrival], seed: u64) -> World<'a> {
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
            let dispatch = scheme.dispatch(route);
            Entry { zone, dispatch, check: Time::NEVER, ratio: 0.67 }
        });
        World {
            scenario,
            arrivals: arrivals.to_vec(),
            now: Time::ZERO,
            queue: Queue::default(),
            rng: Pcg64::seed_from_u64(seed ^ 0x5eed),
            units: Vec::new(),
            entries: entries.collect(),
            live: arrivals.iter().map(|_| Live::new()).collect(),
            control: Control::new(scheme, scenario),
            supply: Supply::new(tariff, WeightStore::new(rate)),
            silent_until: Time::ZERO,
            lag: scenario.lag,
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
        for engine in 0..self.units.len() {
            let target = self.units[engine].target(engine, self.scenario);
            for entry in &mut self.entries {
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
                for entry in self.entries.iter_mut().skip(wave).step_by(WAVES) {
                    entry.dispatch.cache_event(&event);
                }
            }
            Happening::Sample => self.sample(),
            Happening::Plan => self.plan(),
            Happening::StartChange(engine, role) => self.start_change(engine, role),
            Happening::Ready(engine) => self.make_ready(engine),
            Happening::Return(engine) => self.return_target(engine),
            Happening::Fault(index) => self.strike(self.scenario.faults[index].1),
        }
    }

    /// Pushes one happening a wave, at a lag around `lag`.
    fn broadcast(&mut self, lag: Duration, happening: impl Fn(usize) -> Happening) {
        for wave in 0..WAVES {
            let at = self.now + lag * (wave as u32 + 3) / 4;
            self.queue.push(at, happening(wave));
        }
    }

    fn show(&mut self, target: &Target, wave: usize) {
        let now = self.now;
        for entry in self.entries.iter_mut().skip(wave).step_by(WAVES) {
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
        for entry in self.entries.iter_mut().skip(wave).step_by(WAVES) {
            entry.dispatch.report(now, TargetId(engine as u32), report);
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

    /// One-way time between an entry and an engine.
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
        let arrival = &self.arrivals[request];
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
        let busy = self.units.iter().map(|unit| unit.engine.busy().as_secs_f64());
        self.tally.busy = busy.sum();
    }
}
