//! Hosts and the processes on them.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Node, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    bed::{Bed, calls::Passage},
    history::Fact,
    network::HostId,
    process::{Birth, Factory, Input, Output, Process},
    queue::Event,
};

/// What a host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Runs.
    Up,
    /// Stands still; its clock goes on.
    Paused,
    /// Up without a process: connections are refused.
    Empty,
    /// Gone: nothing answers.
    Gone,
}

/// A call that a pause holds back.
#[derive(Debug)]
pub(crate) enum Held {
    /// It has passed its last check: it leaves without another.
    Checked(Output),
    /// Its check is still to come.
    Unchecked(Output),
}

/// How long a process that ended by itself stays away.
const EXIT_RESTART: Duration = Duration::from_secs(2);

pub(crate) struct Host {
    pub(crate) addr: SocketAddr,
    pub(crate) zone: Zone,
    pub(crate) factory: Factory,
    pub(crate) process: Option<Box<dyn Process>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: HostState,
    /// Counts the processes of this host; inputs for an earlier one are dropped.
    pub(crate) life: u64,
    pub(crate) wake: Time,
    pub(crate) inbox: VecDeque<Input>,
    pub(crate) held: Vec<Held>,
    pub(crate) restarts: bool,
}

/// The address that a bed gives to a host.
pub fn addr_of(id: HostId) -> SocketAddr {
    let [high, low] = (id.0 as u16 + 1).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

impl Bed {
    /// Adds a host; its process starts with the next run.
    pub fn add_host(&mut self, zone: &str, factory: Factory) -> HostId {
        let id = HostId(self.hosts.len());
        self.hosts.push(Host {
            addr: addr_of(id),
            zone: Zone(zone.to_owned()),
            factory,
            process: None,
            incarnation: Incarnation(0),
            state: HostState::Empty,
            life: 0,
            wake: Time::NEVER,
            inbox: VecDeque::new(),
            held: Vec::new(),
            restarts: true,
        });
        self.push(self.now, Event::Start(id));
        id
    }

    /// Hosts of the bed.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> + use<> {
        (0..self.hosts.len()).map(HostId)
    }

    /// The host's address.
    pub fn addr(&self, id: HostId) -> SocketAddr {
        self.hosts[id.0].addr
    }

    /// What the host does.
    pub fn state(&self, id: HostId) -> HostState {
        self.hosts[id.0].state
    }

    /// The incarnation that runs on the host, or ran there last.
    pub fn incarnation(&self, id: HostId) -> Incarnation {
        self.hosts[id.0].incarnation
    }

    /// Hands an input to the host's present process.
    pub fn give(&mut self, id: HostId, input: Input) {
        let life = self.hosts[id.0].life;
        self.deliver(id, life, input);
    }

    /// Kills the host's process; it is started again after `restart`, if given.
    pub fn kill(&mut self, id: HostId, restart: Option<Duration>) {
        if !matches!(self.hosts[id.0].state, HostState::Up | HostState::Paused) {
            return;
        }
        self.fault(id, "killed");
        self.end_life(id, HostState::Empty);
        if let Some(span) = restart {
            self.push(self.now + span, Event::Start(id));
        }
    }

    /// Takes the host away for good.
    pub fn vanish(&mut self, id: HostId) {
        self.fault(id, "vanished");
        self.end_life(id, HostState::Gone);
    }

    /// Puts a new process on a host whose former one is gone.
    pub fn replace(&mut self, id: HostId) {
        self.hosts[id.0].state = HostState::Empty;
        self.start(id);
    }

    /// Lets the host stand still for a span of time.
    pub fn pause(&mut self, id: HostId, span: Duration) {
        if self.hosts[id.0].state != HostState::Up {
            return;
        }
        self.fault(id, "paused");
        self.hosts[id.0].state = HostState::Paused;
        self.push(self.now + span, Event::Resume(id));
    }

    /// Cuts the host off from everything for a span of time.
    pub fn partition(&mut self, id: HostId, span: Duration) {
        self.fault(id, "partitioned");
        self.network.isolate(id);
        self.push(self.now + span, Event::Rejoin(id));
    }

    /// Whether a process that ends by itself is started anew.
    pub fn set_restarts(&mut self, id: HostId, restarts: bool) {
        self.hosts[id.0].restarts = restarts;
    }

    pub(super) fn start(&mut self, id: HostId) {
        let host = &mut self.hosts[id.0];
        if host.state != HostState::Empty {
            return;
        }
        host.life += 1;
        let mut rng = Pcg32::seed_from_u64(self.seed ^ ((id.0 as u64) << 32) ^ host.life);
        host.incarnation = Incarnation(rng.random());
        let node = Node { incarnation: host.incarnation, addr: host.addr, zone: host.zone.clone() };
        let birth = Birth { node, seed: rng.random() };
        host.process = Some((host.factory)(&birth));
        host.state = HostState::Up;
        self.fault(id, "started");
        self.handle(id, Input::Start);
    }

    pub(super) fn exit(&mut self, id: HostId) {
        self.fault(id, "exited");
        self.end_life(id, HostState::Empty);
        if self.hosts[id.0].restarts {
            self.push(self.now + EXIT_RESTART, Event::Start(id));
        }
    }

    pub(super) fn rejoin(&mut self, id: HostId) {
        self.fault(id, "rejoined");
        self.network.rejoin(id);
    }

    pub(super) fn resume(&mut self, id: HostId) {
        if self.hosts[id.0].state != HostState::Paused {
            return;
        }
        self.fault(id, "resumed");
        self.hosts[id.0].state = HostState::Up;
        let life = self.hosts[id.0].life;
        for output in std::mem::take(&mut self.hosts[id.0].held) {
            match output {
                Held::Checked(output) => self.leave(id, life, output, Passage::Once),
                Held::Unchecked(output) => self.perform(id, life, output),
            }
        }
        while let Some(input) = self.hosts[id.0].inbox.pop_front() {
            if self.hosts[id.0].state != HostState::Up || self.hosts[id.0].life != life {
                break;
            }
            if input == Input::Wake {
                self.hosts[id.0].wake = Time::NEVER;
            }
            self.handle(id, input);
        }
    }

    pub(super) fn deliver(&mut self, id: HostId, life: u64, input: Input) {
        let now = self.now;
        let host = &mut self.hosts[id.0];
        if host.life != life {
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
        let life = host.life;
        self.push(at, Event::Deliver { host: id, life, input: Input::Wake });
    }

    pub(super) fn fault(&mut self, id: HostId, what: &str) {
        self.record(id, Fact::Faulted(what.to_owned()));
    }

    fn end_life(&mut self, id: HostId, state: HostState) {
        self.record(id, Fact::Died);
        let host = &mut self.hosts[id.0];
        host.life += 1;
        host.process = None;
        host.state = state;
        host.wake = Time::NEVER;
        host.inbox.clear();
        host.held.clear();
        self.waiting.retain(|waiting| waiting.host != id);
    }
}
