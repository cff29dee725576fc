//! Measures the demand for a service on one host.

use std::{ops::AddAssign, time::Duration};

use chervilgate_clock::Time;

use crate::Request;

#[cfg(test)]
mod tests;

/// Rate of requested work for a service, including refused requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// When the demand was measured; for a sum, the oldest measurement.
    pub at: Time,
    /// Prompt tokens per second that are not cached.
    pub prompt: f64,
    /// Output tokens per second.
    pub output: f64,
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.at = self.at.min(other.at);
        self.prompt += other.prompt;
        self.output += other.output;
    }
}

/// Measures the demand for one service on one host with exponential decay.
#[derive(Debug)]
pub struct Meter {
    window: Duration,
    started: Time,
    updated: Time,
    prompt: f64,
    output: f64,
}

impl Meter {
    /// Creates a meter with time constant `window`, started at `now`.
    pub fn new(now: Time, window: Duration) -> Meter {
        Meter { window, started: now, updated: now, prompt: 0.0, output: 0.0 }
    }

    /// Records a request of which `cached` prompt tokens are known to be cached.
    pub fn count(&mut self, now: Time, request: &Request, cached: u32) {
        self.decay(now);
        self.prompt += f64::from(request.prompt.saturating_sub(cached));
        self.output += f64::from(request.output);
    }

    /// Returns the demand at `now`.
    pub fn demand(&mut self, now: Time) -> Demand {
        self.decay(now);
        let window = self.window.as_secs_f64();
        let effective_window =
            window * (1.0 - (-now.since(self.started).as_secs_f64() / window).exp());
        let effective_window = effective_window.max(1e-3);
        Demand {
            at: now,
            prompt: self.prompt / effective_window,
            output: self.output / effective_window,
        }
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let factor = (-elapsed / self.window.as_secs_f64()).exp();
        self.prompt *= factor;
        self.output *= factor;
        self.updated = now;
    }
}
