//! The simulated engines: jobs, engine events, crashes and cache events.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{
    CacheChange as Change, Engine, Event, Job, Load, Lost, Refusal, Stage, Tier,
};
use chervilgate_policy::{
    BlockHash, CacheChange, CacheEvent, Outcome, Role, State, Target, TargetId, Zone,
};
use rand::RngExt;

use crate::{
    scenario::{GAP_LIMIT, Place, Scenario, engine_role, policy_kind, policy_role, specs},
    sim::{Attempt, Happening, World},
    tally::Ending,
};

/// Maximum number of attempts at one request that job numbers can express.
const ATTEMPTS: u64 = 256;

/// Mean delay of a target update to the entries.
pub(super) const VIEW_LAG: Duration = Duration::from_secs(1);

/// Time from a crash until the engine serves again.
const RESTART: Duration = Duration::from_secs(30);

/// An engine of the fleet and its state in the simulation.
pub(super) struct Unit {
    pub(super) engine: Engine,
    pub(super) place: Place,
    /// Number of the engine's order at the provider.
    pub(super) rental: u32,
    pub(super) state: State,
    /// Current role, or the new one during a change.
    pub(super) role: Role,
    /// Load of the last report that reached the controller, and when it was measured.
    pub(super) seen: (Load, Time),
    /// Number of crashes so far.
    pub(super) incarnation: u64,
    /// Last time at which a job was present.
    pub(super) idle: Time,
    /// Time of the scheduled wake event.
    wake: Time,
    cache_seq: u64,
    /// Time from which the export link is free.
    link: Time,
}

impl Unit {
    pub(super) fn new(scenario: &Scenario, place: Place, role: Role, rental: u32) -> Unit {
        Unit {
            engine: Engine::new(scenario.profile.clone(), engine_role(role), GAP_LIMIT),
            place,
            rental,
            state: State::Serving,
            role,
            seen: (Load::default(), Time::ZERO),
            incarnation: 0,
            idle: Time::ZERO,
            wake: Time::NEVER,
            cache_seq: 0,
            link: Time::ZERO,
        }
    }

    /// An ordered engine, which serves once its weights are loaded.
    pub(super) fn ordered(scenario: &Scenario, place: Place, rental: u32) -> Unit {
        let mut unit = Unit::new(scenario, place, Role::Mixed, rental);
        unit.engine.crash();
        unit.state = State::Starting;
        unit
    }

    /// The engine as a target in the entries' view.
    pub(super) fn target(&self, index: usize, scenario: &Scenario) -> Target {
        Target {
            id: TargetId(index as u32),
            role: self.role,
            zone: Zone(self.place.zone),
            kind: policy_kind(self.place.tier),
            state: self.state,
            specs: specs(&scenario.profile, self.role),
        }
    }
}

impl Attempt {
    pub(super) fn job(self) -> u64 {
        self.request as u64 * ATTEMPTS + u64::from(self.number)
    }

    pub(super) fn of_job(job: u64) -> Attempt {
        Attempt { request: (job / ATTEMPTS) as usize, number: (job % ATTEMPTS) as u32 }
    }
}

