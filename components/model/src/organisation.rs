//! Organisations that use the system.

use serde::{Deserialize, Serialize};

use crate::Name;

/// An organisation, its share of the fleet and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its share of a busy fleet, relative to other organisations; 1 to 1000.
    pub weight: u32,
    /// What it may use at most.
    pub limits: Limits,
}

/// What an organisation may use at most; an absent limit does not bind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Requests in flight at one entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inflight: Option<u32>,
    /// Tokens a second, prompt and output together, at one entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u64>,
}

impl Organisation {
    /// Smallest weight.
    pub const WEIGHT_MIN: u32 = 1;
    /// Largest weight.
    pub const WEIGHT_MAX: u32 = 1_000;
}
