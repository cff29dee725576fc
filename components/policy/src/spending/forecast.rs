//! Forecasts the load at the time when a target ordered now would start serving.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(2);

/// Length of the history, in cold starts.
const WINDOW_COLD_STARTS: u32 = 3;

/// Quantile of the load used for planning; peaks shorter than a cold start are left to the
/// existing targets.
const PEAK_QUANTILE: f64 = 0.9;

/// Quantile of the load used as the base load.
const BASE_QUANTILE: f64 = 0.2;

/// Load history and the forecast from it.
#[derive(Debug)]
pub(super) struct Forecast {
    horizon: Duration,
    samples: VecDeque<(Time, f64)>,
}

impl Forecast {
    /// Creates a forecast for the time `horizon` from now.
    pub(super) fn new(horizon: Duration) -> Forecast {
        Forecast { horizon, samples: VecDeque::new() }
    }

    /// Records the current load.
    pub(super) fn observe(&mut self, now: Time, load: f64) {
        let last = self.samples.back_mut();
        if let Some((at, known)) = last
            && now.since(*at) < SAMPLE_INTERVAL
        {
            *known = known.max(load);
            return;
        }
        self.samples.push_back((now, load));
        let window = self.horizon * WINDOW_COLD_STARTS;
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.samples.pop_front();
        }
    }

    /// The load to plan for: the recent peak, or the trend if that is higher.
    pub(super) fn peak(&self) -> f64 {
        self.quantile(PEAK_QUANTILE).max(self.trend())
    }

    /// The base load.
    pub(super) fn base(&self) -> f64 {
        self.quantile(BASE_QUANTILE)
    }

    /// Extrapolates the mean loads of the last two cold starts by one more; never downwards.
    fn trend(&self) -> f64 {
        let (Some((first, _)), Some((now, _))) = (self.samples.front(), self.samples.back()) else {
            return 0.0;
        };
        if now.since(*first) < self.horizon * 2 {
            return 0.0;
        }
        let late = self.mean(now.saturating_sub(self.horizon), *now);
        let early =
            self.mean(now.saturating_sub(self.horizon * 2), now.saturating_sub(self.horizon));
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

    fn quantile(&self, fraction: f64) -> f64 {
        let mut loads: Vec<f64> = self.samples.iter().map(|(_, load)| *load).collect();
        loads.sort_by(f64::total_cmp);
        let at = (fraction * loads.len() as f64) as usize;
        loads.get(at.min(loads.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }
}
