//! A token bucket that limits the rate of calls.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::budget::Permit;

/// Permits calls at a constant average rate with bounded bursts.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second, up to `burst`.
    pub fn new(now: Time, rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate: rate.max(f64::MIN_POSITIVE), burst, tokens: burst, refilled_at: now }
    }

    /// Changes the refill rate, in calls per second.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate.max(f64::MIN_POSITIVE);
    }

    /// Takes a token, or returns the time at which the next one is available.
    pub fn acquire(&mut self, now: Time) -> Permit {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Now;
        }
        let wait_secs = (1.0 - self.tokens) / self.rate;
        Permit::NotBefore(now + Duration::try_from_secs_f64(wait_secs).unwrap_or(Duration::MAX))
    }

    /// Takes a token even if the bucket is empty; later calls pay the debt, up to `burst`.
    pub fn force_acquire(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.burst);
    }

    fn refill(&mut self, now: Time) {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
