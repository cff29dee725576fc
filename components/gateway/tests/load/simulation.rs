//! Discrete-event simulation of hosts, engines and callers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{
    Engine, Event, EventQueue, Job, Profile, Role, RoleLimits, Stage as JobStage,
};
use chervilgate_gateway::{
    LimitStatement, Prompt, PromptPart,
    admission::{Admission, Applicant, Decision, Offer, POLL_INTERVAL, Queues, WaitingCount},
    config::ImportTerms,
    fleet::{
        AttemptId, AttemptOutcome, Build, CachedPart, Fleet, GroupReport, InFlightWork,
        OutcomeNotice, Placement, Plan, TargetEntry, TargetQuery, TargetRole,
    },
};
use chervilgate_policy::{LatencyTargets, Ticket};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::sheet::{Class, Sheet};

/// Time in which requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(12);

/// Gossip interval and hosts per round, as in the daemon.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const FANOUT: usize = 12;

/// Network latency of a datagram or request.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Time at which a third of the engines crash, if they do.
const CRASH_TIME: Duration = Duration::from_secs(6);

/// Time in which a share of the engines lose answers, if they do, and the share of the answers.
const LOSS_TIMES: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(8));
const LOSS_SHARE: f64 = 0.4;

/// Wait for a link after which an engine does not start a transfer.
const MAX_TRANSFER_WAIT: Duration = Duration::from_secs(2);

/// Time from which a third of the engines are restricted, if they are.
const RESTRICTION_TIME: Duration = Duration::from_secs(4);

/// Span over which the requests that a limited engine gets are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of attempts per request, as in the daemon.
const MAX_ATTEMPTS: usize = 4;

/// Content of the gossip between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GossipMode {
    /// Work in flight in rotation, long prompts by broadcast, the parts sent to targets, and
    /// outcomes on targets with failures.
    All,
    /// All but outcomes.
    WithoutOutcomes,
    /// Work in flight in rotation, and long prompts by broadcast.
    WithoutParts,
    /// Work in flight in rotation only.
    RoundsOnly,
}

/// What happens to a third of the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Restriction {
    /// They leave.
    Absent,
    /// They take this many requests a second.
    Limited(f64),
}

/// Results of one class of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ClassResult {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) lost: u32,
    pub(crate) refused: u32,
    /// Requests that waited at their host.
    pub(crate) waited: u32,
    /// Streams that ended with a mean time between tokens above the limit.
    pub(crate) slow: u32,
}

impl ClassResult {
    /// Share of the requests whose first event came within the latency target.
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    /// Share of the requests whose first event came at all.
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    /// Share of the requests whose stream kept its pace.
    pub(crate) fn pace_share(&self) -> f64 {
        1.0 - f64::from(self.slow) / f64::from(self.sent.max(1))
    }
}

