//! Second attempts: retries under a budget, and hedges of repeatable reads.
//!
//! Both draw on a budget that grows with first attempts, so that they cannot
//! multiply load when much fails at once.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::Request;

#[cfg(test)]
mod tests;

/// Limits of second attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Second attempts for each first attempt.
    pub ratio: f64,
    /// Second attempts a second that are granted besides.
    pub floor: f64,
    /// Second attempts that may be saved up.
    pub saved: f64,
    /// Attempts at one request.
    pub attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { ratio: 0.1, floor: 1.0, saved: 50.0, attempts: 3 }
    }
}

/// A budget of second attempts for one service on one host.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    left: f64,
    updated: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { left: settings.saved, updated: Time::ZERO, settings }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.left = (self.left + self.settings.ratio).min(self.settings.saved);
    }

    /// Grants another attempt at `request` after `made` attempts, or does not.
    ///
    /// `ran` tells that the last attempt may have run: a request that may not be
    /// repeated gets no other one then.
    pub fn grant(&mut self, now: Time, request: &Request, made: u32, ran: bool) -> bool {
        let may_run = request.repeatable || !ran;
        if !may_run || made >= self.settings.attempts {
            return false;
        }
        self.spend(now)
    }

    /// Takes one second attempt from the budget, if one is left.
    pub fn spend(&mut self, now: Time) -> bool {
        let grown = self.settings.floor * now.since(self.updated).as_secs_f64();
        self.left = (self.left + grown).min(self.settings.saved);
        self.updated = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Answer times remembered.
const TIMES: usize = 256;

/// Answer times needed before a hedge is sent.
const TIMES_FLOOR: usize = 32;

/// Share of answers that come before a hedge is sent, as a fraction.
const HEDGE_RANK: (usize, usize) = (95, 100);

/// Longest output, in tokens, of a request that is hedged.
const HEDGE_OUTPUT: u32 = 32;

/// Decides when a repeatable read is sent a second time, to another target.
#[derive(Debug, Default)]
pub struct Hedge {
    times: VecDeque<Duration>,
    answers: usize,
    delay: Option<Duration>,
}

impl Hedge {
    /// Notes how long an answer took.
    pub fn answered(&mut self, took: Duration) {
        if self.times.len() == TIMES {
            self.times.pop_front();
        }
        self.times.push_back(took);
        self.answers += 1;
        if self.answers.is_multiple_of(TIMES_FLOOR) {
            self.delay = Some(self.rank());
        }
    }

    /// When to send `request`, sent first at `sent`, once more; needs a granted
    /// second attempt.
    pub fn due(&self, sent: Time, request: &Request) -> Option<Time> {
        let short = request.output <= HEDGE_OUTPUT;
        if !request.repeatable || request.suspect || !short {
            return None;
        }
        self.delay.map(|delay| sent + delay)
    }

    fn rank(&self) -> Duration {
        let mut times: Vec<_> = self.times.iter().copied().collect();
        let (part, whole) = HEDGE_RANK;
        let at = (times.len() * part / whole).min(times.len() - 1);
        *times.select_nth_unstable(at).1
    }
}
