//! Delays between attempts of a failing call.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Exponential backoff with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    attempt: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Delays of up to `initial`, doubled after each failure and limited to `max`.
    ///
    /// `seed` seeds the jitter.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { initial, max, attempt: 0, rng: Pcg32::seed_from_u64(seed) }
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The delay is at least half of `initial`, so that a failing call never busy-loops.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.initial.saturating_mul(1 << self.attempt.min(16)).min(self.max);
        self.attempt += 1;
        let floor = self.initial / 2;
        let jitter_micros = ceiling.saturating_sub(floor).as_micros() as u64;
        floor + Duration::from_micros(self.rng.random_range(0..=jitter_micros))
    }

    /// Starts again from the initial delay, after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
