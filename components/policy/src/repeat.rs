//! Repeats of requests within the budget that all hosts share.
//!
//! A target service may get, in any window, repeats up to a share of the requests for it and a
//! number beside that, the slack, summed over all hosts. A repeat is each arrival at a target beyond
//! the first of its request, also one that is refused. Hosts do not ask each other: each earns
//! repeats with its own requests and holds a share of the slack.
//!
//! It answers a load in which targets refuse or fail most of what they get, while hosts come and go:
//! - What is earned or spent counts for one window and is not saved up.
//! - A greater share of the slack counts a window later, since the host that had it may have spent
//!   it just now; a host that starts again may send one repeat until then.
//! - A prompt that is computed apart is no repeat unless it is refused, which shows afterwards. Once
//!   some were refused, such prompts need a part of the budget that other repeats leave.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

#[cfg(test)]
mod tests;

/// Share of the budget that repeats may use.
const REPEAT_SHARE: f64 = 0.7;

/// Share of the budget up to which prompts are computed apart while some are refused. The rest is for those
/// that are refused all at once, and for hosts that disagree about the hosts.
const PROMPT_SHARE: f64 = 0.9;

/// Slack that a host uses at once when it starts again, in repeats: enough for one. The unused part of the
/// budget bears it, unless hosts restart far more often than they are restarted on purpose.
const RESTART_SLACK: f64 = 2.0;

/// Number of parts of a window in which requests and repeats are counted.
const BUCKETS: u64 = 20;

/// The budget of one service over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatSettings {
    /// Length of a window.
    pub window: Duration,
    /// Repeats that each request adds.
    pub ratio: f64,
}

/// Requests and repeats in one part of a window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
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

    /// The share of a host that has started again, of which little counts at once.
    pub fn after_restart(share: f64) -> SlackShare {
        SlackShare { share: share.min(RESTART_SLACK), greater: None }
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
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat that is about to be sent; returns false if it may not be. `slack` is this
    /// host's share.
    pub fn try_repeat(&mut self, now: Time, slack: f64) -> bool {
        let budget = self.budget(now, slack) * REPEAT_SHARE;
        let is_allowed = f64::from(self.repeats(now)) + 1.0 <= budget;
        if is_allowed {
            self.bucket(now).repeats += 1;
        }
        is_allowed
    }

    /// Whether a prompt may be sent to be computed apart.
    pub fn may_compute_apart(&self, now: Time, slack: f64) -> bool {
        let was_refused = self.refused_at.is_some_and(|at| now.since(at) < self.settings.window);
        !was_refused || f64::from(self.repeats(now)) + 1.0 <= self.budget(now, slack) * PROMPT_SHARE
    }

    /// Counts a prompt that was sent to be computed apart and that no target is known to have
    /// accepted.
    pub fn count_refused_prompt(&mut self, now: Time) {
        self.refused_at = Some(now);
        self.bucket(now).repeats += 1;
    }

    /// Repeats that requests and slack allow in the window that ends now. The oldest part counts for
    /// repeats only, as it lies in the window in part.
    fn budget(&self, now: Time, slack: f64) -> f64 {
        let first = self.index(now).saturating_sub(BUCKETS - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.index >= first);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        f64::from(requests) * self.settings.ratio + slack
    }

    fn repeats(&self, now: Time) -> u32 {
        let first = self.index(now).saturating_sub(BUCKETS);
        let recent = self.buckets.iter().filter(|bucket| bucket.index >= first);
        recent.map(|bucket| bucket.repeats).sum()
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
            self.buckets.push_back(Bucket { index, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("pushed above")
    }
}
