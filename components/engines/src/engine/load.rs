//! Load report of an engine.

use crate::engine::{Engine, batch::Phase};

/// Load of an engine at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineLoad {
    /// Number of decoding sequences.
    pub running: u32,
    /// Number of jobs that have no first token yet.
    pub waiting: u32,
    /// Prompt tokens still to prefill, in all jobs together.
    pub prompt_queue: u64,
    /// Reserved KV memory, in tokens.
    pub kv_used: u32,
    /// Number of jobs that keep their KV cache until it is exported.
    pub exporting: u32,
}

impl Engine {
    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        let queued_jobs = self.waiting.values().chain(self.prefilling.values());
        let prompt_queue = queued_jobs.map(|id| self.queued_tokens(*id)).sum();
        let running = self.decoding.len();
        let waiting = self.waiting.len() + self.prefilling.len();
        EngineLoad {
            running: running as u32,
            waiting: waiting as u32,
            prompt_queue,
            kv_used: self.kv_used,
            exporting: (self.jobs.len() - running - waiting) as u32,
        }
    }

    /// Number of jobs on the engine, in any phase.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    fn queued_tokens(&self, id: u64) -> u64 {
        let Some(seq) = self.jobs.get(&id) else { return 0 };
        match seq.phase {
            Phase::Waiting => u64::from(seq.job.prefill_tokens()),
            Phase::Prefilling(remaining) => u64::from(remaining),
            Phase::Decoding { .. } | Phase::Exporting => 0,
        }
    }
}
