//! Estimated load of one target.
//!
//! The estimate is the last report plus the sequences that this host has started and seen
//! finish since it was measured. The difference between a report and the mean load of the
//! role decays with the age of the report, faster for prompt queues than for sequences: all
//! hosts act on the same report, so a target that differed from the mean when it was measured
//! soon no longer does. Without a recent report, the estimate is the mean load of the role
//! plus the open sequences of this host. Hosts then neither overload a target that stopped
//! reporting nor stop using it.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::LoadReport;

/// Maximum number of events kept per target.
const MAX_EVENTS: usize = 512;

/// Time constant, in seconds, with which a prompt queue returns to the mean.
const PROMPT_DECAY_SECS: f64 = 0.3;

/// Time constant, in seconds, with which the number of sequences returns to the mean.
const SEQS_DECAY_SECS: f64 = 5.0;

/// Weight of a new report in the mean load.
const MEAN_LOAD_GAIN: f64 = 0.05;

/// Estimated work on one target.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct LoadEstimate {
    /// Sequences that are running, waiting or expected from a prefill engine.
    pub(super) seqs: u32,
    /// Prompt tokens still to be computed.
    pub(super) prompt_tokens: u64,
    /// KV cache use, in tokens.
    pub(super) kv_tokens: u64,
    /// Sequences that this host added since the report, minus those that left.
    pub(super) own_change: i64,
    /// Rank of this host among those that compete for the free slots, from 0 to 1.
    pub(super) host_rank: f64,
}

/// Mean load of the targets of one role.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanLoad {
    seqs: f64,
    prompt_tokens: f64,
    kv_tokens: f64,
}

impl MeanLoad {
    /// Mean number of sequences per target.
    pub(super) fn seqs(&self) -> f64 {
        self.seqs
    }

    /// Updates the mean with the report of one target.
    pub(super) fn update(&mut self, report: &LoadReport) {
        let seqs = f64::from(report.running + report.waiting);
        self.seqs += MEAN_LOAD_GAIN * (seqs - self.seqs);
        self.prompt_tokens += MEAN_LOAD_GAIN * (report.prompt_queue as f64 - self.prompt_tokens);
        self.kv_tokens += MEAN_LOAD_GAIN * (report.kv_used as f64 - self.kv_tokens);
    }
}

/// Work that this host added to a target, or that left it if negative.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadChange {
    pub(super) seqs: i64,
    pub(super) prompt_tokens: i64,
    pub(super) kv_tokens: i64,
}

impl LoadChange {
    fn add(&mut self, other: LoadChange) {
        self.seqs += other.seqs;
        self.prompt_tokens += other.prompt_tokens;
        self.kv_tokens += other.kv_tokens;
    }

    fn sub(&mut self, other: LoadChange) {
        self.seqs -= other.seqs;
        self.prompt_tokens -= other.prompt_tokens;
        self.kv_tokens -= other.kv_tokens;
    }
}

/// Last report of one target and the changes that this host made since.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    report: Option<(Time, LoadReport)>,
    events: VecDeque<(Time, LoadChange)>,
    net_change: LoadChange,
    host_rank: f64,
    open_seqs: u32,
    expected_seqs: u32,
    pending_prompt: u64,
}

impl Load {
    /// Applies a report measured at `measured`; false if a later one is known.
    ///
    /// `host_rank` is drawn again for each report and differs between hosts.
    pub(super) fn report(&mut self, measured: Time, report: LoadReport, host_rank: f64) -> bool {
        if self.report.is_some_and(|(last, _)| last > measured) {
            return false;
        }
        self.host_rank = host_rank;
        self.report = Some((measured, report));
        self.drop_reported(measured);
        true
    }

    /// Records a sequence whose prompt of `prompt` tokens is computed on this target.
    pub(super) fn start_prompt(&mut self, now: Time, prompt: u64, kv: u64) {
        self.open_seqs += 1;
        self.pending_prompt += prompt;
        self.record(
            now,
            LoadChange { seqs: 1, prompt_tokens: prompt as i64, kv_tokens: kv as i64 },
        );
    }

