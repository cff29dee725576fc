//! What all hosts together see of targets that fail.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{OutcomeReport, TargetOutcomes};
use serde::{Deserialize, Serialize};

use crate::fleet::AttemptOutcome;

/// Maximum number of targets in a message, so that it fits into one datagram.
const MAX_NOTICES: usize = 60;

/// Maximum number of targets with failures that are remembered, known to this host or not.
const MAX_TARGETS: usize = 512;

/// Failure rate from which a target counts as avoided and is tried again now and then.
const AVOIDED_RATE: f64 = 0.2;

/// Interval at which an avoided target is tried again.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// Outcomes of one host on one start of a target, as it tells other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeNotice {
    /// Hash of the target's id and start.
    pub start: u32,
    /// What the host has seen.
    pub report: OutcomeReport,
}

/// One start of a target with failures.
#[derive(Debug)]
struct FailingStart {
    outcomes: TargetOutcomes,
    /// When this host recorded an outcome; none before.
    recorded_at: Option<Time>,
    /// Whether this host is the one that tries it again.
    is_trier: bool,
    tried_at: Time,
}

/// Targets that failed recently on any host, by hash of id and start. Answers count from the
/// first failure that this host knows of.
#[derive(Debug, Default)]
pub(super) struct Failures {
    starts: HashMap<u32, FailingStart>,
}

impl Failures {
    /// Records the outcome of a request of this host. Returns whether it is the first failure of
    /// a sound target.
    pub(super) fn record(
        &mut self,
        now: Time,
        start: u32,
        outcome: AttemptOutcome,
        is_trier: impl FnOnce() -> bool,
    ) -> bool {
        let failed = match outcome {
            // An error that a target answers with may be due to the request, or common to the service: all
            // hosts would prefer the target that happens to show the fewest.
            AttemptOutcome::Answered | AttemptOutcome::ErrorAnswer => false,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable | AttemptOutcome::Replaced => true,
            // A target without room is not at fault.
            AttemptOutcome::Full | AttemptOutcome::Unrelated => return false,
        };
        let is_sound = !self.starts.contains_key(&start);
        let known =
            if failed { self.start(now, start, is_trier) } else { self.starts.get_mut(&start) };
        let Some(known) = known else { return false };
        known.outcomes.record(now, failed);
        known.recorded_at = Some(now);
        is_sound
    }

    /// Replaces what another host reported before of a target.
    pub(super) fn apply(
        &mut self,
        now: Time,
        host: u32,
        notice: &OutcomeNotice,
        is_trier: impl FnOnce() -> bool,
    ) {
        if let Some(known) = self.start(now, notice.start, is_trier) {
            known.outcomes.apply_report(now, host, notice.report);
        }
    }

    fn start(
        &mut self,
        now: Time,
        start: u32,
        is_trier: impl FnOnce() -> bool,
    ) -> Option<&mut FailingStart> {
        if self.starts.len() >= MAX_TARGETS && !self.starts.contains_key(&start) {
            return None;
        }
        Some(self.starts.entry(start).or_insert_with(|| FailingStart {
            outcomes: TargetOutcomes::new(now),
            recorded_at: None,
            is_trier: is_trier(),
            tried_at: now,
        }))
    }

    /// What to tell other hosts: what this host recorded within `span`. Drops what is over.
    pub(super) fn notices(&mut self, now: Time, span: Duration) -> Vec<OutcomeNotice> {
        self.starts.retain(|_, known| !known.outcomes.is_over(now));
        let recent =
            |known: &FailingStart| known.recorded_at.is_some_and(|at| now.since(at) < span);
        let recent = self.starts.iter().filter(|(_, known)| recent(known));
        let notices = recent.filter_map(|(start, known)| {
            Some(OutcomeNotice { start: *start, report: known.outcomes.report(now)? })
        });
        let mut notices: Vec<OutcomeNotice> = notices.collect();
        if notices.len() > MAX_NOTICES {
            notices.sort_unstable_by_key(|notice| std::cmp::Reverse(notice.report.failures));
            notices.truncate(MAX_NOTICES);
        }
        notices
    }

    /// The failure rate of a target over all hosts, from 0 to 1.
    pub(super) fn rate(&self, now: Time, start: u32) -> f64 {
        if self.starts.is_empty() {
            return 0.0;
        }
        self.starts.get(&start).map_or(0.0, |known| known.outcomes.rate(now))
    }

    /// Whether this host is to try an avoided target again.
    pub(super) fn is_trial_due(&self, now: Time, start: u32) -> bool {
        if self.starts.is_empty() {
            return false;
        }
        self.starts.get(&start).is_some_and(|known| {
            known.is_trier
                && now.since(known.tried_at) >= TRIAL_INTERVAL
                && known.outcomes.rate(now) >= AVOIDED_RATE
        })
    }

    /// Records that this host sends something to a target.
    pub(super) fn record_start(&mut self, now: Time, start: u32) {
        if let Some(known) = self.starts.get_mut(&start) {
            known.tried_at = now;
        }
    }
}
