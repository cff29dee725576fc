//! Traits through which the gateway reads and writes the formats of external systems.
//!
//! The embedding program implements them for its callers, targets and store; the
//! gateway contains no header or field names of theirs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode, header::HeaderName};
use serde_json::Value;
use smallvec::SmallVec;
use snafu::Snafu;

use crate::{config::Config, fleet::TargetEntry};

/// Metadata of a caller's request, parsed from its headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestHead {
    /// Request id, repeated in the response.
    pub id: String,
    /// How long the caller waits; none if unspecified.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Id of the last event that the caller received of an earlier response, to resume
    /// after.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream that is resumed.
    pub origin: Option<String>,
    /// The prompt; empty for plain services.
    pub prompt: Prompt,
}

/// Size and parts of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Total number of prompt tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// The parts in order; the last one belongs to this request alone.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// An invalid or missing request header.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {name}: {reason}"))]
pub struct InvalidHeader {
    /// Name of the header.
    pub name: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// The part of a request that a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage<'a> {
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
pub struct ForwardedRequest<'a> {
    /// Id of the only target that may run it.
    pub target: &'a str,
    /// Organisation that the request runs for; none without an API key.
    pub org: Option<&'a str>,
    /// Time until the gateway gives up on the request.
    pub time_left: Duration,
    /// Scheduling priority on an engine, where 0 is the highest; none for plain
    /// services.
    pub priority: Option<u8>,
    /// The part of the request that the target runs.
    pub stage: RequestStage<'a>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Engine from which the target fetches what that one has cached of the prompt; none if it
    /// computes what it lacks.
    pub import: Option<SocketAddr>,
}

/// What a target states in a response of the requests a second that it takes from all hosts
/// together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitStatement {
    /// It states no limit.
    #[default]
    Absent,
    /// What it states cannot be read.
    Unreadable,
    /// Requests a second; neither negative nor infinite.
    Rate(f64),
}

/// What a target states of the content of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Content {
    /// It states no type and no encoding.
    #[default]
    Unstated,
    /// Events, without an encoding.
    Events,
    /// Another type, or an encoding.
    Other,
}

/// Metadata of a target's response, parsed from its headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// Id of the request that it answers, if present.
    pub id: Option<String>,
    /// Whether the target states that the request did not run.
    pub not_run: bool,
    /// Whether the target has signed the response.
    pub signed: bool,
    /// What the target states of the content.
    pub content: Content,
    /// Whether the target states that it is leaving.
    pub leaving: bool,
    /// What the target states of its limit.
    pub limit: LimitStatement,
    /// Time for which the target, which turned the request away, wants nothing from this host; zero
    /// if it asks for no rest.
    pub rest: Duration,
}

/// Response of a target to [`RequestStage::Prefill`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResponse {
    /// The target's name for the exported KV cache.
    pub handle: String,
}

/// A caller's request for host addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LocateRequest {
    /// The caller's availability zone; none if unspecified.
    pub zone: Option<String>,
}

/// Reads and writes the requests and responses of callers and targets.
pub trait Protocol: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// If a required header is missing or invalid.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader>;

    /// Whether a header of a caller's request may tell a target what to do, and is not new for each sending.
    fn identifies(&self, header: &HeaderName) -> bool;

    /// Builds the headers to send to a target from a caller's headers.
    fn target_headers(&self, headers: &HeaderMap, request: &ForwardedRequest<'_>) -> HeaderMap;

    /// Parses the status and headers of a target's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Builds the headers of the response to the caller from a target's headers.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the response to [`RequestStage::Prefill`]; none if it is invalid.
    fn parse_prefill(&self, body: &[u8]) -> Option<PrefillResponse>;

    /// Path of the request that deletes an exported KV cache.
    fn export_path(&self, handle: &str) -> String;

    /// Adds the headers of a response to request `id` that the gateway generates
    /// itself.
    fn mark_response(&self, id: &str, headers: &mut HeaderMap);

    /// Parses a request for host addresses; none if the path is another one.
    fn parse_locate(&self, path: &str, query: &str) -> Option<LocateRequest>;

    /// Encodes the response to a request for host addresses, which callers may cache
    /// for `address_ttl`.
    fn locate_response(&self, addrs: &[SocketAddr], address_ttl: Duration) -> Vec<u8>;

    /// Whether `path` is the readiness endpoint.
    fn is_ready_path(&self, path: &str) -> bool;
}

/// A stored object that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct DecodeError {
    /// Path of the field.
    pub field: String,
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
    fn config(&self, value: &Value) -> Result<Config, DecodeError>;

    /// Decodes a target's entry.
    ///
    /// # Errors
    /// If the entry does not describe a usable target.
    fn target(&self, id: Arc<str>, value: &Value) -> Result<TargetEntry, DecodeError>;
}
