//! Where a request runs, and how its attempts stand and end.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, TargetId, Ticket};

/// KV cache to import before the rest of the prompt is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// The engine that holds it.
    pub from: TargetId,
    /// Prompt tokens that it covers.
    pub tokens: u32,
}

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Route {
    /// Computes the prompt.
    pub prefill: TargetId,
    /// Generates the output; imports the KV cache when it is another target.
    pub decode: TargetId,
    /// Prompt tokens that need no computing: cached there, or fetched.
    pub cached: u32,
    /// Prefix KV cache that `prefill` imports from a third engine first.
    pub fetch: Option<Fetch>,
    /// Predicted time to the first token.
    pub first: Duration,
}

/// How an attempt ended, as far as its target is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Done,
    /// Cancelled by the caller or by this host.
    Cancelled,
    /// Refused or failed by the target, or unreachable.
    Failed,
    /// The target crashed.
    Crashed,
}

/// An attempt that runs on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The attempt.
    pub ticket: Ticket,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether its first token was seen in this attempt.
    pub proven: bool,
}
