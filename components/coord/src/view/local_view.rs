//! The view that a node holds, and a newer one whose blobs are still missing.
//!
//! A root is adopted once all its blobs are present, and only if its number is
//! higher than the current one. Withdrawn keys are refused as soon as they are
//! known, even before the root that contains them is adopted.

use std::collections::{BTreeMap, BTreeSet};

use crate::view::{
    blob::{Blob, Digest},
    root::{KeyHash, Root, Seq},
    snapshot::{Manifest, Snapshot, SnapshotError},
};

/// The result of offering a root or one of its blobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// No newer root is waiting to be adopted.
    NotNewer,
    /// The root was adopted.
    Adopted,
    /// These blobs of the root are missing.
    Missing(Vec<Digest>),
    /// The snapshot cannot be assembled; the view is unchanged.
    Invalid(SnapshotError),
}

/// The view of one node.
#[derive(Debug, Clone, Default)]
pub struct LocalView {
    root: Option<Root>,
    snapshot: Snapshot,
    blobs: BTreeMap<Digest, Blob>,
    /// A newer root whose blobs are not complete.
    incoming: Option<Root>,
    /// Keys withdrawn by a known root.
    withdrawn: BTreeSet<KeyHash>,
    /// Withdrawn keys that are in no known root.
    pending_withdrawals: BTreeSet<KeyHash>,
}

impl LocalView {
    /// The adopted root.
    pub fn root(&self) -> Option<&Root> {
        self.root.as_ref()
    }

    /// The number of the adopted root; zero if there is none.
    pub fn seq(&self) -> Seq {
        self.root.as_ref().map_or(Seq(0), |root| root.seq)
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// A blob of the adopted root or of the incoming one.
    pub fn blob(&self, digest: &Digest) -> Option<&Blob> {
        self.blobs.get(digest)
    }

    /// Whether the key is withdrawn, even if the withdrawal is not accepted yet.
    pub fn is_withdrawn(&self, key: &KeyHash) -> bool {
        self.withdrawn.contains(key) || self.pending_withdrawals.contains(key)
    }

    /// All withdrawn keys that this node knows.
    pub fn withdrawn_keys(&self) -> BTreeSet<KeyHash> {
        self.withdrawn.union(&self.pending_withdrawals).copied().collect()
    }

    /// Withdrawn keys that are in no known root.
    pub fn pending_withdrawals(&self) -> &BTreeSet<KeyHash> {
        &self.pending_withdrawals
    }

    /// Adds withdrawn keys; returns whether any of them is new.
    pub fn withdraw(&mut self, keys: &BTreeSet<KeyHash>) -> bool {
        let new_keys: Vec<KeyHash> =
            keys.iter().filter(|key| !self.is_withdrawn(key)).copied().collect();
        self.pending_withdrawals.extend(&new_keys);
        !new_keys.is_empty()
    }

    /// Offers a root received from the platform or a peer.
    pub fn offer(&mut self, root: &Root) -> OfferOutcome {
        self.withdrawn.extend(&root.withdrawn);
        self.pending_withdrawals.retain(|key| !root.withdrawn.contains(key));
        let latest = self.incoming.as_ref().map_or(Seq(0), |root| root.seq).max(self.seq());
        if root.seq > latest {
            self.incoming = Some(root.clone());
        }
        self.try_adopt()
    }

    /// Adds a missing blob and adopts the incoming root if it is complete.
    pub fn add_blob(&mut self, blob: Blob) -> OfferOutcome {
        self.blobs.insert(blob.digest(), blob);
        self.try_adopt()
    }

    /// Blobs of the incoming root that are still missing.
    pub fn missing(&self) -> Vec<Digest> {
        let Some(publication) = self.incoming.as_ref().and_then(|root| root.publication()) else {
            return Vec::new();
        };
        let Some(blob) = self.blobs.get(&publication.manifest) else {
            return vec![publication.manifest];
        };
        let buckets = Manifest::read(blob.bytes()).map(|read| read.buckets).unwrap_or_default();
        let missing_buckets: BTreeSet<Digest> =
            buckets.into_iter().filter(|digest| !self.blobs.contains_key(digest)).collect();
        missing_buckets.into_iter().collect()
    }

    fn try_adopt(&mut self) -> OfferOutcome {
        let Some(root) = self.incoming.take() else {
            return OfferOutcome::NotNewer;
        };
        let missing = {
            self.incoming = Some(root.clone());
            self.missing()
        };
        if !missing.is_empty() {
            return OfferOutcome::Missing(missing);
        }
        self.incoming = None;
        if let Some(publication) = root.publication() {
            match self.assemble(&publication.manifest) {
                Ok(snapshot) => self.snapshot = snapshot,
                Err(error) => return OfferOutcome::Invalid(error),
            }
        }
        self.root = Some(root);
        OfferOutcome::Adopted
    }

    fn assemble(&mut self, digest: &Digest) -> Result<Snapshot, SnapshotError> {
        let bytes = self.blobs.get(digest).map(Blob::bytes).unwrap_or_default();
        let manifest =
            Manifest::read(bytes).map_err(|source| SnapshotError::Undecodable { source })?;
        let snapshot =
            Snapshot::unpack(&manifest, |bucket| self.blobs.get(bucket).map(Blob::bytes))?;
        let used: BTreeSet<Digest> = manifest.buckets.into_iter().chain([*digest]).collect();
        self.blobs.retain(|stored, _| used.contains(stored));
        Ok(snapshot)
    }
}
