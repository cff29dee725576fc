//! What nodes, callers, operators and targets say to one another.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_coord::{
    Incarnation, ShardId,
    claim::{Legacy, ScopedKey},
    drain::DrainMessage,
    view::{Digest, PeerMessage},
    window::{Sheet, WindowId},
};
use serde::{Deserialize, Serialize};

/// A caller's request as an entry takes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) request: u64,
    pub(crate) key: Option<String>,
    pub(crate) targets: Vec<String>,
    pub(crate) takes: Duration,
    pub(crate) once: Option<OnceKey>,
}

/// How a request that may not be repeated is named.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum OnceKey {
    Scoped(ScopedKey),
    Unscoped(String),
}

/// What the runner has a node do, in the place of callers and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Command {
    Call(Call),
    Publish { config: String, base: Option<Digest>, objects: BTreeMap<String, Vec<u8>>, id: u64 },
    Withdraw { key: String },
    Drain { target: String },
    Role { target: String, fencing: bool, role: String, number: u64 },
    Reclaim { zone: String, number: u64, lost: u32 },
}

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum CallOutcome {
    Answered { origin: u64 },
    NotRun,
    Unknown,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    View(PeerMessage),
    Drain(DrainMessage),
    Forward { call: Call, number: u64 },
    Forwarded { number: u64, end: CallOutcome },
    Legacies(Vec<Legacy>),
    LegaciesTaken(Incarnation),
    Heir { of: Incarnation, heir: Incarnation },
    Sheet { entry: Incarnation, window: WindowId, sheet: Sheet },
}

/// A request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum TargetRequest {
    /// `connection` tells a copy made by the network from a second request.
    Start {
        request: u64,
        takes: Duration,
        connection: u64,
    },
    Collect {
        request: u64,
    },
    Running,
    Stop,
}

/// A target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum TargetReply {
    Started,
    Refused,
    Done { request: u64 },
    Running { count: usize },
    Gone,
    Stopped,
}

/// The endpoint of a target's work.
pub(crate) fn target_endpoint(target: &str) -> String {
    format!("work:{target}")
}

/// The shard of the engines' roles.
pub(crate) fn engine_shard() -> ShardId {
    ShardId("engines-0".to_owned())
}

/// The shard of the usage windows.
pub(crate) fn usage_shard() -> ShardId {
    ShardId("usage-0".to_owned())
}

/// The object that holds a key's organisation.
pub(crate) fn key_object(key: &str) -> String {
    format!("key/{key}")
}
