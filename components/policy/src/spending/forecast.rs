//! Load expected once a target ordered now would serve.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

/// Time between two samples kept.
const SAMPLE: Duration = Duration::from_secs(2);

/// Cold starts over which past load is looked at.
const WINDOW: u32 = 3;

/// Rank of the load planned for, so that swings shorter than a cold start are
/// carried by what is there.
const PEAK: f64 = 0.9;

/// Rank of the load that is always there.
const BASE: f64 = 0.2;

/// Past load, and what follows from it.
#[derive(Debug)]
pub(super) struct Forecast {
    ahead: Duration,
    samples: VecDeque<(Time, f64)>,
}

impl Forecast {
    /// A forecast for `ahead` from now on.
    pub(super) fn new(ahead: Duration) -> Forecast {
        Forecast { ahead, samples: VecDeque::new() }
    }

    /// Takes in the present load.
    pub(super) fn observe(&mut self, now: Time, load: f64) {
        let last = self.samples.back_mut();
        if let Some((at, known)) = last
            && now.since(*at) < SAMPLE
        {
            *known = known.max(load);
            return;
        }
        self.samples.push_back((now, load));
        let window = self.ahead * WINDOW;
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.samples.pop_front();
        }
    }

    /// The load to plan for: the recent peak, or the trend if that is higher.
    pub(super) fn peak(&self) -> f64 {
        self.rank(PEAK).max(self.trend())
    }

    /// The load that is always there.
    pub(super) fn base(&self) -> f64 {
        self.rank(BASE)
    }

    /// The means over the last two cold starts, carried on for one more.
    fn trend(&self) -> f64 {
        let (Some((first, _)), Some((now, _))) = (self.samples.front(), self.samples.back()) else {
            return 0.0;
        };
        if now.since(*first) < self.ahead * 2 {
            return 0.0;
        }
        let late = self.mean(now.before(self.ahead), *now);
        let early = self.mean(now.before(self.ahead * 2), now.before(self.ahead));
        let (Some(late), Some(early)) = (late, early) else { return 0.0 };
        late + (late - early).max(0.0)
    }

    fn mean(&self, from: Time, to: Time) -> Option<f64> {
        let (mut sum, mut count) = (0.0, 0u32);
        for (at, load) in &self.samples {
            if *at > from && *at <= to {
                sum += load;
                count += 1;
            }
        }
        (count > 0).then(|| sum / f64::from(count))
    }

    fn rank(&self, rank: f64) -> f64 {
        let mut loads: Vec<f64> = self.samples.iter().map(|(_, load)| *load).collect();
        loads.sort_by(f64::total_cmp);
        let at = (rank * loads.len() as f64) as usize;
        loads.get(at.min(loads.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }
}
