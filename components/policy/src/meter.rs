//! Demand as one host measures it.

use std::{ops::AddAssign, time::Duration};

use chervilgate_clock::Time;

use crate::Request;

#[cfg(test)]
mod tests;

/// Work offered to a service a second, refused work counted.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// When it was measured; of a sum, the oldest part.
    pub at: Time,
    /// Prompt tokens a second that are not found in a cache.
    pub prompt: f64,
    /// Output tokens a second.
    pub output: f64,
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.at = self.at.min(other.at);
        self.prompt += other.prompt;
        self.output += other.output;
    }
}

/// Measures one service's demand on one host, over a sliding time constant.
#[derive(Debug)]
pub struct Meter {
    window: Duration,
    started: Time,
    updated: Time,
    prompt: f64,
    output: f64,
}

impl Meter {
    /// A meter over about `window`, started at `now`.
    pub fn new(now: Time, window: Duration) -> Meter {
        Meter { window, started: now, updated: now, prompt: 0.0, output: 0.0 }
    }

    /// Counts a request with `cached` prompt tokens known to be cached.
    pub fn count(&mut self, now: Time, request: &Request, cached: u32) {
        self.decay(now);
        self.prompt += f64::from(request.prompt.saturating_sub(cached));
        self.output += f64::from(request.output);
    }

    /// The demand at `now`.
    pub fn demand(&mut self, now: Time) -> Demand {
        self.decay(now);
        let window = self.window.as_secs_f64();
        let seen = window * (1.0 - (-now.since(self.started).as_secs_f64() / window).exp());
        let seen = seen.max(1e-3);
        Demand { at: now, prompt: self.prompt / seen, output: self.output / seen }
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let keep = (-elapsed / self.window.as_secs_f64()).exp();
        self.prompt *= keep;
        self.output *= keep;
        self.updated = now;
    }
}
