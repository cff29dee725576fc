//! Reads the published configuration from the store.

use std::collections::BTreeMap;

use chervilgate_clients::ObjectStore;
use chervilgate_coord::{
    DecodeError, StoreCall, StoreReply, decode,
    view::{Blob, Digest, Manifest, ROOT_KEY, Root, Snapshot, SnapshotError, blob_key},
};
use chervilgate_model::{Config, EntryError};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{PublishedState, from_snapshot};

/// Why the published configuration cannot be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform's store did not answer.
    #[snafu(display("the platform's store does not answer"))]
    Store,
    /// A blob is not in the store.
    #[snafu(display("blob {digest} is missing from the store"))]
    MissingBlob {
        /// The blob's digest.
        digest: Digest,
    },
    /// A blob's content does not have the digest in its name.
    #[snafu(display("the content of blob {digest} does not match its digest"))]
    DigestMismatch {
        /// The blob's digest.
        digest: Digest,
    },
    /// A stored object does not decode.
    #[snafu(display("cannot decode {key}: {source}"))]
    Decode {
        /// The key of the object in the store.
        key: String,
        /// The underlying error.
        source: DecodeError,
    },
    /// The blobs do not form a valid snapshot.
    #[snafu(display("{source}"))]
    Snapshot {
        /// The underlying error.
        source: SnapshotError,
    },
    /// An entry of the snapshot is not a valid object.
    #[snafu(display("{source}"))]
    Entry {
        /// The underlying error.
        source: EntryError,
    },
}

/// Reads the root and its configuration; both are empty before the first publication.
///
/// # Errors
/// If the store does not answer, or holds missing, altered or invalid data.
pub async fn read_published(store: &dyn ObjectStore) -> Result<PublishedState, ReadError> {
    let Some(bytes) = read(store, ROOT_KEY.to_owned()).await? else {
        return Ok(PublishedState::default());
    };
    let root: Root = decode(&bytes).context(DecodeSnafu { key: ROOT_KEY })?;
    let config = match root.publication() {
        Some(publication) => read_config(store, publication.manifest).await?,
        None => Config::default(),
    };
    Ok(PublishedState { root, config })
}

/// Reads the configuration of a manifest.
///
/// # Errors
/// If the store does not answer, or holds missing, altered or invalid data.
pub async fn read_config(store: &dyn ObjectStore, manifest: Digest) -> Result<Config, ReadError> {
    let blob = read_blob(store, manifest).await?;
    let key = blob_key(&manifest);
    let manifest = Manifest::read(blob.bytes()).context(DecodeSnafu { key })?;
    let mut blobs = BTreeMap::new();
    for digest in &manifest.buckets {
        if !blobs.contains_key(digest) {
            blobs.insert(*digest, read_blob(store, *digest).await?);
        }
    }
    let find = |digest: &Digest| blobs.get(digest).map(Blob::bytes);
    let snapshot = Snapshot::unpack(&manifest, find).context(SnapshotSnafu)?;
    from_snapshot(&snapshot).context(EntrySnafu)
}

async fn read_blob(store: &dyn ObjectStore, digest: Digest) -> Result<Blob, ReadError> {
    let bytes = read(store, blob_key(&digest)).await?.context(MissingBlobSnafu { digest })?;
    Blob::check(digest, bytes).ok().context(DigestMismatchSnafu { digest })
}

async fn read(store: &dyn ObjectStore, key: String) -> Result<Option<Vec<u8>>, ReadError> {
    match store.call(&StoreCall::Get { key }).await {
        StoreReply::Found(object) => Ok(object.map(|object| object.value)),
        _ => StoreSnafu.fail(),
    }
}
