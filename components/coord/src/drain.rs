//! Takes a target out of service without interrupting a request.
//!
//! First the drain is accepted, like every change of the view. Then each process
//! that may still run must report that its view contains the drain and that no
//! request it dispatched earlier is still in transit to the target, or must be
//! proved to have stopped: a process that is only silent may be paused with a
//! request it has not sent yet. Finally the target itself must report that it
//! runs no requests.

mod handover;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use self::handover::InTransitRequests;
use crate::{
    codec::decode,
    ident::{Incarnation, Node},
    order::ProbeReply,
    session::{SESSION_PREFIX, SessionRecord, SessionState, is_session_key},
    step::{Protocol, Step},
    store::{CallId, CallIds, Object, StoreCall, StoreReply},
    view::Draining,
};

/// Interval between requests to the same process or target.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between lists of sessions, and between probes of the same address.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// The longest time for which bytes sent on a closed connection may still arrive, as in
/// [`Timings::delivery_time`](crate::Timings::delivery_time).
const DELIVERY_TIME: Duration = Duration::from_secs(3);

/// Messages between processes about drains.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum DrainMessage {
    /// Asks whether the receiver's view contains the drain and it has no request in transit to
    /// the target.
    Ask(Draining),
    /// The sender's view contains the drain, and it has no request in transit to the target.
    Holds {
        /// The drain.
        drain: Draining,
        /// The sender.
        by: Incarnation,
    },
}

/// An action or result of a [`Drain`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainAction {
    /// Make this call to the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send a message to a process; it may be lost.
    Send {
        /// The process.
        to: Node,
        /// The protocol step of the message.
        step: Step,
        /// The message.
        message: DrainMessage,
    },
    /// Connect to a process's address and ask for the incarnation that listens there.
    Probe {
        /// Matches the result.
        id: CallId,
        /// The protocol step of the probe.
        step: Step,
        /// The process.
        node: Node,
    },
    /// Ask the target how many requests it runs.
    AskTarget {
        /// The protocol step of the request.
        step: Step,
    },
    /// The target may be stopped: it runs no requests and no process sends it any.
    Stop(Draining),
}

/// The actions returned by one method call.
pub type DrainActions = SmallVec<[DrainAction; 4]>;

#[derive(Debug, Clone)]
struct WaitingProcess {
    node: Node,
    probe: Option<CallId>,
}

/// The state machine of one drain, at the process that coordinates it.
#[derive(Debug, Clone)]
pub struct Drain {
    drain: Draining,
    listed: bool,
    list: Option<CallId>,
    next_list_at: Time,
    waiting: BTreeMap<Incarnation, WaitingProcess>,
    confirmed: BTreeSet<Incarnation>,
    next_ask_at: Time,
    transit_ends_at: Time,
    finished: bool,
}

impl Drain {
    /// Creates the state machine of an accepted drain.
    ///
    /// Processes that start later need not be asked: they adopt a view with the drain before
    /// they serve.
    pub fn new(drain: Draining) -> Drain {
        Drain {
            drain,
            listed: false,
            list: None,
            next_list_at: Time::ZERO,
            waiting: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            next_ask_at: Time::ZERO,
            transit_ends_at: Time::ZERO,
            finished: false,
        }
    }

    /// The drain as recorded in the view.
    pub fn drain(&self) -> &Draining {
        &self.drain
    }

    /// Processes that have neither confirmed the drain nor been proved to have stopped.
    pub fn waiting(&self) -> impl Iterator<Item = &Node> {
        self.waiting.values().map(|waiting| &waiting.node)
    }

