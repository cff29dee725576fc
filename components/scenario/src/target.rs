//! Fakes of targets and of the platform's usage report interface.

use std::{cell::RefCell, collections::BTreeMap, collections::BTreeSet, rc::Rc};

use chervilgate_clock::Time;
use chervilgate_coord::{OrderReply, decode, encode};
use chervilgate_testbed::{Answer, CutCause, Endpoint, Fact, Request, RequestId};

use crate::node::message::{TargetReply, TargetRequest};

/// Whether a target responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// Handles requests.
    Up,
    /// Never answers; set when the target vanishes.
    Down,
}

/// A fake target; clones share its state, so that the runner can cause faults.
#[derive(Debug, Clone)]
pub(crate) struct TargetState(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    name: String,
    health: Health,
    stopped: bool,
    running: BTreeMap<u64, Time>,
    connections: BTreeSet<u64>,
}

impl TargetState {
    pub(crate) fn new(name: &str) -> TargetState {
        TargetState(Rc::new(RefCell::new(State {
            name: name.to_owned(),
            health: Health::Up,
            stopped: false,
            running: BTreeMap::new(),
            connections: BTreeSet::new(),
        })))
    }

    /// Crashes and restarts the target; its running requests are lost.
    pub(crate) fn crash(&self) {
        self.0.borrow_mut().running.clear();
    }

    /// Removes the target permanently.
    pub(crate) fn vanish(&self) {
        let mut state = self.0.borrow_mut();
        state.health = Health::Down;
        state.running.clear();
    }
}

impl State {
    fn handle_request(
        &mut self,
        now: Time,
        call: &TargetRequest,
        facts: &mut Vec<Fact>,
    ) -> Option<TargetReply> {
        if self.health == Health::Down {
            return None;
        }
        Some(match call {
            TargetRequest::Start { .. } if self.stopped => TargetReply::Refused,
            TargetRequest::Start { request, takes, connection } => {
                if self.connections.insert(*connection) {
                    self.running.insert(*request, now + *takes);
                    let (request, target) = (RequestId(*request), self.name.clone());
                    facts.push(Fact::Ran { request, target });
                }
                TargetReply::Started
            }
            TargetRequest::Collect { request } => match self.running.get(request) {
                None => TargetReply::Gone,
                Some(end) if *end > now => TargetReply::Started,
                Some(_) => TargetReply::Done { request: *request },
            },
            TargetRequest::Running => TargetReply::Running { count: self.running_count(now) },
            TargetRequest::Stop => {
                if !self.stopped {
                    self.stop(now, facts);
                }
                TargetReply::Stopped
            }
        })
    }

    fn stop(&mut self, now: Time, facts: &mut Vec<Fact>) {
        self.stopped = true;
        for request in self.running.iter().filter(|(_, end)| **end > now).map(|(id, _)| *id) {
            facts.push(Fact::Cut { request: RequestId(request), cause: CutCause::Planned });
        }
        facts.push(Fact::Stopped { name: self.name.clone(), running: self.running_count(now) });
    }

    fn running_count(&self, now: Time) -> usize {
        self.running.values().filter(|end| **end > now).count()
    }
}

impl Endpoint for TargetState {
    fn handle(&mut self, now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer> {
        let Request::Bytes(bytes) = request else {
            return None;
        };
        let call = decode::<TargetRequest>(bytes).ok()?;
        let reply = self.0.borrow_mut().handle_request(now, &call, facts)?;
        Some(Answer::Bytes(encode(&reply)))
    }
}

/// The platform's usage report interface; accepts every report.
#[derive(Debug, Default)]
pub(crate) struct FakeUsageReceiver;

impl Endpoint for FakeUsageReceiver {
    fn handle(&mut self, _now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer> {
        let Request::Order(order) = request else {
            return None;
        };
        let (window, figures) = decode::<(u64, Vec<u8>)>(&order.body).ok()?;
        facts.push(Fact::Received {
            order: order.clone(),
            fencing: false,
            reply: OrderReply::Done,
        });
        facts.push(Fact::Reported {
            window: window.to_string(),
            figures,
            sender: order.sender,
            epoch: order.fence.epoch(),
        });
        Some(Answer::Order(OrderReply::Done))
    }
}
