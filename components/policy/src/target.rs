//! Targets as a host sees them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{TargetId, Zone};

/// What an engine is set up to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Computes prompts and exports their KV cache.
    Prefill,
    /// Generates tokens; computes prompts only in small chunks.
    Decode,
    /// Does both on one batch; plain services are mixed.
    Mixed,
}

/// How a target is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Kept until returned.
    Steady,
    /// Costs less and may be reclaimed by the platform at any moment.
    Cheap,
}

/// Where a target stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// Ordered or loading; takes no work.
    Starting,
    /// Takes work.
    Serving,
    /// Finishes what it runs before a planned change; takes no new work.
    Draining,
    /// Changing its role; takes no work for seconds.
    Changing,
    /// On the platform's list of leaving targets; takes no new work.
    Leaving,
    /// Withdrawn by the platform; gone.
    Reclaimed,
}

impl State {
    /// Whether new work may be sent.
    pub fn takes_work(self) -> bool {
        self == State::Serving
    }

    /// Whether its KV cache can still be exported.
    pub fn can_export(self) -> bool {
        matches!(self, State::Serving | State::Draining | State::Leaving)
    }

    /// Whether what its cache held is gone.
    pub fn has_lost_cache(self) -> bool {
        matches!(self, State::Starting | State::Changing | State::Reclaimed)
    }
}

/// The speeds and sizes of one target.
///
/// One step of an engine's batch takes `step_base + running * step_seq`, plus
/// the prompt tokens computed in that step divided by `prefill_rate`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Specs {
    /// Prompt tokens a second, with nothing else in the batch.
    pub prefill_rate: f64,
    /// Time of an empty decode step.
    pub step_base: Duration,
    /// Time that each running sequence adds to a step.
    pub step_seq: Duration,
    /// Prompt tokens that a mixed or decode engine computes in one step at most.
    pub chunk: u32,
    /// Sequences that may run at once.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv_tokens: u64,
    /// KV cache export and import speed, in tokens a second.
    pub transfer_rate: f64,
    /// Fixed time of one KV export and import.
    pub transfer_base: Duration,
}

impl Default for Specs {
    fn default() -> Specs {
        Specs {
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

impl Specs {
    /// The time of one decode step with `running` sequences and no prompt work.
    pub fn step(&self, running: u32) -> Duration {
        self.step_base + self.step_seq * running
    }

    /// The time to compute `tokens` prompt tokens with nothing else in the batch.
    pub fn prefill(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate)
    }

    /// The time to move the KV cache of `tokens` tokens to another engine.
    pub fn transfer(&self, tokens: u64) -> Duration {
        self.transfer_base + Duration::from_secs_f64(tokens as f64 / self.transfer_rate)
    }

    /// Sequences that may run at once with at most `step` between tokens.
    pub fn batch(&self, step: Duration) -> u32 {
        let spare = step.saturating_sub(self.step_base).as_secs_f64();
        let seqs = spare / self.step_seq.as_secs_f64().max(1e-9);
        (seqs as u32).clamp(1, self.slots)
    }
}

/// One target of the host's view.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Its identifier.
    pub id: TargetId,
    /// Its role; with `Changing`, the role that it changes to.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// How it is paid for.
    pub kind: Kind,
    /// Where it stands in its life.
    pub state: State,
    /// Its speeds and sizes.
    pub specs: Specs,
}

/// A target's load as it reported it some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Time from measurement to arrival, as far as it is known.
    pub age: Duration,
    /// Sequences that generate tokens.
    pub running: u32,
    /// Requests that wait for their first token.
    pub waiting: u32,
    /// Prompt tokens not yet computed, of waiting and of partly computed prompts.
    pub prompt_queue: u64,
    /// KV memory in use, in tokens, cached prefixes that can be dropped left out.
    pub kv_used: u64,
}
