//! Deterministic, event-driven test bed: runs processes in virtual time against
//! fake services.
//!
//! A run depends only on its seed, its processes and its faults. Each call of a
//! process goes through three points: the last check of its deadline, the send
//! and the arrival. Faults are injected between them.

pub(crate) mod calls;
pub(crate) mod faults;
pub(crate) mod hosts;

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{CallId, Key, Step, Version};
use rand_pcg::Pcg32;

use crate::{
    bed::{
        faults::AnswerFault,
        hosts::{Held, Host, HostState},
    },
    fault::{FaultDurations, FaultInjection},
    history::{Fact, History},
    network::{HostId, Network, Place},
    process::{Endpoint, Input, Output},
    queue::{Event, Scheduled},
    store::FakeStore,
};

/// A watch that the store holds open until a matching change.
#[derive(Debug)]
struct PendingWatch {
    host: HostId,
    generation: u64,
    id: CallId,
    prefix: Key,
    after: Version,
}

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Within milliseconds.
    Normal,
    /// Delays of up to 1.5 s each way, so that many answers arrive after the timeout.
    Slow,
    /// Takes no call: half of them are refused at once, the others time out.
    Down,
}

/// Traffic caused by the processes of a bed, over the whole run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Reads of the store, watches included.
    pub reads: u64,
    /// Writes to the store.
    pub writes: u64,
    /// Bytes of keys and values sent to the store and received from it.
    pub bytes: u64,
    /// Calls on endpoints.
    pub calls: u64,
    /// Probes of addresses.
    pub probes: u64,
    /// Messages between processes.
    pub messages: u64,
}

/// A simulated deployment: processes, network, fake services and virtual clock.
pub struct Testbed {
    /// Which hosts, endpoints and store paths are connected.
    pub network: Network,
    /// The platform's object store.
    pub store: FakeStore,
    /// Every fact recorded so far, in order.
    pub history: History,
    /// How long injected faults last.
    pub fault_durations: FaultDurations,
    /// Traffic so far.
    pub counts: TrafficCounts,
    now: Time,
    /// Events handled since virtual time last advanced.
    instant_events: usize,
    seed: u64,
    rng: Pcg32,
    queue: BinaryHeap<Scheduled>,
    event_count: u64,
    hosts: Vec<Host>,
    endpoints: BTreeMap<String, Box<dyn Endpoint>>,
    watches: Vec<PendingWatch>,
    timeouts: HashMap<(HostId, u64, CallId), Event>,
    answer_faults: HashMap<(HostId, u64, CallId), AnswerFault>,
    store_mode: StoreMode,
    injections: Vec<FaultInjection>,
    step_counts: HashMap<(Step, Option<HostId>), usize>,
    recorder: Option<Recorder>,
}

/// Events at one virtual instant after which a run fails: some process schedules
/// work in an endless loop.
const MAX_INSTANT_EVENTS: usize = 100_000;

/// Maps a write to the store, by key and value, to a fact; `None` records nothing.
pub type Recorder = Box<dyn Fn(&str, &[u8]) -> Option<Fact>>;

impl Testbed {
    /// Creates a bed without hosts or endpoints, at virtual time 1 s.
    pub fn new(seed: u64) -> Testbed {
        Testbed {
            network: Network::default(),
            store: FakeStore::default(),
            history: History::default(),
            fault_durations: FaultDurations::default(),
            counts: TrafficCounts::default(),
            now: Time::from_secs(1),
            instant_events: 0,
            seed,
            rng: Pcg32::new(seed, 1),
            queue: BinaryHeap::new(),
            event_count: 0,
            hosts: Vec::new(),
            endpoints: BTreeMap::new(),
            watches: Vec::new(),
            timeouts: HashMap::new(),
            answer_faults: HashMap::new(),
            store_mode: StoreMode::Normal,
            injections: Vec::new(),
            step_counts: HashMap::new(),
            recorder: None,
        }
    }

    /// The current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Registers an endpoint under the name that calls address it by.
    pub fn add_endpoint(&mut self, name: &str, endpoint: Box<dyn Endpoint>) {
        self.endpoints.insert(name.to_owned(), endpoint);
    }

