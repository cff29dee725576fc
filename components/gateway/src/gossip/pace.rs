//! When a host gossips, and with how many others.
//!
//! Rounds to a few hosts in rotation cost the same at any number of hosts. News that all should have
//! at once costs some datagrams for each of them. Where many targets fail together, every host has such news all the
//! time, and without a bound the links of small hosts carry little else: requests, and the cancellation of those
//! whose callers have left, wait behind it. What exceeds the bound goes out with the usual rounds.

use std::time::Duration;

use chervilgate_clock::Time;

#[cfg(test)]
mod tests;

/// Interval between rounds; requests last a few hundred milliseconds.
pub(super) const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of hosts that receive a round.
pub(super) const FANOUT: usize = 12;

/// Bytes of broadcasts that a host sends a second in the long run: a fifth of a link of 10 Mbit/s.
const BROADCAST_RATE: f64 = 256e3;

/// Number of bytes that may be saved up.
const BROADCAST_BURST: f64 = 256e3;

/// Who is sent gossip now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// All hosts.
    All,
    /// The hosts whose turn it is.
    Some,
    /// Nobody, as a round has just gone out.
    None,
}

/// Decides on the rounds of one host.
#[derive(Debug)]
pub(super) struct Pace {
    /// Bytes that broadcasts may take; below zero after one that took more.
    balance: f64,
    updated: Time,
    last_round: Time,
}

impl Pace {
    pub(super) fn new(now: Time) -> Pace {
        Pace { balance: BROADCAST_BURST, updated: now, last_round: now }
    }

    /// Decides on a round; `is_urgent` if all should have the news.
    pub(super) fn next(&mut self, now: Time, is_urgent: bool) -> Reach {
        let earned = now.since(self.updated).as_secs_f64() * BROADCAST_RATE;
        self.balance = (self.balance + earned).min(BROADCAST_BURST);
        self.updated = now;
        if is_urgent && self.balance > 0.0 {
            self.last_round = now;
            return Reach::All;
        }
        if is_urgent && now.since(self.last_round) < ROUND_INTERVAL {
            return Reach::None;
        }
        self.last_round = now;
        Reach::Some
    }

    /// Records the size of a broadcast to all hosts together.
    pub(super) fn record_broadcast(&mut self, bytes: usize) {
        self.balance -= bytes as f64;
    }
}
