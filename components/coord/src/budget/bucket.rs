//! A token bucket.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::budget::Permit;

/// Permits calls at a steady rate with bounded bursts.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// A full bucket that refills by `rate` calls a second up to `burst`.
    pub fn new(now: Time, rate: f64, burst: f64) -> Bucket {
        Bucket { rate: rate.max(f64::MIN_POSITIVE), burst, tokens: burst, filled: now }
    }

    /// Changes the rate, in calls a second.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate.max(f64::MIN_POSITIVE);
    }

    /// Takes one token, or says when there will be one.
    pub fn ask(&mut self, now: Time) -> Permit {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Now;
        }
        let wait = (1.0 - self.tokens) / self.rate;
        Permit::At(now + Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Takes one token whether there is one or not.
    pub fn overdraw(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.burst);
    }

    fn refill(&mut self, now: Time) {
        let gained = (now - self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = now.max(self.filled);
    }
}
