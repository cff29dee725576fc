//! How fast requests leave a busy queue.

use std::time::Duration;

use chervilgate_clock::Time;

/// Time constant of the measured speed, in seconds.
const WINDOW: f64 = 2.0;

/// Busy time before a speed is told, in seconds.
const WARM: f64 = 0.3;

/// Weight of a new request in the mean time to the first token.
const FIRST_GAIN: f64 = 0.05;

/// Cost started a second while requests wait, and the time to a first token.
///
/// Only busy time counts: while nothing waits, the speed is the callers' and says
/// nothing about the service's.
#[derive(Debug, Default)]
pub(super) struct Pace {
    cost: f64,
    busy: f64,
    last: Option<Time>,
    first: f64,
}

impl Pace {
    /// Notes a start, while other requests waited if `busy`.
    pub(super) fn started(&mut self, now: Time, cost: u64, first: Duration, busy: bool) {
        self.first += FIRST_GAIN * (first.as_secs_f64() - self.first);
        if busy && self.last.is_some() {
            self.advance(now);
            self.cost += cost as f64;
        }
    }

    /// Notes whether the queue is empty now.
    pub(super) fn idle(&mut self, now: Time, empty: bool) {
        self.advance(now);
        self.last = (!empty).then_some(now);
    }

    /// Mean predicted time from start to first token.
    pub(super) fn first(&self) -> Duration {
        Duration::from_secs_f64(self.first)
    }

    /// Time until `cost` is started; zero as long as no speed is known.
    pub(super) fn wait(&self, cost: u64) -> Duration {
        if self.busy < WARM {
            return Duration::ZERO;
        }
        let rate = (self.cost / self.busy).max(1.0);
        Duration::from_secs_f64(cost as f64 / rate)
    }

    fn advance(&mut self, now: Time) {
        let Some(last) = self.last else { return };
        let elapsed = now.since(last).as_secs_f64();
        let keep = (-elapsed / WINDOW).exp();
        self.cost *= keep;
        self.busy = self.busy * keep + WINDOW * (1.0 - keep);
        self.last = Some(now);
    }
}
