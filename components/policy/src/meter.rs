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
    pub measured_at: Time,
    /// Prompt tokens per second that are not cached.
    pub prompt_rate: f64,
    /// Output tokens per second.
    pub output_rate: f64,
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.measured_at = self.measured_at.min(other.measured_at);
        self.prompt_rate += other.prompt_rate;
        self.output_rate += other.output_rate;
    }
}

/// Measures the demand for one service on one host with exponential decay.
#[derive(Debug)]
pub struct DemandMeter {
    window: Duration,
    started: Time,
    updated: Time,
    prompt: f64,
    output: f64,
}

impl DemandMeter {
    /// Creates a meter with time constant `window`, started at `now`.
    pub fn new(now: Time, window: Duration) -> DemandMeter {
        DemandMeter { window, started: now, updated: now, prompt: 0.0, output: 0.0 }
    }

    /// Records a request of which `cached` prompt tokens are known to be cached.
    pub fn record(&mut self, now: Time, request: &Request, cached: u32) {
        self.decay(now);
        self.prompt += f64::from(request.prompt_tokens.saturating_sub(cached));
        self.output += f64::from(request.output_tokens);
    }

    /// Returns the demand at `now`.
    pub fn demand(&mut self, now: Time) -> Demand {
        self.decay(now);
        let window = self.window.as_secs_f64();
        let effective_window =
            window * (1.0 - (-now.since(self.started).as_secs_f64() / window).exp());
        let effective_window = effective_window.max(1e-3);
        Demand {
            measured_at: now,
            prompt_rate: self.prompt / effective_window,
            output_rate: self.output / effective_window,
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
