//! Speeds, memory and limits of kinds of engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Which stages of a request an engine is tuned for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Prefill only, in large chunks; the KV cache is exported afterwards.
    Prefill,
    /// Mostly decode, with large batches and small prefill chunks.
    Decode,
    /// Prefill and decode, with medium chunks and batches.
    Mixed,
}

/// Scheduling limits of an engine in one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoleLimits {
    /// Fixed duration of a step, to which the time for its tokens is added.
    pub base: Duration,
    /// Maximum prefill tokens in a step.
    pub chunk: u32,
    /// Maximum sequences that decode in one step; unused in [`Role::Prefill`].
    pub batch: u32,
    /// Factor by which a prompt token takes longer than [`Profile::prefill_ns`].
    pub slowdown: u64,
}

/// Speeds, memory and limits of one kind of engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// Time that each prefill token adds to a step, in nanoseconds.
    pub prefill_ns: u64,
    /// Time that each decoding sequence adds to a step, in nanoseconds.
    pub decode_ns: u64,
    /// Limits in [`Role::Prefill`].
    pub prefill: RoleLimits,
    /// Limits in [`Role::Decode`].
    pub decode: RoleLimits,
    /// Limits in [`Role::Mixed`].
    pub mixed: RoleLimits,
    /// KV memory for sequences, in tokens.
    pub kv_tokens: u32,
    /// KV memory for cached prefixes, in blocks.
    pub cache_blocks: usize,
    /// Tokens per cached block.
    pub block_tokens: u32,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Throughput of KV export and import, in bytes per second.
    pub link_rate: u64,
    /// Fixed latency of a KV transfer.
    pub link_delay: Duration,
    /// Time that the engine is out of service for a role change.
    pub role_change: Duration,
    /// Time from the order of a target until it starts to load weights.
    pub boot: Duration,
    /// Size of the weights to load before serving, in bytes.
    pub weight_bytes: u64,
}

impl Profile {
    /// An engine on eight accelerators that serves a large model.
    pub fn large() -> Profile {
        Profile {
            prefill_ns: 8_500,
            decode_ns: 275_000,
            prefill: RoleLimits {
                base: Duration::from_millis(14),
                chunk: 8_192,
                batch: 0,
                slowdown: 1,
            },
            decode: RoleLimits {
                base: Duration::from_millis(10),
                chunk: 512,
                batch: 256,
                slowdown: 1,
            },
            mixed: RoleLimits {
                base: Duration::from_millis(14),
                chunk: 2_048,
                batch: 128,
                slowdown: 1,
            },
            kv_tokens: 1_200_000,
            cache_blocks: 8_192,
            block_tokens: 64,
            token_bytes: 320_000,
            link_rate: 40_000_000_000,
            link_delay: Duration::from_millis(3),
            role_change: Duration::from_secs(6),
            boot: Duration::from_secs(40),
            weight_bytes: 140_000_000_000,
        }
    }

    /// A slower engine on one accelerator that serves a small model.
    pub fn small() -> Profile {
        Profile {
            prefill_ns: 40_000,
            decode_ns: 700_000,
            prefill: RoleLimits {
                base: Duration::from_millis(12),
                chunk: 4_096,
                batch: 0,
                slowdown: 1,
            },
            decode: RoleLimits {
                base: Duration::from_millis(9),
                chunk: 256,
                batch: 64,
                slowdown: 1,
            },
            mixed: RoleLimits {
                base: Duration::from_millis(12),
                chunk: 512,
                batch: 48,
                slowdown: 1,
            },
            kv_tokens: 260_000,
            cache_blocks: 2_048,
            block_tokens: 64,
            token_bytes: 130_000,
            link_rate: 12_000_000_000,
            link_delay: Duration::from_millis(3),
            role_change: Duration::from_secs(4),
            boot: Duration::from_secs(30),
            weight_bytes: 16_000_000_000,
        }
    }

    /// A large engine of eight accelerators, which the gateway's reference times describe.
    ///
    /// The time that attention adds for each pair of tokens is left out; it makes up a third
    /// of the prefill time of the longest prompts.
    pub fn reference() -> Profile {
        let step = Duration::from_micros(3_700);
        Profile {
            prefill_ns: 15_650,
            decode_ns: 45_000,
            prefill: RoleLimits { base: step, chunk: 2_048, batch: 0, slowdown: 1 },
            decode: RoleLimits { base: step, chunk: 512, batch: 64, slowdown: 2 },
            mixed: RoleLimits { base: step, chunk: 2_048, batch: 64, slowdown: 1 },
            kv_tokens: 237_368,
            cache_blocks: 3_709,
            block_tokens: 64,
            token_bytes: 327_680,
            link_rate: 437_500_000_000,
            link_delay: Duration::from_millis(1),
            role_change: Duration::from_secs(4),
            boot: Duration::from_secs(4),
            weight_bytes: 0,
        }
    }

    /// Returns the scheduling limits in `role`.
    pub fn limits(&self, role: Role) -> RoleLimits {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// Returns the duration of a step with `decoding` sequences and `prefill` prompt tokens.
    pub fn step_time(&self, role: Role, decoding: u32, prefill: u32) -> Duration {
        let limits = self.limits(role);
        let prefill_total_ns = u64::from(prefill) * self.prefill_ns * limits.slowdown;
        let tokens_total_ns = prefill_total_ns + u64::from(decoding) * self.decode_ns;
        limits.base + Duration::from_micros(tokens_total_ns / 1_000)
    }

    /// Returns the time to transfer the KV cache of `tokens` tokens to another engine.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        let bytes = u128::from(tokens) * u128::from(self.token_bytes);
        let micros = bytes * 1_000_000 / u128::from(self.link_rate.max(1));
        self.link_delay + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