    /// Installs a recorder that is asked for a fact after each successful put.
    pub fn record_writes(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Injects a fault when its occurrence of a step is reached.
    pub fn inject_fault(&mut self, injection: FaultInjection) {
        self.injections.push(injection);
    }

    /// Counts how often a step was reached so far, on one host or, for `None`, on all.
    pub fn step_count(&self, step: Step, host: Option<HostId>) -> usize {
        self.step_counts.get(&(step, host)).copied().unwrap_or_default()
    }

    /// Drops the faults that have not been injected yet.
    pub fn clear_faults(&mut self) {
        self.injections.clear();
    }

    /// Faults that have not been injected yet.
    pub fn pending_faults(&self) -> &[FaultInjection] {
        &self.injections
    }

    /// Sets how the store answers from now on.
    pub fn set_store(&mut self, mode: StoreMode) {
        self.store_mode = mode;
        self.history.add(self.now, Fact::Faulted(format!("store {mode:?}")));
    }

    /// Sets how the store answers for `span`; then it answers normally again.
    pub fn set_store_for(&mut self, mode: StoreMode, span: Duration) {
        self.set_store(mode);
        self.push(self.now + span, Event::StoreUp);
    }

    /// Handles every event up to and including `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.instant_events = if next.at == self.now { self.instant_events + 1 } else { 0 };
            let advances = self.instant_events < MAX_INSTANT_EVENTS;
            assert!(
                advances,
                "virtual time does not advance at {:?}; last facts:\n{}",
                next.event,
                self.history.tail(30)
            );
            self.now = next.at;
            self.dispatch(next.event);
        }
        self.now = end;
    }

    /// Handles every event of the next `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.push(Scheduled { at, order: self.event_count, event });
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Deliver { host, generation, input } => self.deliver(host, generation, input),
            Event::CallTimesOut { host, generation, id } => self.expire(host, generation, id),
            Event::StoreCallArrives { host, generation, id, call } => {
                self.serve_store(host, generation, id, &call)
            }
            Event::EndpointCallArrives { host, generation, id, endpoint, request } => {
                self.serve_endpoint(host, generation, id, &endpoint, &request);
            }
            Event::ProbeArrives { host, generation, id, addr } => {
                self.answer_probe(host, generation, id, addr)
            }
            Event::MessageArrives { from, to, body } => self.deliver_message(from, to, body),
            Event::Answer { from, host, generation, id, input } => {
                self.deliver_answer(&from, host, generation, id, input);
            }
            Event::WatchExpires { host, generation, id } => self.end_watch(host, generation, id),
            Event::Resume(host) => self.resume(host),
            Event::Start(host) => self.start(host),
            Event::Rejoin(host) => self.rejoin(host),
            Event::StoreUp => self.set_store(StoreMode::Normal),
        }
    }

    fn host_at(&self, addr: SocketAddr) -> Option<HostId> {
        self.hosts.iter().position(|host| host.addr == addr).map(HostId)
    }

    fn handle(&mut self, id: HostId, input: Input) {
        let now = self.now;
        let host = &mut self.hosts[id.0];
        let Some(process) = host.process.as_mut() else {
            return;
        };
        let outputs = process.handle(now, input);
        let generation = host.generation;
        for output in outputs {
            self.execute(id, generation, output);
        }
        self.schedule_wake(id);
    }

    fn execute(&mut self, id: HostId, generation: u64, output: Output) {
        let host = &mut self.hosts[id.0];
        if host.generation != generation {
            return;
        }
        match output {
            Output::Record(fact) => self.record(id, fact),
            output if host.state == HostState::Paused => host.held.push(Held::Unchecked(output)),
            Output::Exit => self.exit(id),
            output => self.send_call(id, generation, output),
        }
    }

    fn record(&mut self, id: HostId, fact: Fact) {
        let incarnation = self.hosts[id.0].incarnation;
        self.history.add_process(self.now, id, incarnation, fact);
    }

    fn deliver_answer(
        &mut self,
        from: &Place,
        host: HostId,
        generation: u64,
        id: CallId,
        input: Input,
    ) {
        if self.network.connects(from, &Place::Host(host)) {
            self.timeouts.remove(&(host, generation, id));
            self.deliver(host, generation, input);
        }
    }
}
