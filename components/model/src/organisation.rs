//! Organisations that use the system.

use serde::{Deserialize, Serialize};

use crate::Name;

/// An organisation with its scheduling weight and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Name,
    /// Share of a busy fleet, relative to other organisations; 1 to 1000.
    pub weight: u32,
    /// Upper limits of its usage.
    pub limits: Limits,
}

/// Upper limits of an organisation's usage; `None` means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Concurrent requests at one entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inflight: Option<u32>,
    /// Tokens per second at one entry, prompt and output together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u64>,
}

impl Organisation {
    /// Smallest weight; also the default.
    pub const WEIGHT_MIN: u32 = 1;
    /// Largest weight.
    pub const WEIGHT_MAX: u32 = 1_000;
}
