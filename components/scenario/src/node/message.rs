//! Messages among nodes, callers, operators and targets.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_coord::{
    Incarnation, ShardId,
    claim::{KeyTransfer, ScopedKey},
    drain::DrainMessage,
    view::{Digest, PeerMessage},
    window::{UsageSheet, WindowId},
};
use serde::{Deserialize, Serialize};

/// A caller's request as received by an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) request: u64,
    pub(crate) key: Option<String>,
    pub(crate) targets: Vec<String>,
    pub(crate) takes: Duration,
    pub(crate) once: Option<OnceKey>,
}

/// Idempotency key of a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum OnceKey {
    Scoped(ScopedKey),
    Unscoped(String),
}

/// A command from the runner, which acts for callers, operators and the platform.
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

/// The outcome of a request, as reported to its caller or the forwarding node.
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
    Legacies(Vec<KeyTransfer>),
    LegaciesTaken(Incarnation),
    Heir { of: Incarnation, heir: Incarnation },
    Sheet { entry: Incarnation, window: WindowId, sheet: UsageSheet },
}

/// A request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum TargetRequest {
    /// `connection` distinguishes a duplicate made by the network from a second request.
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

/// A target's reply.
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

/// Name of the endpoint at which a target receives requests.
pub(crate) fn target_endpoint(target: &str) -> String {
    format!("work:{target}")
}

/// Shard whose owner assigns the engines' roles.
pub(crate) fn engine_shard() -> ShardId {
    ShardId("engines-0".to_owned())
}

/// Shard whose owner seals and reports the usage windows.
pub(crate) fn usage_shard() -> ShardId {
    ShardId("usage-0".to_owned())
}

/// Name of the configuration object that holds an API key's organisation.
pub(crate) fn key_object(key: &str) -> String {
    format!("key/{key}")
}
