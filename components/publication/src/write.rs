//! Writes single edits of the root to the store, on behalf of an operator.
//!
//! The state machines [`Editor`] and [`Publisher`] decide each step; this module
//! makes their store calls and enforces a deadline.

use std::time::Duration;

use chervilgate_clients::ObjectStore;
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{
    CallIds, EditId, Editor, EditorAction, StoreCall, StoreReply,
    publication::{Publisher, PublisherAction, PublisherActions},
    view::{Digest, Edit, EditError, PublicationId, ROOT_KEY, Root, SnapshotError},
};
use chervilgate_model::Config;
use futures_util::future::join_all;
use snafu::{ResultExt, Snafu};
use tokio::time::sleep;

use crate::to_snapshot;

/// Each editor makes a single edit.
const EDIT_ID: EditId = EditId(0);
/// Shortest pause before a state machine is advanced again.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Applies edits to the root, one at a time.
pub struct RootWriter<'a> {
    store: &'a dyn ObjectStore,
    clock: &'a dyn Clock,
    timeout: Duration,
    seed: u64,
}

/// Why an edit was not made, or why its outcome is unknown.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The store accepted no write before the deadline; nothing was changed.
    #[snafu(display("the platform's store does not answer; nothing was changed"))]
    NotApplied,
    /// A write was sent and its outcome was not known at the deadline.
    #[snafu(display("the platform's store stopped answering; the change may have been made"))]
    OutcomeUnknown,
    /// Another publication changed the base configuration; nothing was changed.
    #[snafu(display("another configuration was published concurrently; nothing was changed"))]
    Conflict {
        /// Ids of the objects that the other publication changed.
        objects: Vec<String>,
    },
    /// The outcome is unknown.
    ///
    /// So many other publications followed that the root no longer lists this one.
    #[snafu(display(
        "too many other publications were made concurrently; the change may have been made"
    ))]
    TooManyPublications,
    /// The edit is not valid for the current root.
    #[snafu(display("{source}; nothing was changed"))]
    Rejected {
        /// The underlying error.
        source: EditError,
    },
    /// The configuration is too large for the store.
    #[snafu(display("{source}; nothing was changed"))]
    TooLarge {
        /// The underlying error.
        source: SnapshotError,
    },
}

impl<'a> RootWriter<'a> {
    /// Creates a writer that gives up on an edit after `timeout`.
    ///
    /// `seed` must be unique for each process: it is the id of its publications
    /// and randomizes the delays between calls.
    pub fn new(
        store: &'a dyn ObjectStore,
        clock: &'a dyn Clock,
        timeout: Duration,
        seed: u64,
    ) -> RootWriter<'a> {
        RootWriter { store, clock, timeout, seed }
    }

    /// Applies an edit and returns the resulting root.
    ///
    /// # Errors
    /// If the edit was not made, or its outcome is unknown.
    pub async fn edit(&self, edit: Edit) -> Result<Root, WriteError> {
        let deadline = self.clock.now() + self.timeout;
        self.edit_before(edit, deadline).await
    }

    /// Publishes `config`, which is based on the configuration of the manifest `base`.
    ///
    /// # Errors
    /// If it was not published, or the outcome is unknown.
    pub async fn publish(&self, base: Option<Digest>, config: &Config) -> Result<Root, WriteError> {
        let deadline = self.clock.now() + self.timeout;
        let packed = to_snapshot(config).pack().context(TooLargeSnafu)?;
        let mut publisher = Publisher::new(PublicationId(self.seed), base, packed, self.seed);
        let mut ids = CallIds::from(0);
        let mut pending = publisher.advance(self.clock.now(), &mut ids);
        loop {
            let (calls, decisions) = split_calls(pending);
            pending = PublisherActions::new();
            let replies = calls.iter().map(|(_, call)| self.store.call(call));
            for ((id, _), reply) in calls.iter().zip(join_all(replies).await) {
                pending.extend(
                    publisher.reply(self.clock.now(), &mut ids, *id, &reply).unwrap_or_default(),
                );
            }
            for decision in decisions {
                match decision {
                    PublisherAction::Submit(edit) => match self.edit_before(edit, deadline).await {
                        Err(WriteError::Rejected { source }) => {
                            pending.extend(publisher.rejected(self.clock.now(), &mut ids, &source));
                        }
                        outcome => return outcome,
                    },
                    PublisherAction::Conflict { objects, .. } => {
                        return ConflictSnafu { objects }.fail();
                    }
                    PublisherAction::Unresolved => return TooManyPublicationsSnafu.fail(),
                    _ => {}
                }
            }
            if pending.is_empty() {
                // Only blobs were written so far; the root is unchanged.
                self.pause(deadline, publisher.wake_at(), false).await?;
                pending = publisher.advance(self.clock.now(), &mut ids);
            }
        }
    }

    async fn edit_before(&self, edit: Edit, deadline: Time) -> Result<Root, WriteError> {
        let mut editor: Editor<Root> = Editor::new(ROOT_KEY.to_owned(), self.seed);
        editor.submit(EDIT_ID, edit);
        let mut ids = CallIds::from(0);
        let mut pending = editor.advance(self.clock.now(), &mut ids);
        let mut maybe_written = false;
        loop {
            let mut next = None;
            for action in pending {
                match action {
                    EditorAction::Call { id, call, .. } => next = Some((id, call)),
                    EditorAction::Written { document, .. } => return Ok(document),
                    EditorAction::Rejected { error, .. } => {
                        return Err(error).context(RejectedSnafu);
                    }
                    EditorAction::Seen { .. } => {}
                }
            }
            let Some((id, call)) = next else {
                self.pause(deadline, editor.wake_at(), maybe_written).await?;
                pending = editor.advance(self.clock.now(), &mut ids);
                continue;
            };
            let reply = self.store.call(&call).await;
            // A later read without the edit proves nothing: the write may still arrive.
            maybe_written |=
                matches!((&call, &reply), (StoreCall::Put { .. }, StoreReply::Unknown));
            pending = editor.reply(self.clock.now(), &mut ids, id, &reply).unwrap_or_default();
        }
    }

    async fn pause(
        &self,
        deadline: Time,
        wake: Time,
        maybe_written: bool,
    ) -> Result<(), WriteError> {
        let now = self.clock.now();
        if now >= deadline || wake > deadline {
            return if maybe_written { OutcomeUnknownSnafu.fail() } else { NotAppliedSnafu.fail() };
        }
        sleep(wake.since(now).max(MIN_PAUSE)).await;
        Ok(())
    }
}

type Calls = Vec<(chervilgate_coord::CallId, StoreCall)>;

fn split_calls(actions: PublisherActions) -> (Calls, Vec<PublisherAction>) {
    let mut calls = Calls::new();
    let mut decisions = Vec::new();
    for action in actions {
        match action {
            PublisherAction::Call { id, call, .. } => calls.push((id, call)),
            decision => decisions.push(decision),
        }
    }
    (calls, decisions)
}
