//! Routing of one service's requests on one host.
//!
//! Load is the last report plus what this host has sent since. A decision looks
//! at a few sampled targets and at the few that hold the prompt's prefix, so its
//! cost does not grow with the fleet.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{BlockHash, LoadReport, Reason, Refusal, Request, Target, TargetId, Ticket, Zone};

/// Limits and weights of routing.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSettings {
    /// This host's zone.
    pub zone: Zone,
    /// Hosts that send to the same targets, this one counted.
    pub hosts: u32,
    /// Extra one-way time to a target in another zone.
    pub far: Duration,
    /// Longest time between tokens that is still good.
    pub gap: Duration,
    /// Targets sampled a decision.
    pub choices: usize,
    /// Age after which a load report no longer counts.
    pub stale: Duration,
    /// Time over which a new target's share of work grows to full.
    pub slow_start: Duration,
    /// Cached blocks remembered, over all targets.
    pub index_blocks: usize,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            zone: Zone(0),
            hosts: 1,
            far: Duration::from_micros(1_500),
            gap: Duration::from_millis(60),
            choices: 4,
            stale: Duration::from_secs(5),
            slow_start: Duration::from_secs(10),
            index_blocks: 65_536,
        }
    }
}

/// KV cache to import before the rest of the prompt is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fetch {
    /// The engine that holds it.
    pub from: TargetId,
    /// Prompt tokens that it covers.
    pub tokens: u32,
}

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Route {
    /// Computes the prompt.
    pub prefill: TargetId,
    /// Generates the output; imports the KV cache when it is another target.
    pub decode: TargetId,
    /// Prompt tokens expected in `prefill`'s cache.
    pub cached: u32,
    /// Prefix KV cache that `prefill` imports from a third engine first.
    pub fetch: Option<Fetch>,
    /// Predicted time to the first token.
    pub first: Duration,
}

/// How an attempt ended, as far as its target is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Done,
    /// Cancelled by the caller or by this host.
    Cancelled,
    /// Refused or failed by the target, or unreachable.
    Failed,
    /// The target crashed.
    Crashed,
}

/// What changed in an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Arc<[BlockHash]>),
    /// Blocks were dropped.
    Removed(Arc<[BlockHash]>),
    /// The whole cache was dropped.
    Cleared,
}

/// One event of an engine's numbered cache event stream; may come late.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetId,
    /// Counts up by one an event; a gap voids what is known of this engine.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
}

/// Chooses targets for one service on one host.
#[derive(Debug)]
pub struct Router {
    settings: RouteSettings,
}

impl Router {
    /// A router without targets.
    pub fn new(settings: RouteSettings) -> Router {
        Router { settings }
    }

    /// The limits and weights in use.
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Adds a target or takes over its new role, state or specs.
    pub fn set_target(&mut self, _now: Time, _target: Target) {}

    /// Forgets a target.
    pub fn remove_target(&mut self, _id: TargetId) {}

    /// Takes in a load report; an older one than the last is ignored.
    pub fn report(&mut self, _now: Time, _id: TargetId, _report: LoadReport) {}

    /// Takes in an engine's cache event.
    pub fn cache_event(&mut self, _event: &CacheEvent) {}

    /// Chooses where `request` runs, leaving out the targets in `except`.
    ///
    /// Changes nothing: call [`Router::start`] when the attempt is sent.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when no target can take it in time.
    pub fn route(
        &self,
        _now: Time,
        _request: &Request,
        _except: &[TargetId],
        _rng: &mut dyn Rng,
    ) -> Result<Route, Refusal> {
        Err(Refusal::new(Reason::NoTarget, Duration::from_secs(1)))
    }

    /// Counts an attempt as sent along `route`.
    pub fn start(&mut self, _now: Time, _ticket: Ticket, _request: &Request, _route: &Route) {}

    /// Notes the first token of an attempt: its prompt is computed.
    pub fn first_token(&mut self, _now: Time, _ticket: Ticket) {}

    /// Ends an attempt; `at` is the target that failed, if one did.
    pub fn finish(
        &mut self,
        _now: Time,
        _ticket: Ticket,
        _outcome: Outcome,
        _at: Option<TargetId>,
    ) {
    }
}
