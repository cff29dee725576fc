//! Simulated hosts: lifecycle, inboxes and wake-ups of their processes.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Node, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    bed::{Testbed, calls::Delivery},
    history::Fact,
    network::HostId,
    process::{Factory, Input, Output, Process, ProcessContext},
    queue::Event,
};

/// The state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Its process runs.
    Up,
    /// Its process handles nothing, while time goes on.
    Paused,
    /// The host runs without a process: connections are refused.
    NoProcess,
    /// The host is lost: nothing answers.
    Lost,
}

/// A call held back while its host is paused.
#[derive(Debug)]
pub(crate) enum Held {
    /// It has passed its last check and is sent without another.
    Checked(Output),
    /// It still has to pass its last check.
    Unchecked(Output),
}

/// Time until a process that exited by itself is started again.
const EXIT_RESTART: Duration = Duration::from_secs(2);

pub(crate) struct Host {
    pub(crate) addr: SocketAddr,
    pub(crate) zone: Zone,
    pub(crate) factory: Factory,
    pub(crate) process: Option<Box<dyn Process>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: HostState,
    /// Incremented when a process starts or ends; inputs for an earlier generation are dropped.
    pub(crate) generation: u64,
    pub(crate) wake: Time,
    pub(crate) inbox: VecDeque<Input>,
    pub(crate) held: Vec<Held>,
    pub(crate) restarts: bool,
}

