//! Learns how fast targets are, from how long their responses took.
//!
//! Predictions start from reference times. What is learned is the factor between the time
//! seen and the reference: for a group of targets of one kind, and for each target against its
//! group, both from the observations of all hosts. Factors are medians of recent
//! observations, so that a frozen target, or a prompt that was cached unnoticed, does not
//! move them; until enough was seen, the reference itself counts as some of them.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

#[cfg(test)]
mod tests;

/// Number of observations kept for a group or a target.
const MAX_OBSERVATIONS: usize = 25;

/// Age from which an observation no longer counts.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Number of other hosts whose reports of one target are kept; the latest.
const MAX_REPORTS: usize = 16;

/// Number of observations that the reference counts as.
const REFERENCE_WEIGHT: u32 = 4;

/// Number of observations that the group's factor counts as for one target.
const GROUP_WEIGHT: u32 = 3;

/// Number of observations of all hosts from which a group's factor is learned: several times the
/// reference's weight.
const LEARNED_OBSERVATIONS: u32 = 16;

/// Shortest reference time of a prompt from which the time of its computation alone is learned:
/// the constant time of a response is a third as large a part of it as of the shortest that are
/// observed (50 ms).
const LONG_REFERENCE: Duration = Duration::from_millis(150);

/// Number of long prompts up to which their factor has no weight, and from which it has all of it.
/// With a single bound, the demand of the whole history doubled or halved whenever the number of
/// long prompts crossed it.
const LONG_PROMPTS: (usize, usize) = (4, 12);

/// Lowest factor of work, as a share of the group's factor: long prompts of this host alone may
/// say little about the group.
const MIN_WORK_SHARE: f64 = 0.5;

/// Bounds of an observed factor; one outside of them says more about the observation than
/// about the target.
const FACTOR_BOUNDS: (f64, f64) = (0.05, 20.0);

/// Interval at which a group's factor is computed again.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Recently observed factors.
#[derive(Debug, Clone, Default)]
struct Observations {
    factors: VecDeque<(Time, f64)>,
}

impl Observations {
    fn record(&mut self, now: Time, factor: f64) {
        if self.factors.len() == MAX_OBSERVATIONS {
            self.factors.pop_front();
        }
        self.factors.push_back((now, factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)));
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = f64> {
        let recent = self.factors.iter().filter(move |(at, _)| now.since(*at) < MAX_AGE);
        recent.map(|(_, factor)| *factor)
    }

    fn report(&self, now: Time) -> Option<SpeedReport> {
        let mut factors: SmallVec<[(f64, u32); MAX_OBSERVATIONS]> =
            self.recent(now).map(|factor| (factor, 1)).collect();
        let samples = u8::try_from(factors.len()).unwrap_or(u8::MAX);
        let factor = weighted_median(&mut factors)?;
        Some(SpeedReport { factor: (factor * 1e3) as u16, samples })
    }
}

/// What one host has seen of a group, to send to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SpeedReport {
    /// Median of the observed factors, in thousandths.
    pub factor: u16,
    /// Number of observations.
    pub samples: u8,
}

impl SpeedReport {
    /// The factor with its weight.
    fn weighted(self) -> (f64, u32) {
        let factor = f64::from(self.factor) / 1e3;
        (factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1), self.samples.into())
    }
}

/// The factor of a group of targets of one kind.
#[derive(Debug, Clone)]
pub struct GroupSpeed {
    own: Observations,
    /// Those of long prompts among them.
    long: Observations,
    peers: HashMap<u32, (Time, SpeedReport)>,
    factor: f64,
    updated: Option<Time>,
}

impl Default for GroupSpeed {
    fn default() -> GroupSpeed {
        GroupSpeed {
            own: Observations::default(),
            long: Observations::default(),
            peers: HashMap::new(),
            factor: 1.0,
            updated: None,
        }
    }
}

impl GroupSpeed {
    /// Records the time `seen` of a response for which the reference is `reference`.
    pub fn record(&mut self, now: Time, reference: Duration, seen: Duration) {
        if let Some(factor) = ratio(reference, seen) {
            self.own.record(now, factor);
            if reference >= LONG_REFERENCE {
                self.long.record(now, factor);
            }
        }
    }

    /// What this host has seen; none if nothing recently.
    pub fn report(&self, now: Time) -> Option<SpeedReport> {
        self.own.report(now)
    }

    /// Replaces what another host reported before.
    pub fn apply_report(&mut self, now: Time, host: u32, report: SpeedReport) {
        self.peers.insert(host, (now, report));
    }

