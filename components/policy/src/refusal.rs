//! Refusals: final answers to requests that are not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// No target serves this service.
    NoTarget,
    /// Every target that could take it is full.
    Full,
    /// Its deadline cannot be met.
    Late,
    /// Its organisation has used its share of a busy service.
    ShareUsed,
    /// The same request crashed targets before.
    Quarantined,
    /// A retry or hedge was not granted.
    Budget,
}

/// A refusal that says "not run"; given at once when the decision falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Earliest moment at which a new attempt may be worth it.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal for `reason`, worth a new attempt after `retry_after`.
    pub fn new(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal { reason, retry_after }
    }
}
