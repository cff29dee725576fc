//! Immutable, content-addressed blobs.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{Snafu, ensure};

use crate::store::Key;

/// Maximum blob size in bytes; the store limits values to a megabyte.
pub const MAX_BLOB_BYTES: usize = 1_000_000;

/// A SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error for content that does not match the expected digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("content of blob {expected} has digest {found}"))]
pub struct BlobError {
    expected: Digest,
    found: Digest,
}

/// Content with its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Blob {
    digest: Digest,
    bytes: Vec<u8>,
}

impl Blob {
    /// Creates a blob and computes its digest.
    pub fn new(bytes: Vec<u8>) -> Blob {
        Blob { digest: Digest::of(&bytes), bytes }
    }

    /// Verifies content from another source against its expected digest.
    ///
    /// # Errors
    ///
    /// Fails if the content's digest is not `digest`.
    pub fn check(digest: Digest, bytes: Vec<u8>) -> Result<Blob, BlobError> {
        let found = Digest::of(&bytes);
        ensure!(found == digest, BlobSnafu { expected: digest, found });
        Ok(Blob { digest, bytes })
    }

    /// The content's digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// The key under which the blob is stored.
pub fn blob_key(digest: &Digest) -> Key {
    format!("blobs/{digest}")
}