/// Results of all classes.
#[derive(Debug)]
pub(crate) struct Results(Vec<(&'static str, ClassResult)>);

impl Results {
    pub(crate) fn classes(&self) -> impl Iterator<Item = (&str, &ClassResult)> {
        self.0.iter().map(|(name, class)| (*name, class))
    }

    pub(crate) fn late(&self) -> u32 {
        self.0.iter().map(|(_, class)| class.late).sum()
    }

    pub(crate) fn waited(&self) -> u32 {
        self.0.iter().map(|(_, class)| class.waited).sum()
    }

    /// Share of all requests whose first event came at all.
    pub(crate) fn served_share(&self) -> f64 {
        let sent: u32 = self.0.iter().map(|(_, class)| class.sent).sum();
        f64::from(self.in_time() + self.late()) / f64::from(sent.max(1))
    }

    /// Mean worth of a request, where one that is on time is worth 1 and a late one a tenth.
    pub(crate) fn worth(&self) -> f64 {
        let sent: u32 = self.0.iter().map(|(_, class)| class.sent).sum();
        (f64::from(self.in_time()) + f64::from(self.late()) / 10.0) / f64::from(sent.max(1))
    }

    pub(crate) fn in_time(&self) -> u32 {
        self.0.iter().map(|(_, class)| class.in_time).sum()
    }
}

impl Results {
    /// Number of requests that were answered, also if late.
    pub(crate) fn answered(&self) -> u32 {
        self.late() + self.in_time()
    }
}

enum SimEvent {
    Arrival(usize),
    Step(usize),
    Round(usize),
    GossipReceived {
        host: usize,
        from: usize,
        work: Vec<InFlightWork>,
        parts: Vec<CachedPart>,
        outcomes: Vec<OutcomeNotice>,
        waiting: Vec<WaitingCount>,
    },
    Poll(usize),
    SpeedsReceived {
        host: usize,
        from: usize,
        reports: Vec<GroupReport>,
    },
    Decode(u64),
    Imported {
        id: u64,
        stage: JobStage,
        blocks: Arc<[u64]>,
        found: usize,
    },
    Crash,
    Replace,
    Restrict(Restriction),
}

struct Request {
    class: usize,
    host: usize,
    sent: Time,
    prompt: Prompt,
    placement: Option<(Placement, AttemptId)>,
    tried: Vec<Arc<str>>,
    first_token_at: Option<Time>,
}

/// The admission of all hosts.
struct HostAdmission {
    targets: Arc<LatencyTargets>,
    queues: Vec<Queues>,
    /// Requests by host and ticket.
    waiting: HashMap<(usize, Ticket), u64>,
}

/// One simulation run.
pub(crate) struct Simulation {
    admission: Option<HostAdmission>,
    /// Whether hosts tell each other what they have seen of the engines' speeds.
    shares_speeds: bool,
    sheet: Sheet,
    mode: GossipMode,
    rng: Pcg64,
    /// Draws the answers that are lost, so that arrivals do not depend on it.
    loss_rng: Pcg64,
    events: EventQueue<SimEvent>,
    hosts: Vec<Fleet>,
    next_peers: Vec<usize>,
    engines: Vec<Engine>,
    indexes: HashMap<Arc<str>, usize>,
    requests: HashMap<u64, Request>,
    results: Results,
    /// When limited engines got requests, by engine.
    limited: HashMap<usize, Vec<Time>>,
    /// When the link of each engine is free.
    links: Vec<Time>,
    /// Whether 60% of the engines lose answers for a time.
    loses_answers: bool,
}

fn engine_entry(sheet: &Sheet, index: usize) -> TargetEntry {
    TargetEntry {
        id: format!("e-{index}").into(),
        service: "llm".into(),
        addr: ([10, 0, 0, index as u8], 80).into(),
        zone: format!("z-{}", index % 3).into(),
        slots: sheet.profile.decode.batch,
        draining: false,
        role: if index < sheet.prefill_engines { TargetRole::Prefill } else { TargetRole::Decode },
        build: Build::default(),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    }
}

/// The profile of an engine of the sheet, with its own speed.
fn engine_profile(sheet: &Sheet, index: usize) -> Profile {
    // Each zone and role has engines of all speeds.
    let speed = sheet.speeds[(index + index / 3) % sheet.speeds.len()];
    let limits = |limits: RoleLimits| RoleLimits { base: limits.base.div_f64(speed), ..limits };
    let profile = &sheet.profile;
    Profile {
        prefill_ns: (profile.prefill_ns as f64 / speed) as u64,
        decode_ns: (profile.decode_ns as f64 / speed) as u64,
        prefill: limits(profile.prefill),
        decode: limits(profile.decode),
        ..profile.clone()
    }
}

impl Simulation {
    pub(crate) fn new(sheet: Sheet, seed: u64, mode: GossipMode) -> Simulation {
        let engines = sheet.prefill_engines + sheet.decode_engines;
        let entries: Vec<TargetEntry> =
            (0..engines).map(|index| engine_entry(&sheet, index)).collect();
        let names: Vec<String> = (0..sheet.hosts).map(|host| format!("host-{host}")).collect();
        let hosts = (0..sheet.hosts).map(|host| {
            let mut fleet = Fleet::new(&format!("z-{}", host % 3), Duration::from_secs(2));
            fleet.replace(Time::ZERO, entries.clone());
            let others = names.iter().filter(|name| **name != names[host]);
            if sheet.imports {
                let terms = ImportTerms {
                    kv_bytes: sheet.profile.token_bytes as f64,
                    link_mbps: sheet.profile.link_rate as f64 * 8.0 / 1e6,
                };
                fleet.set_import_terms(HashMap::from([("llm".into(), terms)]));
            }
            fleet.set_hosts(Time::ZERO, Some(&names[host]), others.map(|name| &**name));
            fleet
        });
        let engines = (0..engines).map(|index| {
            let role = if index < sheet.prefill_engines { Role::Prefill } else { Role::Decode };
            Engine::new(engine_profile(&sheet, index), role, Duration::from_millis(250))
        });
        let indexes = entries.iter().enumerate().map(|(index, entry)| (entry.id.clone(), index));
        let classes = sheet.classes.iter();
        let results = Results(classes.map(|class| (class.name, ClassResult::default())).collect());
        let mut simulation = Simulation {
            admission: None,
            shares_speeds: false,
            mode,
            rng: Pcg64::seed_from_u64(seed),
            loss_rng: Pcg64::seed_from_u64(seed),
            events: EventQueue::default(),
            hosts: hosts.collect(),
            next_peers: vec![0; sheet.hosts],
            engines: engines.collect(),
            indexes: indexes.collect(),
            requests: HashMap::new(),
            results,
            limited: HashMap::new(),
            links: vec![Time::ZERO; sheet.prefill_engines + sheet.decode_engines],
            loses_answers: false,
            sheet,
        };
        for host in 0..simulation.sheet.hosts {
            let offset = ROUND_INTERVAL.mul_f64(simulation.rng.random());
            simulation.events.push(Time::ZERO + offset, SimEvent::Round(host));
        }
        for class in 0..simulation.sheet.classes.len() {
            simulation.events.push(Time::ZERO, SimEvent::Arrival(class));
        }
        simulation
    }

    /// Has hosts tell each other what they have seen of the engines' speeds, as the daemon does.
    pub(crate) fn share_speeds(&mut self) {
        self.shares_speeds = true;
    }

    /// Has requests wait at their hosts while targets have no capacity for them.
    pub(crate) fn admit(&mut self) {
        let mut targets = LatencyTargets::default();
        for class in self.sheet.classes {
            targets.add(class.priority, Duration::from_millis(class.latency_target_ms));
        }
        self.admission = Some(HostAdmission {
            targets: Arc::new(targets),
            queues: (0..self.sheet.hosts).map(|_| Queues::default()).collect(),
            waiting: HashMap::new(),
        });
        for host in 0..self.sheet.hosts {
            let offset = POLL_INTERVAL.mul_f64(self.rng.random());
            self.events.push(Time::ZERO + offset, SimEvent::Poll(host));
        }
    }

    /// Schedules the crash of a third of the engines.
    pub(crate) fn crash_third(&mut self) {
        self.events.push(Time::ZERO + CRASH_TIME, SimEvent::Crash);
    }

    /// Schedules the replacement of a third of the engines of each speed, whose caches are lost.
    pub(crate) fn replace_third(&mut self) {
        self.events.push(Time::ZERO + CRASH_TIME, SimEvent::Replace);
    }

    /// Has 60% of the engines lose a share of their answers for a time.
    pub(crate) fn lose_answers(&mut self) {
        self.loses_answers = true;
    }

    /// Schedules a restriction of a third of the engines.
    pub(crate) fn restrict_third(&mut self, restriction: Restriction) {
        self.events.push(Time::ZERO + RESTRICTION_TIME, SimEvent::Restrict(restriction));
    }

    /// Runs to the end; returns the most requests that a limited engine got in a window too.
    pub(crate) fn run_limited(mut self) -> (Results, usize) {
        self.play();
        let counts = self.limited.values().flat_map(|times| {
            times.iter().map(|end| {
                let within = |at: &&Time| **at <= *end && end.since(**at) < LIMIT_WINDOW;
                times.iter().filter(within).count()
            })
        });
        let most = counts.max().unwrap_or(0);
        (self.results, most)
    }

    pub(crate) fn run(mut self) -> Results {
        self.play();
        self.results
    }

    fn play(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            if now > Time::ZERO + ARRIVAL_TIME * 2 {
                break;
            }
            match event {
                SimEvent::Arrival(class) => self.arrive(now, class),
                SimEvent::Step(engine) => self.step(now, engine),
                SimEvent::Round(host) => self.round(now, host),
                SimEvent::SpeedsReceived { host, from, reports } => {
                    self.hosts[host].apply_speed_reports(now, from as u32, &reports);
                }
                SimEvent::Poll(host) => {
                    self.events.push(now + POLL_INTERVAL, SimEvent::Poll(host));
                    self.poll(now, host);
                }
                SimEvent::GossipReceived { host, from, work, parts, outcomes, waiting } => {
                    if let Some(admission) = &mut self.admission {
                        admission.queues[host].apply_report(now, from as u32, waiting);
                    }
                    self.hosts[host].apply_outcome_notices(now, from as u32, &outcomes);
                    self.hosts[host].apply_peer_parts(now, &parts);
                    self.hosts[host].apply_peer_work(now, from as u32, work);
                }
                SimEvent::Decode(id) => self.decode(now, id),
                SimEvent::Imported { id, stage, blocks, found } => {
                    self.imported(now, id, stage, blocks, found);
                }
                SimEvent::Replace => self.replace(now),
                SimEvent::Crash => self.crash(now),
                SimEvent::Restrict(restriction) => self.restrict(now, restriction),
            }
        }
    }

    fn arrive(&mut self, now: Time, class: usize) {
        let Class {
            rate: (rate, factor), prompt: (shared, own), output: max_output, parts, ..
        } = self.sheet.classes[class];
        if now > Time::ZERO + ARRIVAL_TIME {
            return;
        }
        let (burst_start, burst_end) = self.sheet.burst;
        let bursts = (burst_start..burst_end).contains(&now.since(Time::ZERO));
        let rate = if bursts { rate * factor } else { rate };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.events.push(now + Duration::from_secs_f64(gap), SimEvent::Arrival(class));
        let id = self.requests.len() as u64;
        let group = class as u64 * 1_000 + self.rng.random_range(0..parts);
        let part = |id, tokens| PromptPart { id, tokens };
        let parts = [part(group, shared), part(1_000_000 + id, own)];
        let prompt =
            Prompt { tokens: shared + own, max_output, parts: parts.into_iter().collect() };
        let host = self.rng.random_range(0..self.sheet.hosts);
        self.results.0[class].1.sent += 1;
        let request = Request {
            class,
            host,
            sent: now,
            prompt,
            placement: None,
            tried: Vec::new(),
            first_token_at: None,
        };
        self.requests.insert(id, request);
        if self.admission.is_none() {
            self.send(now, id);
        } else {
            self.offer(now, id);
        }
    }

    /// Offers a request to the admission of its host.
    fn offer(&mut self, now: Time, id: u64) {
        let (request, spread) = (&self.requests[&id], self.rng.random());
        let class = &self.sheet.classes[request.class];
        let Some(admission) = &mut self.admission else { return };
        let applicant = Applicant {
            query: TargetQuery {
                service: "llm",
                prompt: &request.prompt,
                exclude: &[],
                build: None,
                max_pause: Some(self.sheet.max_pause),
                runs_once: class.runs_once,
            },
            org: None,
            priority: class.priority,
            arrived_at: request.sent,
            on_time_by: request.sent + Duration::from_millis(class.latency_target_ms),
            deadline: request.sent + Duration::from_millis(class.limit_ms),
            bytes: 0,
        };
        let (class, host) = (request.class, request.host);
        let (fleet, targets) = (&self.hosts[host], &admission.targets);
        match admission.queues[host].offer(now, fleet, targets, &applicant, spread) {
            Offer::Send(plan) => self.submit_plan(now, id, *plan),
            Offer::Wait(ticket) => {
                admission.waiting.insert((host, ticket), id);
                self.results.0[class].1.waited += 1;
                self.poll(now, host);
            }
            Offer::Refuse(_) | Offer::NoTarget => self.results.0[class].1.refused += 1,
        }
    }

    /// Decides on the waiting requests of a host of which one needs its target less than before.
    fn poll_after_freed(&mut self, now: Time, host: usize) {
        if let Some(admission) = &mut self.admission {
            admission.queues[host].record_freed("llm");
        }
        self.poll(now, host);
    }

    /// Decides on the waiting requests of a host, as often as one of them is sent.
    fn poll(&mut self, now: Time, host: usize) {
        loop {
            let Some(admission) = &mut self.admission else { return };
            let rng = &mut self.rng;
            let decisions =
                admission.queues[host].poll(now, &self.hosts[host], &mut || rng.random());
            let mut has_sent = false;
            for decision in decisions {
                let (Decision::Send(ticket, _)
                | Decision::Refuse(ticket, _)
                | Decision::NoTarget(ticket)) = &decision;
                let waiting = self.admission.as_mut().map(|admission| &mut admission.waiting);
                let id = waiting.and_then(|waiting| waiting.remove(&(host, *ticket)));
                let id = id.expect("decided once on each request");
                match decision {
                    Decision::Send(_, plan) => {
                        has_sent = true;
                        self.submit_plan(now, id, *plan);
                    }
                    Decision::Refuse(..) | Decision::NoTarget(_) => {
                        let class = self.requests[&id].class;
                        self.results.0[class].1.refused += 1;
                    }
                }
            }
            if !has_sent {
                return;
            }
        }
    }

    /// Submits a request to the engine that computes its prompt.
    fn submit_plan(&mut self, now: Time, id: u64, plan: Plan) {
        let (placement, stage) = match plan.prefill {
            Some(placement) => (placement, JobStage::Prefill),
            None => (plan.placement, JobStage::Whole),
        };
        self.submit_attempt(now, id, placement, stage);
    }

    /// Places a request, and submits it to the engine that computes its prompt.
    fn send(&mut self, now: Time, id: u64) {
        let request = &self.requests[&id];
        let (host, prompt) = (request.host, request.prompt.clone());
        let query = TargetQuery {
            service: "llm",
            prompt: &prompt,
            exclude: &request.tried,
            build: None,
            max_pause: Some(self.sheet.max_pause),
            runs_once: self.sheet.classes[request.class].runs_once,
        };
        let plan =
            self.hosts[host].place(now, &query).filter(|_| request.tried.len() < MAX_ATTEMPTS);
        let Some(plan) = plan else {
            self.results.0[request.class].1.refused += 1;
            return;
        };
        let limit = Duration::from_millis(self.sheet.classes[request.class].limit_ms);
        if request.tried.is_empty() && plan.predicted_time() > limit {
            self.results.0[request.class].1.refused += 1;
            return;
        }
        self.submit_plan(now, id, plan);
    }

    fn submit_attempt(&mut self, now: Time, id: u64, placement: Placement, stage: JobStage) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let host = request.host;
        assert!(self.hosts[host].clear_to_send(now, &placement).is_ok(), "placed beyond a limit");
        let attempt = self.hosts[host].start(now, &placement, &request.prompt);
        let engine = self.indexes[&placement.id];
        if let Some(times) = self.limited.get_mut(&engine) {
            times.push(now);
        }
        let is_long = placement.has_long_prefill();
        let source = self.hosts[host].clear_to_import(now, &placement, attempt);
        let source = source.and(placement.import.as_ref()).map(|import| import.source.clone());
        request.tried.push(placement.id.clone());
        request.placement = Some((placement, attempt));
        let length = self.sheet.profile.block_tokens;
        let shared = request.prompt.parts[0];
        let blocks = (0..shared.tokens / length).map(|block| shared.id << 32 | u64::from(block));
        let blocks: Arc<[u64]> = blocks.collect();
        if stage == JobStage::Decode {
            // An engine caches imported blocks like those that it computed.
            self.engines[engine].import_blocks(&blocks);
        }
        if is_long {
            self.broadcast(now, host);
        }
        let Some(source) = source else { return self.submit(now, id, stage, blocks) };
        let (at, found) = self.transfer(now, self.indexes[&source], engine, &blocks);
        self.events.push(at, SimEvent::Imported { id, stage, blocks, found });
    }

    /// Moves the blocks that an engine lacks over both links, one transfer after another. Returns
    /// when they have arrived, and how many leading blocks the target has then.
    fn transfer(
        &mut self,
        now: Time,
        source: usize,
        target: usize,
        blocks: &[u64],
    ) -> (Time, usize) {
        let found = self.engines[source].cached_prefix_len(blocks);
        let missing = found.saturating_sub(self.engines[target].cached_prefix_len(blocks));
        let start = now.max(self.links[source]).max(self.links[target]);
        if missing == 0 || start.since(now) > MAX_TRANSFER_WAIT {
            return (now, 0);
        }
        let tokens = missing as u32 * self.sheet.profile.block_tokens;
        let is_near = source % 3 == target % 3;
        let span = self.sheet.profile.transfer_time(tokens) * if is_near { 1 } else { 2 };
        self.links[source] = start + span;
        self.links[target] = start + span;
        (start + span, found)
    }

    fn imported(&mut self, now: Time, id: u64, stage: JobStage, blocks: Arc<[u64]>, found: usize) {
        let Some((placement, _)) = &self.requests[&id].placement else { return };
        let engine = self.indexes[&placement.id];
        self.engines[engine].import_blocks(&blocks[..found]);
        self.submit(now, id, stage, blocks);
    }

    /// Submits a request to the engine that was chosen for it.
    fn submit(&mut self, now: Time, id: u64, stage: JobStage, blocks: Arc<[u64]>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some((placement, _)) = &request.placement else { return };
        let engine = self.indexes[&placement.id];
        let job = Job {
            id,
            prompt_tokens: request.prompt.tokens,
            prefix_blocks: blocks,
            output_tokens: request.prompt.max_output,
            max_tokens: request.prompt.max_output,
            emitted_tokens: 0,
            priority: 0,
            stage,
            poison: false,
        };
        if self.engines[engine].submit(now + NETWORK_DELAY, job).is_err() {
            self.end_attempt(now, id, AttemptOutcome::Unreachable);
            return self.send(now + NETWORK_DELAY, id);
        }
        self.wake(engine);
    }

    /// Ends a request's attempt on its present target.
    fn end_attempt(&mut self, now: Time, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some((placement, attempt)) = request.placement.take() else { return };
        let host = request.host;
        if self.hosts[host].finish(now, &placement, attempt, outcome) {
            self.broadcast(now, host);
        }
        self.poll_after_freed(now, host);
    }

    fn wake(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next_event() {
            self.events.push(at, SimEvent::Step(engine));
        }
    }

    fn step(&mut self, now: Time, engine: usize) {
        if self.engines[engine].next_event().is_none_or(|at| at > now) {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].advance(now, &mut events);
        for event in events {
            match event {
                Event::FirstToken { id, .. }
                    if engine >= self.sheet.prefill_engines && self.is_lost(now, engine) =>
                {
                    self.lose(now, id, engine);
                }
                Event::Exportable { id } if self.is_lost(now, engine) => {
                    self.engines[engine].release(now, id);
                    self.end_attempt(now, id, AttemptOutcome::Failed);
                    self.send(now, id);
                }
                Event::FirstToken { id, .. } => self.record_first_token(now, id),
                Event::Exportable { id } => {
                    self.computed(now, id);
                    self.end_attempt(now, id, AttemptOutcome::Answered);
                    let tokens = self.requests[&id].prompt.tokens;
                    let transfer = self.sheet.profile.transfer_time(tokens);
                    self.engines[engine].release(now, id);
                    self.events.push(now + transfer + NETWORK_DELAY * 2, SimEvent::Decode(id));
                }
                Event::Done { id, .. }
                    if self.requests[&id].first_token_at.is_none() && self.is_lost(now, engine) =>
                {
                    self.lose(now, id, engine);
                }
                Event::Done { id, first_token, tokens, .. } => {
                    if first_token > Time::ZERO {
                        self.record_first_token(first_token, id);
                    }
                    self.record_pace(now, id, tokens);
                    self.end_attempt(now, id, AttemptOutcome::Answered);
                }
                _ => {}
            }
        }
        self.wake(engine);
    }

    /// Whether the answer that an engine begins now is lost.
    fn is_lost(&mut self, now: Time, engine: usize) -> bool {
        let (start, end) = LOSS_TIMES;
        self.loses_answers
            && engine % 5 < 3
            && (start..end).contains(&now.since(Time::ZERO))
            && self.loss_rng.random_bool(LOSS_SHARE)
    }

    /// Loses the answer to a request, which runs again if it may.
    fn lose(&mut self, now: Time, id: u64, engine: usize) {
        self.engines[engine].cancel(now, id);
        self.end_attempt(now, id, AttemptOutcome::Failed);
        let class = self.requests[&id].class;
        if self.sheet.classes[class].runs_once {
            self.results.0[class].1.lost += 1;
        } else {
            self.send(now, id);
        }
    }

    /// Submits a request to an engine that generates from an exported KV cache.
    fn decode(&mut self, now: Time, id: u64) {
        let request = &self.requests[&id];
        let query = TargetQuery {
            service: "llm",
            prompt: &request.prompt,
            exclude: &request.tried,
            build: None,
            max_pause: Some(self.sheet.max_pause),
            runs_once: self.sheet.classes[request.class].runs_once,
        };
        let Some(placement) = self.hosts[request.host].place_decode(now, &query) else {
            self.results.0[request.class].1.refused += 1;
            return;
        };
        self.submit_attempt(now, id, placement, JobStage::Decode);
    }

    fn computed(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some((placement, attempt)) = &request.placement else { return };
        let host = request.host;
        if self.hosts[host].mark_computed(now, placement, *attempt) && placement.has_long_prefill()
        {
            self.broadcast(now, host);
        }
        self.poll_after_freed(now, host);
    }

    fn record_first_token(&mut self, now: Time, id: u64) {
        self.computed(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Only tokens of decode engines are sent to the caller.
        let generates = |(placement, _): &(Placement, AttemptId)| {
            self.indexes[&placement.id] >= self.sheet.prefill_engines
        };
        if request.first_token_at.is_some() || !request.placement.as_ref().is_some_and(generates) {
            return;
        }
        request.first_token_at = Some(now);
        let latency_target =
            Duration::from_millis(self.sheet.classes[request.class].latency_target_ms);
        let class = &mut self.results.0[request.class].1;
        if now.since(request.sent) + NETWORK_DELAY <= latency_target {
            class.in_time += 1;
        } else {
            class.late += 1;
        }
    }

    /// Counts a stream of `tokens` tokens that ends now as slow if its pace was.
    fn record_pace(&mut self, now: Time, id: u64, tokens: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(first_token_at) = request.first_token_at else { return };
        let longest = self.sheet.max_pause * tokens.saturating_sub(1) / self.sheet.event_tokens;
        let slow = now.since(first_token_at) > longest;
        self.hosts[request.host].record_stream(now, slow);
        if slow {
            self.results.0[request.class].1.slow += 1;
        }
    }

    fn round(&mut self, now: Time, host: usize) {
        self.hosts[host].update_speeds(now);
        if self.shares_speeds {
            self.send_speeds(now, host);
        }
        self.events.push(now + ROUND_INTERVAL, SimEvent::Round(host));
        let next_peer = self.next_peers[host];
        self.next_peers[host] = (next_peer + FANOUT) % self.sheet.hosts;
        let hosts = self.sheet.hosts;
        let peers: Vec<usize> = (0..FANOUT).map(|peer| (next_peer + peer) % hosts).collect();
        let span = ROUND_INTERVAL * (hosts.div_ceil(FANOUT) + 1) as u32;
        self.send_gossip(now, host, span, &peers);
    }

    /// Tells a host in each round what this one has seen of the engines' speeds; the daemon tells four of
    /// them each second.
    fn send_speeds(&mut self, now: Time, from: usize) {
        let reports = self.hosts[from].speed_reports(now);
        let host = self.rng.random_range(0..self.sheet.hosts);
        if host != from && !reports.is_empty() {
            let message = SimEvent::SpeedsReceived { host, from, reports };
            self.events.push(now + NETWORK_DELAY, message);
        }
    }

    fn broadcast(&mut self, now: Time, host: usize) {
        if self.mode == GossipMode::RoundsOnly {
            return;
        }
        let peers: Vec<usize> = (0..self.sheet.hosts).collect();
        self.send_gossip(now, host, ROUND_INTERVAL * 5, &peers);
        self.hosts[host].clear_sent_parts();
    }

    fn send_gossip(&mut self, now: Time, host: usize, span: Duration, peers: &[usize]) {
        let work = self.hosts[host].in_flight_work(now);
        let parts = match self.mode {
            GossipMode::All | GossipMode::WithoutOutcomes => {
                self.hosts[host].recent_parts(now, span)
            }
            _ => Vec::new(),
        };
        let outcomes = match self.mode {
            GossipMode::WithoutOutcomes => Vec::new(),
            _ => self.hosts[host].outcome_notices(now, span),
        };
        let admission = self.admission.as_ref();
        let waiting = admission.map_or_else(Vec::new, |admission| admission.queues[host].report());
        for peer in peers.iter().filter(|peer| **peer != host) {
            let (work, parts) = (work.clone(), parts.clone());
            let (outcomes, waiting) = (outcomes.clone(), waiting.clone());
            let message = SimEvent::GossipReceived {
                host: *peer,
                from: host,
                work,
                parts,
                outcomes,
                waiting,
            };
            self.events.push(now + NETWORK_DELAY, message);
        }
    }

    /// Restricts every third engine, which all hosts learn at once.
    fn restrict(&mut self, now: Time, restriction: Restriction) {
        for engine in (0..self.engines.len()).step_by(3) {
            let entry = engine_entry(&self.sheet, engine);
            if let Restriction::Limited(rate) = restriction {
                self.limited.insert(engine, Vec::new());
                let placement = Placement {
                    id: entry.id,
                    addr: entry.addr,
                    zone: entry.zone,
                    build: Build::default(),
                    incarnation: entry.incarnation,
                    compute_tokens: 0,
                    prefill_ms: 0.0,
                    wait_ms: 0.0,
                    cost_ms: 0.0,
                    cache_is_known: true,
                    import: None,
                };
                for host in &mut self.hosts {
                    host.record_limit(now, &placement, now, LimitStatement::Rate(rate));
                }
                continue;
            }
            for host in &mut self.hosts {
                host.remove(now, &entry.id);
            }
        }
    }

    /// Replaces a third of the engines of each speed by ones without a cache, which all hosts
    /// learn at once.
    fn replace(&mut self, now: Time) {
        for engine in (0..self.engines.len()).filter(|engine| engine / 3 % 3 == 0) {
            for lost in self.engines[engine].crash() {
                let class = self.requests[&lost.id].class;
                self.results.0[class].1.lost += 1;
                self.end_attempt(now, lost.id, AttemptOutcome::Unrelated);
            }
            self.engines[engine].restart();
            let entry = TargetEntry { incarnation: 2, ..engine_entry(&self.sheet, engine) };
            for host in &mut self.hosts {
                host.upsert(now, entry.clone());
            }
        }
    }

    /// Crashes every third engine; the requests running there are lost.
    fn crash(&mut self, now: Time) {
        for engine in (0..self.engines.len()).step_by(3) {
            for lost in self.engines[engine].crash() {
                let class = self.requests[&lost.id].class;
                self.results.0[class].1.lost += 1;
                self.end_attempt(now, lost.id, AttemptOutcome::Failed);
            }
        }
    }
}
