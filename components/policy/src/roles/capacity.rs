//! How much of a demand a set of engines can serve.
//!
//! In steady state, an engine that generates output has `1 - step_base / gap` of its time for
//! tokens, shared by output tokens and prompt chunks. A demand can therefore be served if
//!
//! `output_rate / Y + (prompt_rate - P) / X <= 1`,
//!
//! where `Y` and `X` are the output and prompt tokens per second that all generating engines
//! could process if they did nothing else, and `P` is the prompt rate of the prefill engines.

use std::time::Duration;

use crate::{Demand, Role, TargetSpecs};

/// Share of engine time used for planning; the rest keeps queues short.
const USABLE_SHARE: f64 = 0.92;

/// Maximum scale that counts; more spare capacity has no value.
const MAX_SCALE: f64 = 1.1;

/// Value, as an addition to the scale, of computing all prompts on prefill engines: their
/// long steps give long prompts an earlier first token.
const PREFILL_CREDIT: f64 = 0.05;

/// Throughput of a set of engines, in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Capacity {
    /// Prompt tokens on prefill engines.
    prefill: f64,
    /// Output tokens on generating engines without prompt work.
    output: f64,
    /// Prompt tokens on generating engines without output.
    chunked: f64,
    /// Maximum prompt tokens on generating engines with one chunk per step.
    chunk_limit: f64,
}

impl Capacity {
    /// The capacity of one engine in `role`.
    pub(super) fn of(role: Role, specs: &TargetSpecs, gap: Duration) -> Capacity {
        let gap = gap.as_secs_f64();
        if role == Role::Prefill {
            return Capacity { prefill: USABLE_SHARE * specs.prefill_rate, ..Capacity::default() };
        }
        let spare = (1.0 - specs.step_base.as_secs_f64() / gap).max(0.0);
        let batch = specs.max_batch(Duration::from_secs_f64(gap));
        let step = specs.step_time(batch).as_secs_f64().max(1e-6);
        Capacity {
            prefill: 0.0,
            output: USABLE_SHARE * f64::from(batch) / step,
            chunked: USABLE_SHARE * spare * specs.prefill_rate,
            chunk_limit: USABLE_SHARE * f64::from(specs.chunk) / gap,
        }
    }

    /// Adds the capacity of `other`.
    pub(super) fn plus(self, other: Capacity) -> Capacity {
        self.combine(other, 1.0)
    }

    /// Subtracts the capacity of `other`.
    pub(super) fn minus(self, other: Capacity) -> Capacity {
        self.combine(other, -1.0)
    }

    /// Value of the capacity for `demand`: the scale plus a credit for prompts computed on
    /// prefill engines.
    pub(super) fn value(&self, demand: &Demand) -> f64 {
        let share = (self.prefill / demand.prompt_rate.max(1.0)).min(1.0);
        self.scale(demand) + PREFILL_CREDIT * share
    }

    /// The largest multiple of `demand` that can be served, at most 1.1.
    fn scale(&self, demand: &Demand) -> f64 {
        if self.output <= 0.0 {
            return 0.0;
        }
        let output = demand.output_rate.max(1e-9) / self.output;
        let without_chunks = 1.0 / output;
        if without_chunks * demand.prompt_rate <= self.prefill {
            return without_chunks.min(MAX_SCALE);
        }
        let chunked = self.chunked.max(1e-9);
        let with_chunks = (1.0 + self.prefill / chunked) / (output + demand.prompt_rate / chunked);
        let limit = (self.prefill + self.chunk_limit) / demand.prompt_rate;
        with_chunks.min(limit).min(MAX_SCALE)
    }

    fn combine(self, other: Capacity, sign: f64) -> Capacity {
        Capacity {
            prefill: self.prefill + sign * other.prefill,
            output: self.output + sign * other.output,
            chunked: self.chunked + sign * other.chunked,
            chunk_limit: self.chunk_limit + sign * other.chunk_limit,
        }
    }
}
