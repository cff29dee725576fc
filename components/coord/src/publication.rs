//! Publishes a configuration.
//!
//! The snapshot's blobs go to the platform first, then the root is moved on. A
//! publisher whose base is no longer in force is told which objects differ. A
//! rollback is a publication of an older snapshot and withdraws nothing less.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::decode,
    step::{Protocol, Step},
    store::{CallId, CallIds, Expect, StoreCall, StoreReply},
    view::{
        Blob, Digest, Edit, EditError, Manifest, Packed, PublicationId, Seq, Snapshot, blob_key,
    },
};

/// Calls under way at the same time.
const MOST_CALLS: usize = 4;

/// The first delay after a call that failed.
const FIRST_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// The longest delay after a call that failed.
const MOST_DELAY: std::time::Duration = std::time::Duration::from_secs(2);

/// What a publisher wants done, or has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublisherAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Hold this blob for other nodes.
    Hold(Blob),
    /// Submit this edit to the keeper, and return its outcome.
    Submit(Edit),
    /// The configuration is accepted.
    Accepted(Seq),
    /// Another configuration was published meanwhile; nothing was changed.
    Conflict {
        /// Objects that differ between the base and what is in force.
        objects: Vec<String>,
        /// The manifest in force.
        present: Option<Digest>,
    },
    /// So many others were published meanwhile that nobody can tell any more
    /// whether this one was in force for a while.
    Unresolved,
}

/// Actions of one step.
pub type PublisherActions = SmallVec<[PublisherAction; 4]>;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Uploading,
    Moving,
    Comparing { present: Option<Digest> },
    Ended,
}

/// One attempt to publish.
#[derive(Debug, Clone)]
pub struct Publisher {
    id: PublicationId,
    base: Option<Digest>,
    manifest: Digest,
    stage: Stage,
    uploads: BTreeMap<Digest, Blob>,
    reads: BTreeSet<Digest>,
    blobs: BTreeMap<Digest, Vec<u8>>,
    flying: BTreeMap<CallId, Digest>,
    backoff: Backoff,
    retry_at: Time,
}

impl Publisher {
    /// Publishes `packed`, made from the configuration `base`.
    pub fn new(id: PublicationId, base: Option<Digest>, packed: Packed, seed: u64) -> Publisher {
        let manifest = packed.manifest.digest();
        let blobs = packed.buckets.into_iter().chain([packed.manifest]);
        Publisher {
            id,
            base,
            manifest,
            stage: Stage::Uploading,
            uploads: blobs.map(|blob| (blob.digest(), blob)).collect(),
            reads: BTreeSet::new(),
            blobs: BTreeMap::new(),
            flying: BTreeMap::new(),
            backoff: Backoff::new(FIRST_DELAY, MOST_DELAY, seed),
            retry_at: Time::ZERO,
        }
    }

