//! The interface between the bed and the state machines under test.

use std::net::SocketAddr;

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, Incarnation, Node, Order, OrderReply, ProbeReply, Step, StoreCall, StoreReply,
};

use crate::history::Fact;

/// An event delivered to a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The process starts; always the first input.
    Start,
    /// The time returned by [`Process::wake_at`] has been reached.
    Wake,
    /// The process is asked to stop as planned.
    Stop,
    /// A reply of the store; [`StoreReply::Unknown`] after a timeout.
    Store {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// An endpoint's reply; [`Answer::Unknown`] after a timeout.
    Answer {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: Answer,
    },
    /// The result of a probe; [`ProbeReply::Silent`] after a timeout.
    Probe {
        /// The probe it belongs to.
        id: CallId,
        /// The result.
        reply: ProbeReply,
    },
    /// A message from another process.
    Peer {
        /// The address of its sender.
        from: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// The platform's current list of live hosts, by address.
    Hosts(Vec<SocketAddr>),
    /// An instruction of the test to this process, in an encoding of the test's choice.
    Command(Vec<u8>),
}

/// An action requested by a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A call on the store.
    Store {
        /// Returned with the reply.
        id: CallId,
        /// The protocol step, which faults are bound to.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// A call on an endpoint; not sent if `deadline` has passed at the last check.
    Call {
        /// Returned with the reply.
        id: CallId,
        /// The protocol step, which faults are bound to.
        step: Step,
        /// Registered name of the endpoint.
        endpoint: String,
        /// The request.
        request: Request,
        /// Checked right before the call is sent.
        deadline: Time,
    },
    /// A connection attempt to a process's address.
    Probe {
        /// Returned with the result.
        id: CallId,
        /// The protocol step, which faults are bound to.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// A message to another process; may get lost unnoticed.
    Peer {
        /// The protocol step, which faults are bound to.
        step: Step,
        /// The receiver's address.
        to: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// A fact for the recorded history.
    Record(Fact),
    /// The process exits by itself.
    Exit,
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// An order.
    Order(Order),
    /// Any other request, in the endpoint's encoding.
    Bytes(Vec<u8>),
}

/// An endpoint's answer, or why there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer to an order.
    Order(OrderReply),
    /// The answer to any other request.
    Bytes(Vec<u8>),
    /// The deadline had passed, so the call was not sent.
    NotSent,
    /// No answer arrived in time: the call may have taken effect or not.
    Unknown,
}

/// A state machine under test.
///
/// Gets one input at a time and returns the actions to carry out. The bed asks for
/// the next wake-up after each input.
pub trait Process {
    /// Handles one input and returns the resulting actions.
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output>;

    /// When to send the next [`Input::Wake`]; [`Time::NEVER`] for none.
    fn wake_at(&self) -> Time;
}

/// What a process gets when it starts.
#[derive(Debug, Clone)]
pub struct ProcessContext {
    /// Identity, address and zone.
    pub node: Node,
    /// Seed of the process's random choices, such as jitter.
    pub seed: u64,
}

impl ProcessContext {
    /// The unique id of this start of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.node.incarnation
    }
}

/// Creates the process of a host, at each start.
pub type Factory = Box<dyn Fn(&ProcessContext) -> Box<dyn Process>>;

/// A fake outside the system under test: an engine, the platform or a service.
pub trait Endpoint {
    /// Handles a request; `None` means that it crashed before the answer.
    ///
    /// Facts for the history go to `facts`.
    fn handle(&mut self, now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer>;
}
