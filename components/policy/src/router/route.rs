//! Routes of requests and the state and outcome of their attempts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, TargetId, Ticket};

/// A cached prefix to import before the rest of the prompt is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvFetch {
    /// The engine that has the prefix cached.
    pub from: TargetId,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// The targets that run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Route {
    /// The target that computes the prompt.
    pub prefill: TargetId,
    /// The target that generates the output; imports the KV cache if it differs from `prefill`.
    pub decode: TargetId,
    /// Prompt tokens that are cached on `prefill` or fetched by it.
    pub cached_tokens: u32,
    /// Cached prefix that `prefill` first imports from a third engine.
    pub fetch: Option<KvFetch>,
    /// Predicted time to first token.
    pub ttft: Duration,
}

/// How an attempt ended, as far as its target is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was answered.
    Done,
    /// Cancelled by the caller or by this host.
    Cancelled,
    /// Refused or failed by the target, or the target was unreachable.
    Failed,
    /// The target crashed.
    Crashed,
}

/// An attempt that is running on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The attempt.
    pub ticket: Ticket,
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Whether this attempt has produced its first token.
    pub first_token_seen: bool,
}
