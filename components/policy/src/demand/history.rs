//! The work of the last minute, in sums over two seconds.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::demand::Work;

/// Length of the history.
const HISTORY: Duration = Duration::from_secs(60);

/// Time over which work is summed up: the shortest burst that engines cannot queue away within
/// the latency targets of callers.
const SAMPLE_TIME: Duration = Duration::from_secs(2);

/// Longest time between two observations for which the rate is taken to be constant.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Mean rate of work in one sample.
#[derive(Debug, Clone, Copy)]
struct Sample {
    ended_at: Time,
    rate: Work,
}

/// The work of the last minute, as rates per second.
#[derive(Debug, Default)]
pub struct DemandHistory {
    samples: VecDeque<Sample>,
    observed_at: Option<Time>,
    /// Work since the last sample.
    sum: Work,
    /// Time over which it was summed up.
    covered: Duration,
}

impl DemandHistory {
    /// Records the present rate of work per second, which held since the last observation.
    ///
    /// The time of a longer gap counts as not seen.
    pub fn observe(&mut self, now: Time, rate: Work) {
        let gap = self.observed_at.map(|at| now.since(at));
        self.observed_at = Some(now);
        if let Some(gap) = gap.filter(|gap| *gap <= MAX_GAP) {
            self.sum += rate * gap.as_secs_f64();
            self.covered += gap;
        }
        if self.covered >= SAMPLE_TIME {
            let rate = self.sum * (1.0 / self.covered.as_secs_f64());
            self.samples.push_back(Sample { ended_at: now, rate });
            (self.sum, self.covered) = (Work::default(), Duration::ZERO);
        }
        while self.samples.front().is_some_and(|sample| now.since(sample.ended_at) > HISTORY) {
            self.samples.pop_front();
        }
    }

    /// The largest rate of each quantity.
    pub fn largest(&self) -> Work {
        self.samples.iter().fold(Work::default(), |largest, sample| largest.max(sample.rate))
    }

    /// The mean rate.
    pub fn mean(&self) -> Work {
        self.mean_of(self.samples.len())
    }

    /// The mean rate over the last `span`.
    pub fn recent(&self, span: Duration) -> Work {
        let samples = span.as_secs_f64() / SAMPLE_TIME.as_secs_f64();
        self.mean_of(samples.ceil() as usize)
    }

    /// Time since the last observation; none without any.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.observed_at.map(|at| now.since(at))
    }

    /// Time that was seen.
    pub fn span(&self) -> Duration {
        SAMPLE_TIME * u32::try_from(self.samples.len()).unwrap_or(u32::MAX)
    }

    fn mean_of(&self, latest: usize) -> Work {
        let count = latest.min(self.samples.len());
        let mut mean = Work::default();
        for sample in self.samples.iter().rev().take(count) {
            mean += sample.rate * (1.0 / count as f64);
        }
        mean
    }
}
