//! How often streams pause for longer than their routes allow.
//!
//! Whether prompts on a decode engine make its streams late depends on the engine's steps
//! and on the tokens in an event, which no configuration states. So it is learned from the
//! streams themselves.

use std::time::Duration;

use chervilgate_clock::Time;

/// Time in which a stream's weight halves.
const HALF_LIFE: Duration = Duration::from_secs(7);

/// Number of streams on time that a host takes as seen at first.
const PRIOR_STREAMS: f64 = 10.0;

/// Share of late streams from which they count in full.
const FULL_SHARE: f64 = 0.05;

/// Recent streams, by whether a pause made them late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PauseMeter {
    late: f64,
    all: f64,
    updated_at: Time,
}

impl PauseMeter {
    /// Records a stream that has ended.
    pub(super) fn record(&mut self, now: Time, late: bool) {
        let weight = self.weight_of_past(now);
        self.late = self.late * weight + f64::from(u8::from(late));
        self.all = self.all * weight + 1.0;
        self.updated_at = now;
    }

    /// How much the streams that a prompt may make late count now, from 0 to 1.
    pub(super) fn relevance(&self, now: Time) -> f64 {
        let weight = self.weight_of_past(now);
        let share = self.late * weight / (self.all * weight + PRIOR_STREAMS);
        (share / FULL_SHARE).min(1.0)
    }

    fn weight_of_past(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5f64.powf(half_lives)
    }
}
