//! Jobs that are submitted to an engine.

use std::sync::Arc;

/// The part of a request that a job runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Prefill and the complete decode.
    Whole,
    /// Prefill and the first token; the KV cache is kept for export.
    Prefill,
    /// Decode that starts from an imported KV cache.
    Decode,
}

/// A request, or one stage of it, that is submitted to an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Unique among the jobs of one engine.
    pub id: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks that the prefix cache can share.
    pub prefix_blocks: Arc<[u64]>,
    /// Number of tokens of the complete output; known to this simulation only.
    pub output_tokens: u32,
    /// Maximum output tokens that the caller requested; KV memory is reserved for them.
    pub max_tokens: u32,
    /// Output tokens that the caller already has.
    pub emitted_tokens: u32,
    /// A larger value is served first.
    pub priority: u8,
    /// The part of the request to run.
    pub stage: Stage,
    /// Whether the engine crashes at the end of the prefill.
    pub poison: bool,
}

impl Job {
    /// Tokens to prefill if nothing is cached: the prompt and the output so far.
    pub fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens + self.emitted_tokens
    }

    /// KV memory that is reserved while the job runs, in tokens.
    pub fn reserved_tokens(&self) -> u32 {
        match self.stage {
            Stage::Prefill => self.prefill_tokens() + 1,
            Stage::Whole | Stage::Decode => {
                self.prompt_tokens + self.max_tokens.max(self.output_tokens)
            }
        }
    }

    /// Output tokens still to produce.
    pub fn remaining_tokens(&self) -> u32 {
        self.output_tokens.saturating_sub(self.emitted_tokens)
    }
}
