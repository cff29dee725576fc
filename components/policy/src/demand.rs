//! How many targets the demand for a service's engines requires.
//!
//! Hosts measure the work that callers ask for, and the lease holder sums it up over the last
//! minute ([`DemandHistory`]). The plan is the least number of targets with which the largest
//! work seen, and twice the mean, is computed without long queues, and which carries the mean
//! work after the loss of the reclaimable targets of a zone and of a fifth of the rest. Where
//! two rules or stages differ, the larger number counts.

mod history;
mod plan;
#[cfg(test)]
mod tests;

use std::ops::{AddAssign, Mul};

pub use self::{
    history::DemandHistory,
    plan::{DemandPlan, EngineSpecs, FleetLimits, PlanReason, PlannedDemand, plan_demand},
};

/// Work that callers ask of the engines of a service: rates, or sums over some seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Prompt computation on prefill engines, in milliseconds of the reference engine.
    pub prefill_ms: f64,
    /// Prompt computation on decode engines, in milliseconds of the reference engine there.
    pub decode_ms: f64,
    /// Requests open at decode engines, in seconds.
    pub streams: f64,
    /// KV tokens held at prefill engines, in token-seconds.
    pub prefill_tokens: f64,
    /// KV tokens held at decode engines, in token-seconds.
    pub decode_tokens: f64,
    /// Prompts to compute, placed or refused.
    pub prompts: f64,
    /// Prompts among them that were refused, or had to wait for long.
    pub waiting: f64,
}

impl Work {
    /// The larger of each quantity.
    fn max(self, other: Work) -> Work {
        Work {
            prefill_ms: self.prefill_ms.max(other.prefill_ms),
            decode_ms: self.decode_ms.max(other.decode_ms),
            streams: self.streams.max(other.streams),
            prefill_tokens: self.prefill_tokens.max(other.prefill_tokens),
            decode_tokens: self.decode_tokens.max(other.decode_tokens),
            prompts: self.prompts.max(other.prompts),
            waiting: self.waiting.max(other.waiting),
        }
    }

    /// Share of the prompts that were refused or had to wait for long; zero without prompts.
    pub fn waiting_share(&self) -> f64 {
        if self.prompts > 0.0 { self.waiting / self.prompts } else { 0.0 }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Work) {
        self.prefill_ms += other.prefill_ms;
        self.decode_ms += other.decode_ms;
        self.streams += other.streams;
        self.prefill_tokens += other.prefill_tokens;
        self.decode_tokens += other.decode_tokens;
        self.prompts += other.prompts;
        self.waiting += other.waiting;
    }
}

impl Mul<f64> for Work {
    type Output = Work;

    fn mul(self, factor: f64) -> Work {
        Work {
            prefill_ms: self.prefill_ms * factor,
            decode_ms: self.decode_ms * factor,
            streams: self.streams * factor,
            prefill_tokens: self.prefill_tokens * factor,
            decode_tokens: self.decode_tokens * factor,
            prompts: self.prompts * factor,
            waiting: self.waiting * factor,
        }
    }
}
