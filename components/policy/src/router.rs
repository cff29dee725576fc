//! Routing of one service's requests on one host.
//!
//! Load is the last report plus what this host has sent since. A decision looks
//! at a few sampled targets and at the few that hold the prompt's prefix, so its
//! cost does not grow with the fleet, and hosts with the same old reports do not
//! all choose the same target.
//!
//! A prompt is computed on a prefill engine and its KV cache moved to a decode or
//! mixed engine, or all is done on one mixed or decode engine, the prompt in
//! chunks; whichever is predicted to answer first, crowding counted.

use std::time::Duration;

use chervilgate_clock::Time;
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    BLOCK_TOKENS, CacheEvent, LoadReport, Reason, Refusal, Request, Role, Target, TargetId, Ticket,
    prefix::{Match, Matches, PrefixIndex},
    router::{
        attempts::{Attempt, Attempts},
        fleet::{Entry, Fleet},
        score::{GENERATING, Offer, Query},
    },
};

pub(crate) use crate::router::score::Fill;
pub use crate::router::{
    route::{Fetch, Outcome, Route, Running},
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

/// Time for which a target that runs a suspect takes no unproven request.
const HOLD: Duration = Duration::from_secs(3);

/// Time for which it goes on so after the suspect's first token.
const HOLD_AFTER: Duration = Duration::from_millis(250);

/// Share of the serving targets that may run suspects at once, as a divisor.
const HELD_DIVISOR: usize = 4;

/// Retry time told when no target serves.
const NO_TARGET: Duration = Duration::from_secs(2);

/// Retry time told when all targets looked at are full.
const FULL: Duration = Duration::from_millis(250);

/// Chooses targets for one service on one host.
#[derive(Debug)]
pub struct Router {
    settings: RouteSettings,
    fleet: Fleet,
    prefixes: PrefixIndex,
    attempts: Attempts,
    held: SmallVec<[TargetId; 8]>,
}

/// The best place found so far.
#[derive(Debug, Clone, Copy)]
struct Choice {
    route: Route,
    score: Duration,
}

/// An engine that could compute the prompt.
#[derive(Debug, Clone, Copy)]
struct Source {
    target: TargetId,
    cached: u32,
    fetch: Option<Fetch>,
    offer: Offer,
}

impl Router {
    /// A router without targets.
    pub fn new(settings: RouteSettings) -> Router {
        Router {
            fleet: Fleet::new(settings.zone),
            prefixes: PrefixIndex::new(settings.index_blocks),
            attempts: Attempts::default(),
            held: SmallVec::new(),
            settings,
        }
    }

    /// The limits and weights in use.
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Adds a target or takes over its new role, state or specs.
    pub fn set_target(&mut self, now: Time, target: Target) {
        if target.state.has_lost_cache() {
            self.prefixes.void(target.id);
        }
        self.fleet.set(now, target);
    }

    /// Forgets a target.
    pub fn remove_target(&mut self, id: TargetId) {
        self.prefixes.forget(id);
        self.fleet.remove(id);
    }

    /// Takes in a load report; an older one than the last is ignored.
    pub fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        self.fleet.report(now, id, report);
    }

    /// Takes in an engine's cache event.
    pub fn cache_event(&mut self, event: &CacheEvent) {
        self.prefixes.apply(event);
    }

    /// Keeps unproven requests off a target on which another host runs a suspect.
    pub fn hold(&mut self, now: Time, id: TargetId) {
        self.hold_until(id, now + HOLD);
    }

    /// Chooses where `request` runs, leaving out the targets in `except`.
    ///
    /// Changes nothing: call [`Router::start`] when the attempt is sent.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when no target can take it in time.
    pub fn route(
        &self,
        now: Time,
        request: &Request,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        let fill = Fill { seqs: 1.0, backlog: self.settings.backlog };
        self.route_within(now, request, except, fill, rng)
    }

    /// As [`Router::route`], with targets filled no further than `fill`.
    pub(crate) fn route_within(
        &self,
        now: Time,
        request: &Request,
        except: &[TargetId],
        fill: Fill,
        rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        if self.fleet.count(Role::Mixed) + self.fleet.count(Role::Decode) == 0 {
            return Err(Refusal::new(Reason::NoTarget, NO_TARGET));
        }
        if request.suspect && !self.may_isolate(now, request) {
            return Err(Refusal::new(Reason::Full, FULL));
        }
        let query = Query {
            now,
            request,
            settings: &self.settings,
            fill,
            part: self.fleet.part(self.attempts.len()),
        };
        if let Some(twin) = self.attempts.twin(request.fingerprint()) {
            return self.beside(&query, twin, except);
        }
        let matches = self.prefixes.matches(&request.prefix);
        let choice = self.choose(&query, &matches, except, rng);
        let Some(choice) = choice else {
            return Err(Refusal::new(Reason::Full, FULL));
        };
        self.in_time(&query, choice.route)
    }

    /// Counts an attempt as sent along `route`.
    pub fn start(&mut self, now: Time, ticket: Ticket, request: &Request, route: &Route) {
        self.fleet.count_start();
        let attempt = Attempt {
            prefill: route.prefill,
            decode: route.decode,
            missing: u64::from(request.prompt.saturating_sub(route.cached)),
            kv: u64::from(request.prompt + request.output),
            proven: false,
            suspect: request.suspect,
            fingerprint: request.fingerprint(),
        };
        if let Some(entry) = self.fleet.get_mut(route.prefill) {
            entry.load.prompt_sent(now, attempt.missing, attempt.kv);
        }
        if attempt.is_split()
            && let Some(entry) = self.fleet.get_mut(route.decode)
        {
            entry.load.expect();
        }
        if attempt.suspect {
            self.hold(now, route.prefill);
            self.hold(now, route.decode);
        }
        self.prefixes.store(route.prefill, &request.prefix);
        self.attempts.insert(ticket, attempt);
    }

    /// Notes the first token of an attempt: its prompt is computed.
    pub fn first_token(&mut self, now: Time, ticket: Ticket) {
        if !self.attempts.prove(ticket) {
            return;
        }
        let Some(attempt) = self.attempts.get(ticket).cloned() else { return };
        if let Some(entry) = self.fleet.get_mut(attempt.prefill) {
            entry.load.prompt_done(now, attempt.missing);
            if attempt.is_split() {
                entry.load.left(now, attempt.kv);
            }
        }
        if attempt.is_split()
            && let Some(entry) = self.fleet.get_mut(attempt.decode)
        {
            entry.load.arrived(now, attempt.kv);
        }
        if attempt.suspect {
            self.release(now, &attempt, HOLD_AFTER);
        }
    }

    /// Ends an attempt; `at` is the target that failed, if one did.
    pub fn finish(&mut self, now: Time, ticket: Ticket, outcome: Outcome, at: Option<TargetId>) {
        let Some(attempt) = self.attempts.remove(ticket) else { return };
        self.leave(now, &attempt);
        if attempt.suspect {
            self.release(now, &attempt, Duration::ZERO);
        }
        match outcome {
            Outcome::Done => self.succeed(&attempt),
            Outcome::Failed => self.fleet.fail(now, at.unwrap_or(attempt.decode)),
            Outcome::Cancelled | Outcome::Crashed => {}
        }
    }

    /// The attempts of this host that run on `target`, as blamed for its crash.
    pub fn running(&self, target: TargetId) -> Vec<Running> {
        let on = self.attempts.on(target).into_iter();
        on.map(|(ticket, attempt)| Running {
            ticket,
            fingerprint: attempt.fingerprint,
            proven: attempt.proven,
        })
        .collect()
    }

    fn choose(
        &self,
        query: &Query<'_>,
        matches: &Matches,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Option<Choice> {
        let source = self.best_source(query, matches, except, rng);
        let mut best: Option<Choice> = None;
        for role in GENERATING {
            let mut sample = self.fleet.sample(query.now, role, self.settings.choices, rng);
            let known = matches.iter().map(|found| found.target);
            let more: SmallVec<[TargetId; 8]> =
                known.filter(|id| !sample.contains(id) && self.has_role(*id, role)).collect();
            sample.extend(more);
            for id in sample {
                let Some(entry) = self.usable(query, id, except) else { continue };
                let whole = self.whole(query, entry, matches);
                let split = source.and_then(|source| self.split(query, entry, &source));
                for choice in [whole, split].into_iter().flatten() {
                    if best.is_none_or(|best| choice.score < best.score) {
                        best = Some(choice);
                    }
                }
            }
        }
        best
    }

    fn best_source(
        &self,
        query: &Query<'_>,
        matches: &Matches,
        except: &[TargetId],
        rng: &mut dyn Rng,
    ) -> Option<Source> {
        if query.request.prompt == 0 {
            return None;
        }
        let mut sample = self.fleet.sample(query.now, Role::Prefill, self.settings.choices, rng);
        for found in matches {
            if !sample.contains(&found.target) && self.has_role(found.target, Role::Prefill) {
                sample.push(found.target);
            }
        }
        let entries = sample.into_iter().filter_map(|id| self.usable(query, id, except));
        let sources = entries.filter_map(|entry| self.source(query, entry, matches));
        sources.min_by_key(|source| source.offer.score)
    }

    /// A prefill engine, importing the longest known prefix if that saves time.
    fn source(&self, query: &Query<'_>, entry: &Entry, matches: &Matches) -> Option<Source> {
        let id = entry.target.id;
        let cached = cached(query.request, matches, id);
        let local = query.prefill(&self.fleet, entry, cached)?;
        let plain = Source { target: id, cached, fetch: None, offer: local };
        let Some(longest) = matches.iter().max_by_key(|found| found.blocks) else {
            return Some(plain);
        };
        let tokens = covered(query.request, longest);
        let holder = self.fleet.get(longest.target);
        if tokens <= cached || !holder.is_some_and(|holder| holder.target.state.can_export()) {
            return Some(plain);
        }
        let mut offer = query.prefill(&self.fleet, entry, tokens)?;
        let transfer = entry.target.specs.transfer(tokens.into());
        offer.time += transfer;
        offer.score += transfer;
        if offer.score >= local.score {
            return Some(plain);
        }
        let fetch = Some(Fetch { from: longest.target, tokens });
        Some(Source { target: id, cached: tokens, fetch, offer })
    }

    fn whole(&self, query: &Query<'_>, entry: &Entry, matches: &Matches) -> Option<Choice> {
        let id = entry.target.id;
        let cached = cached(query.request, matches, id);
        let offer = query.whole(&self.fleet, entry, cached)?;
        let route = Route { prefill: id, decode: id, cached, fetch: None, first: offer.time };
        Some(Choice { route, score: offer.score })
    }

    fn split(&self, query: &Query<'_>, entry: &Entry, source: &Source) -> Option<Choice> {
        if !query.bears_transfer(entry) {
            return None;
        }
        let offer = query.decode(&self.fleet, entry)?;
        let route = Route {
            prefill: source.target,
            decode: entry.target.id,
            cached: source.cached,
            fetch: source.fetch,
            first: source.offer.time + offer.time,
        };
        Some(Choice { route, score: source.offer.score + offer.score })
    }

    /// Runs a request where an unproven attempt at the same one runs already, so
    /// that copies of a poison request crash one target and not several.
    fn beside(
        &self,
        query: &Query<'_>,
        twin: &Attempt,
        except: &[TargetId],
    ) -> Result<Route, Refusal> {
        let refusal = Refusal::new(Reason::Full, FULL);
        let prefill = self.fleet.get(twin.prefill).ok_or(refusal)?;
        let decode = self.fleet.get(twin.decode).ok_or(refusal)?;
        if except.contains(&twin.prefill) || except.contains(&twin.decode) {
            return Err(refusal);
        }
        let cached = query.request.prompt - twin.missing.min(query.request.prompt.into()) as u32;
        let offer = if twin.is_split() {
            let first = query.prefill(&self.fleet, prefill, cached).ok_or(refusal)?;
            let then = query.decode(&self.fleet, decode).ok_or(refusal)?;
            first.time + then.time
        } else {
            query.whole(&self.fleet, decode, cached).ok_or(refusal)?.time
        };
        let (prefill, decode) = (twin.prefill, twin.decode);
        self.in_time(query, Route { prefill, decode, cached, fetch: None, first: offer })
    }

    fn in_time(&self, query: &Query<'_>, route: Route) -> Result<Route, Refusal> {
        let slack = query.request.deadline.since(query.now);
        if route.first > slack {
            return Err(Refusal::new(Reason::Late, route.first - slack));
        }
        Ok(route)
    }

    /// The target, if a request may be sent to it now.
    fn usable(&self, query: &Query<'_>, id: TargetId, except: &[TargetId]) -> Option<&Entry> {
        let entry = self.fleet.get(id)?;
        let barred = except.contains(&id) || entry.is_held(query.now);
        (entry.target.state.takes_work() && !barred).then_some(entry)
    }

    fn has_role(&self, id: TargetId, role: Role) -> bool {
        self.fleet.get(id).is_some_and(|entry| entry.target.role == role)
    }

    fn may_isolate(&self, now: Time, request: &Request) -> bool {
        let held = self.held.iter().filter_map(|id| self.fleet.get(*id));
        let held = held.filter(|entry| entry.is_held(now)).count();
        let limit = (self.fleet.serving() / HELD_DIVISOR).max(1);
        held < limit && self.attempts.twin(request.fingerprint()).is_none()
    }

    fn hold_until(&mut self, id: TargetId, until: Time) {
        let Some(entry) = self.fleet.get_mut(id) else { return };
        entry.held = Some(until);
        if !self.held.contains(&id) {
            self.held.push(id);
        }
    }

    fn release(&mut self, now: Time, attempt: &Attempt, after: Duration) {
        let until = now + after;
        self.hold_until(attempt.prefill, until);
        self.hold_until(attempt.decode, until);
        let fleet = &self.fleet;
        self.held.retain(|id| fleet.get(*id).is_some_and(|entry| entry.is_held(now)));
    }

    fn leave(&mut self, now: Time, attempt: &Attempt) {
        if !attempt.proven
            && let Some(entry) = self.fleet.get_mut(attempt.prefill)
        {
            entry.load.prompt_done(now, attempt.missing);
            entry.load.left(now, attempt.kv);
        }
        let Some(entry) = self.fleet.get_mut(attempt.decode) else { return };
        if attempt.proven {
            entry.load.left(now, attempt.kv);
        } else if attempt.is_split() {
            entry.load.unexpect();
        }
    }

    fn succeed(&mut self, attempt: &Attempt) {
        for id in [attempt.prefill, attempt.decode] {
            if let Some(entry) = self.fleet.get_mut(id) {
                entry.health.succeed();
            }
        }
    }
}

/// Prompt tokens covered by a match; at least one token is always computed.
fn covered(request: &Request, found: &Match) -> u32 {
    (found.blocks * BLOCK_TOKENS).min(request.prompt.saturating_sub(1))
}

fn cached(request: &Request, matches: &Matches, id: TargetId) -> u32 {
    let found = matches.iter().find(|found| found.target == id);
    found.map_or(0, |found| covered(request, found))
}