    /// Whether the attempt is decided.
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// When [`Publisher::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let works = matches!(self.stage, Stage::Uploading | Stage::Comparing { .. });
        if works && self.flying.is_empty() { self.retry_at } else { Time::NEVER }
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> PublisherActions {
        let mut actions = PublisherActions::new();
        match self.stage.clone() {
            Stage::Uploading => self.upload(now, ids, &mut actions),
            Stage::Comparing { present } => self.compare(now, ids, present, &mut actions),
            Stage::Moving | Stage::Ended => {}
        }
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<PublisherActions> {
        let digest = self.flying.remove(&id)?;
        let mut actions = PublisherActions::new();
        match reply {
            // A blob of this name has this content, whoever wrote it.
            StoreReply::Written(_) | StoreReply::Conflict(Some(_)) => {
                self.backoff.reset();
                if let Some(blob) = self.uploads.remove(&digest) {
                    actions.push(PublisherAction::Hold(blob));
                }
            }
            StoreReply::Found(Some(object)) => {
                self.backoff.reset();
                self.reads.remove(&digest);
                self.blobs.insert(digest, object.value.clone());
            }
            _ => self.retry_at = now + self.backoff.fail(),
        }
        actions.extend(self.advance(now, ids));
        Some(actions)
    }

    /// Takes the keeper's word that the edit is accepted.
    pub fn accepted(&mut self, seq: Seq) -> PublisherActions {
        self.stage = Stage::Ended;
        PublisherActions::from_iter([PublisherAction::Accepted(seq)])
    }

    /// Takes the keeper's word that the edit was not made.
    pub fn rejected(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        error: &EditError,
    ) -> PublisherActions {
        let EditError::Overtaken { present } = error else {
            self.stage = Stage::Ended;
            return PublisherActions::from_iter([PublisherAction::Unresolved]);
        };
        self.stage = Stage::Comparing { present: *present };
        self.reads = self.base.iter().chain(present).copied().collect();
        self.advance(now, ids)
    }

    fn upload(&mut self, now: Time, ids: &mut CallIds, actions: &mut PublisherActions) {
        if self.uploads.is_empty() && self.flying.is_empty() {
            self.stage = Stage::Moving;
            let (id, base, manifest) = (self.id, self.base, self.manifest);
            actions.push(PublisherAction::Submit(Edit::Publish { id, base, manifest }));
            return;
        }
        if now < self.retry_at {
            return;
        }
        let idle: Vec<Digest> = self.idle(self.uploads.keys());
        for digest in idle {
            let Some(blob) = self.uploads.get(&digest) else {
                continue;
            };
            let call = StoreCall::Put {
                key: blob_key(&digest),
                expect: Expect::Absent,
                value: blob.bytes().to_vec(),
            };
            self.fly(ids, digest, "write blob", call, actions);
        }
    }

    fn compare(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        present: Option<Digest>,
        actions: &mut PublisherActions,
    ) {
        if self.reads.is_empty() {
            let (old, new) = (self.buckets(self.base), self.buckets(present));
            let differing: BTreeSet<Digest> = old.symmetric_difference(&new).copied().collect();
            self.reads = differing.into_iter().filter(|at| !self.blobs.contains_key(at)).collect();
            if self.reads.is_empty() {
                let objects = self.part(&old, &new).diff(&self.part(&new, &old));
                self.stage = Stage::Ended;
                actions.push(PublisherAction::Conflict { objects, present });
                return;
            }
        }
        if now < self.retry_at {
            return;
        }
        for digest in self.idle(self.reads.iter()) {
            let call = StoreCall::Get { key: blob_key(&digest) };
            self.fly(ids, digest, "read blob", call, actions);
        }
    }

    fn idle<'a>(&self, digests: impl Iterator<Item = &'a Digest>) -> Vec<Digest> {
        let free = MOST_CALLS.saturating_sub(self.flying.len());
        let flies = |digest: &&Digest| self.flying.values().any(|flying| flying == *digest);
        digests.filter(|digest| !flies(digest)).take(free).copied().collect()
    }

    fn buckets(&self, manifest: Option<Digest>) -> BTreeSet<Digest> {
        let bytes = manifest.and_then(|digest| self.blobs.get(&digest));
        let read = bytes.and_then(|bytes| Manifest::read(bytes).ok());
        read.map(|manifest| manifest.buckets.into_iter().collect()).unwrap_or_default()
    }

    /// The objects in those buckets that the other snapshot lacks.
    fn part(&self, buckets: &BTreeSet<Digest>, other: &BTreeSet<Digest>) -> Snapshot {
        let blobs = buckets.difference(other).filter_map(|digest| self.blobs.get(digest));
        let parts = blobs.filter_map(|bytes| decode::<BTreeMap<String, Vec<u8>>>(bytes).ok());
        Snapshot { objects: parts.flatten().collect() }
    }

    fn fly(
        &mut self,
        ids: &mut CallIds,
        digest: Digest,
        name: &'static str,
        call: StoreCall,
        actions: &mut PublisherActions,
    ) {
        let id = ids.next_id();
        self.flying.insert(id, digest);
        let step = Step::new(Protocol::Publication, name);
        actions.push(PublisherAction::Call { id, step, call });
    }
}
