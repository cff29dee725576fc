//! Work handed to an engine.

use std::sync::Arc;

/// The part of a request that one job covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Prefill, then decode to the end.
    Whole,
    /// Prefill and the first token; the KV cache is held for export.
    Prefill,
    /// Decode from an imported KV cache.
    Decode,
}

/// One request, or a part of it, as an engine sees it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Unique among the jobs on one engine.
    pub id: u64,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Hashes of the prompt's shareable leading blocks.
    pub blocks: Arc<[u64]>,
    /// Tokens that the whole answer will have; only the model knows it.
    pub output: u32,
    /// Most tokens that the caller asked for; KV memory is reserved for them.
    pub limit: u32,
    /// Tokens of the answer that the caller already has.
    pub emitted: u32,
    /// Larger goes first.
    pub priority: u8,
    /// The part to run.
    pub stage: Stage,
    /// The engine crashes when it has run the prompt.
    pub poison: bool,
}

impl Job {
    /// Tokens to prefill when nothing is cached.
    pub fn context(&self) -> u32 {
        self.prompt + self.emitted
    }

    /// KV tokens reserved while the job runs.
    pub fn reserved(&self) -> u32 {
        match self.stage {
            Stage::Prefill => self.context() + 1,
            Stage::Whole | Stage::Decode => self.prompt + self.limit.max(self.output),
        }
    }

    /// Tokens of the answer still to come.
    pub fn remaining(&self) -> u32 {
        self.output.saturating_sub(self.emitted)
    }
}
