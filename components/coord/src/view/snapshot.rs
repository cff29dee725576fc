//! A complete configuration, packed into blobs.
//!
//! Objects are distributed over buckets by the digest of their names, so that a
//! small change replaces only one bucket and the manifest. Nodes fetch only
//! the buckets that they do not have yet.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    codec::{DecodeError, decode, encode},
    view::blob::{Blob, Digest, MAX_BLOB_BYTES},
};

/// The number of buckets is chosen so that a bucket has about this size.
const TARGET_BUCKET_BYTES: usize = 16 * 1024;

/// Maximum number of buckets, so that a manifest takes less than a fifth of [`MAX_BLOB_BYTES`].
const MAX_BUCKETS: usize = 4_096;

/// The objects of a configuration; their content is opaque to this crate.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Encoded objects by name.
    pub objects: BTreeMap<String, Vec<u8>>,
}

/// Lists the digests of a snapshot's buckets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// One digest per bucket, in bucket order.
    pub buckets: Vec<Digest>,
}

/// A snapshot as blobs, ready to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedSnapshot {
    /// The manifest's blob; its digest identifies the snapshot.
    pub manifest: Blob,
    /// The buckets' blobs, without duplicates.
    pub buckets: Vec<Blob>,
}

/// Error when packing or unpacking a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SnapshotError {
    /// The objects of a bucket are too large for one blob.
    #[snafu(display(
        "bucket of {} bytes is too large for a blob; its objects: {}",
        bytes,
        names.join(", ")
    ))]
    Oversize {
        /// The bucket's size in bytes.
        bytes: usize,
        /// The names of its objects.
        names: Vec<String>,
    },
    /// A bucket's blob is missing.
    #[snafu(display("bucket {digest} is missing"))]
    Missing {
        /// The bucket's digest.
        digest: Digest,
    },
    /// A bucket or the manifest cannot be decoded.
    #[snafu(display("cannot decode bucket or manifest: {source}"))]
    Undecodable {
        /// The decoding error.
        source: DecodeError,
    },
}

impl Snapshot {
    /// Packs the objects into blobs.
    ///
    /// # Errors
    ///
    /// Fails if a bucket would be larger than [`MAX_BLOB_BYTES`].
    pub fn pack(&self) -> Result<PackedSnapshot, SnapshotError> {
        let total: usize =
            self.objects.iter().map(|(name, content)| name.len() + content.len()).sum();
        let count = (total / TARGET_BUCKET_BYTES + 1).next_power_of_two().min(MAX_BUCKETS);
        let mut buckets = vec![BTreeMap::new(); count];
        for (name, content) in &self.objects {
            buckets[bucket_of(name, count)].insert(name, content);
        }

        let mut digests = Vec::with_capacity(count);
        let mut blobs = BTreeMap::new();
        for objects in buckets {
            let blob = Blob::new(encode(&objects));
            let bytes = blob.bytes().len();
            let names = || objects.keys().map(|name| (*name).clone()).collect::<Vec<_>>();
            ensure!(bytes <= MAX_BLOB_BYTES, OversizeSnafu { bytes, names: names() });
            digests.push(blob.digest());
            blobs.insert(blob.digest(), blob);
        }
        let manifest = Blob::new(encode(&Manifest { buckets: digests }));
        Ok(PackedSnapshot { manifest, buckets: blobs.into_values().collect() })
    }

    /// Assembles a snapshot from its buckets; `find` returns a blob's content.
    ///
    /// # Errors
    ///
    /// Fails if a bucket is missing or cannot be decoded.
    pub fn unpack<'a>(
        manifest: &Manifest,
        find: impl Fn(&Digest) -> Option<&'a [u8]>,
    ) -> Result<Snapshot, SnapshotError> {
        let mut objects = BTreeMap::new();
        for digest in &manifest.buckets {
            let Some(bytes) = find(digest) else {
                return MissingSnafu { digest: *digest }.fail();
            };
            let bucket: BTreeMap<String, Vec<u8>> = decode(bytes).context(UndecodableSnafu)?;
            objects.extend(bucket);
        }
        Ok(Snapshot { objects })
    }

    /// Names of objects that differ or are in only one of the two snapshots.
    pub fn diff(&self, other: &Snapshot) -> Vec<String> {
        let names: BTreeSet<&String> = self.objects.keys().chain(other.objects.keys()).collect();
        names
            .into_iter()
            .filter(|name| self.objects.get(*name) != other.objects.get(*name))
            .cloned()
            .collect()
    }
}

impl Manifest {
    /// Decodes the content of a manifest's blob.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a manifest.
    pub fn read(bytes: &[u8]) -> Result<Manifest, DecodeError> {
        decode(bytes)
    }
}

fn bucket_of(name: &str, count: usize) -> usize {
    let digest = Digest::of(name.as_bytes());
    let hash = u32::from_be_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]]);
    hash as usize % count
}
