//! Engines, arrivals and the orders that are compared.

use std::{collections::HashMap, fmt, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{
    DispatchLimits, DispatchQueue, Fit, Forecast, LatencyTargets, OrgId, StartCheck, Supply,
    Ticket, Turn, WaitingRequest,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Time in which requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(20);

/// Interval at which waiting requests are looked at, as in the daemon.
const TICK: Duration = Duration::from_millis(25);

/// Number of engines, and their relative speeds in turn.
const ENGINES: usize = 12;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Share of the engines that requests of less urgent kinds leave to the more urgent ones.
const RESERVED_SHARE: f64 = 0.5;

/// Share of the prompts whose shared part is not cached.
const COLD_SHARE: f64 = 0.25;

/// Number of organisations; in a flood the first one sends half of the requests.
const ORGS: u32 = 12;

/// Parts of a late request's value that callers get.
const LATE_WORTH: f64 = 0.1;

/// A kind of request; its priority is its index.
#[derive(Debug, Clone, Copy)]
struct Kind {
    per_second: f64,
    /// Time of a prompt on an engine of speed 1, with and without its shared part cached.
    work_ms: (u64, u64),
    target_ms: u64,
    limit_ms: u64,
}

/// The kinds of deployment B with half of its rates.
const KINDS: [Kind; 3] = [
    Kind { per_second: 29.0, work_ms: (8, 11), target_ms: 250, limit_ms: 5_000 },
    Kind { per_second: 34.5, work_ms: (25, 77), target_ms: 300, limit_ms: 3_000 },
    Kind { per_second: 45.5, work_ms: (37, 170), target_ms: 800, limit_ms: 5_000 },
];

/// What comes, and with which engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// Work that arrives, relative to what the engines can do.
    factor: f64,
    /// Factor of the least urgent kind from 6 to 12 s.
    burst: f64,
    /// Whether a third of the engines leaves at 8 s.
    loses_third: bool,
    /// Whether one organisation sends half of the requests.
    floods: bool,
}

impl Load {
    const BASE: Load =
        Load { name: "", factor: 0.8, burst: 1.0, loses_third: false, floods: false };

    /// Load with capacity for all.
    pub(crate) fn quiet() -> Load {
        Load { name: "0.2 of capacity", factor: 0.2, ..Load::BASE }
    }

    /// Loads above the capacity, at least for some time.
    pub(crate) fn hard() -> [Load; 5] {
        [
            Load { name: "1.2 of capacity", factor: 1.2, ..Load::BASE },
            Load { name: "2.0 of capacity", factor: 2.0, ..Load::BASE },
            Load { name: "0.8, burst of the least urgent", burst: 3.0, ..Load::BASE },
            Load { name: "0.8, a third of the engines lost", loses_third: true, ..Load::BASE },
            Load {
                name: "1.2, one organisation sends half",
                factor: 1.2,
                floods: true,
                ..Load::BASE
            },
        ]
    }

    pub(crate) fn all() -> Vec<Load> {
        let steady = Load { name: "0.8 of capacity", ..Load::BASE };
        [Load::quiet(), steady].into_iter().chain(Load::hard()).collect()
    }
}

/// The order in which requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// At once, to the engine that is predicted to be first.
    Arrival,
    StrictPriority,
    EarliestDeadline,
    ShortestWork,
    Dispatch,
}

impl Order {
    pub(crate) const ALL: [Order; 5] = [
        Order::Arrival,
        Order::StrictPriority,
        Order::EarliestDeadline,
        Order::ShortestWork,
        Order::Dispatch,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Order::Arrival => "arrival",
            Order::StrictPriority => "strict priority",
            Order::EarliestDeadline => "earliest deadline",
            Order::ShortestWork => "shortest work",
            Order::Dispatch => "dispatch",
        }
    }
}

/// What callers of one kind got.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KindOutcome {
    sent: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    large: (u32, u32),
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

impl KindOutcome {
    pub(crate) fn on_time(&self) -> f64 {
        share(self.on_time, self.sent)
    }

    pub(crate) fn refused(&self) -> f64 {
        share(self.refused, self.sent)
    }

    pub(crate) fn served(&self) -> f64 {
        share(self.on_time + self.late, self.sent)
    }

