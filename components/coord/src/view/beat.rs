//! Messages by which nodes spread and confirm views.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ident::Incarnation,
    view::{
        blob::{Blob, Digest},
        root::{KeyHash, Root, Seq},
    },
};

/// Dates a peer's message on the receiver's own clock.
///
/// The peer got `stamp` after it was sent and kept it for `held`, so whatever
/// its message says was still true at `stamp + held`. A late or double message
/// only makes this bound older. A stamp of an earlier process at the receiver's
/// address is of another clock and says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// The process that gave the stamp.
    pub of: Incarnation,
    /// The receiver's stamp, in microseconds of its own clock.
    pub stamp: u64,
    /// How long the peer had kept it, in microseconds.
    pub held: u64,
}

/// How long ago a voter confirmed the sender's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VoterAge {
    /// The voter's place among those of the sender's view.
    pub index: u8,
    /// In milliseconds, rounded up.
    pub millis: u16,
}

/// Says what the sender holds, and how recently that was confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: Incarnation,
    /// Whether the sender wants beats back.
    pub follows: bool,
    /// The sender's clock, to be echoed.
    pub stamp: u64,
    /// The receiver's last stamp, if one has come.
    pub echo: Option<Echo>,
    /// The view that the sender holds whole.
    pub seq: Seq,
    /// How long ago the platform confirmed it, in milliseconds rounded up.
    pub platform: Option<u32>,
    /// Confirmations by voters; left out while the platform's are recent.
    pub voters: Vec<VoterAge>,
    /// Folds the withdrawn keys that no root holds yet; zero without any.
    pub pending: u32,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender holds.
    Beat(Beat),
    /// A root for the receiver to adopt; it answers with a beat once it has.
    Root(Box<Root>),
    /// Asks for blobs.
    Want(Vec<Digest>),
    /// Blobs that were asked for.
    Blobs(Vec<Blob>),
    /// Withdrawn keys that no root holds yet.
    Withdrawn(BTreeSet<KeyHash>),
}

/// Milliseconds, rounded up.
pub(crate) fn millis_up(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Folds withdrawn keys so that two sets can be told apart cheaply.
pub(crate) fn fold_keys(keys: &BTreeSet<KeyHash>) -> u32 {
    let head = |key: &KeyHash| u32::from_be_bytes([key.0[0], key.0[1], key.0[2], key.0[3]]);
    match keys.is_empty() {
        true => 0,
        false => keys.iter().fold(0, |sum, key| sum ^ head(key)) | 1,
    }
}
