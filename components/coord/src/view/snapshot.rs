//! A whole configuration, packed into blobs.
//!
//! Objects are spread over buckets by the digest of their names, so that a
//! small change replaces one bucket and the manifest. Nodes fetch only the
//! buckets they lack.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    codec::{DecodeError, decode, encode},
    view::blob::{Blob, Digest, MAX_BLOB},
};

/// The size that buckets are kept near, in bytes.
const BUCKET_BYTES: usize = 16 * 1024;

/// The most buckets, so that a manifest stays under a fifth of a blob.
const MAX_BUCKETS: usize = 4_096;

/// Named objects, opaque to this crate.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Content by name.
    pub objects: BTreeMap<String, Vec<u8>>,
}

/// The digests of a snapshot's buckets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// One digest a bucket.
    pub buckets: Vec<Digest>,
}

/// A snapshot ready to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packed {
    /// The manifest's blob; its digest names the snapshot.
    pub manifest: Blob,
    /// The buckets' blobs, each once.
    pub buckets: Vec<Blob>,
}

/// A snapshot that cannot be packed or put together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SnapshotError {
    /// Objects that share a bucket are too large for a blob.
    #[snafu(display("{} bytes in one blob, with objects {}", bytes, names.join(", ")))]
    Oversize {
        /// The bucket's size.
        bytes: usize,
        /// The objects in it.
        names: Vec<String>,
    },
    /// A bucket is not there.
    #[snafu(display("no blob {digest}"))]
    Missing {
        /// The bucket's digest.
        digest: Digest,
    },
    /// A bucket does not decode.
    #[snafu(display("{source}"))]
    Garbled {
        /// The cause.
        source: DecodeError,
    },
}

impl Snapshot {
    /// Packs the objects into blobs.
    ///
    /// # Errors
    ///
    /// Fails if a bucket would be larger than [`MAX_BLOB`].
    pub fn pack(&self) -> Result<Packed, SnapshotError> {
        let total: usize = self.objects.iter().map(|(name, body)| name.len() + body.len()).sum();
        let count = (total / BUCKET_BYTES + 1).next_power_of_two().min(MAX_BUCKETS);
        let mut buckets = vec![BTreeMap::new(); count];
        for (name, body) in &self.objects {
            buckets[bucket_of(name, count)].insert(name, body);
        }

        let mut digests = Vec::with_capacity(count);
        let mut blobs = BTreeMap::new();
        for objects in buckets {
            let blob = Blob::new(encode(&objects));
            let bytes = blob.bytes().len();
            let names = || objects.keys().map(|name| (*name).clone()).collect::<Vec<_>>();
            ensure!(bytes <= MAX_BLOB, OversizeSnafu { bytes, names: names() });
            digests.push(blob.digest());
            blobs.insert(blob.digest(), blob);
        }
        let manifest = Blob::new(encode(&Manifest { buckets: digests }));
        Ok(Packed { manifest, buckets: blobs.into_values().collect() })
    }

    /// Puts a snapshot together from its buckets.
    ///
    /// # Errors
    ///
    /// Fails if a bucket is missing or does not decode.
    pub fn unpack<'a>(
        manifest: &Manifest,
        find: impl Fn(&Digest) -> Option<&'a [u8]>,
    ) -> Result<Snapshot, SnapshotError> {
        let mut objects = BTreeMap::new();
        for digest in &manifest.buckets {
            let Some(bytes) = find(digest) else {
                return MissingSnafu { digest: *digest }.fail();
            };
            let bucket: BTreeMap<String, Vec<u8>> = decode(bytes).context(GarbledSnafu)?;
            objects.extend(bucket);
        }
        Ok(Snapshot { objects })
    }

    /// Names of objects that differ between two snapshots.
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
    /// Reads a manifest's blob.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no manifest.
    pub fn read(bytes: &[u8]) -> Result<Manifest, DecodeError> {
        decode(bytes)
    }
}

fn bucket_of(name: &str, count: usize) -> usize {
    let digest = Digest::of(name.as_bytes());
    let high = u32::from_be_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]]);
    high as usize % count
}
