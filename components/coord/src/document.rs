//! Objects that several processes edit by conditional writes.
//!
//! An editor reads the object, applies the valid edits and writes the object on
//! condition that its version is still the one that was read. Queued edits are
//! written together. After a lost reply the editor reads the object again and
//! checks which edits it contains; a delayed write cannot take effect after
//! another write, since it names the version that it replaces. The cached
//! document is dropped once the queue is empty, so that a new edit is never
//! checked against an old document.

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

/// The first delay after a failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// The longest delay after a failed call, and the delay after an object that cannot be decoded.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The content of an object that an [`Editor`] changes.
pub trait Document: Clone + Default + Serialize + DeserializeOwned {
    /// A change to the document.
    type Edit;

    /// Why a change cannot be applied.
    type Error;

    /// Whether the document already contains the change.
    fn contains(&self, edit: &Self::Edit) -> bool;

    /// Starts a new revision; called once before the changes that are written together.
    fn begin_revision(&mut self) {}

    /// Applies a change to the current revision.
    ///
    /// # Errors
    ///
    /// Fails if the change cannot be applied; the document must then be unchanged.
    fn apply(&mut self, edit: &Self::Edit) -> Result<(), Self::Error>;

    /// The protocol step of the call that reads or writes the document for this change.
    fn step(edit: &Self::Edit, access: Access) -> Step;
}

/// The kind of an editor's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Reads the object, initially or after a lost reply.
    Read,
    /// Writes the object.
    Write,
}

/// Matches an edit with its outcome; chosen by the submitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditId(pub u64);

/// An action or result of an [`Editor`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditorAction<D, E> {
    /// Make this call to the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// The store contains the edit, in this document or an earlier revision.
    Written {
        /// The edit.
        edit: EditId,
        /// The document as it was read or written.
        document: D,
    },
    /// The edit was rejected and will not be written.
    Rejected {
        /// The edit.
        edit: EditId,
        /// The reason.
        error: E,
    },
    /// The store held this document at some point after `called_at`.
    Seen {
        /// The document.
        document: D,
        /// When the call that read or wrote it was made.
        called_at: Time,
    },
}

/// The actions returned by one method call.
pub type EditorActions<D> = SmallVec<[EditorAction<D, <D as Document>::Error>; 4]>;

#[derive(Debug, Clone)]
enum InFlight<D> {
    Reading,
    Writing { count: usize, document: D },
}

/// Writes one process's edits to one document.
#[derive(Debug, Clone)]
pub struct Editor<D: Document> {
    key: Key,
    queue: Vec<(EditId, D::Edit)>,
    latest: Option<(Option<Version>, D)>,
    in_flight: Option<(CallId, Time, InFlight<D>)>,
    backoff: Backoff,
    retry_at: Time,
}

impl<D: Document> Editor<D> {
    /// Creates an editor of the object `key`; `seed` seeds the jitter of its retry delays.
    pub fn new(key: Key, seed: u64) -> Editor<D> {
        Editor {
            key,
            queue: Vec::new(),
            latest: None,
            in_flight: None,
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY, seed),
            retry_at: Time::ZERO,
        }
    }

    /// Queues an edit.
    pub fn submit(&mut self, id: EditId, edit: D::Edit) {
        self.queue.push((id, edit));
    }

    /// Removes an edit from the queue; a write in flight may still store it.
    pub fn cancel(&mut self, id: EditId) {
        if let Some((_, _, InFlight::Writing { count, .. })) = &mut self.in_flight {
            let written = &self.queue[..*count];
            *count -= written.iter().filter(|(queued, _)| *queued == id).count();
        }
        self.queue.retain(|(queued, _)| *queued != id);
    }

    /// Whether the queue contains an edit without an outcome.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When [`Editor::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        match self.in_flight.is_none() && self.is_busy() {
            true => self.retry_at,
            false => Time::NEVER,
        }
    }

    /// Makes the next call if it is due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> EditorActions<D> {
        let mut actions = EditorActions::<D>::new();
        if self.in_flight.is_some() || now < self.retry_at {
            return actions;
        }
        let Some((version, base)) = &self.latest else {
            if let Some((_, edit)) = self.queue.first() {
                let step = D::step(edit, Access::Read);
                let call = StoreCall::Get { key: self.key.clone() };
                actions.push(self.start_call(now, ids, step, call, InFlight::Reading));
            }
            return actions;
        };
        let expect = version.map_or(Expect::Absent, Expect::At);
        let (document, count) = apply_queue(base, &mut self.queue, &mut actions);
        let Some((_, edit)) = self.queue.first() else {
            return actions;
        };
        let step = D::step(edit, Access::Write);
        let call = StoreCall::Put { key: self.key.clone(), expect, value: encode(&document) };
        actions.push(self.start_call(now, ids, step, call, InFlight::Writing { count, document }));
        actions
    }

    /// Handles a reply; returns `None` if another state machine made the call or the reply is late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<EditorActions<D>> {
        let (_, called_at, in_flight) = self.in_flight.take_if(|(pending, _, _)| *pending == id)?;
        let mut actions = EditorActions::<D>::new();
        match (in_flight, reply) {
            (InFlight::Reading, StoreReply::Found(object))
            | (InFlight::Writing { .. }, StoreReply::Conflict(object)) => {
                self.record_read(object.as_ref(), called_at, &mut actions);
            }
            (InFlight::Writing { count, document }, StoreReply::Written(version)) => {
                self.backoff.reset();
                for (edit, _) in self.queue.drain(..count) {
                    actions.push(EditorAction::Written { edit, document: document.clone() });
                }
                actions.push(EditorAction::Seen { document: document.clone(), called_at });
                self.latest = Some((Some(*version), document));
            }
            _ => {
                self.latest = None;
                self.retry_at = now + self.backoff.next_delay();
            }
        }
        actions.extend(self.advance(now, ids));
        if self.queue.is_empty() {
            self.latest = None;
        }
        Some(actions)
    }

    fn record_read(
        &mut self,
        object: Option<&Object>,
        called_at: Time,
        actions: &mut EditorActions<D>,
    ) {
        self.backoff.reset();
        let Some(object) = object else {
            self.latest = Some((None, D::default()));
            return;
        };
        match decode::<D>(&object.value) {
            Ok(document) => {
                actions.push(EditorAction::Seen { document: document.clone(), called_at });
                self.latest = Some((Some(object.version), document));
            }
            Err(error) => {
                log::error!(
                    target: "document", key = self.key.as_str(), error:% = error;
                    "cannot decode document"
                );
                self.retry_at = called_at + MAX_DELAY;
            }
        }
    }

    fn start_call(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        step: Step,
        call: StoreCall,
        in_flight: InFlight<D>,
    ) -> EditorAction<D, D::Error> {
        let id = ids.next_id();
        self.in_flight = Some((id, now, in_flight));
        EditorAction::Call { id, step, call }
    }
}

/// Builds the next revision from the queued edits and returns it with their number.
///
/// Removes edits that the document already contains or that cannot be applied, and reports them.
fn apply_queue<D: Document>(
    base: &D,
    queue: &mut Vec<(EditId, D::Edit)>,
    actions: &mut EditorActions<D>,
) -> (D, usize) {
    let mut document = base.clone();
    document.begin_revision();
    queue.retain(|(edit, change)| {
        if base.contains(change) {
            let document = base.clone();
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
