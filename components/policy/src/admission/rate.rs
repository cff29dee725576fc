//! Measures how fast waiting requests are started.

use std::time::Duration;

use chervilgate_clock::Time;

/// Time constant of the measured rate, in seconds.
const WINDOW_SECS: f64 = 2.0;

/// Minimum busy time before a rate is known, in seconds.
const MIN_BUSY_SECS: f64 = 0.3;

/// Weight of a new request in the mean time to first token.
const TTFT_GAIN: f64 = 0.05;

/// Cost started per second while requests are waiting, and mean time to first token.
///
/// Only busy time counts: while nothing is waiting, the rate depends on the callers and not
/// on the capacity of the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceRate {
    cost: f64,
    busy_secs: f64,
    updated: Option<Time>,
    mean_ttft: f64,
}

impl ServiceRate {
    /// Records a start; `busy` is true if other requests were waiting.
    pub(crate) fn record_start(&mut self, now: Time, cost: u64, ttft: Duration, busy: bool) {
        self.mean_ttft += TTFT_GAIN * (ttft.as_secs_f64() - self.mean_ttft);
        if busy && self.updated.is_some() {
            self.advance(now);
            self.cost += cost as f64;
        }
    }

    /// Records whether the queue is empty at `now`.
    pub(crate) fn set_empty(&mut self, now: Time, empty: bool) {
        self.advance(now);
        self.updated = (!empty).then_some(now);
    }

    /// Mean predicted time from start to first token.
    pub(super) fn mean_ttft(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ttft)
    }

    /// Predicted time until `cost` is started; zero if the rate is not known yet.
    pub(crate) fn wait_for(&self, cost: u64) -> Duration {
        if self.busy_secs < MIN_BUSY_SECS {
            return Duration::ZERO;
        }
        let rate = (self.cost / self.busy_secs).max(1.0);
        Duration::from_secs_f64(cost as f64 / rate)
    }

    fn advance(&mut self, now: Time) {
        let Some(updated) = self.updated else { return };
        let elapsed = now.since(updated).as_secs_f64();
        let decay = (-elapsed / WINDOW_SECS).exp();
        self.cost *= decay;
        self.busy_secs = self.busy_secs * decay + WINDOW_SECS * (1.0 - decay);
        self.updated = Some(now);
    }
}
