//! Routing of the requests of one service on one host.
//!
//! The load of a target is its last report plus the requests that this host has sent since. A
//! decision considers a few sampled targets and those that have cached the prompt's prefix.
//! Its cost is therefore independent of the fleet size, and hosts that act on the same old
//! reports do not all choose the same target.
//!
//! A prompt is either computed on a prefill engine, from which its KV cache is transferred to
//! a decode or mixed engine (disaggregated), or computed in chunks on the mixed or decode
//! engine that also generates the output (colocated). The router uses whichever has the lower
//! predicted time to first token, including the penalty for a full batch.

use std::time::Duration;

use chervilgate_clock::Time;
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    BLOCK_TOKENS, CacheEvent, LoadReport, Refusal, RefusalReason, Request, Role, Target, TargetId,
    Ticket,
    prefix::{Match, Matches, PrefixIndex},
    router::{
        attempts::{Attempt, Attempts},
        fleet::{Entry, TargetTable},
        score::{GENERATING_ROLES, Prediction, Query},
    },
};

pub(crate) use crate::router::score::FillLimit;
pub use crate::router::{
    route::{AttemptOutcome, KvFetch, Route, RunningAttempt},
    settings::RouteSettings,
};

mod attempts;
mod fleet;
mod health;
mod load;
mod route;
mod score;
mod settings;
#[cfg(test)]
mod tests;

/// Time for which a target that runs a suspect is isolated, so that it gets no new requests.
const ISOLATION_TIME: Duration = Duration::from_secs(3);

/// Time for which a target stays isolated after the first token of a suspect.
const ISOLATION_AFTER_FIRST_TOKEN: Duration = Duration::from_millis(250);

/// At most one in this many serving targets may be isolated for suspects at once.
const ISOLATED_DIVISOR: usize = 4;

/// Suggested retry delay when no target is serving.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

/// Suggested retry delay when all sampled targets are full.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// Chooses targets for the requests of one service on one host.
#[derive(Debug)]
pub struct Router {
    settings: RouteSettings,
    targets: TargetTable,
    prefixes: PrefixIndex,
    attempts: Attempts,
    isolated: SmallVec<[TargetId; 8]>,
}

/// A possible route; the lowest score wins.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    route: Route,
    score: Duration,
}