    /// Records that the prompt of a sequence is computed.
    pub(super) fn finish_prompt(&mut self, now: Time, prompt: u64) {
        self.pending_prompt = self.pending_prompt.saturating_sub(prompt);
        self.record(now, LoadChange { prompt_tokens: -(prompt as i64), ..LoadChange::default() });
    }

    /// Records a sequence that arrives once another engine has computed its prompt.
    pub(super) fn expect_seq(&mut self) {
        self.open_seqs += 1;
        self.expected_seqs += 1;
    }

    /// Records that an expected sequence has arrived.
    pub(super) fn seq_arrived(&mut self, now: Time, kv: u64) {
        self.expected_seqs = self.expected_seqs.saturating_sub(1);
        self.record(now, LoadChange { seqs: 1, prompt_tokens: 0, kv_tokens: kv as i64 });
    }

    /// Records that an expected sequence will not arrive.
    pub(super) fn cancel_expected(&mut self) {
        self.open_seqs = self.open_seqs.saturating_sub(1);
        self.expected_seqs = self.expected_seqs.saturating_sub(1);
    }

    /// Records that a sequence has left.
    pub(super) fn remove_seq(&mut self, now: Time, kv: u64) {
        self.open_seqs = self.open_seqs.saturating_sub(1);
        self.record(now, LoadChange { seqs: -1, prompt_tokens: 0, kv_tokens: -(kv as i64) });
    }

    /// Estimates the load at `now`.
    pub(super) fn estimate(&self, now: Time, max_age: Duration, mean: &MeanLoad) -> LoadEstimate {
        match self.report {
            Some((measured, report)) if now.since(measured) < max_age => {
                self.extrapolate(now.since(measured), &report, mean)
            }
            _ => self.without_report(mean),
        }
    }

    fn extrapolate(&self, age: Duration, report: &LoadReport, mean: &MeanLoad) -> LoadEstimate {
        let age = age.as_secs_f64();
        let reported = f64::from(report.running + report.waiting);
        let seqs =
            decay_to_mean(reported, mean.seqs, age / SEQS_DECAY_SECS) + self.net_change.seqs as f64;
        let queue = report.prompt_queue as f64;
        let prompt = decay_to_mean(queue, mean.prompt_tokens, age / PROMPT_DECAY_SECS)
            + self.net_change.prompt_tokens as f64;
        let kv = report.kv_used as i64 + self.net_change.kv_tokens;
        LoadEstimate {
            seqs: (seqs.max(0.0) as u32 + self.expected_seqs).max(self.open_seqs),
            prompt_tokens: (prompt.max(0.0) as u64).max(self.pending_prompt),
            kv_tokens: kv.max(0) as u64,
            own_change: self.net_change.seqs,
            host_rank: self.host_rank,
        }
    }

    fn without_report(&self, mean: &MeanLoad) -> LoadEstimate {
        LoadEstimate {
            seqs: mean.seqs as u32 + self.open_seqs,
            prompt_tokens: mean.prompt_tokens as u64 + self.pending_prompt,
            kv_tokens: mean.kv_tokens as u64,
            own_change: 0,
            host_rank: 0.0,
        }
    }

    fn record(&mut self, now: Time, delta: LoadChange) {
        if self.events.len() == MAX_EVENTS {
            self.drop_oldest();
        }
        self.events.push_back((now, delta));
        self.net_change.add(delta);
    }

    fn drop_oldest(&mut self) {
        if let Some((_, delta)) = self.events.pop_front() {
            self.net_change.sub(delta);
        }
    }

    fn drop_reported(&mut self, measured: Time) {
        while self.events.front().is_some_and(|(at, _)| *at <= measured) {
            self.drop_oldest();
        }
    }
}

/// Decays `value` towards `mean` over `age` time constants.
fn decay_to_mean(value: f64, mean: f64, age: f64) -> f64 {
    mean + (value - mean) * (-age).exp()
}
