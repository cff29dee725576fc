//! Repeats of requests within the budget that all hosts share.
//!
//! A target service may get, in any window, repeats up to a share of the requests for it and a
//! number beside that, the slack, summed over all hosts. A repeat is each arrival at a target beyond
//! the first of its request, also one that is refused. Hosts do not ask each other: each earns
//! repeats with its own requests and holds a share of the slack.
//!
//! It answers a load in which targets refuse or fail most of what they get, while hosts come and go
//! and callers move between them:
//! - What a request earns is spent once, and soon: the requests of one window would otherwise count
//!   both at the host that their callers left and in the window in which these callers are at
//!   another.
//! - Part of the slack stays unused, for hosts that start again: they do not know what they had
//!   spent, so their share counts a window later, but for a part.
//! - A prompt that is computed apart is no repeat unless it is refused. What follows on a refused one is,
//!   and is not sent beyond the budget, however many prompts were on their way.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

#[cfg(test)]
mod tests;

/// Time for which what a request earns may be spent, as a share of the window.
const CREDIT_LIFE: f64 = 0.25;

/// Share of the ratio that requests earn. What is spent in a window was earned in it or in the
/// [`CREDIT_LIFE`] before it.
const CREDIT_SHARE: f64 = 0.75;

/// Share of the slack that is spent in a window by hosts that run on.
const SLACK_SHARE: f64 = 0.5;

/// Part of its share of the slack that a host uses at once when it starts again. The unused part of the slack
/// bears two starts of all hosts in a window.
const RESTART_SHARE: f64 = 0.5;

/// Number of parts of a window in which credit and slack are counted.
const BUCKETS: u64 = 20;

/// The budget of one service over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatSettings {
    /// Length of a window.
    pub window: Duration,
    /// Repeats that each request adds.
    pub ratio: f64,
}

/// What was earned and spent in one part of a window, in repeats.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    /// Earned by the requests of this part, and not spent yet.
    credit: f64,
    /// Spent of the slack in this part.
    slack: f64,
}

/// A host's share of the slack, in repeats a window.
#[derive(Debug)]
pub struct SlackShare {
    share: f64,
    /// The least of the greater shares since one was first seen, and when that was.
    greater: Option<(f64, Time)>,
}

impl SlackShare {
    /// A share that counts at once, for a host that has just started and of which no earlier process
    /// can have spent it.
    pub fn unspent(share: f64) -> SlackShare {
        SlackShare { share, greater: None }
    }

    /// The share of a host that has started again, of which a part counts at once.
    pub fn after_restart(share: f64) -> SlackShare {
        SlackShare { share: share * RESTART_SHARE, greater: None }
    }

    /// Sets the share, to be called about once a second; a greater one counts once it has lasted for
    /// `window`.
    pub fn set(&mut self, now: Time, window: Duration, share: f64) {
        if share <= self.share {
            self.share = share;
            self.greater = None;
            return;
        }
        let (least, since) = self.greater.unwrap_or((share, now));
        let least = least.min(share);
        self.greater = Some((least, since));
        if now.since(since) >= window {
            self.share = least;
            self.greater = None;
        }
    }

    /// The share that counts now.
    pub fn get(&self) -> f64 {
        self.share
    }
}

/// The repeats of one service that one host may send.
#[derive(Debug)]
pub struct RepeatBudget {
    settings: RepeatSettings,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
    /// When a prompt that was sent to be computed apart was refused last.
    refused_at: Option<Time>,
}

impl RepeatBudget {
    /// Starts without requests.
    pub fn new(settings: RepeatSettings) -> RepeatBudget {
        RepeatBudget { settings, buckets: VecDeque::new(), refused_at: None }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Time) {
        self.bucket(now).credit += self.settings.ratio * CREDIT_SHARE;
    }

    /// Counts a repeat that is about to be sent; returns false if it may not be. `slack` is this
    /// host's share.
    pub fn try_repeat(&mut self, now: Time, slack: f64) -> bool {
        if !self.has_repeat(now, slack) {
            return false;
        }
        let mut missing = 1.0;
        let first = self.first_credit(now);
        for bucket in self.buckets.iter_mut().filter(|bucket| bucket.index >= first) {
            let taken = bucket.credit.min(missing);
            bucket.credit -= taken;
            missing -= taken;
        }
        self.bucket(now).slack += missing;
        true
    }

    /// Whether a prompt may be sent to be computed apart. If targets refuse such prompts, what follows
    /// on each is a repeat.
    pub fn may_compute_apart(&self, now: Time, slack: f64) -> bool {
        let was_refused = self.refused_at.is_some_and(|at| now.since(at) < self.settings.window);
        !was_refused || self.has_repeat(now, slack)
    }

    /// Records that a prompt was sent to be computed apart and that no target is known to have
    /// accepted it.
    pub fn record_refused_prompt(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    /// Whether a repeat may be sent.
    fn has_repeat(&self, now: Time, slack: f64) -> bool {
        let first = self.first_credit(now);
        let credit: f64 = self.since(first).map(|bucket| bucket.credit).sum();
        // The oldest part lies in the window in part.
        let first = self.index(now).saturating_sub(BUCKETS);
        let spent: f64 = self.since(first).map(|bucket| bucket.slack).sum();
        credit + (slack * SLACK_SHARE - spent).max(0.0) >= 1.0
    }

    /// Index of the first bucket whose credit may be spent.
    fn first_credit(&self, now: Time) -> u64 {
        self.index(now).saturating_sub((BUCKETS as f64 * CREDIT_LIFE) as u64)
    }

    fn since(&self, first: u64) -> impl Iterator<Item = &Bucket> {
        self.buckets.iter().filter(move |bucket| bucket.index >= first)
    }

    fn index(&self, now: Time) -> u64 {
        let span = u64::try_from(self.settings.window.as_micros()).unwrap_or(u64::MAX) / BUCKETS;
        now.as_micros() / span.max(1)
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let index = self.index(now);
        let first = index.saturating_sub(BUCKETS);
        while self.buckets.front().is_some_and(|bucket| bucket.index < first) {
            self.buckets.pop_front();
        }
        // The time of a host does not go back.
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, credit: 0.0, slack: 0.0 });
        }
        self.buckets.back_mut().expect("pushed above")
    }
}
