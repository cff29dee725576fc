//! The simulated engines: jobs, engine events, crashes and cache events.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{
    CacheChange as EngineCacheChange, Engine, EngineLoad, Event, Job, LostJob, PricingTier,
    Refusal, Stage,
};
use chervilgate_policy::{
    AttemptOutcome, BlockHash, CacheChange, CacheEvent, Role, Target, TargetId, TargetState, Zone,
};
use rand::RngExt;

use crate::{
    scenario::{
        EnginePlacement, GAP_LIMIT, Scenario, engine_role, policy_role, pricing_class, specs,
    },
    sim::{Attempt, SimEvent, Simulation},
    stats::RequestOutcome,
};

/// Maximum number of attempts at one request that job numbers can express.
const MAX_ATTEMPTS: u64 = 256;

/// Mean delay of a target update to the entries.
pub(super) const UPDATE_LAG: Duration = Duration::from_secs(1);

/// Time from a crash until the engine serves again.
const RESTART_TIME: Duration = Duration::from_secs(30);

/// An engine of the fleet and its state in the simulation.
pub(super) struct FleetEngine {
    pub(super) engine: Engine,
    pub(super) place: EnginePlacement,
    /// Id of the target order that created the engine.
    pub(super) order_id: u32,
    pub(super) state: TargetState,
    /// Current role, or the new one during a change.
    pub(super) role: Role,
    /// Load of the last report that reached the controller, and when it was measured.
    pub(super) last_report: (EngineLoad, Time),
    /// Number of crashes so far.
    pub(super) incarnation: u64,
    /// Last time at which a job was present.
    pub(super) idle_since: Time,
    /// Time of the scheduled wake event.
    next_wake: Time,
    cache_seq: u64,
    /// Time from which the export link is free.
    link_free: Time,
}

impl FleetEngine {
    pub(super) fn new(
        scenario: &Scenario,
        place: EnginePlacement,
        role: Role,
        order_id: u32,
    ) -> FleetEngine {
        FleetEngine {
            engine: Engine::new(scenario.profile.clone(), engine_role(role), GAP_LIMIT),
            place,
            order_id,
            state: TargetState::Serving,
            role,
            last_report: (EngineLoad::default(), Time::ZERO),
            incarnation: 0,
            idle_since: Time::ZERO,
            next_wake: Time::NEVER,
            cache_seq: 0,
            link_free: Time::ZERO,
        }
    }

    /// An ordered engine, which serves once its weights are loaded.
    pub(super) fn ordered(
        scenario: &Scenario,
        place: EnginePlacement,
        order_id: u32,
    ) -> FleetEngine {
        let mut fleet_engine = FleetEngine::new(scenario, place, Role::Mixed, order_id);
        fleet_engine.engine.crash();
        fleet_engine.state = TargetState::Starting;
        fleet_engine
    }

    /// The engine as the entries know it: a target.
    pub(super) fn target(&self, index: usize, scenario: &Scenario) -> Target {
        Target {
            id: TargetId(index as u32),
            role: self.role,
            zone: Zone(self.place.zone),
            kind: pricing_class(self.place.tier),
            state: self.state,
            specs: specs(&scenario.profile, self.role),
        }
    }
}

impl Attempt {
    pub(super) fn job(self) -> u64 {
        self.request as u64 * MAX_ATTEMPTS + u64::from(self.number)
    }

    pub(super) fn from_job(job: u64) -> Attempt {
        Attempt { request: (job / MAX_ATTEMPTS) as usize, number: (job % MAX_ATTEMPTS) as u32 }
    }
}

