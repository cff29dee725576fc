//! Messages by which nodes distribute and confirm views.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ident::Incarnation,
    view::{
        blob::{Blob, Digest},
        root::{KeyHash, Root, Seq},
    },
};

/// The receiver's last timestamp, sent back so that the receiver can date the message on its
/// own clock.
///
/// The peer received `stamp` and sent its message `held` later, so the message
/// was sent at `stamp + held` or after that. A delayed or duplicated message
/// only makes this lower bound older. A timestamp of an earlier process at the
/// receiver's address belongs to another clock and is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// The process whose clock the timestamp is from.
    pub of: Incarnation,
    /// The receiver's timestamp, in microseconds of its own clock.
    pub stamp: u64,
    /// Time from receiving the timestamp to sending this message, in microseconds.
    pub held: u64,
}

/// How long ago a voter confirmed the sender's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VoterAge {
    /// The voter's index in [`Voters::current`](crate::view::Voters) of the sender's view.
    pub index: u8,
    /// Milliseconds since the confirmation, rounded up.
    pub millis: u16,
}

/// Reports the sender's view and how recently it was confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Incarnation,
    /// Whether the sender asks for heartbeats in return.
    pub follows: bool,
    /// The sender's clock in microseconds, to be echoed.
    pub stamp: u64,
    /// The receiver's last timestamp, if one was received.
    pub echo: Option<Echo>,
    /// The latest view whose content the sender holds completely.
    pub seq: Seq,
    /// Milliseconds since the platform confirmed the view, rounded up.
    pub platform: Option<u32>,
    /// Confirmations by voters; empty while the platform's confirmation is recent.
    pub voters: Vec<VoterAge>,
    /// Checksum of the withdrawn keys that are in no root yet; zero if there are none.
    pub pending: u32,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's view and its confirmations.
    Beat(Heartbeat),
    /// A root for the receiver to adopt; it replies with a heartbeat once it has.
    Root(Box<Root>),
    /// Requests blobs.
    Want(Vec<Digest>),
    /// Requested blobs.
    Blobs(Vec<Blob>),
    /// Withdrawn keys that are in no root yet.
    Withdrawn(BTreeSet<KeyHash>),
}

/// Converts to milliseconds, rounded up.
pub(crate) fn ceil_millis(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// XORs the first bytes of the key hashes, to detect cheaply that two sets differ.
pub(crate) fn checksum_keys(keys: &BTreeSet<KeyHash>) -> u32 {
    let prefix = |key: &KeyHash| u32::from_be_bytes([key.0[0], key.0[1], key.0[2], key.0[3]]);
    match keys.is_empty() {
        true => 0,
        false => keys.iter().fold(0, |sum, key| sum ^ prefix(key)) | 1,
    }
}
