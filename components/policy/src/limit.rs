//! Shares of the rate of requests that a target takes from all hosts together.
//!
//! Hosts do not ask each other before they send. Each works out its share by a rule that gives the
//! same result on all hosts that know the same hosts. Shares of far less than one request a second
//! would hardly ever be usable, and together too much at the start, so only two hosts more than
//! the limit has requests a second hold shares of it, drawn by rendezvous hashing. The others send
//! elsewhere.
//!
//! In any span of `t` seconds the holders send at most `limit * t` and the burst of each, together
//! at most half a second's worth of the limit or one request a holder, whichever is more.

use std::time::Duration;

use chervilgate_clock::Time;

#[cfg(test)]
mod tests;

/// Number of holders beyond one for each request a second: a host alone sees few of the callers.
const EXTRA_HOLDERS: usize = 2;

/// Rate at which a target that takes fewer requests, or none, is asked whether that still holds, in
/// requests a second.
const PROBE_RATE: f64 = 0.2;

/// Time for which an unused share adds up.
const BURST_TIME_SECS: f64 = 0.5;

/// The share of `limit`, in requests a second, that a host may use; none if it holds no share.
///
/// `own` identifies the host and `others` the other hosts, by hashes of their names; `target`
/// identifies the target.
pub fn share_of_limit(limit: f64, target: u64, own: u64, others: &[u64]) -> Option<f64> {
    let hosts = others.len() + 1;
    let holders = (limit as usize).saturating_add(EXTRA_HOLDERS).min(hosts);
    let before = hosts_before(target, own, others).count();
    (before < holders).then(|| limit.max(PROBE_RATE) / holders as f64)
}

/// Whether the host `own` is the first of all to hold a share of what `target` takes.
pub fn is_first_holder(target: u64, own: u64, others: &[u64]) -> bool {
    hosts_before(target, own, others).next().is_none()
}

fn hosts_before(target: u64, own: u64, others: &[u64]) -> impl Iterator<Item = &u64> {
    let own_rank = (mix(target, own), own);
    others.iter().filter(move |other| (mix(target, **other), **other) < own_rank)
}

/// Hashes a target and a host into a sort key with the SplitMix64 finalizer.
fn mix(target: u64, host: u64) -> u64 {
    let mut x = target.rotate_left(32) ^ host.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// What is left of a host's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareBudget {
    /// Requests a second; zero if the host holds no share.
    rate: f64,
    balance: f64,
    updated: Time,
    /// Time before which nothing may be sent.
    usable_at: Time,
}

impl ShareBudget {
    /// Starts empty and without a share: the target has just got as much as it asks for, or more.
    pub fn new(now: Time) -> ShareBudget {
        ShareBudget { rate: 0.0, balance: 0.0, updated: now, usable_at: now }
    }

    /// Sets the share. A host that had none may use it from `usable_at`: another host may still be
    /// using it.
    pub fn set_share(&mut self, now: Time, share: Option<f64>, usable_at: Time) {
        self.balance = self.balance_at(now);
        self.updated = now;
        if self.rate == 0.0 {
            self.usable_at = usable_at;
        }
        self.rate = share.unwrap_or(0.0);
        self.balance = self.balance.min(self.burst());
    }

    /// Whether a request may be sent.
    pub fn has_request(&self, now: Time) -> bool {
        self.rate > 0.0 && now >= self.usable_at && self.balance_at(now) >= 1.0
    }

    /// Takes a request from the share; returns false if none is left.
    pub fn try_take(&mut self, now: Time) -> bool {
        if !self.has_request(now) {
            return false;
        }
        self.balance = self.balance_at(now) - 1.0;
        self.updated = now;
        true
    }

    /// Time until a request may be sent; none without a share.
    pub fn wait(&self, now: Time) -> Option<Duration> {
        if self.rate == 0.0 {
            return None;
        }
        let missing = (1.0 - self.balance_at(now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        Some(wait.max(self.usable_at.since(now)))
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME_SECS).max(1.0)
    }

    fn balance_at(&self, now: Time) -> f64 {
        (self.balance + self.rate * now.since(self.updated).as_secs_f64()).min(self.burst())
    }
}
