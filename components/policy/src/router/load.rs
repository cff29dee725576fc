//! One target's load as this host can know it.
//!
//! The last report, plus what this host has sent and seen finished since it was
//! measured. What a report says above or below the mean of its role fades with its
//! age, prompt queues sooner than sequences: all hosts act on the same old report,
//! so a target that stood out when it was measured does so no longer. Without a fresh report, the load of a typical target of its role,
//! plus this host's own open work, so that hosts neither herd to a silent target
//! nor give it up.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::LoadReport;

/// Events of this host remembered a target.
const EVENTS: usize = 512;

/// Time constant with which a queue of prompts returns to the mean, in seconds.
const PROMPT_MEMORY: f64 = 0.3;

/// Time constant with which a number of sequences returns to the mean, in seconds.
const SEQS_MEMORY: f64 = 5.0;

/// Weight of a new report in the typical load.
const TYPICAL_GAIN: f64 = 0.05;

/// Work on one target, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Estimate {
    /// Sequences that run, wait or are on their way.
    pub(super) seqs: u32,
    /// Prompt tokens not computed.
    pub(super) prompt: u64,
    /// KV memory in use, in tokens.
    pub(super) kv: u64,
    /// Sequences of this host that came and went since the report.
    pub(super) net: i64,
    /// This host's place among those that share the room left, from 0 to 1.
    pub(super) place: f64,
}

/// Mean load over the targets of one role.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Typical {
    seqs: f64,
    prompt: f64,
    kv: f64,
}

impl Typical {
    /// Mean number of sequences.
    pub(super) fn seqs(&self) -> f64 {
        self.seqs
    }

    /// Takes in one target's report.
    pub(super) fn update(&mut self, report: &LoadReport) {
        let seqs = f64::from(report.running + report.waiting);
        self.seqs += TYPICAL_GAIN * (seqs - self.seqs);
        self.prompt += TYPICAL_GAIN * (report.prompt_queue as f64 - self.prompt);
        self.kv += TYPICAL_GAIN * (report.kv_used as f64 - self.kv);
    }
}

/// Work that this host added to a target, or saw leave it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Delta {
    pub(super) seqs: i64,
    pub(super) prompt: i64,
    pub(super) kv: i64,
}

impl Delta {
    fn add(&mut self, other: Delta) {
        self.seqs += other.seqs;
        self.prompt += other.prompt;
        self.kv += other.kv;
    }

    fn sub(&mut self, other: Delta) {
        self.seqs -= other.seqs;
        self.prompt -= other.prompt;
        self.kv -= other.kv;
    }
}

/// What is known of one target's load.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    report: Option<(Time, LoadReport)>,
    since: VecDeque<(Time, Delta)>,
    net: Delta,
    place: f64,
    open: u32,
    transit: u32,
    pending: u64,
}

impl Load {
    /// Takes in a report measured at `measured`; false if a later one is known.
    ///
    /// `place` is drawn anew for each report, differently on each host.
    pub(super) fn report(&mut self, measured: Time, report: LoadReport, place: f64) -> bool {
        if self.report.is_some_and(|(last, _)| last > measured) {
            return false;
        }
        self.place = place;
        self.report = Some((measured, report));
        self.drop_until(measured);
        true
    }

    /// Counts a sequence whose prompt of `prompt` tokens is computed here.
    pub(super) fn prompt_sent(&mut self, now: Time, prompt: u64, kv: u64) {
        self.open += 1;
        self.pending += prompt;
        self.push(now, Delta { seqs: 1, prompt: prompt as i64, kv: kv as i64 });
    }

    /// Counts a sequence's prompt as computed.
    pub(super) fn prompt_done(&mut self, now: Time, prompt: u64) {
        self.pending = self.pending.saturating_sub(prompt);
        self.push(now, Delta { prompt: -(prompt as i64), ..Delta::default() });
    }

    /// Counts a sequence that will come here once its prompt is computed elsewhere.
    pub(super) fn expect(&mut self) {
        self.open += 1;
        self.transit += 1;
    }

    /// Counts an expected sequence as arrived.
    pub(super) fn arrived(&mut self, now: Time, kv: u64) {
        self.transit = self.transit.saturating_sub(1);
        self.push(now, Delta { seqs: 1, prompt: 0, kv: kv as i64 });
    }

    /// Counts an expected sequence as not coming.
    pub(super) fn unexpect(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.transit = self.transit.saturating_sub(1);
    }

    /// Counts a sequence as left.
    pub(super) fn left(&mut self, now: Time, kv: u64) {
        self.open = self.open.saturating_sub(1);
        self.push(now, Delta { seqs: -1, prompt: 0, kv: -(kv as i64) });
    }

    /// The load at `now`.
    pub(super) fn estimate(&self, now: Time, stale: Duration, typical: &Typical) -> Estimate {
        match self.report {
            Some((measured, report)) if now.since(measured) < stale => {
                self.since_report(now.since(measured), &report, typical)
            }
            _ => self.without_report(typical),
        }
    }

    fn since_report(&self, age: Duration, report: &LoadReport, typical: &Typical) -> Estimate {
        let age = age.as_secs_f64();
        let reported = f64::from(report.running + report.waiting);
        let seqs = fade(reported, typical.seqs, age / SEQS_MEMORY) + self.net.seqs as f64;
        let queue = report.prompt_queue as f64;
        let prompt = fade(queue, typical.prompt, age / PROMPT_MEMORY) + self.net.prompt as f64;
        let kv = report.kv_used as i64 + self.net.kv;
        Estimate {
            seqs: (seqs.max(0.0) as u32 + self.transit).max(self.open),
            prompt: (prompt.max(0.0) as u64).max(self.pending),
            kv: kv.max(0) as u64,
            net: self.net.seqs,
            place: self.place,
        }
    }

    fn without_report(&self, typical: &Typical) -> Estimate {
        Estimate {
            seqs: typical.seqs as u32 + self.open,
            prompt: typical.prompt as u64 + self.pending,
            kv: typical.kv as u64,
            net: 0,
            place: 0.0,
        }
    }

    fn push(&mut self, now: Time, delta: Delta) {
        if self.since.len() == EVENTS {
            self.pop();
        }
        self.since.push_back((now, delta));
        self.net.add(delta);
    }

    fn pop(&mut self) {
        if let Some((_, delta)) = self.since.pop_front() {
            self.net.sub(delta);
        }
    }

    fn drop_until(&mut self, measured: Time) {
        while self.since.front().is_some_and(|(at, _)| *at <= measured) {
            self.pop();
        }
    }
}

/// `value` after `age` time constants of a return to `mean`.
fn fade(value: f64, mean: f64, age: f64) -> f64 {
    mean + (value - mean) * (-age).exp()
}
