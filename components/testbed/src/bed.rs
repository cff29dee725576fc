//! Runs processes in virtual time against the fakes.
//!
//! Every run is a function of its seed, its processes and its faults. A call
//! that a process returns passes three points: the last check of its deadline,
//! the moment it leaves, and the moment it arrives; faults strike between them.

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
        faults::Mark,
        hosts::{Held, Host, HostState},
    },
    fault::{Spans, Strike},
    history::{Fact, History},
    network::{HostId, Network, Place},
    process::{Endpoint, Input, Output},
    queue::{Event, Scheduled},
    store::FakeStore,
};

/// A watch waiting at the store.
#[derive(Debug)]
struct Waiting {
    host: HostId,
    life: u64,
    id: CallId,
    prefix: Key,
    after: Version,
}

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// In milliseconds.
    Normal,
    /// In seconds; many answers come too late.
    Slow,
    /// Not at all.
    Down,
}

/// Calls that the processes of a bed have made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of the store, watches included.
    pub reads: u64,
    /// Writes to the store.
    pub writes: u64,
    /// Bytes sent to the store and received from it.
    pub bytes: u64,
    /// Calls on endpoints.
    pub calls: u64,
    /// Probes of addresses.
    pub probes: u64,
    /// Messages between processes.
    pub messages: u64,
}

/// The processes, the fakes and the clock.
pub struct Bed {
    /// Who reaches whom.
    pub network: Network,
    /// The platform's store.
    pub store: FakeStore,
    /// What has happened.
    pub history: History,
    /// How long faults last.
    pub spans: Spans,
    /// Calls made so far.
    pub counts: Counts,
    now: Time,
    /// Events handled without the clock moving.
    steady: usize,
    seed: u64,
    rng: Pcg32,
    queue: BinaryHeap<Scheduled>,
    pushed: u64,
    hosts: Vec<Host>,
    endpoints: BTreeMap<String, Box<dyn Endpoint>>,
    waiting: Vec<Waiting>,
    open: HashMap<(HostId, u64, CallId), Event>,
    marks: HashMap<(HostId, u64, CallId), Mark>,
    mode: StoreMode,
    strikes: Vec<Strike>,
    seen: HashMap<(Step, Option<HostId>), usize>,
    recorder: Option<Recorder>,
}

/// More events than this at one moment mean a process that never rests.
const SPIN_LIMIT: usize = 100_000;

/// Turns a write to the store into a fact.
pub type Recorder = Box<dyn Fn(&str, &[u8]) -> Option<Fact>>;

impl Bed {
    /// An empty bed.
    pub fn new(seed: u64) -> Bed {
        Bed {
            network: Network::default(),
            store: FakeStore::default(),
            history: History::default(),
            spans: Spans::default(),
            counts: Counts::default(),
            now: Time::from_secs(1),
            steady: 0,
            seed,
            rng: Pcg32::new(seed, 1),
            queue: BinaryHeap::new(),
            pushed: 0,
            hosts: Vec::new(),
            endpoints: BTreeMap::new(),
            waiting: Vec::new(),
            open: HashMap::new(),
            marks: HashMap::new(),
            mode: StoreMode::Normal,
            strikes: Vec::new(),
            seen: HashMap::new(),
            recorder: None,
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Adds an endpoint under a name.
    pub fn add_endpoint(&mut self, name: &str, endpoint: Box<dyn Endpoint>) {
        self.endpoints.insert(name.to_owned(), endpoint);
    }

    /// Records a fact for some of the writes to the store.
    pub fn record_writes(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Adds a fault that strikes when its step comes.
    pub fn strike(&mut self, strike: Strike) {
        self.strikes.push(strike);
    }

    /// How often a step has come so far, on one host or on any.
    pub fn occurrences(&self, step: Step, host: Option<HostId>) -> usize {
        self.seen.get(&(step, host)).copied().unwrap_or_default()
    }

    /// Forgets the faults whose step has not come yet.
    pub fn clear_strikes(&mut self) {
        self.strikes.clear();
    }

    /// Faults whose step has not come yet.
    pub fn pending_strikes(&self) -> &[Strike] {
        &self.strikes
    }

    /// Sets how the store answers from now on.
    pub fn set_store(&mut self, mode: StoreMode) {
        self.mode = mode;
        self.history.add(self.now, Fact::Faulted(format!("store {mode:?}")));
    }

    /// Sets how the store answers, for a span of time.
    pub fn disturb_store_for(&mut self, mode: StoreMode, span: Duration) {
        self.set_store(mode);
        self.push(self.now + span, Event::StoreUp);
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.steady = if next.at == self.now { self.steady + 1 } else { 0 };
            let rests = self.steady < SPIN_LIMIT;
            assert!(rests, "{:?} spins after\n{}", next.event, self.history.tail(30));
            self.now = next.at;
            self.happen(next.event);
        }
        self.now = end;
    }

    /// Runs for a span of time.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.pushed += 1;
        self.queue.push(Scheduled { at, order: self.pushed, event });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver { host, life, input } => self.deliver(host, life, input),
            Event::Expire { host, life, id } => self.expire(host, life, id),
            Event::AtStore { host, life, id, call } => self.at_store(host, life, id, &call),
            Event::AtEndpoint { host, life, id, endpoint, request } => {
                self.at_endpoint(host, life, id, &endpoint, &request);
            }
            Event::AtProbed { host, life, id, addr } => self.at_probed(host, life, id, addr),
            Event::AtPeer { from, to, body } => self.at_peer(from, to, body),
            Event::Answer { from, host, life, id, input } => {
                self.arrive(&from, host, life, id, input);
            }
            Event::WatchEnds { host, life, id } => self.end_watch(host, life, id),
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
        let life = host.life;
        for output in outputs {
            self.perform(id, life, output);
        }
        self.schedule_wake(id);
    }

    fn perform(&mut self, id: HostId, life: u64, output: Output) {
        let host = &mut self.hosts[id.0];
        if host.life != life {
            return;
        }
        match output {
            Output::Record(fact) => self.record(id, fact),
            output if host.state == HostState::Paused => host.held.push(Held::Unchecked(output)),
            Output::Exit => self.exit(id),
            output => self.check(id, life, output),
        }
    }

    fn record(&mut self, id: HostId, fact: Fact) {
        let incarnation = self.hosts[id.0].incarnation;
        self.history.add_of(self.now, id, incarnation, fact);
    }

    fn arrive(&mut self, from: &Place, host: HostId, life: u64, id: CallId, input: Input) {
        if self.network.connects(from, &Place::Host(host)) {
            self.open.remove(&(host, life, id));
            self.deliver(host, life, input);
        }
    }
}
