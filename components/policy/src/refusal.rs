//! Refusals: final answers for requests that are not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// No target of the service is serving.
    NoTarget,
    /// Every eligible target is at capacity.
    Full,
    /// The request cannot meet its deadline.
    Late,
    /// The organisation has used its fair share of a busy service.
    ShareUsed,
    /// The same request crashed targets before and is quarantined.
    Quarantined,
    /// The retry budget did not allow a retry or hedge.
    Budget,
}

/// A request that was refused without being run, with advice on when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time to wait before a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal for `reason` that advises a retry after `retry_after`.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, retry_after }
    }
}