impl Simulation<'_> {
    /// Whether this is the latest attempt at a request that has not ended.
    pub(super) fn is_current(&self, attempt: Attempt) -> bool {
        let state = &self.requests[attempt.request];
        !state.closed && state.number == attempt.number
    }

    pub(super) fn submit(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        let Some(route) = self.requests[attempt.request].route else { return };
        let engine = route.prefill.0 as usize;
        let stage = if route.prefill == route.decode { Stage::Whole } else { Stage::Prefill };
        let job = self.job(attempt, stage);
        if let Some(fetch) = route.fetch {
            self.import_prefix(engine, fetch.from, &job.prefix_blocks);
        }
        self.run_job(attempt, engine, job);
    }

    pub(super) fn hand_off(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        let Some(route) = self.requests[attempt.request].route else { return };
        let source = route.prefill.0 as usize;
        self.engines[source].engine.release(self.now, attempt.job());
        self.schedule_wake(source);
        let job = self.job(attempt, Stage::Decode);
        self.run_job(attempt, route.decode.0 as usize, job);
    }

    fn run_job(&mut self, attempt: Attempt, engine: usize, job: Job) {
        let stage = job.stage;
        match self.engines[engine].engine.submit(self.now, job) {
            Ok(()) if stage != Stage::Decode => self.record_run(attempt),
            Ok(()) => (),
            Err(refusal) => {
                let outcome = AttemptOutcome::Failed;
                let fatal = refusal == Refusal::TooLarge;
                self.notify_entry(attempt, outcome, engine, fatal);
            }
        }
        self.schedule_wake(engine);
    }

    fn record_run(&mut self, attempt: Attempt) {
        let state = &mut self.requests[attempt.request];
        state.runs += 1;
        if state.runs > 1 && !self.arrivals[attempt.request].repeatable {
            self.stats.duplicate_runs += 1;
        }
    }

    fn notify_entry(
        &mut self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        engine: usize,
        fatal: bool,
    ) {
        let entry = self.arrivals[attempt.request].entry;
        let at = self.now + self.network_delay(entry, engine);
        if fatal {
            self.close(attempt.request, RequestOutcome::Refused);
        }
        self.queue.push(at, SimEvent::AttemptEnded(attempt, outcome, Some(engine)));
    }

    fn job(&self, attempt: Attempt, stage: Stage) -> Job {
        let arrival = &self.arrivals[attempt.request];
        Job {
            id: attempt.job(),
            prompt_tokens: arrival.prompt,
            prefix_blocks: arrival.blocks.clone(),
            output_tokens: arrival.output,
            max_tokens: arrival.limit,
            emitted_tokens: self.requests[attempt.request].emitted,
            priority: 1,
            stage,
            poison: arrival.poison,
        }
    }

    fn import_prefix(&mut self, engine: usize, from: TargetId, blocks: &[u64]) {
        let cached_blocks = self.engines[from.0 as usize].engine.cached_prefix_len(blocks);
        let changes = self.engines[engine].engine.import_blocks(&blocks[..cached_blocks]);
        self.publish_cache_changes(engine, &changes);
    }

    /// Schedules the engine's next wake event and updates its idle time.
    pub(super) fn schedule_wake(&mut self, engine: usize) {
        let fleet_engine = &mut self.engines[engine];
        if fleet_engine.engine.job_count() > 0 {
            fleet_engine.idle_since = self.now;
        }
        let Some(next) = fleet_engine.engine.next_event() else { return };
        if fleet_engine.next_wake != next {
            fleet_engine.next_wake = next;
            self.queue.push(next, SimEvent::Wake(engine));
        }
    }

    pub(super) fn advance(&mut self, engine: usize) {
        if self.engines[engine].engine.next_event() != Some(self.now) {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].engine.advance(self.now, &mut events);
        for event in events {
            self.handle_event(engine, event);
        }
        self.schedule_wake(engine);
    }

    fn handle_event(&mut self, engine: usize, event: Event) {
        match event {
            Event::StepDone { gap, seqs } => {
                self.stats.gaps.saturating_record_n(gap.as_micros() as u64, u64::from(seqs));
            }
            Event::FirstToken { id, cached } => {
                self.handle_first(engine, Attempt::from_job(id), cached)
            }
            Event::Exportable { id } => self.export(engine, Attempt::from_job(id)),
            Event::Done { id, tokens, slow_gaps, first_token } => {
                self.handle_done(engine, Attempt::from_job(id), tokens, slow_gaps, first_token);
            }
            Event::CacheChanged(changes) => self.publish_cache_changes(engine, &changes),
            Event::RoleChanged(role) => {
                self.engines[engine].role = policy_role(role);
                self.set_state(engine, TargetState::Serving);
            }
            Event::Crashed { by, lost } => {
                let poison_request = self.arrivals[Attempt::from_job(by).request].fingerprint;
                *self.stats.poison_crashes.entry(poison_request).or_default() += 1;
                self.handle_crash(engine, &lost);
            }
        }
    }

    fn handle_first(&mut self, engine: usize, attempt: Attempt, cached: u32) {
        if !self.is_current(attempt) {
            return;
        }
        let entry = self.arrivals[attempt.request].entry;
        let at = self.now + self.network_delay(entry, engine);
        let state = &mut self.requests[attempt.request];
        let is_first = state.first_token.is_none();
        state.cached = cached;
        let gap = state.record_token(at);
        if is_first {
            let first = at.since(self.arrivals[attempt.request].at);
            self.stats.first_token.saturating_record(first.as_micros() as u64);
        }
        if let Some(gap) = gap {
            self.stats.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.queue.push(at, SimEvent::FirstToken(attempt));
    }

    fn export(&mut self, engine: usize, attempt: Attempt) {
        let state = &self.requests[attempt.request];
        let arrival = &self.arrivals[attempt.request];
        if !self.is_current(attempt) || state.emitted >= arrival.output {
            self.engines[engine].engine.release(self.now, attempt.job());
            if self.is_current(attempt) {
                self.complete_request(engine, attempt);
            }
            return;
        }
        let tokens = arrival.prompt + state.emitted;
        let span = self.scenario.profile.transfer_time(tokens);
        let fleet_engine = &mut self.engines[engine];
        fleet_engine.link_free = fleet_engine.link_free.max(self.now) + span;
        self.queue.push(fleet_engine.link_free, SimEvent::Handoff(attempt));
    }

    fn handle_done(
        &mut self,
        engine: usize,
        attempt: Attempt,
        tokens: u32,
        slow: u32,
        joined: Time,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        let state = &mut self.requests[attempt.request];
        if joined == Time::ZERO {
            state.record_tokens(tokens - 1, slow);
        } else {
            let gap = joined.since(state.last_token);
            state.record_tokens(tokens, slow + u32::from(gap > GAP_LIMIT));
            self.stats.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.complete_request(engine, attempt);
    }

    fn complete_request(&mut self, engine: usize, attempt: Attempt) {
        let arrival = &self.arrivals[attempt.request];
        let state = &self.requests[attempt.request];
        if state.emitted != arrival.output {
            self.stats.wrong_answers += 1;
        }
        let ending = state.ending(arrival.at);
        self.notify_entry(attempt, AttemptOutcome::Done, engine, false);
        self.close(attempt.request, ending);
    }

    pub(super) fn crash(&mut self, engine: usize) {
        let lost = self.engines[engine].engine.crash();
        self.handle_crash(engine, &lost);
    }

    /// Reports lost jobs to their entries and schedules a restart, unless the engine was
    /// reclaimed.
    fn handle_crash(&mut self, engine: usize, lost: &[LostJob]) {
        self.engines[engine].incarnation += 1;
        for lost in lost {
            self.handle_lost_job(engine, lost);
        }
        if self.engines[engine].state == TargetState::Reclaimed {
            return;
        }
        self.set_state(engine, TargetState::Starting);
        self.queue.push(self.now + RESTART_TIME, SimEvent::Ready(engine));
    }

    pub(super) fn handle_lost_job(&mut self, engine: usize, lost: &LostJob) {
        let attempt = Attempt::from_job(lost.id);
        if !self.is_current(attempt) {
            return;
        }
        let state = &mut self.requests[attempt.request];
        let tokens = lost.emitted_tokens.saturating_sub(state.emitted);
        if tokens > 0 {
            state.record_tokens(tokens, lost.slow_gaps);
            state.last_token = self.now;
        }
        self.notify_entry(attempt, AttemptOutcome::Crashed, engine, false);
    }

    pub(super) fn make_ready(&mut self, engine: usize) {
        if self.engines[engine].state != TargetState::Starting {
            return;
        }
        let fleet_engine = &mut self.engines[engine];
        fleet_engine.role = policy_role(fleet_engine.engine.role());
        fleet_engine.engine.restart();
        fleet_engine.idle_since = self.now;
        self.set_state(engine, TargetState::Serving);
        self.schedule_wake(engine);
    }

    /// Sets an engine's state and sends a target update to the entries.
    pub(super) fn set_state(&mut self, engine: usize, state: TargetState) {
        self.engines[engine].state = state;
        let target = self.engines[engine].target(engine, self.scenario);
        self.broadcast(UPDATE_LAG, |group| SimEvent::TargetUpdate(Box::new(target.clone()), group));
    }

    pub(super) fn reclaim(&mut self, zone: u8, withheld: Duration) {
        self.supply.reclaim(self.now, zone, withheld);
        for engine in 0..self.engines.len() {
            let place = self.engines[engine].place;
            let is_reclaimed = self.engines[engine].state == TargetState::Reclaimed;
            if place.zone == zone && place.tier == PricingTier::Cheap && !is_reclaimed {
                self.set_state(engine, TargetState::Reclaimed);
                self.crash(engine);
            }
        }
    }

    fn publish_cache_changes(&mut self, engine: usize, changes: &[EngineCacheChange]) {
        let hashes = |stored: bool| -> Arc<[BlockHash]> {
            let selected = changes.iter().filter_map(|change| match change {
                EngineCacheChange::Stored(hash) if stored => Some(BlockHash(*hash)),
                EngineCacheChange::Evicted(hash) if !stored => Some(BlockHash(*hash)),
                _ => None,
            });
            selected.collect()
        };
        let (stored, removed) = (hashes(true), hashes(false));
        if !stored.is_empty() {
            self.send_cache_event(engine, CacheChange::Stored(stored));
        }
        if !removed.is_empty() {
            self.send_cache_event(engine, CacheChange::Removed(removed));
        }
    }

    fn send_cache_event(&mut self, engine: usize, change: CacheChange) {
        let seq = self.engines[engine].cache_seq;
        self.engines[engine].cache_seq += 1;
        let lost = self.rng.random::<f64>() < self.scenario.cache_loss;
        if lost || self.now < self.reports_paused_until {
            return;
        }
        let event = CacheEvent { target: TargetId(engine as u32), seq, change };
        let lag = self.scenario.cache_lag;
        self.broadcast(lag, |group| SimEvent::Cache(Box::new(event.clone()), group));
    }
}
