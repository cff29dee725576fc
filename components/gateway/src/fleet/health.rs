//! Recent failure rate of a target, from its responses alone.
//!
//! A target's own health report is not used: it can be wrong either way.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::fleet::AttemptOutcome;

/// Weight of a response in the failure rate.
const RESPONSE_WEIGHT: f64 = 0.2;

/// Weight of a failed connection in the failure rate.
const UNREACHABLE_WEIGHT: f64 = 0.6;

/// Weight of a response by another process at the target's address; sets the failure
/// rate to 1, since the target no longer runs there.
const REPLACED_WEIGHT: f64 = 1.0;

/// Weight of a refusal for lack of capacity in the failure rate.
const FULL_WEIGHT: f64 = 0.1;

/// Time in which the failure rate halves, so that a target without requests is tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A target's failure rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    rate: f64,
    updated_at: Time,
}

impl Health {
    /// Starts without failures.
    pub(super) fn new(now: Time) -> Health {
        Health { rate: 0.0, updated_at: now }
    }

    /// The failure rate, from 0 to 1.
    pub(super) fn rate(&self, now: Time) -> f64 {
        if self.rate == 0.0 {
            return 0.0;
        }
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(half_lives)
    }

    /// Updates the failure rate with the outcome of a request.
    pub(super) fn record(&mut self, now: Time, outcome: AttemptOutcome) {
        let (weight, failed) = match outcome {
            AttemptOutcome::Answered => (RESPONSE_WEIGHT, 0.0),
            AttemptOutcome::ErrorAnswer | AttemptOutcome::Failed => (RESPONSE_WEIGHT, 1.0),
            AttemptOutcome::Unreachable => (UNREACHABLE_WEIGHT, 1.0),
            AttemptOutcome::Replaced => (REPLACED_WEIGHT, 1.0),
            AttemptOutcome::Full => (FULL_WEIGHT, 1.0),
            AttemptOutcome::Unrelated => return,
        };
        let rate = self.rate(now);
        self.rate = rate + weight * (failed - rate);
        self.updated_at = now;
    }
}