    /// When [`Drain::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        if self.finished {
            return Time::NEVER;
        }
        let list = if self.list.is_some() { Time::NEVER } else { self.next_list_at };
        list.min(self.next_ask_at.max(self.transit_ends_at))
    }

    /// Makes the calls and sends the requests that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> DrainActions {
        let mut actions = DrainActions::new();
        if self.finished {
            return actions;
        }
        if self.list.is_none() && now >= self.next_list_at && !self.all_confirmed() {
            self.next_list_at = now + LIST_INTERVAL;
            let id = ids.next_id();
            self.list = Some(id);
            let call = StoreCall::List { prefix: SESSION_PREFIX.to_owned() };
            actions.push(DrainAction::Call { id, step: step("list sessions"), call });
            self.probe(ids, &mut actions);
        }
        if now < self.next_ask_at.max(self.transit_ends_at) || !self.listed {
            return actions;
        }
        self.next_ask_at = now + ASK_INTERVAL;
        for waiting in self.waiting.values() {
            let message = DrainMessage::Ask(self.drain.clone());
            let to = waiting.node.clone();
            actions.push(DrainAction::Send { to, step: step("ask member"), message });
        }
        if self.all_confirmed() {
            actions.push(DrainAction::AskTarget { step: step("ask target") });
        }
        actions
    }

    /// Handles the store's reply; returns `None` if another state machine made the call.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<DrainActions> {
        self.list.take_if(|pending| *pending == id)?;
        if let StoreReply::Listed { objects, .. } = reply {
            self.update_waiting(objects);
        }
        Some(self.advance(now, ids))
    }

    /// Handles a process's [`DrainMessage::Holds`].
    pub fn note_confirmed(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        by: Incarnation,
        drain: &Draining,
    ) -> DrainActions {
        if *drain != self.drain {
            return DrainActions::new();
        }
        self.confirmed.insert(by);
        self.waiting.remove(&by);
        self.next_ask_at = if self.all_confirmed() { now } else { self.next_ask_at };
        self.advance(now, ids)
    }

    /// Handles the result of a probe; returns `None` if another state machine made it.
    pub fn probed(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &ProbeReply,
    ) -> Option<DrainActions> {
        let waiting = self.waiting.values_mut().find(|waiting| waiting.probe == Some(id))?;
        waiting.probe = None;
        let incarnation = waiting.node.incarnation;
        let has_stopped = match reply {
            ProbeReply::Answers(other) => *other != incarnation,
            ProbeReply::Refused => true,
            ProbeReply::Silent => false,
        };
        if has_stopped {
            self.waiting.remove(&incarnation);
            self.confirmed.insert(incarnation);
            self.transit_ends_at = now + DELIVERY_TIME;
        }
        Some(self.advance(now, ids))
    }

    /// Handles the target's report of how many requests it runs.
    pub fn note_running(&mut self, now: Time, running: usize) -> DrainActions {
        let too_early = !self.all_confirmed() || now < self.transit_ends_at;
        if too_early || running > 0 || self.finished {
            return DrainActions::new();
        }
        self.finished = true;
        DrainActions::from_iter([DrainAction::Stop(self.drain.clone())])
    }

    fn all_confirmed(&self) -> bool {
        self.listed && self.waiting.is_empty()
    }

    fn update_waiting(&mut self, objects: &[Object]) {
        let sessions = objects.iter().filter(|object| is_session_key(&object.key));
        let records = sessions.map(|object| decode::<SessionRecord>(&object.value));
        let mut running_nodes = BTreeMap::new();
        for record in records {
            match record {
                Ok(record) if record.state != SessionState::Released => {
                    running_nodes.insert(record.node.incarnation, record.node);
                }
                Ok(_) => {}
                Err(error) => {
                    // Its process cannot be asked, so it may still have requests in transit.
                    log::error!(target: "drain", error:% = error; "cannot decode session record");
                    return;
                }
            }
        }
        // A session is deleted only after its release, so a missing one has stopped.
        self.waiting.retain(|incarnation, _| running_nodes.contains_key(incarnation));
        if !self.listed {
            running_nodes.retain(|incarnation, _| !self.confirmed.contains(incarnation));
            let waiting = |(id, node)| (id, WaitingProcess { node, probe: None });
            self.waiting = running_nodes.into_iter().map(waiting).collect();
            self.listed = true;
        }
    }

    fn probe(&mut self, ids: &mut CallIds, actions: &mut DrainActions) {
        for waiting in self.waiting.values_mut() {
            let id = ids.next_id();
            waiting.probe = Some(id);
            let node = waiting.node.clone();
            actions.push(DrainAction::Probe { id, step: step("probe member"), node });
        }
    }
}

const fn step(name: &'static str) -> Step {
    Step::new(Protocol::Drain, name)
}
