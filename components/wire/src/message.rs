//! The message types and their encoding.

use chervilgate_coord::{
    Incarnation,
    drain::DrainMessage,
    view::PeerMessage,
    window::{UsageSheet, WindowId},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Version of the encoding, sent in the first two bytes of each message (little-endian).
pub const WIRE_VERSION: u16 = 1;
/// Longest encoded message, in bytes. One message may carry several blobs of 1 MB each.
pub const MAX_MESSAGE_SIZE: usize = 16 << 20;

/// A one-way message; it gets no reply.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Replicates the view: the versioned configuration.
    View(PeerMessage),
    /// Coordinates the draining of targets.
    Drain(DrainMessage),
    /// A copy of an entry's usage counters, for the receiver to keep.
    Mirror {
        /// The entry that counted.
        entry: Incarnation,
        /// The usage window.
        window: WindowId,
        /// The usage counters.
        sheet: Box<UsageSheet>,
    },
}

/// A request to a peer; it gets a [`Reply`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the incarnation of the process at the address.
    Incarnation,
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The incarnation of the replying process.
    Incarnation(u64),
}

/// Why bytes cannot be decoded as a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The peer uses another version of the encoding.
    #[snafu(display("encoding version {version} instead of {WIRE_VERSION}"))]
    VersionMismatch {
        /// The version of the peer.
        version: u16,
    },
    /// The message is truncated or corrupt.
    #[snafu(display("a malformed message of {length} bytes"))]
    Malformed {
        /// Number of bytes received.
        length: usize,
    },
}

/// Encodes a message, prefixed with [`WIRE_VERSION`].
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let start = WIRE_VERSION.to_le_bytes().to_vec();
    postcard::to_extend(message, start).expect("every message type can be encoded")
}

/// Decodes a message and checks the version of its encoding.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let malformed = || MessageError::Malformed { length: bytes.len() };
    let (version, body) = bytes.split_first_chunk::<2>().ok_or_else(malformed)?;
    let version = u16::from_le_bytes(*version);
    if version != WIRE_VERSION {
        return Err(MessageError::VersionMismatch { version });
    }
    postcard::from_bytes(body).map_err(|_| malformed())
}
