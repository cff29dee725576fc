//! What a node holds: a whole view, and a newer one that is on its way.
//!
//! A root is adopted once every blob it names is there; only a higher number
//! is ever adopted. Withdrawn keys are refused from the moment they are heard
//! of, whether the rest has come or not.

use std::collections::{BTreeMap, BTreeSet};

use crate::view::{
    blob::{Blob, Digest},
    root::{KeyHash, Root, Seq},
    snapshot::{Manifest, Snapshot, SnapshotError},
};

/// What became of an offered root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// It is not newer than what is held.
    Known,
    /// It has been adopted.
    Adopted,
    /// These blobs are missing.
    Missing(Vec<Digest>),
    /// It cannot be put together; the view stays as it is.
    Broken(SnapshotError),
}

/// The view of one node.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    root: Option<Root>,
    snapshot: Snapshot,
    blobs: BTreeMap<Digest, Blob>,
    coming: Option<Root>,
    withdrawn: BTreeSet<KeyHash>,
    pending: BTreeSet<KeyHash>,
}

impl Holder {
    /// The adopted root.
    pub fn root(&self) -> Option<&Root> {
        self.root.as_ref()
    }

    /// The number of the adopted root; zero without one.
    pub fn seq(&self) -> Seq {
        self.root.as_ref().map_or(Seq(0), |root| root.seq)
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// A blob of the adopted root, or of the one on its way.
    pub fn blob(&self, digest: &Digest) -> Option<&Blob> {
        self.blobs.get(digest)
    }

    /// Whether the key is withdrawn, accepted or not.
    pub fn is_withdrawn(&self, key: &KeyHash) -> bool {
        self.withdrawn.contains(key) || self.pending.contains(key)
    }

    /// Every withdrawn key that is known here.
    pub fn withdrawn_keys(&self) -> BTreeSet<KeyHash> {
        self.withdrawn.union(&self.pending).copied().collect()
    }

    /// Withdrawn keys that no root is known to hold.
    pub fn pending(&self) -> &BTreeSet<KeyHash> {
        &self.pending
    }

    /// Takes withdrawn keys; whether any of them is new.
    pub fn withdraw(&mut self, keys: &BTreeSet<KeyHash>) -> bool {
        let fresh: Vec<KeyHash> =
            keys.iter().filter(|key| !self.is_withdrawn(key)).copied().collect();
        self.pending.extend(&fresh);
        !fresh.is_empty()
    }

    /// Takes a root from the platform or a peer.
    pub fn offer(&mut self, root: &Root) -> Offer {
        self.withdrawn.extend(&root.withdrawn);
        self.pending.retain(|key| !root.withdrawn.contains(key));
        let known = self.coming.as_ref().map_or(Seq(0), |root| root.seq).max(self.seq());
        if root.seq > known {
            self.coming = Some(root.clone());
        }
        self.advance()
    }

    /// Takes a blob that was missing.
    pub fn store(&mut self, blob: Blob) -> Offer {
        self.blobs.insert(blob.digest(), blob);
        self.advance()
    }

    /// Blobs that the root on its way still needs.
    pub fn missing(&self) -> Vec<Digest> {
        let Some(manifest) = self.coming.as_ref().and_then(|root| root.publication()) else {
            return Vec::new();
        };
        let Some(blob) = self.blobs.get(&manifest.manifest) else {
            return vec![manifest.manifest];
        };
        let buckets = Manifest::read(blob.bytes()).map(|read| read.buckets).unwrap_or_default();
        let lacking: BTreeSet<Digest> =
            buckets.into_iter().filter(|digest| !self.blobs.contains_key(digest)).collect();
        lacking.into_iter().collect()
    }

    fn advance(&mut self) -> Offer {
        let Some(root) = self.coming.take() else {
            return Offer::Known;
        };
        let missing = {
            self.coming = Some(root.clone());
            self.missing()
        };
        if !missing.is_empty() {
            return Offer::Missing(missing);
        }
        self.coming = None;
        if let Some(made) = root.publication() {
            match self.assemble(&made.manifest) {
                Ok(snapshot) => self.snapshot = snapshot,
                Err(error) => return Offer::Broken(error),
            }
        }
        self.root = Some(root);
        Offer::Adopted
    }

    fn assemble(&mut self, digest: &Digest) -> Result<Snapshot, SnapshotError> {
        let bytes = self.blobs.get(digest).map(Blob::bytes).unwrap_or_default();
        let manifest = Manifest::read(bytes).map_err(|source| SnapshotError::Garbled { source })?;
        let snapshot = Snapshot::unpack(&manifest, |at| self.blobs.get(at).map(Blob::bytes))?;
        let used: BTreeSet<Digest> = manifest.buckets.into_iter().chain([*digest]).collect();
        self.blobs.retain(|at, _| used.contains(at));
        Ok(snapshot)
    }
}
