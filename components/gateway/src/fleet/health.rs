//! How a target has done of late, from its answers alone.
//!
//! A target's own word on its health is not asked: it can be wrong either way.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::fleet::Outcome;

/// Weight of one answer in the failure rate.
const GAIN: f64 = 0.2;

/// Weight of a failed connection in the failure rate.
const UNREACHABLE_GAIN: f64 = 0.6;

/// Weight of an answer by another process: certain.
const GONE_GAIN: f64 = 1.0;

/// Weight of a refusal for lack of room in the failure rate.
const FULL_GAIN: f64 = 0.1;

/// Time after which half of a failure rate is forgotten, so that a target that gets
/// no requests is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A target's failure rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    rate: f64,
    at: Time,
}

impl Health {
    /// No failures.
    pub(super) fn new(now: Time) -> Health {
        Health { rate: 0.0, at: now }
    }

    /// The failure rate, from 0 to 1.
    pub(super) fn rate(&self, now: Time) -> f64 {
        if self.rate == 0.0 {
            return 0.0;
        }
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(halves)
    }

    /// Takes in how a request ended.
    pub(super) fn note(&mut self, now: Time, outcome: Outcome) {
        let (gain, failed) = match outcome {
            Outcome::Answered => (GAIN, 0.0),
            Outcome::Failed => (GAIN, 1.0),
            Outcome::Unreachable => (UNREACHABLE_GAIN, 1.0),
            Outcome::Gone => (GONE_GAIN, 1.0),
            Outcome::Full => (FULL_GAIN, 1.0),
            Outcome::Neutral => return,
        };
        let rate = self.rate(now);
        self.rate = rate + gain * (failed - rate);
        self.at = now;
    }
}
