//! One target's load as this host can know it.
//!
//! The last report, plus what this host has sent and seen finished since it was
//! measured. Without a fresh report, the load of a typical target of its role,
//! plus this host's own open work, so that hosts neither herd to a silent target
//! nor give it up.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::LoadReport;

/// Events of this host remembered a target.
const EVENTS: usize = 512;

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
}

/// Mean load over the targets of one role.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Typical {
    seqs: f64,
    prompt: f64,
    kv: f64,
}

impl Typical {
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
    open: u32,
    transit: u32,
    pending: u64,
}

impl Load {
    /// Takes in a report measured at `measured`; false if a later one is known.
    pub(super) fn report(&mut self, measured: Time, report: LoadReport) -> bool {
        if self.report.is_some_and(|(last, _)| last > measured) {
            return false;
        }
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
    pub(super) fn prompt_done(&mut self, prompt: u64) {
        self.pending = self.pending.saturating_sub(prompt);
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

    /// The load at `now` on a target that computes `rate` prompt tokens a second.
    pub(super) fn estimate(
        &self,
        now: Time,
        rate: f64,
        stale: Duration,
        typical: &Typical,
    ) -> Estimate {
        match self.report {
            Some((measured, report)) if now.since(measured) < stale => {
                self.since_report(now.since(measured), &report, rate)
            }
            _ => self.without_report(typical),
        }
    }

    fn since_report(&self, elapsed: Duration, report: &LoadReport, rate: f64) -> Estimate {
        let seqs = i64::from(report.running + report.waiting) + self.net.seqs;
        let seqs = u32::try_from(seqs.max(0)).unwrap_or(u32::MAX);
        let computed = (rate * elapsed.as_secs_f64()) as i64;
        let prompt = report.prompt_queue as i64 + self.net.prompt - computed;
        let kv = report.kv_used as i64 + self.net.kv;
        Estimate {
            seqs: (seqs + self.transit).max(self.open),
            prompt: (prompt.max(0) as u64).max(self.pending),
            kv: kv.max(0) as u64,
        }
    }

    fn without_report(&self, typical: &Typical) -> Estimate {
        Estimate {
            seqs: typical.seqs as u32 + self.open,
            prompt: typical.prompt as u64 + self.pending,
            kv: typical.kv as u64,
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
