//! What the outside's names and headers mean to the gateway.
//!
//! Whoever embeds the gateway implements these traits for the callers, targets
//! and store that it has; the gateway knows none of their names.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use serde_json::Value;
use smallvec::SmallVec;
use snafu::Snafu;

use crate::{config::Config, fleet::TargetEntry};

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ask {
    /// Its id, repeated in the answer.
    pub id: String,
    /// How long the caller waits; none if it does not say.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// Its prompt; empty for plain services.
    pub prompt: Prompt,
}

/// What is known of a prompt before it runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u32,
    /// Tokens that may be generated at most.
    pub output: u32,
    /// The parts it is made of, in order; the last one is its own.
    pub parts: SmallVec<[Part; 4]>,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Why a request's head is unusable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {name}: {reason}"))]
pub struct BadAsk {
    /// The header.
    pub name: &'static str,
    /// What is wrong.
    pub reason: String,
}

/// Which part of a request a target does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work<'a> {
    /// All of it.
    Whole,
    /// Computes the prompt and keeps its KV cache for export.
    Prefill,
    /// Generates the output from a KV cache at another target.
    Decode {
        /// The target that holds the cache.
        addr: SocketAddr,
        /// What the target calls the cache.
        handle: &'a str,
    },
}

/// What the gateway sets on a request that it passes on.
#[derive(Debug, Clone, PartialEq)]
pub struct Handover<'a> {
    /// The only target that may run it.
    pub target: &'a str,
    /// The organisation it runs for.
    pub org: Option<&'a str>,
    /// Time until the gateway gives it up.
    pub left: Duration,
    /// Rank among the requests of an engine; 0 goes first.
    pub priority: Option<u8>,
    /// What the target does of it.
    pub work: Work<'a>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnswerHead {
    /// The request that it answers, if it says so.
    pub id: Option<String>,
    /// Whether the target states that the request did not run.
    pub not_run: bool,
    /// Whether the target vouches for the answer.
    pub signed: bool,
}

/// A prompt's exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// What its target calls it.
    pub handle: String,
}

/// A caller's question for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Locate {
    /// The caller's availability zone.
    pub zone: Option<String>,
}

/// The headers of callers and targets.
pub trait Protocol: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// If a header that is needed is missing or unreadable.
    fn ask(&self, headers: &HeaderMap) -> Result<Ask, BadAsk>;

    /// The headers to send to a target for a caller's headers.
    fn hand_over(&self, headers: &HeaderMap, handover: &Handover<'_>) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The headers of a target's answer that go on to the caller.
    fn hand_back(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the answer to [`Work::Prefill`].
    fn prefilled(&self, body: &[u8]) -> Option<Prefilled>;

    /// The path by which an exported KV cache is deleted.
    fn export_path(&self, handle: &str) -> String;

    /// Marks an answer of the gateway's own as the one to request `id`.
    fn mark(&self, id: &str, headers: &mut HeaderMap);

    /// Reads a question for addresses; none for another path.
    fn locate(&self, path: &str, query: &str) -> Option<Locate>;

    /// The answer to a question for addresses.
    fn located(&self, addrs: &[SocketAddr], keep: Duration) -> Vec<u8>;

    /// Whether `path` asks for readiness.
    fn is_ready_path(&self, path: &str) -> bool;
}

/// Why a stored object is not understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {reason}"))]
pub struct Undecodable {
    /// The field.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// The objects in the store that others write.
pub trait Decoder: Send + Sync {
    /// The key of the configuration object.
    fn config_key(&self) -> &str;

    /// The start of the keys among which it is.
    fn config_prefix(&self) -> &str;

    /// The start of the keys of targets' entries; the rest is the target's id.
    fn target_prefix(&self) -> &str;

    /// Reads the configuration.
    ///
    /// # Errors
    /// If a field that is needed is missing or of another type.
    fn config(&self, value: &Value) -> Result<Config, Undecodable>;

    /// Reads one target's entry.
    ///
    /// # Errors
    /// If it names no target that can be used.
    fn target(&self, id: Arc<str>, value: &Value) -> Result<TargetEntry, Undecodable>;
}
