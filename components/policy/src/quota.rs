//! Quotas of organisations: the token bucket of a partition's owner, and what a host holds.
//!
//! An organisation's quota is divided into equal partitions. The owner of a partition grants amounts
//! from a token bucket; a host may spend a grant within [`GRANT_LIFE`] of the time at which it asked.
//! What all hosts spend in any window was therefore granted in that window and the [`GRANT_LIFE`]
//! before it. [`QuotaTerms`] scales the buckets by what the overage and the slack allow.

mod asking;
mod bucket;
mod holdings;

use std::time::Duration;

pub use self::{
    asking::{AskStep, Asking, KnownPartitions},
    bucket::{BucketStart, QuotaBucket, QuotaReply},
    holdings::{Charge, Holdings},
};

/// Time after it has asked for which a host may spend what it is granted.
pub const GRANT_LIFE: Duration = Duration::from_millis(500);

/// Number of partitions of each organisation's quota.
pub const QUOTA_PARTITIONS: usize = 4;

/// Smallest capacity of a bucket, as the time in which its rate fills it: hosts that were refused
/// return after that time at most, and a smaller bucket would overflow before they do.
const MIN_BURST_SECS: f64 = 0.25;

/// Share of the slack that the debts of all settled buckets together may take, and share that the debts
/// of their successors may take until these are settled. With [`RATE_SHARE`] a quarter remains for
/// requests that were admitted and reach their target later.
const DEBT_SHARE: f64 = 0.375;
const SUCCESSOR_DEBT_SHARE: f64 = 0.1875;

/// Share of the slack that may be granted beyond the rate in a window. Where a quarter of the burst is less
/// than one request, buckets serve larger but fewer requests than one bucket for all hosts would; at the
/// bare rate that was up to a fifth fewer.
const RATE_SHARE: f64 = 0.1875;

/// Share of a full bucket from which the largest request is granted, smaller ones in proportion. At 0
/// requests of all sizes have the same chance, and up to a fifth fewer are served than by one bucket for all
/// hosts.
const BALANCE_SHARE: f64 = 0.8;

/// Largest factor by which buckets may exceed the rate.
const MAX_SCALE: f64 = 1.25;

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

impl QuotaBounds {
    /// Time after which what a previous owner granted no longer counts in any window.
    pub fn settling(&self) -> Duration {
        self.window + GRANT_LIFE
    }
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
    /// Amount by which a request may make the balance negative while the bucket is not settled, if its
    /// predecessor was.
    pub successor_debt: f64,
    /// Time after which what a previous owner granted no longer counts in any window.
    pub settling: Duration,
}

impl QuotaTerms {
    /// The terms of each partition of a quota of `rate` per second and `burst`.
    ///
    /// Grants count in a window if they were made in it or in the [`GRANT_LIFE`] before, which the overage
    /// must cover. Slack raises the rate to what a window allows, rate x window + burst, if it suffices.
    pub fn of_partition(rate: f64, burst: f64, bounds: &QuotaBounds) -> QuotaTerms {
        let burst = burst.max(0.0);
        let slack = bounds.slack.max(0.0);
        let capacity = burst.max(rate * MIN_BURST_SECS);
        let window = bounds.window.as_secs_f64();
        let allowed = (rate * window + burst) * (1.0 + bounds.overage);
        let granted = rate * (window + GRANT_LIFE.as_secs_f64()) + capacity;
        let max_scale = (1.0 + burst / (rate * window)).min(MAX_SCALE);
        let scale = (allowed.min(granted) + slack * RATE_SHARE) / granted;
        let scale = scale.min(max_scale) / QUOTA_PARTITIONS as f64;
        QuotaTerms {
            rate: rate * scale,
            burst: capacity * scale,
            max_debt: slack * DEBT_SHARE / QUOTA_PARTITIONS as f64,
            successor_debt: slack * SUCCESSOR_DEBT_SHARE / QUOTA_PARTITIONS as f64,
            settling: bounds.settling(),
        }
    }

    /// Balance from which a bucket grants `need` while its balance may be negative by `debt`.
    fn needed_balance(&self, need: f64, debt: f64) -> f64 {
        let proportional = BALANCE_SHARE * self.burst * need / (self.burst + debt);
        (need - debt).max(proportional)
    }
}
