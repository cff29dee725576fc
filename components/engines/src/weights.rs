//! Simulated store of model weights with limited throughput.

use std::time::Duration;

use chervilgate_clock::Time;

/// A store that serves one load of weights after another.
#[derive(Debug, Clone)]
pub struct WeightStore {
    /// In bytes per second.
    rate: u64,
    /// When the last queued load is complete.
    free_at: Time,
}

impl WeightStore {
    /// Creates a store with a total throughput of `rate` bytes per second.
    pub fn new(rate: u64) -> WeightStore {
        WeightStore { rate: rate.max(1), free_at: Time::ZERO }
    }

    /// Queues a load of `bytes` at `now` and returns when it is complete.
    pub fn load(&mut self, now: Time, bytes: u64) -> Time {
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.rate);
        let duration = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}
