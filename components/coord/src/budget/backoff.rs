//! Waits between attempts.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Exponential delays with full jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    attempt: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Delays of up to `first`, doubled after each failure, never over `most`.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Backoff {
        Backoff { first, most, attempt: 0, rng: Pcg32::seed_from_u64(seed) }
    }

    /// The delay after one more failure.
    ///
    /// At least half of `first`, so that a failing call never spins.
    pub fn fail(&mut self) -> Duration {
        let ceiling = self.first.saturating_mul(1 << self.attempt.min(16)).min(self.most);
        self.attempt += 1;
        let floor = self.first / 2;
        let spread = ceiling.saturating_sub(floor).as_micros() as u64;
        floor + Duration::from_micros(self.rng.random_range(0..=spread))
    }

    /// Forgets earlier failures.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
