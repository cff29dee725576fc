//! A request under way.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{Route, TargetId};
use smallvec::SmallVec;

use crate::{
    scenario::{FIRST_LIMIT, GAP_LIMIT, SLOW_SHARE},
    tally::{Ending, Trace},
    workload::{Arrival, BLOCK_TOKENS},
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
    /// When the first attempt was sent.
    pub(super) sent: Option<Time>,
    /// Prompt tokens found in the cache.
    pub(super) cached: u32,
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
            sent: None,
            cached: 0,
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

    /// What happened to it.
    pub(super) fn trace(&self, arrival: &Arrival, ending: Ending) -> Trace {
        let millis = |span: Duration| span.as_secs_f64() * 1e3;
        let sent = self.sent.unwrap_or(arrival.at);
        let route = self.route.as_ref();
        Trace {
            at: arrival.at.as_secs_f64(),
            entry: arrival.entry,
            org: arrival.org,
            prompt: arrival.prompt,
            output: arrival.output,
            shared: arrival.blocks.len() as u32 * BLOCK_TOKENS,
            queued: millis(sent.since(arrival.at)),
            route: route.map(|route| (route.prefill.0, route.decode.0)),
            expected: route.map_or(0, |route| route.cached),
            cached: self.cached,
            predicted: route.map_or(0.0, |route| millis(route.first)),
            first: self.first.map_or(-1.0, |first| millis(first.since(sent))),
            slow: (self.slow, self.gaps),
            ending: format!("{ending:?}"),
        }
    }
}
