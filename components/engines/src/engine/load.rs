//! What an engine reports of its load.

use crate::engine::{Engine, batch::Phase};

/// An engine's load at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Sequences that generate tokens.
    pub running: u32,
    /// Jobs without a first token.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prompt_queue: u64,
    /// KV memory reserved, in tokens.
    pub kv_used: u32,
    /// Jobs that hold their KV cache for export.
    pub exporting: u32,
}

impl Engine {
    /// The present load.
    pub fn load(&self) -> Load {
        let queued = self.waiting.values().chain(self.prefilling.values());
        let prompt_queue = queued.map(|id| self.queued_tokens(*id)).sum();
        let running = self.decoding.len();
        let waiting = self.waiting.len() + self.prefilling.len();
        Load {
            running: running as u32,
            waiting: waiting as u32,
            prompt_queue,
            kv_used: self.kv_used,
            exporting: (self.jobs.len() - running - waiting) as u32,
        }
    }

    /// Jobs on the engine, in any phase.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    fn queued_tokens(&self, id: u64) -> u64 {
        let Some(seq) = self.jobs.get(&id) else { return 0 };
        match seq.phase {
            Phase::Waiting => u64::from(seq.job.context()),
            Phase::Prefilling(left) => u64::from(left),
            Phase::Decoding { .. } | Phase::Exporting => 0,
        }
    }
}