/// A prefill engine that could compute the prompt.
#[derive(Debug, Clone, Copy)]
struct PrefillCandidate {
    target: TargetId,
    cached: u32,
    fetch: Option<KvFetch>,
    prediction: Prediction,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(settings: RouteSettings) -> Router {
        Router {
            targets: TargetTable::new(settings.zone),
            prefixes: PrefixIndex::new(settings.max_index_blocks),
            attempts: Attempts::default(),
            isolated: SmallVec::new(),
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Adds a target or updates its role, state and specs.
    pub fn set_target(&mut self, now: Time, target: Target) {
        if target.state.has_lost_cache() {
            self.prefixes.invalidate(target.id);
        }
        self.targets.set(now, target);
    }

    /// Removes a target.
    pub fn remove_target(&mut self, id: TargetId) {
        self.prefixes.remove_engine(id);
        self.targets.remove(id);
    }

    /// Applies a load report; ignored if a newer one is known.
    pub fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        self.targets.report(now, id, report);
    }

    /// Applies a cache event of an engine.
    pub fn cache_event(&mut self, event: &CacheEvent) {
        self.prefixes.apply(event);
    }

    /// Isolates a target on which another host runs a suspect, so that it gets no new requests.
    pub fn isolate(&mut self, now: Time, id: TargetId) {
        self.isolate_until(id, now + ISOLATION_TIME);
    }

    /// Chooses where `request` runs, excluding the targets in `exclude`.
    ///
    /// Does not change the router: call [`Router::start`] when the attempt is sent.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target can run the request before its deadline.
    pub fn route(
        &self,
        now: Time,
        request: &Request,
        exclude: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        let fill = FillLimit { seq_share: 1.0, backlog: self.settings.max_backlog };
        self.route_within(now, request, exclude, fill, rng)
    }

    /// Like [`Router::route`], but fills targets no further than `fill`.
    pub(crate) fn route_within(
        &self,
        now: Time,
        request: &Request,
        exclude: &[TargetId],
        fill: FillLimit,
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        if self.targets.count(Role::Mixed) + self.targets.count(Role::Decode) == 0 {
            return Err(Refusal::new(RefusalReason::NoTarget, NO_TARGET_RETRY));
        }
        if request.suspect && !self.can_isolate(now, request) {
            return Err(Refusal::new(RefusalReason::Full, FULL_RETRY));
        }
        let query = Query {
            now,
            request,
            settings: &self.settings,
            fill,
            host_share: self.targets.host_share(self.attempts.len()),
        };
        if let Some(duplicate) = self.attempts.duplicate(request.fingerprint()) {
            return self.join_duplicate(&query, duplicate, exclude);
        }
        let matches = self.prefixes.matches(&request.prefix);
        let choice = self.choose(&query, &matches, exclude, rng);
        let Some(choice) = choice else {
            return Err(Refusal::new(RefusalReason::Full, FULL_RETRY));
        };
        self.check_deadline(&query, choice.route)
    }

    /// Records that an attempt was sent along `route`.
    pub fn start(&mut self, now: Time, ticket: Ticket, request: &Request, route: &Route) {
        self.targets.record_start();
        let attempt = Attempt {
            prefill: route.prefill,
            decode: route.decode,
            uncached_tokens: u64::from(request.prompt_tokens.saturating_sub(route.cached_tokens)),
            kv_tokens: u64::from(request.prompt_tokens + request.output_tokens),
            first_token_seen: false,
            suspect: request.suspect,
            fingerprint: request.fingerprint(),
        };
        if let Some(entry) = self.targets.get_mut(route.prefill) {
            entry.load.start_prompt(now, attempt.uncached_tokens, attempt.kv_tokens);
        }
        if attempt.is_split()
            && let Some(entry) = self.targets.get_mut(route.decode)
        {
            entry.load.expect_seq();
        }
        if attempt.suspect {
            self.isolate(now, route.prefill);
            self.isolate(now, route.decode);
        }
        self.prefixes.insert_all(route.prefill, &request.prefix);
        self.attempts.insert(ticket, attempt);
    }

    /// Records the first token of an attempt: its prompt is computed.
    pub fn first_token(&mut self, now: Time, ticket: Ticket) {
        if !self.attempts.mark_first_token(ticket) {
            return;
        }
        let Some(attempt) = self.attempts.get(ticket).cloned() else { return };
        if let Some(entry) = self.targets.get_mut(attempt.prefill) {
            entry.load.finish_prompt(now, attempt.uncached_tokens);
            if attempt.is_split() {
                entry.load.remove_seq(now, attempt.kv_tokens);
            }
        }
        if attempt.is_split()
            && let Some(entry) = self.targets.get_mut(attempt.decode)
        {
            entry.load.seq_arrived(now, attempt.kv_tokens);
        }
        if attempt.suspect {
            self.end_isolation(now, &attempt, ISOLATION_AFTER_FIRST_TOKEN);
        }
    }

    /// Records the end of an attempt; `failed_target` is the target that failed, if any.
    pub fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: AttemptOutcome,
        failed_target: Option<TargetId>,
    ) {
        let Some(attempt) = self.attempts.remove(ticket) else { return };
        self.remove_load(now, &attempt);
        if attempt.suspect {
            self.end_isolation(now, &attempt, Duration::ZERO);
        }
        match outcome {
            AttemptOutcome::Done => self.record_success(&attempt),
            AttemptOutcome::Failed => {
                self.targets.record_failure(now, failed_target.unwrap_or(attempt.decode))
            }
            AttemptOutcome::Cancelled | AttemptOutcome::Crashed => {}
        }
    }

    /// Returns the attempts of this host that are running on `target`, to be reported if it
    /// crashes.
    pub fn running(&self, target: TargetId) -> Vec<RunningAttempt> {
        let open = self.attempts.on_target(target).into_iter();
        open.map(|(ticket, attempt)| RunningAttempt {
            ticket,
            fingerprint: attempt.fingerprint,
            first_token_seen: attempt.first_token_seen,
        })
        .collect()
    }

