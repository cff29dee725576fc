//! A target's failure rate, from what all hosts see of it.
//!
//! Hosts tell each other counts of answers and failures, not rates: where many hosts share a
//! target, each sees one failure at most before the fault is over. What each host has seen
//! counts for the rate, but one host that disagrees with the others at most as half a failure.

use std::time::Duration;

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

#[cfg(test)]
mod tests;

/// Time in which an outcome's weight halves.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Number of answers that a target is taken to have given before.
const PRIOR_ANSWERS: f64 = 2.0;

/// Number of failures that count if only one host reports any: the fault may lie between that
/// host and the target.
const LONE_FAILURES: f64 = 0.5;

/// Number of outcomes below which they no longer count.
const MIN_COUNT: f64 = 0.05;

/// Maximum number of other hosts whose counts are kept for a target; the smallest are dropped.
const MAX_PEERS: usize = 32;

/// Factor of counts in messages.
const COUNT_UNIT: f64 = 10.0;

/// What one host has seen of a target, to send to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Answers, in tenths.
    pub answers: u16,
    /// Failures, in tenths.
    pub failures: u16,
}

/// Numbers of outcomes; older ones count less.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    answers: f64,
    failures: f64,
}

impl Outcomes {
    fn of(report: OutcomeReport) -> Outcomes {
        let count = |tenths| f64::from(tenths) / COUNT_UNIT;
        Outcomes { answers: count(report.answers), failures: count(report.failures) }
    }

    fn scale(&mut self, weight: f64) {
        self.answers *= weight;
        self.failures *= weight;
    }

    fn sum(self) -> f64 {
        self.answers + self.failures
    }
}

/// Recent outcomes of requests on one target, on this host and on others.
#[derive(Debug, Clone)]
pub struct TargetOutcomes {
    own: Outcomes,
    peers: SmallVec<[(u32, Outcomes); 4]>,
    total: Outcomes,
    /// Most failures that a single host has seen.
    most_failures: f64,
    updated_at: Time,
}

impl TargetOutcomes {
    /// Starts without outcomes.
    pub fn new(now: Time) -> TargetOutcomes {
        TargetOutcomes {
            own: Outcomes::default(),
            peers: SmallVec::new(),
            total: Outcomes::default(),
            most_failures: 0.0,
            updated_at: now,
        }
    }

    /// Records the outcome of a request of this host.
    pub fn record(&mut self, now: Time, failed: bool) {
        self.decay(now);
        let count = if failed { &mut self.own.failures } else { &mut self.own.answers };
        *count += 1.0;
        self.add_up();
    }

    /// What this host has seen; none if nothing recently.
    pub fn report(&self, now: Time) -> Option<OutcomeReport> {
        let mut own = self.own;
        own.scale(self.weight_of_past(now));
        let tenths = |count: f64| (count * COUNT_UNIT).round().min(f64::from(u16::MAX)) as u16;
        (own.sum() >= MIN_COUNT)
            .then(|| OutcomeReport { answers: tenths(own.answers), failures: tenths(own.failures) })
    }

    /// Replaces what another host reported before.
    pub fn apply_report(&mut self, now: Time, host: u32, report: OutcomeReport) {
        self.decay(now);
        self.peers.retain(|(peer, seen)| *peer != host && seen.sum() >= MIN_COUNT);
        self.peers.push((host, Outcomes::of(report)));
        if self.peers.len() > MAX_PEERS {
            let by_sum =
                |a: &usize, b: &usize| self.peers[*a].1.sum().total_cmp(&self.peers[*b].1.sum());
            let smallest = (0..self.peers.len()).min_by(by_sum);
            smallest.map(|at| self.peers.swap_remove(at));
        }
        self.add_up();
    }

    /// The failure rate, from 0 to 1. The time it takes does not depend on the number of hosts.
    pub fn rate(&self, now: Time) -> f64 {
        let weight = self.weight_of_past(now);
        let (all, most) = (self.total.failures * weight, self.most_failures * weight);
        let counted = (all - most) + most.min((all - most).max(LONE_FAILURES));
        counted / (self.total.answers * weight + counted + PRIOR_ANSWERS)
    }

    /// Whether no failure counts any more.
    pub fn is_over(&self, now: Time) -> bool {
        self.total.failures * self.weight_of_past(now) < MIN_COUNT
    }

    fn decay(&mut self, now: Time) {
        let weight = self.weight_of_past(now);
        self.own.scale(weight);
        self.peers.iter_mut().for_each(|(_, seen)| seen.scale(weight));
        self.updated_at = now;
    }

    fn add_up(&mut self) {
        let (mut total, mut most) = (self.own, self.own.failures);
        for (_, seen) in &self.peers {
            total.answers += seen.answers;
            total.failures += seen.failures;
            most = most.max(seen.failures);
        }
        (self.total, self.most_failures) = (total, most);
    }

    fn weight_of_past(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5f64.powf(half_lives)
    }
}
