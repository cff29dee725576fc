//! Writing to the store as an operator does: one edit, then done.
//!
//! The machines of [`chervilgate_coord`] decide each step; this module makes
//! their calls and gives up after a time.

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

/// The only edit of a writer's editor.
const EDIT: EditId = EditId(0);
/// Pause when a machine has nothing to do yet.
const IDLE_PAUSE: Duration = Duration::from_millis(10);

/// Makes one edit after another.
pub struct RootWriter<'a> {
    store: &'a dyn ObjectStore,
    clock: &'a dyn Clock,
    limit: Duration,
    seed: u64,
}

/// Why an edit was not made, or may not have been.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The store did not take the call; nothing was changed.
    #[snafu(display("the platform's store does not answer; nothing was changed"))]
    NotMade,
    /// A write was sent and no answer came before the time was over.
    #[snafu(display("the platform's store stopped answering; the change may have been made"))]
    Unknown,
    /// Another configuration was published meanwhile; nothing was changed.
    #[snafu(display("another configuration was published meanwhile; nothing was changed"))]
    Conflict {
        /// The objects that the other publication changed.
        objects: Vec<String>,
    },
    /// So many others were published that the outcome cannot be told any more.
    #[snafu(display("too many others published meanwhile; the change may have been made"))]
    Unresolved,
    /// The edit does not fit.
    #[snafu(display("{source}; nothing was changed"))]
    Rejected {
        /// The cause.
        source: EditError,
    },
    /// The configuration does not fit into the store.
    #[snafu(display("{source}; nothing was changed"))]
    Oversize {
        /// The cause.
        source: SnapshotError,
    },
}

impl<'a> RootWriter<'a> {
    /// A writer that gives up on an edit after `limit`.
    ///
    /// `seed` must differ from process to process: it names publications and
    /// spreads the delays between calls.
    pub fn new(
        store: &'a dyn ObjectStore,
        clock: &'a dyn Clock,
        limit: Duration,
        seed: u64,
    ) -> RootWriter<'a> {
        RootWriter { store, clock, limit, seed }
    }

    /// Makes an edit; the root that holds it.
    ///
    /// # Errors
    /// If it was not made, or nobody can tell.
    pub async fn edit(&self, edit: Edit) -> Result<Root, WriteError> {
        let until = self.clock.now() + self.limit;
        self.edit_until(edit, until).await
    }

    /// Publishes `config`, made from the configuration of the manifest `base`.
    ///
    /// # Errors
    /// If it was not published, or nobody can tell.
    pub async fn publish(&self, base: Option<Digest>, config: &Config) -> Result<Root, WriteError> {
        let until = self.clock.now() + self.limit;
        let packed = to_snapshot(config).pack().context(OversizeSnafu)?;
        let mut publisher = Publisher::new(PublicationId(self.seed), base, packed, self.seed);
        let mut ids = CallIds::from(0);
        let mut due = publisher.advance(self.clock.now(), &mut ids);
        loop {
            let (calls, decisions) = split(due);
            due = PublisherActions::new();
            let replies = calls.iter().map(|(_, call)| self.store.call(call));
            for ((id, _), reply) in calls.iter().zip(join_all(replies).await) {
                due.extend(
                    publisher.reply(self.clock.now(), &mut ids, *id, &reply).unwrap_or_default(),
                );
            }
            for decision in decisions {
                match decision {
                    PublisherAction::Submit(edit) => match self.edit_until(edit, until).await {
                        Err(WriteError::Rejected { source }) => {
                            due.extend(publisher.rejected(self.clock.now(), &mut ids, &source));
                        }
                        outcome => return outcome,
                    },
                    PublisherAction::Conflict { objects, .. } => {
                        return ConflictSnafu { objects }.fail();
                    }
                    PublisherAction::Unresolved => return UnresolvedSnafu.fail(),
                    _ => {}
                }
            }
            if due.is_empty() {
                // Blobs alone change nothing: the root has not been touched.
                self.pause(until, publisher.wake_at(), false).await?;
                due = publisher.advance(self.clock.now(), &mut ids);
            }
        }
    }

    async fn edit_until(&self, edit: Edit, until: Time) -> Result<Root, WriteError> {
        let mut editor: Editor<Root> = Editor::new(ROOT_KEY.to_owned(), self.seed);
        editor.submit(EDIT, edit);
        let mut ids = CallIds::from(0);
        let mut due = editor.advance(self.clock.now(), &mut ids);
        let mut doubtful = false;
        loop {
            let mut next = None;
            for action in due {
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
                self.pause(until, editor.wake_at(), doubtful).await?;
                due = editor.advance(self.clock.now(), &mut ids);
                continue;
            };
            let reply = self.store.call(&call).await;
            // Even after a read without the edit, the write may still be on its way.
            doubtful |= matches!((&call, &reply), (StoreCall::Put { .. }, StoreReply::Unknown));
            due = editor.reply(self.clock.now(), &mut ids, id, &reply).unwrap_or_default();
        }
    }

    async fn pause(&self, until: Time, wake: Time, doubtful: bool) -> Result<(), WriteError> {
        let now = self.clock.now();
        if now >= until || wake > until {
            return if doubtful { UnknownSnafu.fail() } else { NotMadeSnafu.fail() };
        }
        sleep(wake.since(now).max(IDLE_PAUSE)).await;
        Ok(())
    }
}

type Calls = Vec<(chervilgate_coord::CallId, StoreCall)>;

fn split(actions: PublisherActions) -> (Calls, Vec<PublisherAction>) {
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
