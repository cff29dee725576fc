//! Measures the control traffic of each entry.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};

use chervilgate_clock::Time;
use chervilgate_coord::{Protocol, Step, StoreReply, encode};
use chervilgate_testbed::{Factory, Input, Output, Process, ProcessContext};

/// Number and size of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficTotals {
    /// Messages sent or received, including store calls and replies.
    pub messages: u64,
    /// Payload bytes, without the headers of lower protocol layers.
    pub bytes: u64,
}

/// Protocol of callers' requests, which is left out of the control traffic.
const DATA_PROTOCOL: Protocol = Protocol::Claim;

/// Name for messages received from other entries, since their step is unknown here.
pub(crate) const PEER_RECEIVED: &str = "received from peers";

/// Name for replies of the store.
const STORE_REPLIES: &str = "replies of the store";

/// Control traffic by entry address and protocol step; clones share the totals.
#[derive(Debug, Clone, Default)]
pub struct ControlTraffic(Rc<RefCell<BTreeMap<(SocketAddr, String), TrafficTotals>>>);

impl ControlTraffic {
    /// Totals so far, by entry and step.
    pub fn by_step(&self) -> BTreeMap<(SocketAddr, String), TrafficTotals> {
        self.0.borrow().clone()
    }

    /// Totals so far, by entry.
    pub fn by_entry(&self) -> BTreeMap<SocketAddr, TrafficTotals> {
        let mut sums: BTreeMap<SocketAddr, TrafficTotals> = BTreeMap::new();
        for ((addr, _), totals) in self.0.borrow().iter() {
            let entry_totals = sums.entry(*addr).or_default();
            entry_totals.messages += totals.messages;
            entry_totals.bytes += totals.bytes;
        }
        sums
    }

    /// Wraps a factory so that the traffic of its processes is counted.
    pub(crate) fn wrap(&self, factory: Factory) -> Factory {
        let traffic = self.clone();
        Box::new(move |context: &ProcessContext| {
            let (process, addr) = (factory(context), context.node.addr);
            Box::new(MeteredProcess { process, addr, traffic: traffic.clone() })
        })
    }

    fn add(&self, addr: SocketAddr, name: String, bytes: usize) {
        let mut totals = self.0.borrow_mut();
        let entry_totals = totals.entry((addr, name)).or_default();
        entry_totals.messages += 1;
        entry_totals.bytes += bytes as u64;
    }
}

struct MeteredProcess {
    process: Box<dyn Process>,
    addr: SocketAddr,
    traffic: ControlTraffic,
}

impl MeteredProcess {
    fn count_input(&self, input: &Input) {
        match input {
            Input::Peer { body, .. } => {
                self.traffic.add(self.addr, PEER_RECEIVED.to_owned(), body.len());
            }
            Input::Store { reply, .. } if *reply != StoreReply::Unknown => {
                self.traffic.add(self.addr, STORE_REPLIES.to_owned(), encode(reply).len());
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
        if step.protocol != DATA_PROTOCOL {
            self.traffic.add(self.addr, step.to_string(), bytes);
        }
    }
}

impl Process for MeteredProcess {
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
