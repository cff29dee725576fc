//! Publishes a configuration.
//!
//! A publisher first uploads the snapshot's blobs to the store, then updates
//! the root. If its base configuration is no longer in force, it reports the
//! objects that differ. A rollback publishes an older snapshot; withdrawn keys
//! stay withdrawn.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::decode,
    step::{Protocol, Step},
    store::{CallId, CallIds, Expect, StoreCall, StoreReply},
    view::{
        Blob, Digest, Edit, EditError, Manifest, PackedSnapshot, PublicationId, Seq, Snapshot,
        blob_key,
    },
};

/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 4;

/// The first delay after a failed call.
const INITIAL_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// The longest delay after a failed call.
const MAX_DELAY: std::time::Duration = std::time::Duration::from_secs(2);

/// An action or result of a [`Publisher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherAction {
    /// Make this call to the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Add this blob to the local view, so that other nodes can fetch it from here.
    AddBlob(Blob),
    /// Submit this edit to the [`ViewManager`](crate::view::ViewManager) and pass on its outcome.
    Submit(Edit),
    /// The configuration is accepted.
    Accepted(Seq),
    /// Another configuration was published first; this one was not.
    Conflict {
        /// Names of objects that differ between the base and the configuration in force.
        objects: Vec<String>,
        /// The manifest of the configuration in force.
        in_force: Option<Digest>,
    },
    /// Too many configurations were published since to tell whether this one was
    /// in force in between.
    Unresolved,
}

/// The actions returned by one method call.
pub type PublisherActions = SmallVec<[PublisherAction; 4]>;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Uploading,
    WritingRoot,
    Comparing { in_force: Option<Digest> },
    Finished,
}

/// One attempt to publish a configuration.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: PublicationId,
    base: Option<Digest>,
    manifest: Digest,
    stage: Stage,
    uploads: BTreeMap<Digest, Blob>,
    unread_blobs: BTreeSet<Digest>,
    blobs: BTreeMap<Digest, Vec<u8>>,
    in_flight: BTreeMap<CallId, Digest>,
    backoff: Backoff,
    retry_at: Time,
}

