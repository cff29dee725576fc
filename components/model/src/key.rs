//! API keys: shown once in plain text when issued, stored and verified by hash.
//!
//! A key has the form `cgk_<id>_<secret>`. The id selects the record; the whole key
//! is hashed and compared with the record's hash in constant time. The secret has
//! 128 random bits, so an unsalted hash is safe against brute force.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Digest, Name};

const PREFIX: &str = "cgk_";
/// Random bytes in a key's id.
const ID_BYTES: usize = 6;
/// Random bytes in a key's secret.
const SECRET_BYTES: usize = 16;

/// The stored record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key's id: the part between the underscores.
    pub name: Name,
    /// The organisation that requests with this key belong to.
    pub organisation: Name,
    /// The SHA-256 hash of the whole key.
    pub hash: Digest,
    /// Whether the key is refused; a withdrawal is permanent.
    pub withdrawn: bool,
}

/// A key in plain text; shown once, never logged or stored.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// Why a presented key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// It does not have the form `cgk_<id>_<secret>`.
    #[snafu(display("malformed key"))]
    Malformed,
    /// No record has its id, or its secret is wrong.
    #[snafu(display("unknown key"))]
    Unknown,
    /// The key has been withdrawn.
    #[snafu(display("withdrawn key"))]
    Withdrawn,
}

impl Secret {
    /// The plain text of the key.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

impl KeyRecord {
    /// Checks `key` against this record.
    ///
    /// # Errors
    /// `Unknown` if the hash differs, `Withdrawn` if the key has been withdrawn.
    pub fn verify(&self, key: &str) -> Result<(), KeyError> {
        if !self.hash.matches(&Digest::of(key.as_bytes())) {
            return Err(KeyError::Unknown);
        }
        if self.withdrawn {
            return Err(KeyError::Withdrawn);
        }
        Ok(())
    }
}

/// Issues a key for `organisation`.
///
/// `fill_random` must fill its buffer from a cryptographically secure source.
pub fn issue_key(
    organisation: &Name,
    mut fill_random: impl FnMut(&mut [u8]),
) -> (Secret, KeyRecord) {
    let mut id = [0; ID_BYTES];
    fill_random(&mut id);
    let mut secret = [0; SECRET_BYTES];
    fill_random(&mut secret);

    let id = hex::encode(id);
    let key = format!("{PREFIX}{id}_{}", hex::encode(secret));
    let record = KeyRecord {
        name: id.parse().expect("hexadecimal digits are a valid name"),
        organisation: organisation.clone(),
        hash: Digest::of(key.as_bytes()),
        withdrawn: false,
    };
    (Secret(key), record)
}

/// The id part of `key`.
///
/// # Errors
/// `Malformed` if `key` is not of the form `cgk_<id>_<secret>`.
pub(crate) fn key_id(key: &str) -> Result<&str, KeyError> {
    let rest = key.strip_prefix(PREFIX).ok_or(KeyError::Malformed)?;
    let (id, secret) = rest.split_once('_').ok_or(KeyError::Malformed)?;
    let right_length = id.len() == 2 * ID_BYTES && secret.len() == 2 * SECRET_BYTES;
    let is_hex = rest.bytes().all(|b| b.is_ascii_hexdigit() || b == b'_');
    if right_length && is_hex { Ok(id) } else { Err(KeyError::Malformed) }
}
