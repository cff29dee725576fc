//! How much of a demand a set of engines can carry.
//!
//! In steady state an engine that generates output has `1 - step_base / gap` of
//! its time for tokens, shared by output tokens and chunks of prompt. So a demand
//! is carried if `output / Y + (prompt - P) / X <= 1`, with `Y` and `X` the output
//! and prompt tokens a second that all generating engines could do alone, and `P`
//! what the prefill engines compute.

use std::time::Duration;

use crate::{Demand, Role, Specs};

/// Share of an engine's time that is planned with; the rest keeps queues short.
const USABLE: f64 = 0.92;

/// The highest scale that counts; more room than that is worth nothing.
const SCALE_CEILING: f64 = 1.1;

/// What it is worth, in scale, to compute all prompts on prefill engines: these
/// take long steps, so that long prompts come sooner to their first token.
const PREFILL_CREDIT: f64 = 0.05;

/// Work that a set of engines can do, in tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Capacity {
    /// Prompt tokens of prefill engines.
    prefill: f64,
    /// Output tokens of generating engines, with no prompt work.
    output: f64,
    /// Prompt tokens of generating engines, with no output.
    chunked: f64,
    /// Prompt tokens that generating engines can take in one chunk a step.
    chunk_limit: f64,
}

impl Capacity {
    /// The capacity of one engine in `role`.
    pub(super) fn of(role: Role, specs: &Specs, gap: Duration) -> Capacity {
        let gap = gap.as_secs_f64();
        if role == Role::Prefill {
            return Capacity { prefill: USABLE * specs.prefill_rate, ..Capacity::default() };
        }
        let spare = (1.0 - specs.step_base.as_secs_f64() / gap).max(0.0);
        let batch = specs.batch(Duration::from_secs_f64(gap));
        let step = specs.step(batch).as_secs_f64().max(1e-6);
        Capacity {
            prefill: 0.0,
            output: USABLE * f64::from(batch) / step,
            chunked: USABLE * spare * specs.prefill_rate,
            chunk_limit: USABLE * f64::from(specs.chunk) / gap,
        }
    }

    /// This and `other` together.
    pub(super) fn plus(self, other: Capacity) -> Capacity {
        self.combine(other, 1.0)
    }

    /// This without `other`.
    pub(super) fn minus(self, other: Capacity) -> Capacity {
        self.combine(other, -1.0)
    }

    /// What the capacity is worth under `demand`: its scale, and prompts that are
    /// computed on prefill engines.
    pub(super) fn worth(&self, demand: &Demand) -> f64 {
        let share = (self.prefill / demand.prompt.max(1.0)).min(1.0);
        self.scale(demand) + PREFILL_CREDIT * share
    }

    /// The largest multiple of `demand` that can be carried, at most 1.1.
    fn scale(&self, demand: &Demand) -> f64 {
        if self.output <= 0.0 {
            return 0.0;
        }
        let output = demand.output.max(1e-9) / self.output;
        let plain = 1.0 / output;
        if plain * demand.prompt <= self.prefill {
            return plain.min(SCALE_CEILING);
        }
        let chunked = self.chunked.max(1e-9);
        let shared = (1.0 + self.prefill / chunked) / (output + demand.prompt / chunked);
        let limit = (self.prefill + self.chunk_limit) / demand.prompt;
        shared.min(limit).min(SCALE_CEILING)
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
