//! Binary encoding of stored objects and of messages between nodes.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Error for bytes that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("cannot decode value: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes a value in the postcard format.
///
/// # Panics
///
/// Panics if postcard cannot encode the type, such as a sequence of unknown
/// length; this crate has no such type.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("type has a postcard encoding")
}

/// Decodes a value from the postcard format.
///
/// # Errors
///
/// Fails if the bytes are truncated or encode another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    postcard::from_bytes(bytes).context(DecodeSnafu)
}
