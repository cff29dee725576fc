//! When a host gossips, and with how many others.
//!
//! Rounds to a few hosts in rotation cost the same at any number of hosts. News that all should have
//! at once costs a datagram for each of them. Where many targets fail together, every host has such news all the
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

/// Recipients of broadcasts a second that a host addresses in the long run: as many as rounds do.
const BROADCAST_RATE: f64 = 120.0;

/// Number of recipients that may be saved up.
const BROADCAST_BURST: f64 = 360.0;

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
    /// Recipients that broadcasts may address.
    balance: f64,
    updated: Time,
    last_round: Time,
}

impl Pace {
    pub(super) fn new(now: Time) -> Pace {
        Pace { balance: BROADCAST_BURST, updated: now, last_round: now }
    }

    /// Decides on a round to some of `peers` hosts; `is_urgent` if all should have the news.
    pub(super) fn next(&mut self, now: Time, is_urgent: bool, peers: usize) -> Reach {
        let earned = now.since(self.updated).as_secs_f64() * BROADCAST_RATE;
        self.balance = (self.balance + earned).min(BROADCAST_BURST.max(peers as f64));
        self.updated = now;
        if is_urgent && self.balance >= peers as f64 {
            self.balance -= peers as f64;
            self.last_round = now;
            return Reach::All;
        }
        if is_urgent && now.since(self.last_round) < ROUND_INTERVAL {
            return Reach::None;
        }
        self.last_round = now;
        Reach::Some
    }
}
