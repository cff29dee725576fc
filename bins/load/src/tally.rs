//! What one run measured.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::Reason;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Length of a point of the timeline.
pub const SLICE: Duration = Duration::from_secs(5);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Whole, and within both limits.
    Good,
    /// Whole, but its first token was late.
    Late,
    /// Whole, but too many gaps were long.
    Slow,
    /// Answered "not run".
    Refused,
    /// Not known whether it ran.
    Unknown,
    /// Never finished.
    Lost,
}

/// Requests of one organisation, or of one slice of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Part {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that ended well.
    pub good: u64,
}

impl Part {
    /// Good requests among those offered.
    pub fn ratio(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.good as f64 / self.offered as f64 }
    }
}

/// One request's way through a run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Trace {
    /// When it arrived, in seconds.
    pub at: f64,
    /// Its entry.
    pub entry: usize,
    /// Its organisation.
    pub org: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Tokens of its shareable prefix.
    pub shared: u32,
    /// Time in the entry's queue, in milliseconds.
    pub queued: f64,
    /// The prefill and the decode engine, if it was sent.
    pub route: Option<(u32, u32)>,
    /// Prompt tokens that the route expected to be cached.
    pub expected: u32,
    /// Prompt tokens that were cached.
    pub cached: u32,
    /// Time to the first token after the queue, as predicted, in milliseconds.
    pub predicted: f64,
    /// Time to the first token after the queue, in milliseconds; negative if none came.
    pub first: f64,
    /// Gaps longer than the limit, and all gaps.
    pub slow: (u32, u32),
    /// How it ended.
    pub ending: String,
}

/// The figures of one run.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests by ending.
    pub endings: BTreeMap<Ending, u64>,
    /// Refusals by reason, as text.
    pub reasons: BTreeMap<&'static str, u64>,
    /// Requests by organisation.
    pub orgs: BTreeMap<u32, Part>,
    /// Requests by slice of arrival time.
    pub slices: Vec<Part>,
    /// Times to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Role changes ordered.
    pub role_changes: u64,
    /// Attempts after the first, by requests that had not failed for good.
    pub retries: u64,
    /// Answers that had a token too many or too few.
    pub wrong: u64,
    /// Repeatable requests that were lost.
    pub lost_repeatable: u64,
    /// Requests that may not be repeated and started twice.
    pub doubled: u64,
    /// Engines that a poison request crashed, by fingerprint.
    pub poisoned: BTreeMap<u64, u64>,
    /// What the targets cost, in cents.
    pub cost: f64,
    /// Each request, where it was asked for.
    pub traces: Vec<Trace>,
}

impl Tally {
    /// Nothing measured yet.
    pub fn new() -> Tally {
        Tally {
            endings: BTreeMap::new(),
            reasons: BTreeMap::new(),
            orgs: BTreeMap::new(),
            slices: Vec::new(),
            first: histogram(),
            gaps: histogram(),
            role_changes: 0,
            retries: 0,
            wrong: 0,
            lost_repeatable: 0,
            doubled: 0,
            poisoned: BTreeMap::new(),
            cost: 0.0,
            traces: Vec::new(),
        }
    }

    /// Counts a request that arrived at `at` and its ending.
    pub fn close(&mut self, at: Time, org: u32, ending: Ending) {
        *self.endings.entry(ending).or_default() += 1;
        let slice = (at.as_micros() / SLICE.as_micros() as u64) as usize;
        if self.slices.len() <= slice {
            self.slices.resize(slice + 1, Part::default());
        }
        for part in [self.orgs.entry(org).or_default(), &mut self.slices[slice]] {
            part.offered += 1;
            part.good += u64::from(ending == Ending::Good);
        }
    }

    /// Counts why a request was refused.
    pub fn refuse(&mut self, reason: Reason) {
        let name = match reason {
            Reason::NoTarget => "no target",
            Reason::Full => "full",
            Reason::Late => "late",
            Reason::ShareUsed => "share used",
            Reason::Quarantined => "quarantined",
            Reason::Budget => "budget",
        };
        *self.reasons.entry(name).or_default() += 1;
    }

    /// Requests with `ending`.
    pub fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    /// Requests that arrived.
    pub fn offered(&self) -> u64 {
        self.endings.values().sum()
    }

    /// The lowest share of good requests of any organisation.
    pub fn worst_org(&self) -> f64 {
        self.orgs.values().map(Part::ratio).fold(1.0, f64::min)
    }
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}

/// From 1 µs to 10 minutes, with two significant figures.
fn histogram() -> Histogram<u64> {
    const LONGEST_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, LONGEST_US, 2).expect("bounds are valid")
}
