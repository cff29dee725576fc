//! Retries and hedged requests.
//!
//! Both draw on a budget that grows with the number of first attempts, so that retries cannot
//! multiply the load when many requests fail at once.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::Request;

#[cfg(test)]
mod tests;

/// Limits of retries and hedges.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries added by each first attempt.
    pub retry_ratio: f64,
    /// Retries added per second, independent of traffic.
    pub min_rate: f64,
    /// Maximum number of retries that can be saved up.
    pub max_balance: f64,
    /// Maximum number of attempts at one request.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { retry_ratio: 0.1, min_rate: 1.0, max_balance: 50.0, max_attempts: 3 }
    }
}

/// A token bucket of retries for one service on one host.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
    updated: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { balance: settings.max_balance, updated: Time::ZERO, settings }
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.retry_ratio).min(self.settings.max_balance);
    }

    /// Decides whether to retry `request` after `attempts` attempts, and charges the budget.
    ///
    /// `ran` is true if the last attempt may have run; a request that may not run twice is then
    /// not retried.
    pub fn try_retry(&mut self, now: Time, request: &Request, attempts: u32, ran: bool) -> bool {
        let can_rerun = request.idempotent || !ran;
        if !can_rerun || attempts >= self.settings.max_attempts {
            return false;
        }
        self.try_withdraw(now)
    }

    /// Withdraws one retry from the budget; false if none is left.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        let earned = self.settings.min_rate * now.since(self.updated).as_secs_f64();
        self.balance = (self.balance + earned).min(self.settings.max_balance);
        self.updated = now;
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Maximum number of response times kept for the percentile.
const MAX_LATENCIES: usize = 256;

/// Number of responses between updates of the hedge delay; nothing is hedged before the first
/// update.
const HEDGE_UPDATE_INTERVAL: usize = 32;

/// Percentile of response times after which a hedge is sent, as a fraction.
const HEDGE_PERCENTILE: (usize, usize) = (95, 100);

/// Maximum output length, in tokens, of a hedged request.
const MAX_HEDGE_OUTPUT: u32 = 32;

/// Decides when to send a slow idempotent request to a second target.
#[derive(Debug, Default)]
pub struct HedgeTimer {
    latencies: VecDeque<Duration>,
    responses: usize,
    delay: Option<Duration>,
}

impl HedgeTimer {
    /// Records the time that a response took.
    pub fn record_response(&mut self, latency: Duration) {
        if self.latencies.len() == MAX_LATENCIES {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
        self.responses += 1;
        if self.responses.is_multiple_of(HEDGE_UPDATE_INTERVAL) {
            self.delay = Some(self.percentile());
        }
    }

    /// When to send a hedge for `request`, first sent at `sent`; `None` if it must not be hedged.
    ///
    /// The caller must also get a retry from the budget.
    pub fn hedge_at(&self, sent: Time, request: &Request) -> Option<Time> {
        let short = request.output_tokens <= MAX_HEDGE_OUTPUT;
        if !request.idempotent || request.suspect || !short {
            return None;
        }
        self.delay.map(|delay| sent + delay)
    }

    fn percentile(&self) -> Duration {
        let mut latencies: Vec<_> = self.latencies.iter().copied().collect();
        let (part, whole) = HEDGE_PERCENTILE;
        let index = (latencies.len() * part / whole).min(latencies.len() - 1);
        *latencies.select_nth_unstable(index).1
    }
}