    /// Share of those with the most work that is served.
    pub(crate) fn large_served(&self) -> f64 {
        share(self.large.1, self.large.0)
    }
}

/// What all callers got.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcomes {
    kinds: [KindOutcome; 3],
    waited: u32,
    /// Requests, and those served, of organisations other than the first.
    others: (u32, u32),
}

impl Outcomes {
    pub(crate) fn add(&mut self, other: &Outcomes) {
        for (kind, more) in self.kinds.iter_mut().zip(&other.kinds) {
            kind.sent += more.sent;
            kind.on_time += more.on_time;
            kind.late += more.late;
            kind.refused += more.refused;
            kind.large.0 += more.large.0;
            kind.large.1 += more.large.1;
        }
        self.waited += other.waited;
        self.others.0 += other.others.0;
        self.others.1 += other.others.1;
    }

    pub(crate) fn kinds(&self) -> impl Iterator<Item = &KindOutcome> {
        self.kinds.iter()
    }

    fn sent(&self) -> u32 {
        self.kinds.iter().map(|kind| kind.sent).sum()
    }

    pub(crate) fn waited_share(&self) -> f64 {
        share(self.waited, self.sent())
    }

    pub(crate) fn served(&self) -> f64 {
        share(self.kinds.iter().map(|kind| kind.on_time + kind.late).sum(), self.sent())
    }

    pub(crate) fn others_served(&self) -> f64 {
        share(self.others.1, self.others.0)
    }

    /// Mean worth of a request, where one that is on time is worth 1.
    pub(crate) fn worth(&self) -> f64 {
        let on_time: u32 = self.kinds.iter().map(|kind| kind.on_time).sum();
        let late: u32 = self.kinds.iter().map(|kind| kind.late).sum();
        share(on_time, self.sent()) + LATE_WORTH * share(late, self.sent())
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.worth())?;
        for kind in &self.kinds {
            let late = share(kind.late, kind.sent);
            write!(f, " | {:.2} / {late:.2} / {:.2}", kind.on_time(), kind.refused())?;
        }
        let [.., least] = &self.kinds;
        write!(f, " | {:.2} | {:.2}", least.large_served(), self.others_served())
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    arrived: Time,
    work: Duration,
    is_large: bool,
    org: u32,
}

impl Request {
    fn on_time_by(&self) -> Time {
        self.arrived + Duration::from_millis(KINDS[self.kind].target_ms)
    }

    fn deadline(&self) -> Time {
        self.arrived + Duration::from_millis(KINDS[self.kind].limit_ms)
    }

    fn waiting(&self) -> WaitingRequest {
        WaitingRequest {
            org: OrgId(self.org),
            priority: self.kind as u8,
            arrived_at: self.arrived,
            on_time_by: self.on_time_by(),
            deadline: self.deadline(),
            work: self.work,
            cost: self.work.as_millis() as u64 * 157,
            bytes: 0,
        }
    }
}

struct Engine {
    free_at: Time,
    speed: f64,
    left: bool,
}

struct Model {
    engines: Vec<Engine>,
    targets: LatencyTargets,
    outcomes: Outcomes,
}

impl Model {
    fn wait(&self, now: Time, engine: usize) -> Duration {
        self.engines[engine].free_at.since(now)
    }

    fn work(&self, engine: usize, request: &Request) -> Duration {
        request.work.div_f64(self.engines[engine].speed)
    }

    fn first_event(&self, now: Time, engine: usize, request: &Request) -> Duration {
        self.wait(now, engine) + self.work(engine, request)
    }

    fn serving(&self) -> impl Iterator<Item = usize> {
        (0..self.engines.len()).filter(|engine| !self.engines[*engine].left)
    }

    fn fastest(&self, now: Time, request: &Request) -> Option<usize> {
        self.serving().min_by_key(|engine| self.first_event(now, *engine, request))
    }

