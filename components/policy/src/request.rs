//! Requests as the policy sees them.

use std::sync::Arc;

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::{BlockHash, OrgId, ServiceId};

/// The order in which an organisation's own requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub enum Priority {
    /// Served when nothing else waits.
    Batch,
    /// The usual one.
    #[default]
    Normal,
    /// Served first.
    Urgent,
}

/// What is known of a request before it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The organisation whose key came with it.
    pub org: OrgId,
    /// The service that it asks for.
    pub service: ServiceId,
    /// Prompt length in tokens; zero for plain services.
    pub prompt: u32,
    /// Output length in tokens: the caller's limit, or an estimate below it.
    pub output: u32,
    /// Hash chain over the prompt's full blocks of [`BLOCK_TOKENS`] tokens.
    ///
    /// [`BLOCK_TOKENS`]: crate::BLOCK_TOKENS
    pub prefix: Arc<[BlockHash]>,
    /// When the first token, or a plain service's answer, is due.
    pub deadline: Time,
    /// Its rank among the organisation's own requests.
    pub priority: Priority,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hash of the whole request body; only compared within the organisation.
    pub digest: u64,
    /// Whether it ran on a target that crashed, and is to be run apart.
    pub suspect: bool,
}

/// Identifies a request within its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint {
    /// The organisation; requests of two organisations are never the same.
    pub org: OrgId,
    /// Hash of the request body.
    pub digest: u64,
}

/// Prompt tokens in one block of the prefix hash chain.
pub const BLOCK_TOKENS: u32 = 64;

impl Request {
    /// What identifies the request when it is sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint { org: self.org, digest: self.digest }
    }

    /// Fair-queueing cost in tokens: output tokens weigh more than prompt tokens.
    pub fn cost(&self) -> u64 {
        u64::from(self.prompt) + OUTPUT_WEIGHT * u64::from(self.output) + REQUEST_COST
    }
}

/// Prompt tokens that cost an engine as much as one output token.
const OUTPUT_WEIGHT: u64 = 4;

/// Cost of a request without tokens.
const REQUEST_COST: u64 = 16;
