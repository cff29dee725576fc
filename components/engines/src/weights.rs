//! The rate-limited weight store.

use std::time::Duration;

use chervilgate_clock::Time;

/// Serves weights one load after the other at a limited rate.
#[derive(Debug, Clone)]
pub struct WeightStore {
    rate: u64,
    free: Time,
}

impl WeightStore {
    /// A store that sends `rate` bytes a second in all.
    pub fn new(rate: u64) -> WeightStore {
        WeightStore { rate: rate.max(1), free: Time::ZERO }
    }

    /// Queues a load of `bytes` at `now`; returns when it is complete.
    pub fn load(&mut self, now: Time, bytes: u64) -> Time {
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.rate);
        let span = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.free = self.free.max(now) + span;
        self.free
    }
}
