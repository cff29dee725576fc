//! Immutable pieces of content, named by their digest.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{Snafu, ensure};

use crate::store::Key;

/// The largest blob, in bytes; the platform holds values up to a megabyte.
pub const MAX_BLOB: usize = 1_000_000;

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

/// Content whose digest does not fit its name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("blob {expected} holds content of digest {found}"))]
pub struct BlobError {
    expected: Digest,
    found: Digest,
}

/// A piece of content with its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Blob {
    digest: Digest,
    bytes: Vec<u8>,
}

impl Blob {
    /// Names `bytes` by their digest.
    pub fn new(bytes: Vec<u8>) -> Blob {
        Blob { digest: Digest::of(&bytes), bytes }
    }

    /// Checks content that came from elsewhere.
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

/// Where the platform keeps a blob.
pub fn blob_key(digest: &Digest) -> Key {
    format!("blobs/{digest}")
}
