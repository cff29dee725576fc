//! Takes a target out of service without cutting a request.
//!
//! The drain is accepted first, like every change of the view. Then each
//! member has to say that it holds the drain and that nothing it handed out
//! earlier is still on its way to the target, or has to be proved out: a member
//! that merely went silent may be paused with a request in its hands. Last, the
//! target itself has to report nothing running.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    ident::{Incarnation, Node},
    step::{Protocol, Step},
    view::{Draining, Seq},
};

/// Between two questions to the same member or target.
const ASK_SPAN: Duration = Duration::from_secs(1);

/// Asks a member whether it holds a drain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum DrainMessage {
    /// Asks whether the member holds the drain.
    Ask(Draining),
    /// The member holds it and has nothing on its way to the target.
    Holds(Draining),
}

/// What a drain wants done, or has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainAction {
    /// Send a message to a member; it may be lost.
    Send {
        /// The member.
        to: Node,
        /// The step it is.
        step: Step,
        /// The message.
        message: DrainMessage,
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

/// One drain, at the process that wants the target stopped.
#[derive(Debug, Clone)]
pub struct Drain {
    drain: Draining,
    waiting: BTreeMap<Incarnation, Node>,
    asked: Time,
    answered: bool,
    stopped: bool,
}

impl Drain {
    /// Begins with an accepted drain.
    ///
    /// `members` are all incarnations that are not proved out, silent ones
    /// included. Members that join later meet the drain before they serve.
    pub fn new(drain: Draining, members: impl IntoIterator<Item = Node>) -> Drain {
        let waiting = members.into_iter().map(|node| (node.incarnation, node)).collect();
        Drain { drain, waiting, asked: Time::ZERO, answered: false, stopped: false }
    }

    /// The drain.
    pub fn drain(&self) -> &Draining {
        &self.drain
    }

    /// Members that have not answered.
    pub fn waiting(&self) -> impl Iterator<Item = &Node> {
        self.waiting.values()
    }

    /// When [`Drain::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        if self.stopped { Time::NEVER } else { self.asked + ASK_SPAN }
    }

    /// Asks whoever has not answered.
    pub fn advance(&mut self, now: Time) -> DrainActions {
        let mut actions = DrainActions::new();
        if self.stopped || (self.asked != Time::ZERO && now < self.asked + ASK_SPAN) {
            return actions;
        }
        self.asked = now;
        for node in self.waiting.values() {
            let step = Step::new(Protocol::Drain, "ask member");
            let message = DrainMessage::Ask(self.drain.clone());
            actions.push(DrainAction::Send { to: node.clone(), step, message });
        }
        if self.waiting.is_empty() {
            let step = Step::new(Protocol::Drain, "ask target");
            actions.push(DrainAction::AskTarget { step });
        }
        actions
    }

    /// Takes a member's answer.
    pub fn note_holds(&mut self, now: Time, member: Incarnation, drain: &Draining) -> DrainActions {
        if *drain == self.drain {
            self.waiting.remove(&member);
        }
        self.ask_idle(now)
    }

    /// Notes that a member is proved out.
    pub fn note_out(&mut self, now: Time, member: Incarnation) -> DrainActions {
        self.waiting.remove(&member);
        self.ask_idle(now)
    }

    /// Takes the target's word; only one given after the last answer counts.
    pub fn note_running(&mut self, running: usize) -> DrainActions {
        if !self.waiting.is_empty() || running > 0 || self.stopped {
            return DrainActions::new();
        }
        self.stopped = true;
        DrainActions::from_iter([DrainAction::Stop(self.drain.clone())])
    }

    fn ask_idle(&mut self, now: Time) -> DrainActions {
        if self.answered || !self.waiting.is_empty() {
            return DrainActions::new();
        }
        self.answered = true;
        self.asked = Time::ZERO;
        self.advance(now)
    }
}

/// Requests on their way from one member to targets.
///
/// A request counts from the check of the view until the first byte of its
/// answer, or until its connection is closed for good: before that, it may
/// still reach the target after the target has said that it is idle.
#[derive(Debug, Clone, Default)]
pub struct Handovers {
    open: BTreeMap<String, usize>,
}

impl Handovers {
    /// A request was checked and is about to be handed to the target.
    pub fn begin(&mut self, target: &str) {
        *self.open.entry(target.to_owned()).or_default() += 1;
    }

    /// The target has begun to answer, or will never get the request.
    pub fn end(&mut self, target: &str) {
        if let Some(count) = self.open.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(target);
            }
        }
    }

    /// The answer to a question, if it can be given now.
    ///
    /// `held` is the view this member holds, and `draining` its drains.
    pub fn answer(&self, held: Seq, draining: &[Draining], ask: &Draining) -> Option<DrainMessage> {
        let holds = held >= ask.since && !self.open.contains_key(&ask.target);
        let drains = draining.contains(ask);
        // A drain that has ended meanwhile is not answered: its end is newer.
        (holds && drains).then(|| DrainMessage::Holds(ask.clone()))
    }

    /// Targets with a request on its way.
    pub fn targets(&self) -> BTreeSet<&str> {
        self.open.keys().map(String::as_str).collect()
    }
}
