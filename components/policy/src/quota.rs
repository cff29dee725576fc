//! Quotas of organisations: the token bucket of a partition's owner, and what a host holds.
//!
//! An organisation's quota is divided into equal partitions. The owner of a partition grants amounts
//! from a token bucket; a host may spend a grant within [`GRANT_LIFE`] of the time at which it asked.
//! What all hosts spend in any window was therefore granted in that window and the [`GRANT_LIFE`]
//! before it. [`QuotaTerms`] scales the buckets down if the allowed overage does not cover that time.

mod asking;
mod bucket;
mod holdings;

use std::time::Duration;

pub use self::{
    asking::{AskStep, Asking},
    bucket::{QuotaBucket, QuotaReply},
    holdings::{Charge, Holdings},
};

/// Time after it has asked for which a host may spend what it is granted.
pub const GRANT_LIFE: Duration = Duration::from_millis(500);

/// Number of partitions of each organisation's quota.
pub const QUOTA_PARTITIONS: usize = 4;

/// Smallest capacity of a bucket, as the time in which its rate fills it: hosts that were refused
/// return after that time at most, and a smaller bucket would overflow before they do.
const MIN_BURST_SECS: f64 = 0.25;

/// Share of the slack that the debts of all buckets together may take. The rest is for requests that
/// were admitted and reach their target later.
const DEBT_SHARE: f64 = 0.75;

/// What all hosts together may exceed a quota by, and the window in which it is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window in which the requests are counted.
    pub window: Duration,
    /// Share of the allowed amount by which it may be exceeded.
    pub overage: f64,
    /// Further amount by which it may be exceeded.
    pub slack: f64,
}

/// Rate and limits of the bucket of one partition.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Amount per second.
    pub rate: f64,
    /// Maximum balance.
    pub burst: f64,
    /// Amount by which a request may make the balance negative.
    pub max_debt: f64,
    /// Time in which a new bucket may not become negative, since the previous owner's may have been.
    pub settling: Duration,
}

impl QuotaTerms {
    /// The terms of each partition of a quota of `rate` per second and `burst`.
    pub fn of_partition(rate: f64, burst: f64, bounds: &QuotaBounds) -> QuotaTerms {
        let burst = burst.max(0.0);
        let capacity = burst.max(rate * MIN_BURST_SECS);
        let window = bounds.window.as_secs_f64();
        let allowed = (rate * window + burst) * (1.0 + bounds.overage);
        let granted = rate * (window + GRANT_LIFE.as_secs_f64()) + capacity;
        let scale = (allowed / granted).min(1.0) / QUOTA_PARTITIONS as f64;
        QuotaTerms {
            rate: rate * scale,
            burst: capacity * scale,
            max_debt: bounds.slack.max(0.0) * DEBT_SHARE / QUOTA_PARTITIONS as f64,
            settling: bounds.window + GRANT_LIFE,
        }
    }
}
