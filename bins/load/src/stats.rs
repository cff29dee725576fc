//! Statistics of one simulation run.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::RefusalReason;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Length of a time slice of the goodput timeline.
pub const SLICE_LENGTH: Duration = Duration::from_secs(5);

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// Complete, within the limits on the first token and the gaps.
    Good,
    /// Complete, but the first token came too late.
    Late,
    /// Complete, but too many gaps exceeded the limit.
    Slow,
    /// Refused; the caller knows that it did not run.
    Refused,
    /// The caller cannot know whether it ran.
    Unknown,
    /// Not completed by the end of the run, or given up after it ran.
    Lost,
}

/// Request counts of one organisation or one time slice.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that ended as [`RequestOutcome::Good`].
    pub good: u64,
}

impl RequestCounts {
    /// Share of good requests; 1 if none arrived.
    pub fn ratio(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.good as f64 / self.offered as f64 }
    }
}

/// The record of one request in a run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Trace {
    /// Arrival time, in seconds.
    pub at: f64,
    /// Index of the entry that received it.
    pub entry: usize,
    /// Number of its organisation.
    pub org: u32,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Answer length, in tokens.
    pub output: u32,
    /// Length of the shareable prefix, in tokens.
    pub shared: u32,
    /// Time in the entry's queue, in milliseconds.
    pub queued: f64,
    /// Prefill and decode engine; None if it was never sent.
    pub route: Option<(u32, u32)>,
    /// Cached prompt tokens that the router expected.
    pub expected: u32,
    /// Cached prompt tokens that the engine found.
    pub cached: u32,
    /// Time from sending to the first token that the router predicted, in milliseconds.
    pub predicted: f64,
    /// Time from sending to the first token, in milliseconds; negative if none came.
    pub first: f64,
    /// Number of gaps longer than the limit, and of all gaps.
    pub slow: (u32, u32),
    /// Name of its [`RequestOutcome`].
    pub ending: String,
}

/// Statistics of one run.
#[derive(Debug, Clone)]
pub struct RunStats {
    /// Number of requests by ending.
    pub endings: BTreeMap<RequestOutcome, u64>,
    /// Number of refusals by reason.
    pub reasons: BTreeMap<&'static str, u64>,
    /// Request counts by organisation.
    pub orgs: BTreeMap<u32, RequestCounts>,
    /// Request counts by time slice of the arrival.
    pub slices: Vec<RequestCounts>,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Number of role changes ordered.
    pub role_changes: u64,
    /// Number of attempts after the first that the retry budget granted.
    pub retries: u64,
    /// Number of answers with a wrong number of tokens.
    pub wrong_answers: u64,
    /// Number of repeatable requests that were lost.
    pub lost_repeatable: u64,
    /// Number of duplicate runs of requests that must not be repeated.
    pub duplicate_runs: u64,
    /// Number of engine crashes by fingerprint of the poison request.
    pub poison_crashes: BTreeMap<u64, u64>,
    /// Cost of the targets, in cents.
    pub cost: f64,
    /// A trace of each request; empty unless tracing is on.
    pub traces: Vec<Trace>,
}

impl RunStats {
    /// Empty statistics.
    pub fn new() -> RunStats {
        RunStats {
            endings: BTreeMap::new(),
            reasons: BTreeMap::new(),
            orgs: BTreeMap::new(),
            slices: Vec::new(),
            first_token: histogram(),
            gaps: histogram(),
            role_changes: 0,
            retries: 0,
            wrong_answers: 0,
            lost_repeatable: 0,
            duplicate_runs: 0,
            poison_crashes: BTreeMap::new(),
            cost: 0.0,
            traces: Vec::new(),
        }
    }

    /// Counts a request that arrived at `at` and ended as `ending`.
    pub fn record_ending(&mut self, at: Time, org: u32, ending: RequestOutcome) {
        *self.endings.entry(ending).or_default() += 1;
        let slice = (at.as_micros() / SLICE_LENGTH.as_micros() as u64) as usize;
        if self.slices.len() <= slice {
            self.slices.resize(slice + 1, RequestCounts::default());
        }
        for counts in [self.orgs.entry(org).or_default(), &mut self.slices[slice]] {
            counts.offered += 1;
            counts.good += u64::from(ending == RequestOutcome::Good);
        }
    }

    /// Counts the reason of a refusal.
    pub fn record_refusal(&mut self, reason: RefusalReason) {
        let name = match reason {
            RefusalReason::NoTarget => "no target",
            RefusalReason::Full => "full",
            RefusalReason::Late => "late",
            RefusalReason::ShareUsed => "share used",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Budget => "budget",
        };
        *self.reasons.entry(name).or_default() += 1;
    }

    /// Number of requests that ended as `ending`.
    pub fn count(&self, ending: RequestOutcome) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    /// Number of requests that ended in any way.
    pub fn offered(&self) -> u64 {
        self.endings.values().sum()
    }

    /// Lowest share of good requests over all organisations; 1 if there are none.
    pub fn worst_org_ratio(&self) -> f64 {
        self.orgs.values().map(RequestCounts::ratio).fold(1.0, f64::min)
    }
}

impl Default for RunStats {
    fn default() -> RunStats {
        RunStats::new()
    }
}

/// A histogram from 1 µs to 10 minutes with two significant digits.
fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, MAX_US, 2).expect("bounds are valid")
}