    /// The engine that is predicted to be first of those with capacity.
    fn with_capacity(&self, now: Time, request: &Request, turn: Turn) -> Option<usize> {
        let mut engines: Vec<usize> = self.serving().collect();
        engines.sort_by_key(|engine| self.first_event(now, *engine, request));
        engines.into_iter().find(|engine| {
            let forecast = Forecast {
                time_left: request.on_time_by().since(now),
                wait: self.wait(now, *engine),
                work: self.work(*engine, request),
                first_event: self.first_event(now, *engine, request),
            };
            match self.targets.fit(request.kind as u8, turn, &forecast) {
                Fit::Fits => true,
                Fit::Full => false,
                Fit::IfOthersKeep(tolerance) => {
                    let others = self.serving().filter(|other| other != engine);
                    let kept = others.filter(|other| self.wait(now, *other) <= tolerance).count();
                    kept >= (self.serving().count() as f64 * RESERVED_SHARE) as usize
                }
            }
        })
    }

    fn start(&mut self, now: Time, engine: usize, request: &Request) {
        let first_event = self.first_event(now, engine, request);
        self.engines[engine].free_at = now + first_event;
        let outcome = &mut self.outcomes.kinds[request.kind];
        if now + first_event <= request.on_time_by() {
            outcome.on_time += 1;
        } else {
            outcome.late += 1;
        }
        outcome.large.1 += u32::from(request.is_large);
        self.outcomes.others.1 += u32::from(request.org > 0);
    }

    fn refuse(&mut self, request: &Request) {
        self.outcomes.kinds[request.kind].refused += 1;
    }
}

/// The requests of a load, by time.
fn arrivals(load: Load, rng: &mut Pcg64) -> Vec<Request> {
    let mean = |kind: &Kind| {
        kind.work_ms.0 as f64 * (1.0 - COLD_SHARE) + kind.work_ms.1 as f64 * COLD_SHARE
    };
    let work: f64 = KINDS.iter().map(|kind| kind.per_second * mean(kind) / 1e3).sum();
    let capacity: f64 = (0..ENGINES).map(|engine| SPEEDS[engine % SPEEDS.len()]).sum();
    let factor = load.factor * capacity / work;
    let mut requests = Vec::new();
    for (index, kind) in KINDS.iter().enumerate() {
        let mut at = Time::ZERO;
        loop {
            let bursts = (Time::from_secs(6)..Time::from_secs(12)).contains(&at);
            let burst = if bursts && index == KINDS.len() - 1 { load.burst } else { 1.0 };
            let gap = -(1.0 - rng.random::<f64>()).ln() / (kind.per_second * factor * burst);
            at += Duration::from_secs_f64(gap);
            if at.since(Time::ZERO) > ARRIVAL_TIME {
                break;
            }
            let (cached, cold) = kind.work_ms;
            let is_cold = rng.random_bool(COLD_SHARE);
            // One prompt in ten is half as long again.
            let is_large = rng.random_bool(0.1);
            let millis = if is_cold { cold } else { cached } as f64;
            let work = Duration::from_secs_f64(millis * if is_large { 1.5 } else { 1.0 } / 1e3);
            let floods = load.floods && rng.random_bool(0.5);
            let org = if floods { 0 } else { rng.random_range(0..ORGS) };
            requests.push(Request { kind: index, arrived: at, work, is_large, org });
        }
    }
    requests.sort_by_key(|request| request.arrived);
    requests
}

/// Plays a load.
pub(crate) fn play(load: Load, order: Order, seed: u64) -> Outcomes {
    let mut rng = Pcg64::seed_from_u64(seed);
    let requests = arrivals(load, &mut rng);
    let mut targets = LatencyTargets::default();
    for (priority, kind) in KINDS.iter().enumerate() {
        targets.add(priority as u8, Duration::from_millis(kind.target_ms));
    }
    let engines = (0..ENGINES).map(|engine| Engine {
        free_at: Time::ZERO,
        speed: SPEEDS[engine % SPEEDS.len()],
        left: false,
    });
    let mut model = Model { engines: engines.collect(), targets, outcomes: Outcomes::default() };
    for request in &requests {
        let outcome = &mut model.outcomes.kinds[request.kind];
        outcome.sent += 1;
        outcome.large.0 += u32::from(request.is_large);
        model.outcomes.others.0 += u32::from(request.org > 0);
    }
    let mut queue = Queue::new(order);
    let mut next = requests.into_iter().peekable();
    // Time advances in steps of a millisecond, finer than any prediction.
    let end = ARRIVAL_TIME + Duration::from_secs(8);
    for millis in 0..end.as_millis() as u64 {
        let now = Time::from_millis(millis);
        if load.loses_third && millis == 8_000 {
            model.engines.iter_mut().step_by(3).for_each(|engine| engine.left = true);
        }
        let mut has_new = false;
        while let Some(request) = next.next_if(|request| request.arrived <= now) {
            has_new = true;
            queue.offer(now, &mut model, request, rng.random());
        }
        let has_freed = model.engines.iter().any(|engine| engine.free_at.since(now) < TICK);
        if has_new || has_freed || millis % TICK.as_millis() as u64 == 0 {
            queue.start_all(now, &mut model, rng.random());
        }
    }
    model.outcomes
}

