//! What processes tell and ask one another, and its encoding.

use chervilgate_coord::{
    Incarnation,
    drain::DrainMessage,
    view::PeerMessage,
    window::{Sheet, WindowId},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// The version of the encoding; the first two bytes of each message.
pub const WIRE_VERSION: u16 = 1;
/// The longest message, in bytes; blobs of a megabyte come several at once.
pub const MESSAGE_LIMIT: usize = 16 << 20;

/// Something told; no answer comes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Views of the configuration.
    View(PeerMessage),
    /// Drains of targets.
    Drain(DrainMessage),
    /// An entry's usage counters, to be held for it.
    Mirror {
        /// The entry.
        entry: Incarnation,
        /// The window that they were counted in.
        window: WindowId,
        /// The counters.
        sheet: Box<Sheet>,
    },
}

/// Something asked.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Ask {
    /// Which process answers at this address.
    Incarnation,
}

/// The answer to something asked.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The process that answers.
    Incarnation(u64),
}

/// Why bytes are no message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The peer speaks another version.
    #[snafu(display("a peer speaks version {version}; this one speaks {WIRE_VERSION}"))]
    OtherVersion {
        /// The version that the peer speaks.
        version: u16,
    },
    /// The bytes are cut short or garbled.
    #[snafu(display("a malformed message of {length} bytes"))]
    Malformed {
        /// How many bytes came.
        length: usize,
    },
}

/// Encodes a message with its version.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let start = WIRE_VERSION.to_le_bytes().to_vec();
    postcard::to_extend(message, start).expect("messages hold nothing that cannot be encoded")
}

/// Decodes a message.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let malformed = || MessageError::Malformed { length: bytes.len() };
    let (version, body) = bytes.split_first_chunk::<2>().ok_or_else(malformed)?;
    let version = u16::from_le_bytes(*version);
    if version != WIRE_VERSION {
        return Err(MessageError::OtherVersion { version });
    }
    postcard::from_bytes(body).map_err(|_| malformed())
}
