//! Imports of prompt prefixes: an engine fetches the KV cache of a shared prefix from another
//! engine instead of computing it.
//!
//! What hosts know of cached parts may be old, and an engine that finds nothing at the source
//! computes the prefix. So the advantage of an import counts by the share of recent imports
//! whose responses came as early as predicted. A source has the software version of the target,
//! is checked again right before the request is sent, and is never one with a limit, since the
//! fetch counts against no host's share of it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    config::ImportTerms,
    fleet::{
        AttemptId, BuildId, Fleet, Placement, TargetQuery, TargetRole,
        target::{FAILING_RATE, TargetState},
    },
};

/// Fewest tokens that are imported: fewer are computed in about the time of the fetch.
const MIN_IMPORT_TOKENS: u32 = 1_000;

/// Time that an import takes beyond the transfer: a call from engine to engine.
const IMPORT_CALL_MS: f64 = 3.0;

/// Price of a moved gigabyte in milliseconds of the reference engine: that of computing 150
/// tokens of a shared part again.
const PRICE_PER_GB_MS: f64 = 2.5;

/// Time of a transfer between zones relative to one within a zone.
const CROSS_ZONE_FACTOR: f64 = 2.0;

/// Longest predicted wait for a link with which a prefix is imported. Engines do not start a
/// transfer that would wait for two seconds, and other hosts' transfers are not known.
const MAX_LINK_WAIT_MS: f64 = 500.0;

/// Maximum number of sources that are compared for a request, which bounds the cost of placing.
const MAX_SOURCES: usize = 8;

/// Time in which the weight of an import's outcome halves.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of successful imports that a host takes as seen at first.
const PRIOR_HITS: f64 = 4.0;

/// The import of a prompt's prefix from another engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Import {
    /// Id of the engine that holds the prefix.
    pub source: Arc<str>,
    /// That engine's address.
    pub addr: SocketAddr,
    /// Which start of the engine it was chosen for.
    pub incarnation: u64,
    /// Tokens to move.
    pub tokens: u32,
    /// Predicted time of the transfer, without waiting for the links.
    pub transfer_ms: f64,
    /// Predicted time to compute the tokens instead.
    pub saved_ms: f64,
}

/// An engine that holds a prefix of a request's prompt.
pub(super) struct Source<'a> {
    state: &'a TargetState,
    cached: u32,
    link_wait_ms: f64,
    build: BuildId,
}

/// What a candidate imports, with the cost of it.
pub(super) struct Offer<'a> {
    source: &'a TargetState,
    pub(super) tokens: u32,
    transfer_ms: f64,
    /// Predicted time of the import, including the wait for the links.
    pub(super) time_ms: f64,
    pub(super) price_ms: f64,
}

impl Offer<'_> {
    pub(super) fn import(&self, saved_ms: f64) -> Import {
        let entry = &self.source.entry;
        Import {
            source: entry.id.clone(),
            addr: entry.addr,
            incarnation: entry.incarnation,
            tokens: self.tokens,
            transfer_ms: self.transfer_ms,
            saved_ms,
        }
    }
}

/// Which services' engines import prefixes, and how often imports succeeded recently.
#[derive(Debug, Default)]
pub(super) struct Imports {
    terms: HashMap<Arc<str>, ImportTerms>,
    hits: f64,
    all: f64,
    updated_at: Time,
}

impl Imports {
    /// Records whether an imported prefix arrived.
    pub(super) fn record(&mut self, now: Time, hit: bool) {
        let weight = self.weight_of_past(now);
        self.hits = self.hits * weight + f64::from(u8::from(hit));
        self.all = self.all * weight + 1.0;
        self.updated_at = now;
    }

    /// Probability that an import succeeds.
    pub(super) fn hit_rate(&self, now: Time) -> f64 {
        let weight = self.weight_of_past(now);
        (self.hits * weight + PRIOR_HITS) / (self.all * weight + PRIOR_HITS)
    }

    fn weight_of_past(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5f64.powf(half_lives)
    }
}

impl Fleet {
    /// Sets which services' engines import prefixes, by the configuration.
    pub fn set_import_terms(&mut self, terms: HashMap<Arc<str>, ImportTerms>) {
        self.imports.terms = terms;
    }

