//! Moves the root on by conditional updates.
//!
//! Edits that wait for the same write share it. A lost answer is resolved by
//! reading the root back and looking for the edits in it; a late write cannot
//! take effect after another one, since it names the version it replaces.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    step::{Protocol, Step},
    store::{CallId, CallIds, Expect, Object, StoreCall, StoreReply, Version},
    view::root::{Edit, EditError, ROOT_KEY, Root, Seq},
};

/// The first delay after a call that failed.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// The longest delay between calls.
const MOST_DELAY: Duration = Duration::from_secs(2);

/// Matches an edit with its outcome; chosen by whoever submits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditId(pub u64);

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The platform holds it, at this root or an earlier one.
    Written(Seq),
    /// It was not made and will not be.
    Rejected(EditError),
}

/// What the writer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriterAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// An edit is decided.
    Settled {
        /// The edit.
        edit: EditId,
        /// What became of it.
        outcome: EditOutcome,
    },
    /// The platform held this root at some time after `asked`.
    Seen {
        /// The root.
        root: Box<Root>,
        /// When the call that read it was made.
        asked: Time,
    },
}

/// Actions of one step.
pub type WriterActions = SmallVec<[WriterAction; 4]>;

#[derive(Debug, Clone)]
struct Known {
    version: Option<Version>,
    root: Root,
}

#[derive(Debug, Clone)]
enum Flight {
    Reading,
    Writing { count: usize, root: Box<Root> },
}

/// Writes the edits of one node to the root.
#[derive(Debug, Clone)]
pub struct RootWriter {
    queue: Vec<(EditId, Edit)>,
    known: Option<Known>,
    flight: Option<(CallId, Time, Flight)>,
    backoff: Backoff,
    retry_at: Time,
}

impl RootWriter {
    /// A writer without edits; `seed` is for the jitter of its delays.
    pub fn new(seed: u64) -> RootWriter {
        RootWriter {
            queue: Vec::new(),
            known: None,
            flight: None,
            backoff: Backoff::new(FIRST_DELAY, MOST_DELAY, seed),
            retry_at: Time::ZERO,
        }
    }

    /// Adds an edit.
    pub fn submit(&mut self, id: EditId, edit: Edit) {
        self.queue.push((id, edit));
    }

    /// Whether an edit is still to be decided.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When [`RootWriter::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        match self.flight.is_none() && self.is_busy() {
            true => self.retry_at,
            false => Time::NEVER,
        }
    }

    /// Makes the next call, if one is due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> WriterActions {
        let mut actions = WriterActions::new();
        if self.flight.is_some() || now < self.retry_at {
            return actions;
        }
        let Some(known) = self.known.clone() else {
            if let Some((_, edit)) = self.queue.first() {
                let call = StoreCall::Get { key: ROOT_KEY.to_owned() };
                let step = Step::new(protocol_of(edit), "read root");
                self.fly(now, ids, step, call, Flight::Reading, &mut actions);
            }
            return actions;
        };
        let (root, count) = self.draft(&known.root, &mut actions);
        let Some((_, edit)) = self.queue.first() else {
            return actions;
        };
        let step = Step::new(protocol_of(edit), "write root");
        let call = StoreCall::Put {
            key: ROOT_KEY.to_owned(),
            expect: known.version.map_or(Expect::Absent, Expect::At),
            value: encode(&root),
        };
        let flight = Flight::Writing { count, root: Box::new(root) };
        self.fly(now, ids, step, call, flight, &mut actions);
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<WriterActions> {
        let (_, asked, flight) = self.flight.take_if(|(flying, _, _)| *flying == id)?;
        let mut actions = WriterActions::new();
        match (flight, reply) {
            (Flight::Reading, StoreReply::Found(object)) => {
                self.learn(object.as_ref(), asked, &mut actions);
            }
            (Flight::Writing { .. }, StoreReply::Conflict(object)) => {
                self.learn(object.as_ref(), asked, &mut actions);
            }
            (Flight::Writing { count, root }, StoreReply::Written(version)) => {
                self.backoff.reset();
                self.settle_written(count, root.seq, &mut actions);
                actions.push(WriterAction::Seen { root: root.clone(), asked });
                self.known = Some(Known { version: Some(*version), root: *root });
            }
            _ => {
                self.known = None;
                self.retry_at = now + self.backoff.fail();
            }
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    fn learn(&mut self, object: Option<&Object>, asked: Time, actions: &mut WriterActions) {
        self.backoff.reset();
        let root = object.map(|object| decode::<Root>(&object.value));
        let root = match root {
            None => Root::default(),
            Some(Ok(root)) => root,
            Some(Err(error)) => {
                log::error!(target: "view", error:% = error; "root does not decode");
                return;
            }
        };
        if root.seq > Seq(0) {
            actions.push(WriterAction::Seen { root: Box::new(root.clone()), asked });
        }
        self.known = Some(Known { version: object.map(|object| object.version), root });
    }

    /// The next root with every edit that fits; the others are decided.
    fn draft(&mut self, present: &Root, actions: &mut WriterActions) -> (Root, usize) {
        let mut root = present.clone();
        root.seq = Seq(present.seq.0 + 1);
        let mut count = 0;
        self.queue.retain(|(id, edit)| {
            let outcome = if present.contains(edit) {
                EditOutcome::Written(present.seq)
            } else {
                match root.apply(Seq(present.seq.0 + 1), edit) {
                    Ok(()) => {
                        count += 1;
                        return true;
                    }
                    Err(error) => EditOutcome::Rejected(error),
                }
            };
            actions.push(WriterAction::Settled { edit: *id, outcome });
            false
        });
        (root, count)
    }

    fn settle_written(&mut self, count: usize, seq: Seq, actions: &mut WriterActions) {
        for (edit, _) in self.queue.drain(..count) {
            actions.push(WriterAction::Settled { edit, outcome: EditOutcome::Written(seq) });
        }
    }

    fn fly(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        step: Step,
        call: StoreCall,
        flight: Flight,
        actions: &mut WriterActions,
    ) {
        let id = ids.next_id();
        self.flight = Some((id, now, flight));
        actions.push(WriterAction::Call { id, step, call });
    }
}

fn protocol_of(edit: &Edit) -> Protocol {
    match edit {
        Edit::Publish { .. } => Protocol::Publication,
        Edit::Withdraw(_) => Protocol::Withdrawal,
        Edit::Drain(_) | Edit::EndDrain(_) => Protocol::Drain,
        Edit::Elect(_) | Edit::Settle(_) => Protocol::Membership,
    }
}
