//! The border between the bed and the machines that run in it.

use std::net::SocketAddr;

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, Incarnation, Node, Order, OrderReply, ProbeReply, Step, StoreCall, StoreReply,
};

use crate::history::Fact;

/// Something that reaches a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The process begins; always the first input.
    Start,
    /// The time that [`Process::wake_at`] named has come.
    Wake,
    /// A planned stop is asked for.
    Stop,
    /// A reply of the store, or what the client made of its absence.
    Store {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// An endpoint's reply.
    Answer {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: Answer,
    },
    /// What a probe has found.
    Probe {
        /// The probe it belongs to.
        id: CallId,
        /// The finding.
        reply: ProbeReply,
    },
    /// A message of another process.
    Peer {
        /// The address of its sender.
        from: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// The platform's list of live hosts has come.
    Hosts(Vec<SocketAddr>),
    /// A test's instruction to this process, in the test's own terms.
    Command(Vec<u8>),
}

/// Something that a process wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A call on the store.
    Store {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// A call on an endpoint, unless `deadline` has passed at the last check.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The endpoint's name.
        endpoint: String,
        /// The request.
        request: Request,
        /// Checked right before the call leaves.
        deadline: Time,
    },
    /// A connection attempt to a process's address.
    Probe {
        /// Matches the finding.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// A message to another process; may be lost.
    Peer {
        /// The step it is.
        step: Step,
        /// The receiver's address.
        to: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// Something for the checker to know.
    Record(Fact),
    /// The process ends by itself.
    Exit,
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// An order.
    Order(Order),
    /// Anything else, in the endpoint's own terms.
    Bytes(Vec<u8>),
}

/// An endpoint's answer, or what the client made of its absence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer to an order.
    Order(OrderReply),
    /// The answer to anything else.
    Bytes(Vec<u8>),
    /// The deadline had passed; nothing was sent.
    NotSent,
    /// No answer came: the call may have taken effect or not.
    Unknown,
}

/// A machine under test.
///
/// Gets one input at a time and returns what it wants done. The bed asks for
/// the next wake-up after each input.
pub trait Process {
    /// Takes one input.
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output>;

    /// When the process wants [`Input::Wake`]; [`Time::NEVER`] for not at all.
    fn wake_at(&self) -> Time;
}

/// What a process is born with.
#[derive(Debug, Clone)]
pub struct Birth {
    /// Its identity.
    pub node: Node,
    /// Seeds its jitter.
    pub seed: u64,
}

impl Birth {
    /// The process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.node.incarnation
    }
}

/// Makes the process that runs on a host, anew at each start.
pub type Factory = Box<dyn Fn(&Birth) -> Box<dyn Process>>;

/// A receiver outside the system: an engine, the platform, a service.
pub trait Endpoint {
    /// Takes one request and answers it; `None` for a crash before an answer.
    fn handle(&mut self, now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer>;
}