    /// The engines of `serving` that hold a prefix of the prompt, with the longest first kept.
    pub(super) fn import_sources<'a>(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        serving: impl Iterator<Item = &'a TargetState>,
    ) -> SmallVec<[Source<'a>; MAX_SOURCES]> {
        let mut sources: SmallVec<[Source<'a>; MAX_SOURCES]> = SmallVec::new();
        // Callers state the tokens of parts; their sum may exceed the type.
        let parts = query.prompt.shared_parts().iter();
        let shared = parts.fold(0u32, |sum, part| part.tokens.saturating_add(sum));
        if shared < MIN_IMPORT_TOKENS || !self.imports.terms.contains_key(query.service) {
            return sources;
        }
        for state in serving {
            let cached = state.cached_shared_tokens(query.prompt);
            if cached < MIN_IMPORT_TOKENS
                || query.exclude.contains(&state.entry.id)
                || !self.may_export(now, state)
            {
                continue;
            }
            let link_wait_ms = state.link_wait_ms(now);
            let source = Source { state, cached, link_wait_ms, build: state.build(now).id };
            if sources.len() < MAX_SOURCES {
                sources.push(source);
                continue;
            }
            let is_worse = |a: &Source<'_>, b: &Source<'_>| {
                (a.cached, -a.link_wait_ms) < (b.cached, -b.link_wait_ms)
            };
            let worst = (1..MAX_SOURCES).fold(0, |worst, at| {
                if is_worse(&sources[at], &sources[worst]) { at } else { worst }
            });
            if is_worse(&sources[worst], &source) {
                sources[worst] = source;
            }
        }
        sources
    }

    /// Whether other engines may fetch from this one, which serves.
    fn may_export(&self, now: Time, state: &TargetState) -> bool {
        let entry = &state.entry;
        entry.role != TargetRole::Whole
            && !state.is_failing(now)
            && self.failures.rate(now, state.start_hash) < FAILING_RATE
            && state.overdue_ms(now) == 0.0
            && self.peer_loads.load(state.id_hash).failure_percent == 0
            && !self.limits.has_limit(&entry.id, entry.incarnation)
    }

    /// The cheapest import for `state`, which itself holds `cached` tokens of the shared parts;
    /// none if none is worth a call.
    pub(super) fn import_offer<'a>(
        &self,
        now: Time,
        service: &str,
        state: &TargetState,
        cached: u32,
        sources: &[Source<'a>],
    ) -> Option<Offer<'a>> {
        let terms = self.imports.terms.get(service)?;
        let build = state.build(now).id;
        let own_wait_ms = state.link_wait_ms(now);
        let offers = sources.iter().filter_map(|source| {
            let tokens = source.cached.saturating_sub(cached);
            let link_wait_ms = source.link_wait_ms.max(own_wait_ms);
            if tokens < MIN_IMPORT_TOKENS
                || source.build != build
                || source.state.entry.id == state.entry.id
                || link_wait_ms > MAX_LINK_WAIT_MS
            {
                return None;
            }
            let is_near = source.state.entry.zone == state.entry.zone;
            let factor = if is_near { 1.0 } else { CROSS_ZONE_FACTOR };
            let transfer_ms = f64::from(tokens) * terms.token_ms() * factor;
            let gigabytes = f64::from(tokens) * terms.kv_bytes / 1e9;
            Some(Offer {
                source: source.state,
                tokens,
                transfer_ms,
                time_ms: transfer_ms + link_wait_ms + IMPORT_CALL_MS,
                price_ms: gigabytes * PRICE_PER_GB_MS,
            })
        });
        let cost = |offer: &Offer<'_>| {
            // Of each further token, its computation is saved.
            offer.time_ms + offer.price_ms - state.prefill_time_ms(offer.tokens, offer.tokens)
        };
        offers.min_by(|a, b| {
            let order = cost(a).total_cmp(&cost(b));
            order.then_with(|| a.source.entry.id.cmp(&b.source.entry.id))
        })
    }

    /// Counts the transfer of an import on both links.
    pub(super) fn start_import(&mut self, now: Time, placement: &Placement) {
        let Some(import) = &placement.import else { return };
        let ends = [&import.source, &placement.id];
        let waits =
            ends.map(|id| self.targets.get(id).map_or(0.0, |state| state.link_wait_ms(now)));
        let span = waits[0].max(waits[1]) + import.transfer_ms;
        for id in ends {
            if let Some(state) = self.targets.get_mut(id) {
                state.link_free_at = now + Duration::from_secs_f64(span / 1e3);
            }
        }
    }

    /// The address to import from, if the source may still be used; all may have changed since
    /// it was chosen.
    pub fn clear_to_import(
        &mut self,
        now: Time,
        placement: &Placement,
        attempt: AttemptId,
    ) -> Option<SocketAddr> {
        let import = placement.import.as_ref()?;
        let is_clear = self.targets.get(&import.source).is_some_and(|source| {
            let entry = &source.entry;
            entry.incarnation == import.incarnation
                && entry.addr == import.addr
                && source.serves(now, &entry.service)
                && self.hold(now, source).is_none()
                && self.may_export(now, source)
                && self.targets.get(&placement.id).is_some_and(|target| {
                    let build = target.build(now).id;
                    build == source.build(now).id && build == placement.build.id
                })
        });
        if is_clear {
            return Some(import.addr);
        }
        if let Some(state) = self.targets.get_mut(&placement.id) {
            state.cancel_import(attempt);
        }
        None
    }
}