    fn choose(
        &self,
        query: &Query<'_>,
        matches: &Matches,
        exclude: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Option<Candidate> {
        let prefill_engine = self.best_prefill(query, matches, exclude, rng);
        let mut best: Option<Candidate> = None;
        for role in GENERATING_ROLES {
            let mut sample = self.targets.sample(query.now, role, self.settings.sample_size, rng);
            let holders = matches.iter().map(|found| found.target);
            let prefix_holders: SmallVec<[TargetId; 8]> =
                holders.filter(|id| !sample.contains(id) && self.has_role(*id, role)).collect();
            sample.extend(prefix_holders);
            for id in sample {
                let Some(entry) = self.usable(query, id, exclude) else { continue };
                let colocated = self.colocated_candidate(query, entry, matches);
                let split =
                    prefill_engine.and_then(|engine| self.split_candidate(query, entry, &engine));
                for choice in [colocated, split].into_iter().flatten() {
                    if best.is_none_or(|best| choice.score < best.score) {
                        best = Some(choice);
                    }
                }
            }
        }
        best
    }

    fn best_prefill(
        &self,
        query: &Query<'_>,
        matches: &Matches,
        exclude: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Option<PrefillCandidate> {
        if query.request.prompt_tokens == 0 {
            return None;
        }
        let mut sample =
            self.targets.sample(query.now, Role::Prefill, self.settings.sample_size, rng);
        for found in matches {
            if !sample.contains(&found.target) && self.has_role(found.target, Role::Prefill) {
                sample.push(found.target);
            }
        }
        let entries = sample.into_iter().filter_map(|id| self.usable(query, id, exclude));
        let candidates = entries.filter_map(|entry| self.prefill_candidate(query, entry, matches));
        candidates.min_by_key(|candidate| candidate.prediction.score)
    }

    /// A prefill engine as candidate; imports the longest known prefix if that saves time.
    fn prefill_candidate(
        &self,
        query: &Query<'_>,
        entry: &Entry,
        matches: &Matches,
    ) -> Option<PrefillCandidate> {
        let id = entry.target.id;
        let cached = cached_tokens(query.request, matches, id);
        let local = query.prefill(&self.targets, entry, cached)?;
        let without_fetch = PrefillCandidate { target: id, cached, fetch: None, prediction: local };
        let Some(longest) = matches.iter().max_by_key(|found| found.blocks) else {
            return Some(without_fetch);
        };
        let tokens = cached_by(query.request, longest);
        let holder = self.targets.get(longest.target);
        if tokens <= cached || !holder.is_some_and(|holder| holder.target.state.can_export()) {
            return Some(without_fetch);
        }
        let mut prediction = query.prefill(&self.targets, entry, tokens)?;
        let transfer = entry.target.specs.transfer_time(tokens.into());
        prediction.time += transfer;
        prediction.score += transfer;
        if prediction.score >= local.score {
            return Some(without_fetch);
        }
        let fetch = Some(KvFetch { from: longest.target, tokens });
        Some(PrefillCandidate { target: id, cached: tokens, fetch, prediction })
    }

    fn colocated_candidate(
        &self,
        query: &Query<'_>,
        entry: &Entry,
        matches: &Matches,
    ) -> Option<Candidate> {
        let id = entry.target.id;
        let cached = cached_tokens(query.request, matches, id);
        let prediction = query.colocated(&self.targets, entry, cached)?;
        let route = Route {
            prefill: id,
            decode: id,
            cached_tokens: cached,
            fetch: None,
            ttft: prediction.time,
        };
        Some(Candidate { route, score: prediction.score })
    }

    fn split_candidate(
        &self,
        query: &Query<'_>,
        entry: &Entry,
        prefill_engine: &PrefillCandidate,
    ) -> Option<Candidate> {
        if !query.tolerates_transfer(entry) {
            return None;
        }
        let prediction = query.decode(&self.targets, entry)?;
        let route = Route {
            prefill: prefill_engine.target,
            decode: entry.target.id,
            cached_tokens: prefill_engine.cached,
            fetch: prefill_engine.fetch,
            ttft: prefill_engine.prediction.time + prediction.time,
        };
        Some(Candidate { route, score: prefill_engine.prediction.score + prediction.score })
    }

    /// Routes a request to the targets of an identical one that has no first token yet, so that
    /// copies of a request that crashes targets crash only one.
    fn join_duplicate(
        &self,
        query: &Query<'_>,
        duplicate: &Attempt,
        exclude: &[TargetId],
    ) -> Result<Route, Refusal> {
        let refusal = Refusal::new(RefusalReason::Full, FULL_RETRY);
        let prefill = self.targets.get(duplicate.prefill).ok_or(refusal)?;
        let decode = self.targets.get(duplicate.decode).ok_or(refusal)?;
        if exclude.contains(&duplicate.prefill) || exclude.contains(&duplicate.decode) {
            return Err(refusal);
        }
        let cached = query.request.prompt_tokens
            - duplicate.uncached_tokens.min(query.request.prompt_tokens.into()) as u32;
        let prediction = if duplicate.is_split() {
            let first = query.prefill(&self.targets, prefill, cached).ok_or(refusal)?;
            let then = query.decode(&self.targets, decode).ok_or(refusal)?;
            first.time + then.time
        } else {
            query.colocated(&self.targets, decode, cached).ok_or(refusal)?.time
        };
        let (prefill, decode) = (duplicate.prefill, duplicate.decode);
        self.check_deadline(
            query,
            Route { prefill, decode, cached_tokens: cached, fetch: None, ttft: prediction },
        )
    }

    fn check_deadline(&self, query: &Query<'_>, route: Route) -> Result<Route, Refusal> {
        let slack = query.request.deadline.since(query.now);
        if route.ttft > slack {
            return Err(Refusal::new(RefusalReason::Late, route.ttft - slack));
        }
        Ok(route)
    }

    /// Returns the target if the request may be sent to it now.
    fn usable(&self, query: &Query<'_>, id: TargetId, exclude: &[TargetId]) -> Option<&Entry> {
        let entry = self.targets.get(id)?;
        let excluded = exclude.contains(&id) || entry.is_isolated(query.now);
        (entry.target.state.accepts_requests() && !excluded).then_some(entry)
    }

    fn has_role(&self, id: TargetId, role: Role) -> bool {
        self.targets.get(id).is_some_and(|entry| entry.target.role == role)
    }

    fn can_isolate(&self, now: Time, request: &Request) -> bool {
        let isolated = self.isolated.iter().filter_map(|id| self.targets.get(*id));
        let isolated = isolated.filter(|entry| entry.is_isolated(now)).count();
        let limit = (self.targets.serving() / ISOLATED_DIVISOR).max(1);
        isolated < limit && self.attempts.duplicate(request.fingerprint()).is_none()
    }

    fn isolate_until(&mut self, id: TargetId, until: Time) {
        let Some(entry) = self.targets.get_mut(id) else { return };
        entry.isolated_until = Some(until);
        if !self.isolated.contains(&id) {
            self.isolated.push(id);
        }
    }

    fn end_isolation(&mut self, now: Time, attempt: &Attempt, after: Duration) {
        let until = now + after;
        self.isolate_until(attempt.prefill, until);
        self.isolate_until(attempt.decode, until);
        let targets = &self.targets;
        self.isolated.retain(|id| targets.get(*id).is_some_and(|entry| entry.is_isolated(now)));
    }

    fn remove_load(&mut self, now: Time, attempt: &Attempt) {
        if !attempt.first_token_seen
            && let Some(entry) = self.targets.get_mut(attempt.prefill)
        {
            entry.load.finish_prompt(now, attempt.uncached_tokens);
            entry.load.remove_seq(now, attempt.kv_tokens);
        }
        let Some(entry) = self.targets.get_mut(attempt.decode) else { return };
        if attempt.first_token_seen {
            entry.load.remove_seq(now, attempt.kv_tokens);
        } else if attempt.is_split() {
            entry.load.cancel_expected();
        }
    }

    fn record_success(&mut self, attempt: &Attempt) {
        for id in [attempt.prefill, attempt.decode] {
            if let Some(entry) = self.targets.get_mut(id) {
                entry.health.record_success();
            }
        }
    }
}

/// Prompt tokens cached by a match; at least one token is always computed.
fn cached_by(request: &Request, found: &Match) -> u32 {
    (found.blocks * BLOCK_TOKENS).min(request.prompt_tokens.saturating_sub(1))
}

fn cached_tokens(request: &Request, matches: &Matches, id: TargetId) -> u32 {
    let found = matches.iter().find(|found| found.target == id);
    found.map_or(0, |found| cached_by(request, found))
}
