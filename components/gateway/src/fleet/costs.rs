//! The terms of the cost by which targets are compared.

use std::cmp::Ordering;

use serde::Serialize;

use crate::fleet::{
    imports::Offer,
    target::{TargetState, UncachedTokens},
};

/// Cost of computing what is missing of a prompt, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ComputeCost {
    /// Time to compute it, with the price of computing shared parts again.
    pub prefill_ms: f64,
    /// Cost of the streams that this makes late.
    pub late_streams_ms: f64,
    /// Time and price of an import; zero if there is none.
    pub import_ms: f64,
}

impl ComputeCost {
    /// Sum of the terms.
    pub fn total(&self) -> f64 {
        self.prefill_ms + self.late_streams_ms + self.import_ms
    }
}

/// Terms of the cost of a target for a request, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CostTerms {
    /// Predicted time until the target starts the request.
    pub wait_ms: f64,
    /// Cost of the lack of room there.
    pub room_ms: f64,
    /// Cost of computing the prompt.
    #[serde(flatten)]
    pub compute: ComputeCost,
    /// Cost of another availability zone.
    pub zone_ms: f64,
    /// Cost of the target's failures.
    pub failing_ms: f64,
    /// Negative where a request shows whether a target in doubt works again.
    pub doubt_ms: f64,
}

impl CostTerms {
    /// Sum of the terms, by which targets are compared.
    pub fn total(&self) -> f64 {
        self.wait_ms
            + self.room_ms
            + self.compute.total()
            + self.zone_ms
            + self.failing_ms
            + self.doubt_ms
    }
}

/// Terms of the cost of computing the prompt on another engine than generating, in milliseconds. Their sum is
/// compared with the cost of the cheapest target for the whole request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SplitTerms {
    /// Cost of the engine that computes the prompt.
    pub prefill_ms: f64,
    /// Cost of the second call and of moving the KV cache.
    pub transfer_ms: f64,
    /// Extra cost of generating at an engine of the prompt engine's software version, over the cheapest
    /// engine of any version.
    pub detour_ms: f64,
    /// Cost of the lack of room at the engine that generates.
    pub room_ms: f64,
}

impl SplitTerms {
    /// Sum of the terms.
    pub fn total(&self) -> f64 {
        self.prefill_ms + self.transfer_ms + self.detour_ms + self.room_ms
    }
}

/// A target that may be sent a request.
pub(super) struct Candidate<'a> {
    pub(super) state: &'a TargetState,
    /// Rendezvous rank, which decides between equal costs.
    pub(super) rank: f64,
    /// What it has to compute without an import.
    pub(super) computed: UncachedTokens,
    /// Whether it is known which parts are cached there.
    pub(super) cache_is_known: bool,
    /// What it imports, and what it computes then.
    pub(super) import: Option<(Offer<'a>, UncachedTokens)>,
    pub(super) terms: CostTerms,
    /// Sum of the terms.
    pub(super) cost_ms: f64,
}

impl Candidate<'_> {
    /// The better one first.
    pub(super) fn order(&self, other: &Candidate<'_>) -> Ordering {
        let by_cost = self.cost_ms.total_cmp(&other.cost_ms);
        by_cost.then_with(|| other.rank.total_cmp(&self.rank))
    }
}