    /// The group's factor; 1 if the targets are as fast as the reference.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// The factor of the time for which prompts keep a target busy, without most of the constant
    /// time of a response; the closer to the group's factor, the fewer long prompts this host has
    /// seen.
    pub fn work_factor(&self, now: Time) -> f64 {
        let mut long: SmallVec<[(f64, u32); MAX_OBSERVATIONS]> =
            self.long.recent(now).map(|factor| (factor, 1)).collect();
        let (few, enough) = LONG_PROMPTS;
        let weight = long.len().saturating_sub(few) as f64 / (enough - few) as f64;
        let seen = weighted_median(&mut long).unwrap_or(self.factor);
        let seen = seen.min(self.factor).max(self.factor * MIN_WORK_SHARE);
        self.factor + (seen - self.factor) * weight.min(1.0)
    }

    /// Whether enough was seen by all hosts for the factor to be more than the reference.
    pub fn is_learned(&self, now: Time) -> bool {
        let own = self.own.recent(now).count();
        let peers = self.peers.values().filter(|(at, _)| now.since(*at) < MAX_AGE);
        let peers: u32 = peers.map(|(_, report)| u32::from(report.samples)).sum();
        u32::try_from(own).unwrap_or(u32::MAX).saturating_add(peers) >= LEARNED_OBSERVATIONS
    }

    /// Computes the factor again if it is time to; returns whether it did.
    pub fn update(&mut self, now: Time) -> bool {
        if self.updated.is_some_and(|at| now.since(at) < UPDATE_INTERVAL) {
            return false;
        }
        self.updated = Some(now);
        self.peers.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        let reports = self.peers.values().map(|(_, report)| *report).chain(self.report(now));
        let reports = reports.map(SpeedReport::weighted);
        let mut factors: Vec<(f64, u32)> = reports.chain([(1.0, REFERENCE_WEIGHT)]).collect();
        self.factor = weighted_median(&mut factors).unwrap_or(1.0);
        true
    }
}

/// The factor of one target, from the observations of all hosts.
#[derive(Debug, Clone, Default)]
pub struct TargetSpeed {
    own: Observations,
    /// What other hosts reported, the latest last.
    peers: VecDeque<(u32, Time, SpeedReport)>,
}

impl TargetSpeed {
    /// Records the time `seen` of a response for which the reference is `reference`.
    pub fn record(&mut self, now: Time, reference: Duration, seen: Duration) {
        if let Some(factor) = ratio(reference, seen) {
            self.own.record(now, factor);
        }
    }

    /// Forgets what was seen, for example after a restart.
    pub fn clear(&mut self) {
        self.own.factors.clear();
        self.peers.clear();
    }

    /// Time of this host's latest observation; none before.
    pub fn latest(&self) -> Option<Time> {
        self.own.factors.back().map(|(at, _)| *at)
    }

    /// What this host has seen; none if nothing recently.
    pub fn report(&self, now: Time) -> Option<SpeedReport> {
        self.own.report(now)
    }

    /// Replaces what another host reported before.
    pub fn apply_report(&mut self, now: Time, host: u32, report: SpeedReport) {
        self.peers.retain(|(peer, at, _)| *peer != host && now.since(*at) < MAX_AGE);
        if self.peers.len() == MAX_REPORTS {
            self.peers.pop_front();
        }
        self.peers.push_back((host, now, report));
    }

    /// The target's factor in a group with the factor `group`.
    pub fn factor(&self, now: Time, group: f64) -> f64 {
        let own = self.own.recent(now).map(|factor| (factor, 1));
        let recent = self.peers.iter().filter(|(_, at, _)| now.since(*at) < MAX_AGE);
        let told = recent.map(|(.., report)| report.weighted());
        let mut factors: SmallVec<[(f64, u32); MAX_OBSERVATIONS]> =
            own.chain(told).chain([(group, GROUP_WEIGHT)]).collect();
        weighted_median(&mut factors).unwrap_or(group)
    }
}

fn ratio(reference: Duration, seen: Duration) -> Option<f64> {
    (reference > Duration::ZERO).then(|| seen.as_secs_f64() / reference.as_secs_f64())
}

/// The value that has half of the weight on each side; none without weight.
fn weighted_median(values: &mut [(f64, u32)]) -> Option<f64> {
    values.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let total: u32 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0;
    values.iter().find_map(|(value, weight)| {
        below += weight;
        (below * 2 >= total && total > 0).then_some(*value)
    })
}
