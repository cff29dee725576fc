//! Encoding of stored objects and of messages between nodes.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// A stored value that does not decode.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("cannot decode a stored value: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes a value for the store.
///
/// # Panics
///
/// Panics if the type cannot be encoded at all, such as a sequence of unknown
/// length; no type of this crate is of that kind.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("type has a postcard encoding")
}

/// Decodes a stored value.
///
/// # Errors
///
/// Fails if the bytes are cut off or of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    postcard::from_bytes(bytes).context(DecodeSnafu)
}