impl World<'_> {
    /// Whether this is the latest attempt at a request that has not ended.
    pub(super) fn is_current(&self, attempt: Attempt) -> bool {
        let live = &self.live[attempt.request];
        !live.closed && live.number == attempt.number
    }

    pub(super) fn submit(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        let Some(route) = self.live[attempt.request].route else { return };
        let engine = route.prefill.0 as usize;
        let stage = if route.prefill == route.decode { Stage::Whole } else { Stage::Prefill };
        let job = self.job(attempt, stage);
        if let Some(fetch) = route.fetch {
            self.import_prefix(engine, fetch.from, &job.blocks);
        }
        self.run_job(attempt, engine, job);
    }

    pub(super) fn hand_off(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        let Some(route) = self.live[attempt.request].route else { return };
        let source = route.prefill.0 as usize;
        self.units[source].engine.release(self.now, attempt.job());
        self.touch(source);
        let job = self.job(attempt, Stage::Decode);
        self.run_job(attempt, route.decode.0 as usize, job);
    }

    fn run_job(&mut self, attempt: Attempt, engine: usize, job: Job) {
        let stage = job.stage;
        match self.units[engine].engine.submit(self.now, job) {
            Ok(()) if stage != Stage::Decode => self.note_run(attempt),
            Ok(()) => (),
            Err(refusal) => {
                let outcome = Outcome::Failed;
                let fatal = refusal == Refusal::TooLarge;
                self.tell(attempt, outcome, engine, fatal);
            }
        }
        self.touch(engine);
    }

    fn note_run(&mut self, attempt: Attempt) {
        let live = &mut self.live[attempt.request];
        live.runs += 1;
        if live.runs > 1 && !self.arrivals[attempt.request].repeatable {
            self.tally.doubled += 1;
        }
    }

    fn tell(&mut self, attempt: Attempt, outcome: Outcome, engine: usize, fatal: bool) {
        let entry = self.arrivals[attempt.request].entry;
        let at = self.now + self.distance(entry, engine);
        if fatal {
            self.close(attempt.request, Ending::Refused);
        }
        self.queue.push(at, Happening::Ended(attempt, outcome, Some(engine)));
    }

    fn job(&self, attempt: Attempt, stage: Stage) -> Job {
        let arrival = &self.arrivals[attempt.request];
        Job {
            id: attempt.job(),
            prompt: arrival.prompt,
            blocks: arrival.blocks.clone(),
            output: arrival.output,
            limit: arrival.limit,
            emitted: self.live[attempt.request].emitted,
            priority: 1,
            stage,
            poison: arrival.poison,
        }
    }

    fn import_prefix(&mut self, engine: usize, from: TargetId, blocks: &[u64]) {
        let held = self.units[from.0 as usize].engine.cached(blocks);
        let changes = self.units[engine].engine.import(&blocks[..held]);
        self.publish(engine, &changes);
    }

    /// Schedules the engine's next wake event and updates its idle time.
    pub(super) fn touch(&mut self, engine: usize) {
        let unit = &mut self.units[engine];
        if unit.engine.jobs() > 0 {
            unit.idle = self.now;
        }
        let Some(next) = unit.engine.next() else { return };
        if unit.wake != next {
            unit.wake = next;
            self.queue.push(next, Happening::Wake(engine));
        }
    }

    pub(super) fn advance(&mut self, engine: usize) {
        if self.units[engine].engine.next() != Some(self.now) {
            return;
        }
        let mut events = Vec::new();
        self.units[engine].engine.advance(self.now, &mut events);
        for event in events {
            self.take(engine, event);
        }
        self.touch(engine);
    }

    fn take(&mut self, engine: usize, event: Event) {
        match event {
            Event::Stepped { gap, seqs } => {
                self.tally.gaps.saturating_record_n(gap.as_micros() as u64, u64::from(seqs));
            }
            Event::First { id, cached } => self.take_first(engine, Attempt::of_job(id), cached),
            Event::Exportable { id } => self.export(engine, Attempt::of_job(id)),
            Event::Done { id, tokens, slow, joined } => {
                self.take_done(engine, Attempt::of_job(id), tokens, slow, joined);
            }
            Event::Cached(changes) => self.publish(engine, &changes),
            Event::Changed(role) => {
                self.units[engine].role = policy_role(role);
                self.set_state(engine, State::Serving);
            }
            Event::Crashed { by, lost } => {
                let culprit = self.arrivals[Attempt::of_job(by).request].fingerprint;
                *self.tally.poisoned.entry(culprit).or_default() += 1;
                self.take_crash(engine, &lost);
            }
        }
    }

    fn take_first(&mut self, engine: usize, attempt: Attempt, cached: u32) {
        if !self.is_current(attempt) {
            return;
        }
        let entry = self.arrivals[attempt.request].entry;
        let at = self.now + self.distance(entry, engine);
        let live = &mut self.live[attempt.request];
        let fresh = live.first.is_none();
        live.cached = cached;
        let gap = live.note_token(at);
        if fresh {
            let first = at.since(self.arrivals[attempt.request].at);
            self.tally.first.saturating_record(first.as_micros() as u64);
        }
        if let Some(gap) = gap {
            self.tally.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.queue.push(at, Happening::FirstToken(attempt));
    }

    fn export(&mut self, engine: usize, attempt: Attempt) {
        let live = &self.live[attempt.request];
        let arrival = &self.arrivals[attempt.request];
        if !self.is_current(attempt) || live.emitted >= arrival.output {
            self.units[engine].engine.release(self.now, attempt.job());
            if self.is_current(attempt) {
                self.end_whole(engine, attempt);
            }
            return;
        }
        let tokens = arrival.prompt + live.emitted;
        let span = self.scenario.profile.transfer_time(tokens);
        let unit = &mut self.units[engine];
        unit.link = unit.link.max(self.now) + span;
        self.queue.push(unit.link, Happening::Handoff(attempt));
    }

    fn take_done(&mut self, engine: usize, attempt: Attempt, tokens: u32, slow: u32, joined: Time) {
        if !self.is_current(attempt) {
            return;
        }
        let live = &mut self.live[attempt.request];
        if joined == Time::ZERO {
            live.note_tokens(tokens - 1, slow);
        } else {
            let gap = joined.since(live.last);
            live.note_tokens(tokens, slow + u32::from(gap > GAP_LIMIT));
            self.tally.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.end_whole(engine, attempt);
    }

    fn end_whole(&mut self, engine: usize, attempt: Attempt) {
        let arrival = &self.arrivals[attempt.request];
        let live = &self.live[attempt.request];
        if live.emitted != arrival.output {
            self.tally.wrong += 1;
        }
        let ending = live.ending(arrival.at);
        self.tell(attempt, Outcome::Done, engine, false);
        self.close(attempt.request, ending);
    }

    pub(super) fn crash(&mut self, engine: usize) {
        let lost = self.units[engine].engine.crash();
        self.take_crash(engine, &lost);
    }

    /// Reports lost jobs to their entries and schedules a restart, unless the engine was
    /// reclaimed.
    fn take_crash(&mut self, engine: usize, lost: &[Lost]) {
        self.units[engine].incarnation += 1;
        for lost in lost {
            self.lose(engine, lost);
        }
        if self.units[engine].state == State::Reclaimed {
            return;
        }
        self.set_state(engine, State::Starting);
        self.queue.push(self.now + RESTART, Happening::Ready(engine));
    }

    pub(super) fn lose(&mut self, engine: usize, lost: &Lost) {
        let attempt = Attempt::of_job(lost.id);
        if !self.is_current(attempt) {
            return;
        }
        let live = &mut self.live[attempt.request];
        let tokens = lost.emitted.saturating_sub(live.emitted);
        if tokens > 0 {
            live.note_tokens(tokens, lost.slow);
            live.last = self.now;
        }
        self.tell(attempt, Outcome::Crashed, engine, false);
    }

    pub(super) fn make_ready(&mut self, engine: usize) {
        if self.units[engine].state != State::Starting {
            return;
        }
        let unit = &mut self.units[engine];
        unit.role = policy_role(unit.engine.role());
        unit.engine.restart();
        unit.idle = self.now;
        self.set_state(engine, State::Serving);
        self.touch(engine);
    }

    /// Sets an engine's state and sends a target update to the entries.
    pub(super) fn set_state(&mut self, engine: usize, state: State) {
        self.units[engine].state = state;
        let target = self.units[engine].target(engine, self.scenario);
        self.broadcast(VIEW_LAG, |wave| Happening::View(Box::new(target.clone()), wave));
    }

    pub(super) fn reclaim(&mut self, zone: u8, withheld: Duration) {
        self.supply.reclaim(self.now, zone, withheld);
        for engine in 0..self.units.len() {
            let place = self.units[engine].place;
            let gone = self.units[engine].state == State::Reclaimed;
            if place.zone == zone && place.tier == Tier::Cheap && !gone {
                self.set_state(engine, State::Reclaimed);
                self.crash(engine);
            }
        }
    }

    fn publish(&mut self, engine: usize, changes: &[Change]) {
        let pick = |stored: bool| -> Arc<[BlockHash]> {
            let hashes = changes.iter().filter_map(|change| match change {
                Change::Stored(hash) if stored => Some(BlockHash(*hash)),
                Change::Evicted(hash) if !stored => Some(BlockHash(*hash)),
                _ => None,
            });
            hashes.collect()
        };
        let (stored, removed) = (pick(true), pick(false));
        if !stored.is_empty() {
            self.send_cache_event(engine, CacheChange::Stored(stored));
        }
        if !removed.is_empty() {
            self.send_cache_event(engine, CacheChange::Removed(removed));
        }
    }

    fn send_cache_event(&mut self, engine: usize, change: CacheChange) {
        let seq = self.units[engine].cache_seq;
        self.units[engine].cache_seq += 1;
        let lost = self.rng.random::<f64>() < self.scenario.cache_loss;
        if lost || self.now < self.silent_until {
            return;
        }
        let event = CacheEvent { target: TargetId(engine as u32), seq, change };
        let lag = self.scenario.cache_lag;
        self.broadcast(lag, |wave| Happening::Cache(Box::new(event.clone()), wave));
    }
}
