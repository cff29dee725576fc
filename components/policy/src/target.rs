//! Targets and their load as seen by a host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{TargetId, Zone};

/// The part of a request that an engine is configured to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Computes prompts and exports their KV cache.
    Prefill,
    /// Generates output; computes prompts only in small chunks.
    Decode,
    /// Computes prompts and generates output in one batch; targets of plain services are mixed.
    Mixed,
}

/// The pricing model of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum PricingClass {
    /// Runs until it is returned (on-demand).
    Steady,
    /// Costs less, but the platform may reclaim it at any time (spot).
    Cheap,
}

/// Lifecycle state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TargetState {
    /// Ordered or loading; accepts no requests.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes running requests before a planned change; accepts no new ones.
    Draining,
    /// Switching roles, which takes seconds; accepts no requests.
    Changing,
    /// The platform has announced its removal; accepts no new requests.
    Leaving,
    /// Removed by the platform.
    Reclaimed,
}

impl TargetState {
    /// Whether new requests may be sent to the target.
    pub fn accepts_requests(self) -> bool {
        self == TargetState::Serving
    }

    /// Whether the KV cache can still be exported.
    pub fn can_export(self) -> bool {
        matches!(self, TargetState::Serving | TargetState::Draining | TargetState::Leaving)
    }

    /// Whether the contents of the KV cache are lost.
    pub fn has_lost_cache(self) -> bool {
        matches!(self, TargetState::Starting | TargetState::Changing | TargetState::Reclaimed)
    }
}

/// Performance and capacity of one target.
///
/// One step of the batch takes `step_base + running * step_seq`, plus the time to compute the
/// prompt tokens in that step at `prefill_rate`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetSpecs {
    /// Prompt tokens per second with nothing else in the batch.
    pub prefill_rate: f64,
    /// Duration of a decode step without sequences.
    pub step_base: Duration,
    /// Time that each running sequence adds to a step.
    pub step_seq: Duration,
    /// Maximum prompt tokens that a mixed or decode engine computes in one step.
    pub chunk: u32,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// KV cache export and import rate, in tokens per second.
    pub transfer_rate: f64,
    /// Fixed overhead of one KV cache transfer.
    pub transfer_base: Duration,
}

impl Default for TargetSpecs {
    fn default() -> TargetSpecs {
        TargetSpecs {
            prefill_rate: 8_000.0,
            step_base: Duration::from_millis(15),
            step_seq: Duration::from_micros(500),
            chunk: 128,
            slots: 96,
            kv_tokens: 200_000,
            transfer_rate: 100_000.0,
            transfer_base: Duration::from_millis(5),
        }
    }
}

impl TargetSpecs {
    /// Duration of a decode step with `running` sequences and no prompt work.
    pub fn step_time(&self, running: u32) -> Duration {
        self.step_base + self.step_seq * running
    }

    /// Time to compute `tokens` prompt tokens with nothing else in the batch.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate)
    }

    /// Time to transfer the KV cache of `tokens` tokens to another engine.
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        self.transfer_base + Duration::from_secs_f64(tokens as f64 / self.transfer_rate)
    }

    /// Largest number of concurrent sequences with a step time of at most `step`; at least 1.
    pub fn max_batch(&self, step: Duration) -> u32 {
        let spare = step.saturating_sub(self.step_base).as_secs_f64();
        let seqs = spare / self.step_seq.as_secs_f64().max(1e-9);
        (seqs as u32).clamp(1, self.slots)
    }
}

/// A target as known to a host.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The target's identifier.
    pub id: TargetId,
    /// The current role; in state `Changing`, the new role.
    pub role: Role,
    /// The zone that the target runs in.
    pub zone: Zone,
    /// The pricing model.
    pub kind: PricingClass,
    /// The lifecycle state.
    pub state: TargetState,
    /// Performance and capacity.
    pub specs: TargetSpecs,
}

/// The load of a target at some time in the past.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Time from measurement to arrival, as far as it is known.
    pub age: Duration,
    /// Sequences that are generating output.
    pub running: u32,
    /// Requests that wait for their first token.
    pub waiting: u32,
    /// Prompt tokens still to be computed, for waiting and partly computed prompts.
    pub prompt_queue: u64,
    /// KV cache in use, in tokens, without cached prefixes that can be evicted.
    pub kv_used: u64,
}
