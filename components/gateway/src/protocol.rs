//! Traits through which the gateway reads and writes the formats of external systems.
//!
//! The embedding program implements them for its callers, targets and store; the
//! gateway contains no header or field names of theirs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use serde_json::Value;
use smallvec::SmallVec;
use snafu::Snafu;

use crate::{config::Config, fleet::TargetEntry};

/// Metadata of a caller's request, parsed from its headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ask {
    /// Request id, repeated in the response.
    pub id: String,
    /// How long the caller waits; none if unspecified.
    pub patience: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Id of the last event that the caller received of an earlier response, to resume
    /// after.
    pub last_event: Option<u64>,
    /// The prompt; empty for plain services.
    pub prompt: Prompt,
}

/// Size and parts of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Total number of prompt tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
    /// The parts in order; the last one belongs to this request alone.
    pub parts: SmallVec<[Part; 4]>,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// An invalid or missing request header.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {name}: {reason}"))]
pub struct BadAsk {
    /// Name of the header.
    pub name: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// The part of a request that a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work<'a> {
    /// The whole request.
    Whole,
    /// Compute the prompt and keep its KV cache for export.
    Prefill,
    /// Generate the output from a KV cache on another target.
    Decode {
        /// Address of the target that holds the cache.
        addr: SocketAddr,
        /// That target's name for the cache.
        handle: &'a str,
    },
}

/// Metadata that the gateway adds to a request for a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Handover<'a> {
    /// Id of the only target that may run it.
    pub target: &'a str,
    /// Organisation that the request runs for; none without an API key.
    pub org: Option<&'a str>,
    /// Time until the gateway gives up on the request.
    pub left: Duration,
    /// Scheduling priority on an engine, where 0 is the highest; none for plain
    /// services.
    pub priority: Option<u8>,
    /// The part of the request that the target runs.
    pub work: Work<'a>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// Metadata of a target's response, parsed from its headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnswerHead {
    /// Id of the request that it answers, if present.
    pub id: Option<String>,
    /// Whether the target states that the request did not run.
    pub not_run: bool,
    /// Whether the target has signed the response.
    pub signed: bool,
}

/// Response of a target to [`Work::Prefill`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// The target's name for the exported KV cache.
    pub handle: String,
}

/// A caller's request for host addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Locate {
    /// The caller's availability zone; none if unspecified.
    pub zone: Option<String>,
}

/// Reads and writes the requests and responses of callers and targets.
pub trait Protocol: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// If a required header is missing or invalid.
    fn ask(&self, headers: &HeaderMap) -> Result<Ask, BadAsk>;

    /// Builds the headers to send to a target from a caller's headers.
    fn hand_over(&self, headers: &HeaderMap, handover: &Handover<'_>) -> HeaderMap;

    /// Parses the status and headers of a target's response.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Builds the headers of the response to the caller from a target's headers.
    fn hand_back(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the response to [`Work::Prefill`]; none if it is invalid.
    fn prefilled(&self, body: &[u8]) -> Option<Prefilled>;

    /// Path of the request that deletes an exported KV cache.
    fn export_path(&self, handle: &str) -> String;

    /// Adds the headers of a response to request `id` that the gateway generates
    /// itself.
    fn mark(&self, id: &str, headers: &mut HeaderMap);

    /// Parses a request for host addresses; none if the path is another one.
    fn locate(&self, path: &str, query: &str) -> Option<Locate>;

    /// Encodes the response to a request for host addresses, which callers may cache
    /// for `keep`.
    fn located(&self, addrs: &[SocketAddr], keep: Duration) -> Vec<u8>;

    /// Whether `path` is the readiness endpoint.
    fn is_ready_path(&self, path: &str) -> bool;
}

/// A stored object that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {reason}"))]
pub struct Undecodable {
    /// Path of the field.
    pub place: String,
    /// What is wrong with the field.
    pub reason: String,
}

/// Decodes the stored objects that operators and targets write.
pub trait Decoder: Send + Sync {
    /// Key of the configuration object.
    fn config_key(&self) -> &str;

    /// Key prefix to watch for the configuration object.
    fn config_prefix(&self) -> &str;

    /// Key prefix of the targets' entries; the rest of a key is the target's id.
    fn target_prefix(&self) -> &str;

    /// Decodes the configuration.
    ///
    /// # Errors
    /// If a required field is missing or has the wrong type.
    fn config(&self, value: &Value) -> Result<Config, Undecodable>;

    /// Decodes a target's entry.
    ///
    /// # Errors
    /// If the entry does not describe a usable target.
    fn target(&self, id: Arc<str>, value: &Value) -> Result<TargetEntry, Undecodable>;
}
