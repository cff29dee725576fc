//! The choice of a target by its predicted cost.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    fleet::{
        Fleet, Placement, Plan, TargetQuery, TargetRole,
        costs::{Candidate, ComputeCost, CostTerms, SplitTerms},
        peer_loads::PeerLoad,
        rank::{affinity, rank},
        room::{Need, room_cost},
        target::{TargetState, UncachedTokens},
    },
    protocol::Prompt,
};

/// Cost of a round trip to another availability zone.
const CROSS_ZONE_COST_MS: f64 = 4.0;

/// Cost of a failure rate of 1; higher than any wait at which a healthy target is still
/// preferred.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Factor of that for a request that may not run again: its loss cannot be made good.
const ONCE_FACTOR: f64 = 2.0;

/// Cost of computing a prompt on one engine and generating on another: a second call,
/// and the time and price of the KV cache transfer.
const SPLIT_COST_MS: f64 = 25.0;

/// Weight of the time to compute a shared part again: the computation has a price in
/// addition to its time.
const RECOMPUTE_WEIGHT: f64 = 2.0;

/// Time of computing prompts in a row, relative to the longest pause, from which the streams
/// of a decode engine begin to be late, and with which all of them are: an event of a stream
/// may hold several tokens, whose steps take the rest of the pause.
const LATE_PAUSE_SHARES: (f64, f64) = (0.3, 0.6);

/// The same where the tokens of an event are known, relative to the predicted pause: an event has
/// to wait for the steps of its own tokens only, and predictions are off by some percent.
const LATE_EVENT_SHARES: (f64, f64) = (0.8, 1.1);

/// Cost of making a stream late.
const LATE_STREAM_COST_MS: f64 = 100.0;

/// Cost that a request may have more at a target whose limit is in doubt, or that is tried again after
/// failures: the hosts that ask such a target are the only ones that can learn of the end of it.
const DOUBT_BONUS_MS: f64 = 40.0;

/// Rendezvous weight of a prefill engine relative to a decode engine: the ratio of
/// their prefill speeds.
const PREFILL_WEIGHT: f64 = 2.0;

/// Probability that the first-ranked engine holds a shared part that no host has
/// reported: others may be sending it there right now.
const FIRST_RANK_HIT_RATE: f64 = 0.5;

/// The same for the second-ranked engine, which takes over while the first is busy.
const SECOND_RANK_HIT_RATE: f64 = 0.25;

/// Rules of a choice beyond those of the query.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rules {
    /// Only targets that start a request within this time; all if none is given.
    pub(super) max_wait: Option<Duration>,
    /// Whether work is assumed of hosts that this one has not heard since it started.
    pub(super) assumes_work: bool,
}

impl Fleet {
    /// Chooses the target of a request, and another one to compute its prompt first if
    /// that is cheaper.
    pub fn place(&self, now: Time, query: &TargetQuery<'_>) -> Option<Plan> {
        self.place_by(now, query, Rules::default())
    }

    /// The same by these rules.
    pub(super) fn place_by(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        rules: Rules,
    ) -> Option<Plan> {
        let need = self.need(query.service, query.prompt);
        let whole = self.best_target(now, query, &need, rules, |role| role != TargetRole::Prefill);
        if query.prompt.tokens == 0 {
            return whole.map(|placement| Plan { placement, prefill: None });
        }
        // A prompt that is lost is computed again, whatever the request.
        let stage = TargetQuery { runs_once: false, ..*query };
        let prefill =
            self.best_target(now, &stage, &need, rules, |role| role == TargetRole::Prefill);
        let decode = self.decoding_target(now, query, rules);
        // Both stages have one software version.
        let same = prefill.as_ref().and_then(|prefill| {
            let query = TargetQuery { build: Some(prefill.build.id), ..*query };
            self.decoding_target(now, &query, rules)
        });
        match (whole, prefill, same) {
            (Some(whole), Some(prefill), Some(placement))
                if self.split_cost(&prefill, &placement, decode.as_ref(), &need).total()
                    < whole.cost_ms =>
            {
                Some(Plan { placement, prefill: Some(prefill) })
            }
            (whole, ..) => whole.map(|placement| Plan { placement, prefill: None }),
        }
    }

    /// Cost of computing the prompt at `prefill` and generating at `decode`, while `any` is the cheapest
    /// engine of any software version to generate.
    pub(super) fn split_cost(
        &self,
        prefill: &Placement,
        decode: &Placement,
        any: Option<&Placement>,
        need: &Need,
    ) -> SplitTerms {
        // An engine that generates without room has none for the whole request either.
        let state = any.and_then(|any| self.targets.get(&any.id));
        let room_cost =
            |state: &TargetState| room_cost(state, self.peer_loads.load(state.id_hash), need);
        SplitTerms {
            prefill_ms: prefill.cost_ms,
            transfer_ms: SPLIT_COST_MS,
            detour_ms: any.map_or(0.0, |any| decode.cost_ms - any.cost_ms),
            room_ms: state.map_or(0.0, room_cost),
        }
    }