/// The address of a host: `10.0.x.y:7000`, with its number plus 1 as `x.y`.
pub fn addr_of(id: HostId) -> SocketAddr {
    let [high, low] = (id.0 as u16 + 1).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

impl Testbed {
    /// Adds a host in `zone`; its process starts with the next run.
    pub fn add_host(&mut self, zone: &str, factory: Factory) -> HostId {
        let id = HostId(self.hosts.len());
        self.hosts.push(Host {
            addr: addr_of(id),
            zone: Zone(zone.to_owned()),
            factory,
            process: None,
            incarnation: Incarnation(0),
            state: HostState::NoProcess,
            generation: 0,
            wake: Time::NEVER,
            inbox: VecDeque::new(),
            held: Vec::new(),
            restarts: true,
        });
        self.push(self.now, Event::Start(id));
        id
    }

    /// All hosts, lost ones included.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> + use<> {
        (0..self.hosts.len()).map(HostId)
    }

    /// The host's address.
    pub fn addr(&self, id: HostId) -> SocketAddr {
        self.hosts[id.0].addr
    }

    /// The host's current state.
    pub fn state(&self, id: HostId) -> HostState {
        self.hosts[id.0].state
    }

    /// The incarnation that runs on the host, or ran there last.
    pub fn incarnation(&self, id: HostId) -> Incarnation {
        self.hosts[id.0].incarnation
    }

    /// Delivers an input to the host's current process; a paused one handles it on resume.
    pub fn send_input(&mut self, id: HostId, input: Input) {
        let generation = self.hosts[id.0].generation;
        self.deliver(id, generation, input);
    }

    /// Kills the host's process; `None` means that it isn't started again.
    pub fn kill(&mut self, id: HostId, restart: Option<Duration>) {
        if !matches!(self.hosts[id.0].state, HostState::Up | HostState::Paused) {
            return;
        }
        self.record_state_change(id, "killed");
        self.end_process(id, HostState::NoProcess);
        if let Some(span) = restart {
            self.push(self.now + span, Event::Start(id));
        }
    }

    /// Makes the host unreachable and ends its process, for good unless
    /// [`Testbed::restart_host`] follows.
    pub fn lose_host(&mut self, id: HostId) {
        self.record_state_change(id, "vanished");
        self.end_process(id, HostState::Lost);
    }

    /// Starts a new process on a host that was lost.
    pub fn restart_host(&mut self, id: HostId) {
        self.hosts[id.0].state = HostState::NoProcess;
        self.start(id);
    }

    /// Pauses the host for `span`; has no effect unless it is up.
    pub fn pause(&mut self, id: HostId, span: Duration) {
        if self.hosts[id.0].state != HostState::Up {
            return;
        }
        self.record_state_change(id, "paused");
        self.hosts[id.0].state = HostState::Paused;
        self.push(self.now + span, Event::Resume(id));
    }

    /// Isolates the host from the whole network for `span`.
    pub fn partition(&mut self, id: HostId, span: Duration) {
        self.record_state_change(id, "partitioned");
        self.network.isolate(id);
        self.push(self.now + span, Event::Rejoin(id));
    }

    /// Sets whether a process that exits by itself is started again.
    pub fn set_restarts(&mut self, id: HostId, restarts: bool) {
        self.hosts[id.0].restarts = restarts;
    }

    pub(super) fn start(&mut self, id: HostId) {
        let host = &mut self.hosts[id.0];
        if host.state != HostState::NoProcess {
            return;
        }
        host.generation += 1;
        let mut rng = Pcg32::seed_from_u64(self.seed ^ ((id.0 as u64) << 32) ^ host.generation);
        host.incarnation = Incarnation(rng.random());
        let node = Node { incarnation: host.incarnation, addr: host.addr, zone: host.zone.clone() };
        let context = ProcessContext { node, seed: rng.random() };
        host.process = Some((host.factory)(&context));
        host.state = HostState::Up;
        self.record_state_change(id, "started");
        self.handle(id, Input::Start);
    }

    pub(super) fn exit(&mut self, id: HostId) {
        self.record_state_change(id, "exited");
        self.end_process(id, HostState::NoProcess);
        if self.hosts[id.0].restarts {
            self.push(self.now + EXIT_RESTART, Event::Start(id));
        }
    }

    pub(super) fn rejoin(&mut self, id: HostId) {
        self.record_state_change(id, "rejoined");
        self.network.rejoin(id);
    }

    pub(super) fn resume(&mut self, id: HostId) {
        if self.hosts[id.0].state != HostState::Paused {
            return;
        }
        self.record_state_change(id, "resumed");
        self.hosts[id.0].state = HostState::Up;
        let generation = self.hosts[id.0].generation;
        for output in std::mem::take(&mut self.hosts[id.0].held) {
            match output {
                Held::Checked(output) => self.transmit(id, generation, output, Delivery::Once),
                Held::Unchecked(output) => self.execute(id, generation, output),
            }
        }
        while let Some(input) = self.hosts[id.0].inbox.pop_front() {
            if self.hosts[id.0].state != HostState::Up || self.hosts[id.0].generation != generation
            {
                break;
            }
            if input == Input::Wake {
                self.hosts[id.0].wake = Time::NEVER;
            }
            self.handle(id, input);
        }
    }

    pub(super) fn deliver(&mut self, id: HostId, generation: u64, input: Input) {
        let now = self.now;
        let host = &mut self.hosts[id.0];
        if host.generation != generation {
            return;
        }
        if host.state == HostState::Paused {
            host.inbox.push_back(input);
            return;
        }
        if input == Input::Wake {
            if host.wake > now {
                return;
            }
            host.wake = Time::NEVER;
        }
        self.handle(id, input);
    }

    pub(super) fn schedule_wake(&mut self, id: HostId) {
        let now = self.now;
        let host = &mut self.hosts[id.0];
        let Some(process) = host.process.as_ref() else {
            return;
        };
        let at = process.wake_at().max(now);
        if at == Time::NEVER || at >= host.wake {
            return;
        }
        host.wake = at;
        let generation = host.generation;
        self.push(at, Event::Deliver { host: id, generation, input: Input::Wake });
    }

    pub(super) fn record_state_change(&mut self, id: HostId, what: &str) {
        self.record(id, Fact::Faulted(what.to_owned()));
    }

    fn end_process(&mut self, id: HostId, state: HostState) {
        self.record(id, Fact::Died);
        let host = &mut self.hosts[id.0];
        host.generation += 1;
        host.process = None;
        host.state = state;
        host.wake = Time::NEVER;
        host.inbox.clear();
        host.held.clear();
        self.watches.retain(|watch| watch.host != id);
    }
}
