//! Objects that several processes edit by conditional updates.
//!
//! An editor reads the object, makes the edits that fit and writes it under
//! the version it read. Edits that wait for the same write share it. A lost
//! answer is resolved by reading the object back and looking for the edits in
//! it; a late write cannot take effect after another one, since it names the
//! version it replaces. Nothing read is kept once no edit waits: an edit is not
//! judged by a document older than the round it joined.

use std::time::Duration;

use chervilgate_clock::Time;
use serde::{Serialize, de::DeserializeOwned};
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    step::Step,
    store::{CallId, CallIds, Expect, Key, Object, StoreCall, StoreReply, Version},
};

/// The first delay after a call that failed.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// The longest delay between calls.
const MOST_DELAY: Duration = Duration::from_secs(2);

/// An object that is edited.
pub trait Document: Clone + Default + Serialize + DeserializeOwned {
    /// A change to it.
    type Edit;

    /// Why a change does not fit.
    type Error;

    /// Whether the change has been made.
    fn contains(&self, edit: &Self::Edit) -> bool;

    /// Begins a new revision, before the changes that it is to hold.
    fn revise(&mut self) {}

    /// Makes a change within the present revision.
    ///
    /// # Errors
    ///
    /// Fails if the change does not fit; the document must then be as before.
    fn apply(&mut self, edit: &Self::Edit) -> Result<(), Self::Error>;

    /// The step by which the change is read or written.
    fn step(edit: &Self::Edit, access: Access) -> Step;
}

/// A call of an editor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Reading the object, at first or after a lost answer.
    Read,
    /// Writing it.
    Write,
}

/// Matches an edit with its outcome; chosen by whoever submits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditId(pub u64);

/// What an editor wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditorAction<D, E> {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The platform holds the edit, in this document or an earlier one.
    Written {
        /// The edit.
        edit: EditId,
        /// The document as it was found or written.
        document: D,
    },
    /// The edit was not made and will not be.
    Rejected {
        /// The edit.
        edit: EditId,
        /// Why.
        error: E,
    },
    /// The platform held this document at some time after `asked`.
    Seen {
        /// The document.
        document: D,
        /// When the call that read or wrote it was made.
        asked: Time,
    },
}

/// Actions of one step.
pub type EditorActions<D> = SmallVec<[EditorAction<D, <D as Document>::Error>; 4]>;

#[derive(Debug, Clone)]
enum Flight<D> {
    Reading,
    Writing { count: usize, document: D },
}

/// Makes one process's edits to one document.
#[derive(Debug, Clone)]
pub struct Editor<D: Document> {
    key: Key,
    queue: Vec<(EditId, D::Edit)>,
    known: Option<(Option<Version>, D)>,
    flight: Option<(CallId, Time, Flight<D>)>,
    backoff: Backoff,
    retry_at: Time,
}

impl<D: Document> Editor<D> {
    /// An editor of the object `key`; `seed` is for the jitter of its delays.
    pub fn new(key: Key, seed: u64) -> Editor<D> {
        Editor {
            key,
            queue: Vec::new(),
            known: None,
            flight: None,
            backoff: Backoff::new(FIRST_DELAY, MOST_DELAY, seed),
            retry_at: Time::ZERO,
        }
    }

    /// Adds an edit.
    pub fn submit(&mut self, id: EditId, edit: D::Edit) {
        self.queue.push((id, edit));
    }

    /// Drops an edit that nobody waits for; a write under way may still make it.
    pub fn cancel(&mut self, id: EditId) {
        if let Some((_, _, Flight::Writing { count, .. })) = &mut self.flight {
            let written = &self.queue[..*count];
            *count -= written.iter().filter(|(queued, _)| *queued == id).count();
        }
        self.queue.retain(|(queued, _)| *queued != id);
    }

    /// Whether an edit is still to be decided.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When [`Editor::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        match self.flight.is_none() && self.is_busy() {
            true => self.retry_at,
            false => Time::NEVER,
        }
    }

    /// Makes the next call, if one is due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> EditorActions<D> {
        let mut actions = EditorActions::<D>::new();
        if self.flight.is_some() || now < self.retry_at {
            return actions;
        }
        let Some((version, present)) = &self.known else {
            if let Some((_, edit)) = self.queue.first() {
                let step = D::step(edit, Access::Read);
                let call = StoreCall::Get { key: self.key.clone() };
                actions.push(self.fly(now, ids, step, call, Flight::Reading));
            }
            return actions;
        };
        let expect = version.map_or(Expect::Absent, Expect::At);
        let (document, count) = draft(present, &mut self.queue, &mut actions);
        let Some((_, edit)) = self.queue.first() else {
            return actions;
        };
        let step = D::step(edit, Access::Write);
        let call = StoreCall::Put { key: self.key.clone(), expect, value: encode(&document) };
        actions.push(self.fly(now, ids, step, call, Flight::Writing { count, document }));
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<EditorActions<D>> {
        let (_, asked, flight) = self.flight.take_if(|(flying, _, _)| *flying == id)?;
        let mut actions = EditorActions::<D>::new();
        match (flight, reply) {
            (Flight::Reading, StoreReply::Found(object))
            | (Flight::Writing { .. }, StoreReply::Conflict(object)) => {
                self.learn(object.as_ref(), asked, &mut actions);
            }
            (Flight::Writing { count, document }, StoreReply::Written(version)) => {
                self.backoff.reset();
                for (edit, _) in self.queue.drain(..count) {
                    actions.push(EditorAction::Written { edit, document: document.clone() });
                }
                actions.push(EditorAction::Seen { document: document.clone(), asked });
                self.known = Some((Some(*version), document));
            }
            _ => {
                self.known = None;
                self.retry_at = now + self.backoff.fail();
            }
        }
        actions.extend(self.advance(now, ids));
        if self.queue.is_empty() {
            self.known = None;
        }
        Some(actions)
    }

    fn learn(&mut self, object: Option<&Object>, asked: Time, actions: &mut EditorActions<D>) {
        self.backoff.reset();
        let Some(object) = object else {
            self.known = Some((None, D::default()));
            return;
        };
        match decode::<D>(&object.value) {
            Ok(document) => {
                actions.push(EditorAction::Seen { document: document.clone(), asked });
                self.known = Some((Some(object.version), document));
            }
            Err(error) => {
                log::error!(target: "document", key = self.key.as_str(), error:% = error; "does not decode");
                self.retry_at = asked + MOST_DELAY;
            }
        }
    }

    fn fly(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        step: Step,
        call: StoreCall,
        flight: Flight<D>,
    ) -> EditorAction<D, D::Error> {
        let id = ids.next_id();
        self.flight = Some((id, now, flight));
        EditorAction::Call { id, step, call }
    }
}

/// The next revision with every edit that fits; the others are decided.
fn draft<D: Document>(
    present: &D,
    queue: &mut Vec<(EditId, D::Edit)>,
    actions: &mut EditorActions<D>,
) -> (D, usize) {
    let mut document = present.clone();
    document.revise();
    queue.retain(|(edit, change)| {
        if present.contains(change) {
            let document = present.clone();
            actions.push(EditorAction::Written { edit: *edit, document });
            return false;
        }
        let Err(error) = document.apply(change) else {
            return true;
        };
        actions.push(EditorAction::Rejected { edit: *edit, error });
        false
    });
    (document, queue.len())
}
