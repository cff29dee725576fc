//! Takes a target out of service without cutting a request.
//!
//! The drain is accepted first, like every change of the view. Then each
//! process that may still run has to say that it holds the drain and that
//! nothing it handed out earlier is still on its way to the target, or has to
//! be proved out: one that merely went silent may be paused with a request in
//! its hands. Last, the target itself has to report nothing running.

mod handover;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use self::handover::Handovers;
use crate::{
    codec::decode,
    ident::{Incarnation, Node},
    order::ProbeReply,
    session::{SESSION_PREFIX, SessionRecord, SessionState},
    step::{Protocol, Step},
    store::{CallId, CallIds, Object, StoreCall, StoreReply},
    view::Draining,
};

/// Between two questions to the same process or target.
const ASK_SPAN: Duration = Duration::from_secs(1);

/// Between two lists of sessions, and two probes of the same address.
const LIST_SPAN: Duration = Duration::from_secs(5);

/// After this span nothing sent on a closed connection arrives any more.
const FLIGHT_SPAN: Duration = Duration::from_secs(3);

/// Messages about drains.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum DrainMessage {
    /// Asks whether the receiver holds the drain.
    Ask(Draining),
    /// The sender holds it and has nothing on its way to the target.
    Holds {
        /// The drain.
        drain: Draining,
        /// The sender.
        by: Incarnation,
    },
}

/// What a drain wants done, or has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send a message to a process; it may be lost.
    Send {
        /// The process.
        to: Node,
        /// The step it is.
        step: Step,
        /// The message.
        message: DrainMessage,
    },
    /// Connect to a process's address and ask who it is.
    Probe {
        /// Matches the finding.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The process.
        node: Node,
    },
    /// Ask the target how many requests it runs.
    AskTarget {
        /// The step it is.
        step: Step,
    },
    /// The target may be stopped: nothing runs on it and nobody sends to it.
    Stop(Draining),
}

/// Actions of one step.
pub type DrainActions = SmallVec<[DrainAction; 4]>;

#[derive(Debug, Clone)]
struct Waiting {
    node: Node,
    probe: Option<CallId>,
}

/// One drain, at the process that wants the target stopped.
#[derive(Debug, Clone)]
pub struct Drain {
    drain: Draining,
    listed: bool,
    list: Option<CallId>,
    list_at: Time,
    waiting: BTreeMap<Incarnation, Waiting>,
    settled: BTreeSet<Incarnation>,
    ask_at: Time,
    quiet_at: Time,
    stopped: bool,
}

impl Drain {
    /// Begins with an accepted drain.
    ///
    /// Processes that start later meet the drain before they serve.
    pub fn new(drain: Draining) -> Drain {
        Drain {
            drain,
            listed: false,
            list: None,
            list_at: Time::ZERO,
            waiting: BTreeMap::new(),
            settled: BTreeSet::new(),
            ask_at: Time::ZERO,
            quiet_at: Time::ZERO,
            stopped: false,
        }
    }

    /// The drain.
    pub fn drain(&self) -> &Draining {
        &self.drain
    }

    /// Processes that have neither answered nor been proved out.
    pub fn waiting(&self) -> impl Iterator<Item = &Node> {
        self.waiting.values().map(|waiting| &waiting.node)
    }

    /// When [`Drain::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        if self.stopped {
            return Time::NEVER;
        }
        let list = if self.list.is_some() { Time::NEVER } else { self.list_at };
        list.min(self.ask_at.max(self.quiet_at))
    }

    /// Asks whoever has not answered.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> DrainActions {
        let mut actions = DrainActions::new();
        if self.stopped {
            return actions;
        }
        if self.list.is_none() && now >= self.list_at && !self.is_quiet() {
            self.list_at = now + LIST_SPAN;
            let id = ids.next_id();
            self.list = Some(id);
            let call = StoreCall::List { prefix: SESSION_PREFIX.to_owned() };
            actions.push(DrainAction::Call { id, step: step("list sessions"), call });
            self.probe(ids, &mut actions);
        }
        if now < self.ask_at.max(self.quiet_at) || !self.listed {
            return actions;
        }
        self.ask_at = now + ASK_SPAN;
        for waiting in self.waiting.values() {
            let message = DrainMessage::Ask(self.drain.clone());
            let to = waiting.node.clone();
            actions.push(DrainAction::Send { to, step: step("ask member"), message });
        }
        if self.is_quiet() {
            actions.push(DrainAction::AskTarget { step: step("ask target") });
        }
        actions
    }

    /// Takes the platform's reply; `None` if it belongs to another machine.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<DrainActions> {
        self.list.take_if(|flying| *flying == id)?;
        if let StoreReply::Listed { objects, .. } = reply {
            self.take_sessions(objects);
        }
        Some(self.advance(now, ids))
    }

    /// Takes a process's answer.
    pub fn note_holds(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        by: Incarnation,
        drain: &Draining,
    ) -> DrainActions {
        if *drain != self.drain {
            return DrainActions::new();
        }
        self.settled.insert(by);
        self.waiting.remove(&by);
        self.ask_at = if self.is_quiet() { now } else { self.ask_at };
        self.advance(now, ids)
    }

    /// Takes a probe's finding; `None` if it belongs to another machine.
    pub fn probed(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &ProbeReply,
    ) -> Option<DrainActions> {
        let waiting = self.waiting.values_mut().find(|waiting| waiting.probe == Some(id))?;
        waiting.probe = None;
        let node = waiting.node.incarnation;
        let out = match reply {
            ProbeReply::Answers(other) => *other != node,
            ProbeReply::Refused => true,
            ProbeReply::Silent => false,
        };
        if out {
            self.waiting.remove(&node);
            self.settled.insert(node);
            self.quiet_at = now + FLIGHT_SPAN;
        }
        Some(self.advance(now, ids))
    }

    /// Takes the target's word on how many requests it runs.
    pub fn note_running(&mut self, now: Time, running: usize) -> DrainActions {
        let early = !self.is_quiet() || now < self.quiet_at;
        if early || running > 0 || self.stopped {
            return DrainActions::new();
        }
        self.stopped = true;
        DrainActions::from_iter([DrainAction::Stop(self.drain.clone())])
    }

    fn is_quiet(&self) -> bool {
        self.listed && self.waiting.is_empty()
    }

    fn take_sessions(&mut self, objects: &[Object]) {
        let records = objects.iter().map(|object| decode::<SessionRecord>(&object.value));
        let mut present = BTreeMap::new();
        for record in records {
            match record {
                Ok(record) if record.state != SessionState::Released => {
                    present.insert(record.node.incarnation, record.node);
                }
                Ok(_) => {}
                Err(error) => {
                    // Its process cannot be asked, so nobody can say that it is quiet.
                    log::error!(target: "drain", error:% = error; "a session does not decode");
                    return;
                }
            }
        }
        // A session is cleared away only after its release.
        self.waiting.retain(|node, _| present.contains_key(node));
        if !self.listed {
            present.retain(|node, _| !self.settled.contains(node));
            let waiting = |(id, node)| (id, Waiting { node, probe: None });
            self.waiting = present.into_iter().map(waiting).collect();
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