    /// Chooses a target that runs the whole request.
    pub fn place_whole(&self, now: Time, query: &TargetQuery<'_>) -> Option<Placement> {
        let need = self.need(query.service, query.prompt);
        self.best_target(now, query, &need, Rules::default(), |role| role != TargetRole::Prefill)
    }

    /// Chooses a target to generate from an exported KV cache, without computing the
    /// prompt.
    pub fn place_decode(&self, now: Time, query: &TargetQuery<'_>) -> Option<Placement> {
        self.decoding_target(now, query, Rules::default())
    }

    pub(super) fn decoding_target(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        rules: Rules,
    ) -> Option<Placement> {
        let need = self.need(query.service, query.prompt);
        let no_prompt = Prompt::default();
        let query = TargetQuery { prompt: &no_prompt, ..*query };
        self.best_target(now, &query, &need, rules, |role| role == TargetRole::Decode)
    }

    /// Cost of a target's failures, by what this host and all hosts together have seen of it.
    fn failure_cost(&self, now: Time, state: &TargetState, query: &TargetQuery<'_>) -> f64 {
        let factor = if query.runs_once { ONCE_FACTOR } else { 1.0 };
        let told = self.failures.rate(now, state.start_hash) * factor;
        FAILURE_COST_MS * state.health.rate(now).max(told)
    }

    /// Cost of the streams that computing a prompt on a decode engine makes late, in
    /// milliseconds. Streams that the prompts before it make late anyway do not count. If the
    /// tokens of an event are not known, none count where streams are hardly ever late.
    fn late_streams_cost(
        &self,
        now: Time,
        state: &TargetState,
        others: PeerLoad,
        missing: UncachedTokens,
        query: &TargetQuery<'_>,
        event_tokens: Option<u32>,
    ) -> f64 {
        let Some(max_pause) = query.max_pause.filter(|_| state.entry.role == TargetRole::Decode)
        else {
            return 0.0;
        };
        let streams = state.in_flight + others.in_flight;
        let pending = state.pending_ms + f64::from(others.pending_ms);
        let own =
            state.prefill_time_ms(missing.shared.saturating_add(missing.own), query.prompt.tokens);
        let max_ms = max_pause.as_secs_f64().max(f64::MIN_POSITIVE) * 1e3;
        let pause = |work_ms| match event_tokens {
            Some(tokens) => state.pause_ms(work_ms, query.prompt.tokens, tokens),
            None => work_ms,
        };
        let (first, all) = event_tokens.map_or(LATE_PAUSE_SHARES, |_| LATE_EVENT_SHARES);
        let late = |work: f64| ((pause(work) / max_ms - first) / (all - first)).clamp(0.0, 1.0);
        let newly_late = (late(pending + own) - late(pending)) * f64::from(streams);
        let relevance = event_tokens.map_or_else(|| self.pauses.relevance(now), |_| 1.0);
        newly_late * LATE_STREAM_COST_MS * relevance
    }

    /// Predicted time until a target starts a new request, in milliseconds.
    pub(super) fn expected_wait(&self, now: Time, state: &TargetState) -> f64 {
        let others = self.peer_loads.load(state.id_hash);
        state.expected_wait(now, others.in_flight, f64::from(others.pending_ms))
    }

    fn wait_by(&self, now: Time, state: &TargetState, rules: Rules) -> f64 {
        if rules.assumes_work {
            self.assumed_wait(now, state)
        } else {
            self.expected_wait(now, state)
        }
    }

    /// The same, with the work that is assumed of hosts not heard.
    pub(super) fn assumed_wait(&self, now: Time, state: &TargetState) -> f64 {
        let others = self.assumed_load(now, state);
        state.expected_wait(now, others.in_flight, f64::from(others.pending_ms))
    }

    fn best_target(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        need: &Need,
        rules: Rules,
        has_role: impl Fn(TargetRole) -> bool,
    ) -> Option<Placement> {
        let mut best: Option<Candidate<'_>> = None;
        self.visit_candidates(now, query, need, rules, has_role, |candidate| {
            if best.as_ref().is_none_or(|best| candidate.order(best).is_lt()) {
                best = Some(candidate);
            }
        });
        best.map(|candidate| self.placement(now, query, &candidate))
    }

    /// The target of a candidate, with its predicted times.
    pub(super) fn placement(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        candidate: &Candidate<'_>,
    ) -> Placement {
        let Candidate { state, computed, import, terms, .. } = candidate;
        let missing = import.as_ref().map_or(*computed, |(_, rest)| *rest);
        let import_ms = import.as_ref().map_or(0.0, |(offer, _)| offer.time_ms);
        let compute_tokens = missing.shared.saturating_add(missing.own);
        let prefill_ms = state.prefill_time_ms(compute_tokens, query.prompt.tokens);
        let import = import.as_ref().map(|(offer, _)| {
            let all = computed.shared.saturating_add(computed.own);
            offer.import(state.prefill_time_ms(all, query.prompt.tokens) - prefill_ms)
        });
        Placement {
            id: state.entry.id.clone(),
            addr: state.entry.addr,
            zone: state.entry.zone.clone(),
            incarnation: state.entry.incarnation,
            build: state.build(now),
            compute_tokens,
            prefill_ms,
            wait_ms: terms.wait_ms + import_ms,
            cost_ms: candidate.cost_ms,
            cache_is_known: candidate.cache_is_known,
            import,
        }
    }