impl Publisher {
    /// Creates an attempt to publish `packed` in place of the configuration `base`.
    ///
    /// `base` is the digest of a manifest; `seed` seeds the jitter of the retry delays.
    pub fn new(
        id: PublicationId,
        base: Option<Digest>,
        packed: PackedSnapshot,
        seed: u64,
    ) -> Publisher {
        let manifest = packed.manifest.digest();
        let blobs = packed.buckets.into_iter().chain([packed.manifest]);
        Publisher {
            id,
            base,
            manifest,
            stage: Stage::Uploading,
            uploads: blobs.map(|blob| (blob.digest(), blob)).collect(),
            unread_blobs: BTreeSet::new(),
            blobs: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY, seed),
            retry_at: Time::ZERO,
        }
    }

    /// Whether the attempt has an outcome.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// When [`Publisher::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let makes_calls = matches!(self.stage, Stage::Uploading | Stage::Comparing { .. });
        if makes_calls && self.in_flight.is_empty() { self.retry_at } else { Time::NEVER }
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> PublisherActions {
        let mut actions = PublisherActions::new();
        match self.stage.clone() {
            Stage::Uploading => self.upload(now, ids, &mut actions),
            Stage::Comparing { in_force } => self.compare(now, ids, in_force, &mut actions),
            Stage::WritingRoot | Stage::Finished => {}
        }
        actions
    }

    /// Handles a reply; returns `None` if another state machine made the call or the reply is late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<PublisherActions> {
        let digest = self.in_flight.remove(&id)?;
        let mut actions = PublisherActions::new();
        match reply {
            // Blobs are named by their digest, so an existing one has the same content.
            StoreReply::Written(_) | StoreReply::Conflict(Some(_)) => {
                self.backoff.reset();
                if let Some(blob) = self.uploads.remove(&digest) {
                    actions.push(PublisherAction::AddBlob(blob));
                }
            }
            StoreReply::Found(Some(object)) => {
                self.backoff.reset();
                self.unread_blobs.remove(&digest);
                self.blobs.insert(digest, object.value.clone());
            }
            _ => self.retry_at = now + self.backoff.next_delay(),
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    /// Handles the acceptance of the submitted edit.
    pub fn accepted(&mut self, seq: Seq) -> PublisherActions {
        self.stage = Stage::Finished;
        PublisherActions::from_iter([PublisherAction::Accepted(seq)])
    }

    /// Handles the rejection of the submitted edit.
    pub fn rejected(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        error: &EditError,
    ) -> PublisherActions {
        let EditError::BaseReplaced { in_force } = error else {
            self.stage = Stage::Finished;
            return PublisherActions::from_iter([PublisherAction::Unresolved]);
        };
        self.stage = Stage::Comparing { in_force: *in_force };
        self.unread_blobs = self.base.iter().chain(in_force).copied().collect();
        self.advance(now, ids)
    }

    fn upload(&mut self, now: Time, ids: &mut CallIds, actions: &mut PublisherActions) {
        if self.uploads.is_empty() && self.in_flight.is_empty() {
            self.stage = Stage::WritingRoot;
            let (id, base, manifest) = (self.id, self.base, self.manifest);
            actions.push(PublisherAction::Submit(Edit::Publish { id, base, manifest }));
            return;
        }
        if now < self.retry_at {
            return;
        }
        let digests: Vec<Digest> = self.next_digests(self.uploads.keys());
        for digest in digests {
            let Some(blob) = self.uploads.get(&digest) else {
                continue;
            };
            let call = StoreCall::Put {
                key: blob_key(&digest),
                expect: Expect::Absent,
                value: blob.bytes().to_vec(),
            };
            self.start_call(ids, digest, "write blob", call, actions);
        }
    }

    fn compare(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        in_force: Option<Digest>,
        actions: &mut PublisherActions,
    ) {
        if self.unread_blobs.is_empty() {
            let (old, new) = (self.buckets(self.base), self.buckets(in_force));
            let differing: BTreeSet<Digest> = old.symmetric_difference(&new).copied().collect();
            self.unread_blobs = differing
                .into_iter()
                .filter(|blob_digest| !self.blobs.contains_key(blob_digest))
                .collect();
            if self.unread_blobs.is_empty() {
                let objects =
                    self.unshared_objects(&old, &new).diff(&self.unshared_objects(&new, &old));
                self.stage = Stage::Finished;
                actions.push(PublisherAction::Conflict { objects, in_force });
                return;
            }
        }
        if now < self.retry_at {
            return;
        }
        for digest in self.next_digests(self.unread_blobs.iter()) {
            let call = StoreCall::Get { key: blob_key(&digest) };
            self.start_call(ids, digest, "read blob", call, actions);
        }
    }

    fn next_digests<'a>(&self, digests: impl Iterator<Item = &'a Digest>) -> Vec<Digest> {
        let capacity = MAX_CALLS.saturating_sub(self.in_flight.len());
        let has_call = |digest: &&Digest| self.in_flight.values().any(|pending| pending == *digest);
        digests.filter(|digest| !has_call(digest)).take(capacity).copied().collect()
    }

    fn buckets(&self, manifest: Option<Digest>) -> BTreeSet<Digest> {
        let bytes = manifest.and_then(|digest| self.blobs.get(&digest));
        let read = bytes.and_then(|bytes| Manifest::read(bytes).ok());
        read.map(|manifest| manifest.buckets.into_iter().collect()).unwrap_or_default()
    }

    /// The objects in the buckets that are not in `other`.
    fn unshared_objects(&self, buckets: &BTreeSet<Digest>, other: &BTreeSet<Digest>) -> Snapshot {
        let blobs = buckets.difference(other).filter_map(|digest| self.blobs.get(digest));
        let parts = blobs.filter_map(|bytes| decode::<BTreeMap<String, Vec<u8>>>(bytes).ok());
        Snapshot { objects: parts.flatten().collect() }
    }

    fn start_call(
        &mut self,
        ids: &mut CallIds,
        digest: Digest,
        name: &'static str,
        call: StoreCall,
        actions: &mut PublisherActions,
    ) {
        let id = ids.next_id();
        self.in_flight.insert(id, digest);
        let step = Step::new(Protocol::Publication, name);
        actions.push(PublisherAction::Call { id, step, call });
    }
}
