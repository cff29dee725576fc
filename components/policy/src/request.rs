//! Requests as seen by the policy.

use std::sync::Arc;

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::{BlockHash, OrgId, ServiceId};

/// Priority of a request among the requests of its own organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub enum Priority {
    /// Served only when the organisation has no other waiting requests.
    Batch,
    /// The default.
    #[default]
    Normal,
    /// Served before all others.
    Urgent,
}

/// Properties of a request that are known before it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The organisation that the API key of the request belongs to.
    pub org: OrgId,
    /// The requested service.
    pub service: ServiceId,
    /// Prompt length in tokens; zero for plain services.
    pub prompt_tokens: u32,
    /// Expected output length in tokens: the limit set by the caller, or a lower estimate.
    pub output_tokens: u32,
    /// Hash chain over the full prompt blocks of [`BLOCK_TOKENS`] tokens each.
    ///
    /// [`BLOCK_TOKENS`]: crate::BLOCK_TOKENS
    pub prefix: Arc<[BlockHash]>,
    /// Deadline for the first token, or for the complete answer of a plain service.
    pub deadline: Time,
    /// Priority among requests of the same organisation.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the request body; only compared within one organisation.
    pub digest: u64,
    /// Whether the request was running on a target that crashed, and must be isolated.
    pub suspect: bool,
}

/// Identifies a request within its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint {
    /// The organisation; equal bodies of two organisations are different requests.
    pub org: OrgId,
    /// Hash of the request body.
    pub digest: u64,
}

/// Prompt tokens in one block of the prefix hash chain.
pub const BLOCK_TOKENS: u32 = 64;

impl Request {
    /// The identity of the request, equal for each retry by the caller.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint { org: self.org, digest: self.digest }
    }

    /// Cost for fair queueing, in prompt tokens; output tokens weigh more.
    pub fn cost(&self) -> u64 {
        u64::from(self.prompt_tokens) + OUTPUT_WEIGHT * u64::from(self.output_tokens) + REQUEST_COST
    }
}

/// Cost of one output token, in prompt tokens.
const OUTPUT_WEIGHT: u64 = 4;

/// Fixed cost of a request, in prompt tokens.
const REQUEST_COST: u64 = 16;