    /// Calls `visit` with each target that may be sent the request, and the terms of its cost.
    pub(super) fn visit_candidates<'a>(
        &'a self,
        now: Time,
        query: &TargetQuery<'_>,
        need: &Need,
        rules: Rules,
        has_role: impl Fn(TargetRole) -> bool,
        mut visit: impl FnMut(Candidate<'a>),
    ) {
        let key = affinity(query.prompt);
        let serving = self.targets.values().filter(|state| {
            state.serves(now, query.service)
                && query.build.is_none_or(|build| state.build(now).id == build)
                && self.hold(now, state).is_none()
                && (query.build.is_some() || !self.is_held_back(now, state))
        });
        let ranked = serving.map(|state| {
            let weight = if state.entry.role == TargetRole::Prefill { PREFILL_WEIGHT } else { 1.0 };
            (state, rank(key, &state.entry.id, weight))
        });
        let ranked: SmallVec<[(&'a TargetState, f64); 32]> = ranked.collect();
        let (mut first, mut second) = (f64::MIN, f64::MIN);
        for (_, rank) in &ranked {
            second = second.max(rank.min(first));
            first = first.max(*rank);
        }
        if rules.assumes_work && self.prefers_second_rank(now, query.prompt) {
            std::mem::swap(&mut first, &mut second);
        }
        let hit_rate = |rank: f64| match rank {
            rank if rank == first => FIRST_RANK_HIT_RATE,
            rank if rank == second => SECOND_RANK_HIT_RATE,
            _ => 0.0,
        };
        let sources = self.import_sources(now, query, ranked.iter().map(|(state, _)| *state));
        let event_tokens = self.event_tokens.get(query.service).copied();
        let import_hit_rate = self.imports.hit_rate(now);
        let eligible = ranked.into_iter().filter(|(state, _)| {
            has_role(state.entry.role)
                && !query.exclude.contains(&state.entry.id)
                && rules.max_wait.is_none_or(|wait| self.starts_within(now, state, wait, need))
        });
        for (state, rank) in eligible {
            let others = self.peer_loads.load(state.id_hash);
            let hit_rate = hit_rate(rank);
            let missing = state.uncached_tokens(query.prompt, hit_rate);
            let zone_ms = if state.entry.zone == self.zone { 0.0 } else { CROSS_ZONE_COST_MS };
            let is_trial = !query.runs_once && self.failures.is_trial_due(now, state.start_hash);
            let failing_ms = if is_trial { 0.0 } else { self.failure_cost(now, state, query) };
            let computing = |missing: UncachedTokens| ComputeCost {
                prefill_ms: state.prefill_time_ms(missing.shared, query.prompt.tokens)
                    * RECOMPUTE_WEIGHT
                    + state.prefill_time_ms(missing.own, query.prompt.tokens),
                late_streams_ms: self.late_streams_cost(
                    now,
                    state,
                    others,
                    missing,
                    query,
                    event_tokens,
                ),
                import_ms: 0.0,
            };
            let computed_cost = computing(missing);
            let offer = (!sources.is_empty() && missing.shared > 0)
                .then(|| state.cached_shared_tokens(query.prompt))
                .and_then(|cached| self.import_offer(now, query.service, state, cached, &sources));
            let import = offer.and_then(|offer| {
                // Neither what is cached unknown to the hosts nor what does not arrive is saved.
                let saved = f64::from(offer.tokens) * (1.0 - hit_rate) * import_hit_rate;
                let shared = missing.shared.saturating_sub(saved as u32);
                let rest = UncachedTokens { shared, ..missing };
                let import_ms = offer.time_ms + offer.price_ms;
                let cost = ComputeCost { import_ms, ..computing(rest) };
                (cost.total() < computed_cost.total()).then_some((offer, rest, cost))
            });
            let compute = import.as_ref().map_or(computed_cost, |(_, _, cost)| *cost);
            let entry = &state.entry;
            // One answer shows it.
            let is_in_doubt =
                state.in_flight == 0 && self.limits.is_in_doubt(now, &entry.id, entry.incarnation);
            let doubt_ms = if is_in_doubt || is_trial { -DOUBT_BONUS_MS } else { 0.0 };
            let terms = CostTerms {
                wait_ms: self.wait_by(now, state, rules),
                room_ms: room_cost(state, others, need),
                compute,
                zone_ms,
                failing_ms,
                doubt_ms,
            };
            let cache_is_known = import.is_none() && (missing.shared == 0 || hit_rate == 0.0);
            let import = import.map(|(offer, rest, _)| (offer, rest));
            let (computed, cost_ms) = (missing, terms.total());
            visit(Candidate { state, rank, computed, cache_is_known, import, terms, cost_ms });
        }
    }
}
