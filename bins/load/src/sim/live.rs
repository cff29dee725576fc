//! A request under way.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{Route, TargetId};
use smallvec::SmallVec;

use crate::{
    scenario::{FIRST_LIMIT, GAP_LIMIT, SLOW_SHARE},
    tally::Ending,
};

/// What the simulation keeps of a request.
#[derive(Debug)]
pub(super) struct Live {
    /// Number of the present attempt.
    pub(super) number: u32,
    /// Attempts that reached an engine.
    pub(super) runs: u32,
    pub(super) route: Option<Route>,
    /// Tokens that the caller has.
    pub(super) emitted: u32,
    pub(super) first: Option<Time>,
    /// When the last token came whose time is known.
    pub(super) last: Time,
    pub(super) gaps: u32,
    pub(super) slow: u32,
    pub(super) closed: bool,
    /// Targets that failed it.
    pub(super) failed: SmallVec<[TargetId; 2]>,
}

impl Live {
    pub(super) fn new() -> Live {
        Live {
            number: 0,
            runs: 0,
            route: None,
            emitted: 0,
            first: None,
            last: Time::ZERO,
            gaps: 0,
            slow: 0,
            closed: false,
            failed: SmallVec::new(),
        }
    }

    /// Notes a token that came at `at`, after an attempt began anew.
    pub(super) fn note_token(&mut self, at: Time) -> Option<Duration> {
        self.emitted += 1;
        let gap = self.first.is_some().then(|| at.since(self.last));
        self.first.get_or_insert(at);
        self.last = at;
        if let Some(gap) = gap {
            self.gaps += 1;
            self.slow += u32::from(gap > GAP_LIMIT);
        }
        gap
    }

    /// Notes tokens whose gaps the engine counted.
    pub(super) fn note_tokens(&mut self, tokens: u32, slow: u32) {
        self.emitted += tokens;
        self.gaps += tokens;
        self.slow += slow;
    }

    /// How a whole answer to a request that arrived at `arrived` ended.
    pub(super) fn ending(&self, arrived: Time) -> Ending {
        let first = self.first.map_or(Duration::MAX, |first| first.since(arrived));
        if first > FIRST_LIMIT {
            return Ending::Late;
        }
        if self.slow * SLOW_SHARE > self.gaps {
            return Ending::Slow;
        }
        Ending::Good
    }
}
