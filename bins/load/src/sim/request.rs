//! The simulation's state of one request.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{Route, TargetId};
use smallvec::SmallVec;

use crate::{
    scenario::{GAP_LIMIT, SLOW_GAP_DIVISOR, TTFT_LIMIT},
    stats::{RequestOutcome, Trace},
    workload::{Arrival, BLOCK_TOKENS},
};

/// Progress of a request over all its attempts.
#[derive(Debug)]
pub(super) struct RequestState {
    /// Number of the current attempt.
    pub(super) number: u32,
    /// Number of attempts that an engine accepted.
    pub(super) runs: u32,
    pub(super) route: Option<Route>,
    /// Number of tokens that the caller has received.
    pub(super) emitted: u32,
    /// Time of the first token.
    pub(super) first_token: Option<Time>,
    /// Time of the last token whose time is known.
    pub(super) last_token: Time,
    pub(super) gaps: u32,
    /// Number of gaps longer than the limit.
    pub(super) slow_gaps: u32,
    pub(super) closed: bool,
    /// Time at which the first attempt was sent.
    pub(super) sent_at: Option<Time>,
    /// Number of prompt tokens that the engine found in its cache.
    pub(super) cached: u32,
    /// Targets at which an attempt failed.
    pub(super) failed_targets: SmallVec<[TargetId; 2]>,
}

impl RequestState {
    pub(super) fn new() -> RequestState {
        RequestState {
            number: 0,
            runs: 0,
            route: None,
            emitted: 0,
            first_token: None,
            last_token: Time::ZERO,
            gaps: 0,
            slow_gaps: 0,
            closed: false,
            sent_at: None,
            cached: 0,
            failed_targets: SmallVec::new(),
        }
    }

    /// Records the first token of an attempt at `at`; returns the gap since the last token of
    /// the attempt before.
    pub(super) fn record_token(&mut self, at: Time) -> Option<Duration> {
        self.emitted += 1;
        let gap = self.first_token.is_some().then(|| at.since(self.last_token));
        self.first_token.get_or_insert(at);
        self.last_token = at;
        if let Some(gap) = gap {
            self.gaps += 1;
            self.slow_gaps += u32::from(gap > GAP_LIMIT);
        }
        gap
    }

    /// Records tokens whose gaps the engine counted, `slow` of them longer than the limit.
    pub(super) fn record_tokens(&mut self, tokens: u32, slow: u32) {
        self.emitted += tokens;
        self.gaps += tokens;
        self.slow_gaps += slow;
    }

    /// Outcome of a complete answer to a request that arrived at `arrived`.
    pub(super) fn ending(&self, arrived: Time) -> RequestOutcome {
        let first = self.first_token.map_or(Duration::MAX, |first| first.since(arrived));
        if first > TTFT_LIMIT {
            return RequestOutcome::Late;
        }
        if self.slow_gaps * SLOW_GAP_DIVISOR > self.gaps {
            return RequestOutcome::Slow;
        }
        RequestOutcome::Good
    }

    /// The trace of the request, which ended as `ending`.
    pub(super) fn trace(&self, arrival: &Arrival, ending: RequestOutcome) -> Trace {
        let millis = |span: Duration| span.as_secs_f64() * 1e3;
        let sent = self.sent_at.unwrap_or(arrival.at);
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
            expected: route.map_or(0, |route| route.cached_tokens),
            cached: self.cached,
            predicted: route.map_or(0.0, |route| millis(route.ttft)),
            first: self.first_token.map_or(-1.0, |first| millis(first.since(sent))),
            slow: (self.slow_gaps, self.gaps),
            ending: format!("{ending:?}"),
        }
    }
}
