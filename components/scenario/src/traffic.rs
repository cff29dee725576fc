//! Counts what each entry sends and receives for control.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use chervilgate_clock::Time;
use chervilgate_coord::{Protocol, Step, StoreReply, encode};
use chervilgate_testbed::{Birth, Factory, Input, Output, Process};

/// What an entry has spent on one kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Spent {
    /// Messages, calls and replies.
    pub messages: u64,
    /// Bytes of their content, without headers of the layers below.
    pub bytes: u64,
}

/// Protocols that carry callers' requests rather than control.
const DATA: Protocol = Protocol::Claim;

/// Messages between entries that are received; the sender's step is not known.
pub(crate) const RECEIVED: &str = "received from peers";

/// Replies of the store.
const REPLIED: &str = "replies of the store";

/// What each entry has spent, by the name of the step.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Rc<RefCell<BTreeMap<(SocketAddr, String), Spent>>>);

impl Traffic {
    /// What each entry has spent so far, by step.
    pub fn spent(&self) -> BTreeMap<(SocketAddr, String), Spent> {
        self.0.borrow().clone()
    }

    /// What each entry has spent so far on everything.
    pub fn by_entry(&self) -> BTreeMap<SocketAddr, Spent> {
        let mut sums: BTreeMap<SocketAddr, Spent> = BTreeMap::new();
        for ((addr, _), spent) in self.0.borrow().iter() {
            let sum = sums.entry(*addr).or_default();
            sum.messages += spent.messages;
            sum.bytes += spent.bytes;
        }
        sums
    }

    /// Processes of the factory, with their traffic counted.
    pub(crate) fn meter(&self, factory: Factory) -> Factory {
        let traffic = self.clone();
        Box::new(move |birth: &Birth| {
            let (process, addr) = (factory(birth), birth.node.addr);
            Box::new(Metered { process, addr, traffic: traffic.clone() })
        })
    }

    fn add(&self, addr: SocketAddr, name: String, bytes: usize) {
        let mut spent = self.0.borrow_mut();
        let sum = spent.entry((addr, name)).or_default();
        sum.messages += 1;
        sum.bytes += bytes as u64;
    }
}

struct Metered {
    process: Box<dyn Process>,
    addr: SocketAddr,
    traffic: Traffic,
}

impl Metered {
    fn count_input(&self, input: &Input) {
        match input {
            Input::Peer { body, .. } => {
                self.traffic.add(self.addr, RECEIVED.to_owned(), body.len());
            }
            Input::Store { reply, .. } if *reply != StoreReply::Unknown => {
                self.traffic.add(self.addr, REPLIED.to_owned(), encode(reply).len());
            }
            _ => {}
        }
    }

    fn count_output(&self, output: &Output) {
        let (step, bytes): (&Step, usize) = match output {
            Output::Peer { step, body, .. } => (step, body.len()),
            Output::Store { step, call, .. } => (step, encode(call).len()),
            _ => return,
        };
        if step.protocol != DATA {
            self.traffic.add(self.addr, step.to_string(), bytes);
        }
    }
}

impl Process for Metered {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.count_input(&input);
        let outputs = self.process.handle(now, input);
        outputs.iter().for_each(|output| self.count_output(output));
        outputs
    }

    fn wake_at(&self) -> Time {
        self.process.wake_at()
    }
}