/// The requests that wait, in one of the orders.
enum Queue {
    Arrival,
    Sorted(Order, Vec<Request>),
    Dispatch { queue: Box<DispatchQueue>, requests: HashMap<Ticket, Request>, last: u64 },
}

impl Queue {
    fn new(order: Order) -> Queue {
        match order {
            Order::Arrival => Queue::Arrival,
            Order::Dispatch => Queue::Dispatch {
                queue: Box::new(DispatchQueue::new(DispatchLimits::default())),
                requests: HashMap::new(),
                last: 0,
            },
            other => Queue::Sorted(other, Vec::new()),
        }
    }

    fn offer(&mut self, now: Time, model: &mut Model, request: Request, spread: f64) {
        match self {
            Queue::Arrival => {
                let engine = model.fastest(now, &request).expect("engines serve");
                if now + model.first_event(now, engine, &request) > request.deadline() {
                    return model.refuse(&request);
                }
                model.start(now, engine, &request);
            }
            Queue::Sorted(_, waiting) => waiting.push(request),
            Queue::Dispatch { queue, requests, last } => {
                let waiting = request.waiting();
                if queue.is_empty()
                    && let Some(engine) = model.with_capacity(now, &request, Turn::Ordinary)
                {
                    queue.charge(now, waiting.org, waiting.cost);
                    return model.start(now, engine, &request);
                }
                model.outcomes.waited += 1;
                *last += 1;
                let ticket = Ticket(*last);
                requests.insert(ticket, request);
                let waits = model.serving().map(|engine| model.wait(now, engine));
                let late_wait = model.targets.late_wait(waiting.priority);
                let supply = Supply {
                    until_capacity: waits.min().unwrap_or_default().saturating_sub(late_wait),
                    targets: model.serving().count(),
                };
                match queue.enqueue(now, ticket, waiting, supply, spread) {
                    Ok(refused) => {
                        for (ticket, _) in refused {
                            model.refuse(&requests[&ticket]);
                        }
                    }
                    Err(_) => model.refuse(&request),
                }
            }
        }
    }

    fn start_all(&mut self, now: Time, model: &mut Model, spread: f64) {
        match self {
            Queue::Arrival => {}
            Queue::Sorted(order, waiting) => {
                waiting.retain(|request| {
                    let can_start = now + request.work < request.deadline();
                    if !can_start {
                        model.refuse(request);
                    }
                    can_start
                });
                match order {
                    Order::StrictPriority => {
                        waiting.sort_by_key(|request| (request.kind, request.arrived));
                    }
                    Order::EarliestDeadline => waiting.sort_by_key(Request::on_time_by),
                    _ => waiting.sort_by_key(|request| (request.work, request.arrived)),
                }
                while let Some(request) = waiting.first().copied() {
                    let idle = model.serving().filter(|engine| model.wait(now, *engine).is_zero());
                    let Some(engine) = idle.min_by_key(|engine| model.work(*engine, &request))
                    else {
                        return;
                    };
                    waiting.remove(0);
                    model.start(now, engine, &request);
                }
            }
            Queue::Dispatch { queue, requests, .. } => {
                for (ticket, _) in queue.expire(now, &mut || spread) {
                    model.refuse(&requests[&ticket]);
                }
                loop {
                    let mut chosen = None;
                    let next = queue.start_next(now, &mut |ticket, _, turn| {
                        chosen = model.with_capacity(now, &requests[&ticket], turn);
                        if chosen.is_some() { StartCheck::Start } else { StartCheck::Wait }
                    });
                    let (Some(ticket), Some(engine)) = (next.started, chosen) else { break };
                    model.start(now, engine, &requests[&ticket]);
                }
            }
        }
    }
}
