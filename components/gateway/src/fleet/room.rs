//! Bounds on what all hosts together have in flight on one engine. Targets of plain services have room while a
//! slot is free, which `capacity` checks, and their waits grow with the requests in flight.

use std::{collections::HashMap, sync::Arc};

use chervilgate_clock::Time;

use crate::{
    fleet::{
        Fleet, KvTokens, Placement, TargetQuery, TargetRole, peer_loads::PeerLoad,
        target::TargetState,
    },
    protocol::Prompt,
};

/// Share of an engine's KV cache that requests in flight may use. The rest is for requests that
/// several hosts send at once: a long prompt is told to all hosts within about 20 ms, in which a
/// target gets one or two more.
const USABLE_KV_SHARE: f64 = 0.9;

/// Number of requests that wait at an engine, relative to its batch.
const ENGINE_QUEUE: u32 = 3;

/// Cost of an engine without room: as much as of one that fails each request, since it fails all that it
/// holds once its memory is exceeded.
const FULL_COST_MS: f64 = 2_000.0;

/// What the engines of a service hold at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests in a batch.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
}

/// What a request takes of its target, and the limits that hold there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    tokens: u64,
    /// None if they are not known.
    limits: Option<EngineLimits>,
}

impl Need {
    /// Share by which a target that holds `used` tokens is over its limit with the request; zero or less if
    /// it is not.
    fn token_excess(&self, used: u64) -> f64 {
        // A request that exceeds the memory of all targets is refused by any of them.
        let Some(limits) = self.limits.filter(|limits| self.tokens <= limits.kv_tokens) else {
            return 0.0;
        };
        // One that exceeds the usable share has room at a target that holds nothing else.
        let limit = (limits.kv_tokens as f64 * USABLE_KV_SHARE).max(self.tokens as f64).max(1.0);
        (used + self.tokens) as f64 / limit - 1.0
    }
}

impl Fleet {
    /// Sets what the engines of each service hold at most, by the configuration.
    pub fn set_engine_limits(&mut self, limits: HashMap<Arc<str>, EngineLimits>) {
        self.engine_limits = limits;
    }

    /// Number of this host's KV tokens in flight on engines with known limits, to send to other hosts; the
    /// most. None if no limits are known.
    pub fn kv_tokens_in_flight(&self, max_targets: usize) -> Option<Vec<KvTokens>> {
        if self.engine_limits.is_empty() {
            return None;
        }
        let held = self.targets.values().filter(|state| state.kv_tokens > 0);
        let limited = held.filter(|state| self.engine_limits.contains_key(&state.entry.service));
        let tokens = limited.map(|state| KvTokens {
            target: state.id_hash,
            tokens: u32::try_from(state.kv_tokens).unwrap_or(u32::MAX),
        });
        let mut tokens: Vec<KvTokens> = tokens.collect();
        if tokens.len() > max_targets {
            tokens.sort_unstable_by_key(|known| std::cmp::Reverse(known.tokens));
            tokens.truncate(max_targets);
        }
        Some(tokens)
    }

    /// Replaces the KV tokens in flight that another host reported before.
    pub fn apply_peer_tokens(&mut self, now: Time, host: u32, tokens: Vec<KvTokens>) {
        self.peer_loads.update_tokens(now, host, tokens);
    }

    /// Drops what hosts reported that were not heard from since; to be called several times a second.
    pub fn expire_peer_reports(&mut self, now: Time) {
        self.peer_loads.expire(now);
    }

    /// What a request with `prompt` takes.
    pub(super) fn need(&self, service: &str, prompt: &Prompt) -> Need {
        let tokens = u64::from(prompt.tokens) + u64::from(prompt.max_output);
        Need { tokens, limits: self.engine_limits.get(service).copied() }
    }

    /// Share by which an engine is over its limits with one more request, with what is assumed of hosts
    /// not heard; zero or less if it has room.
    pub(super) fn excess(&self, now: Time, state: &TargetState, need: &Need) -> f64 {
        // Most services have no engines.
        need.limits.map_or(0.0, |_| excess(state, self.assumed_load(now, state), need))
    }

    /// Whether the target of `placement` has room for the request.
    pub(super) fn has_room(
        &self,
        now: Time,
        placement: &Placement,
        query: &TargetQuery<'_>,
    ) -> bool {
        let need = self.need(query.service, query.prompt);
        let state = self.targets.get(&placement.id);
        state.is_some_and(|state| self.excess(now, state, &need) <= 0.0)
    }
}

/// Cost of an engine's lack of room for one more request. Of those without any, the one with the least
/// excess costs least.
pub(super) fn room_cost(state: &TargetState, others: PeerLoad, need: &Need) -> f64 {
    match excess(state, others, need) {
        excess if excess > 0.0 => FULL_COST_MS * (1.0 + excess),
        _ => 0.0,
    }
}

/// Share by which an engine, on which the other hosts have `others`, is over its limits with one more
/// request; zero or less if it has room, or no limits are known.
fn excess(state: &TargetState, others: PeerLoad, need: &Need) -> f64 {
    let Some(limits) = need.limits.filter(|_| state.entry.role != TargetRole::Whole) else {
        return 0.0;
    };
    let open = f64::from(state.in_flight) + f64::from(others.in_flight) + 1.0;
    let places = f64::from(limits.slots.max(1)) * f64::from(1 + ENGINE_QUEUE);
    let used = state.kv_tokens.saturating_add(others.kv_tokens);
    need.token_excess(used).max(open / places - 1.0)
}
