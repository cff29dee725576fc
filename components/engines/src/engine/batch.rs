//! Starts and finishes steps: admission, prefill chunks and decoding.

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    Role,
    engine::{Engine, Event, LostJob, QueueKey},
    job::{Job, Stage},
};

/// A job together with its progress on this engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    pub(super) key: QueueKey,
    pub(super) phase: Phase,
    /// Prompt tokens found in the prefix cache.
    cached: u32,
    /// Time of the first token after a KV import, otherwise zero.
    first_token: Time,
}

/// Phase of a job on this engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    /// Prefilling, with this many prompt tokens still to compute.
    Prefilling(u32),
    /// Decoding; each step produces one token.
    Decoding {
        /// Step count when decoding started.
        first_step: u64,
        /// Slow step count when decoding started.
        slow_steps_before: u64,
        /// Step count at which the last token is produced.
        last_step: u64,
    },
    /// Finished, but keeps its KV cache until it is exported.
    Exporting,
}

/// The step that is running.
#[derive(Debug)]
pub(super) struct Step {
    started_at: Time,
    pub(super) ends_at: Time,
    /// Number of decoding sequences.
    seqs: u32,
    /// Job id and number of prompt tokens of each prefill chunk.
    chunks: SmallVec<[(u64, u32); 8]>,
}

impl Sequence {
    pub(super) fn new(job: Job, key: QueueKey) -> Sequence {
        Sequence { job, key, phase: Phase::Waiting, cached: 0, first_token: Time::ZERO }
    }
}

impl Engine {
    /// Starts the next step if there is work and no step is running.
    pub(super) fn start_step(&mut self, now: Time) {
        if self.step.is_some() || self.is_down() {
            return;
        }
        let imported = self.admit();
        let chunks = self.plan_chunks();
        let seqs = self.decoding.len() as u32;
        if seqs == 0 && chunks.is_empty() {
            return;
        }
        let tokens = chunks.iter().map(|(_, tokens)| tokens).sum();
        let duration = self.profile.step_time(self.role, seqs, tokens);
        self.busy_time += duration;
        for id in imported {
            if let Some(seq) = self.jobs.get_mut(&id) {
                seq.first_token = now + duration;
            }
        }
        self.step = Some(Step { started_at: now, ends_at: now + duration, seqs, chunks });
    }

    /// Finishes the step: credits its tokens to the jobs and adds the events.
    pub(super) fn finish_step(&mut self, events: &mut Vec<Event>) {
        let Some(step) = self.step.take() else { return };
        let gap = step.ends_at.since(step.started_at);
        self.steps += 1;
        if gap > self.gap_limit {
            self.slow_steps += 1;
        }
        if step.seqs > 0 {
            events.push(Event::StepDone { gap, seqs: step.seqs });
        }
        self.finish_decoding(events);
        for (id, tokens) in step.chunks {
            if self.compute_chunk(id, tokens, events) {
                return;
            }
        }
    }

    /// Returns the tokens and slow gaps of a job so far, as if it ended now.
    pub(super) fn progress(&self, id: u64) -> Option<LostJob> {
        let seq = self.jobs.get(&id)?;
        let (tokens, slow) = match seq.phase {
            Phase::Waiting | Phase::Prefilling(_) => (0, 0),
            Phase::Exporting => (1, 0),
            Phase::Decoding { first_step, slow_steps_before, .. } => {
                let first = u64::from(seq.job.stage == Stage::Whole);
                (self.steps - first_step + first, self.slow_steps - slow_steps_before)
            }
        };
        let emitted_tokens = seq.job.emitted_tokens + tokens as u32;
        Some(LostJob { id, emitted_tokens, tokens: tokens as u32, slow_gaps: slow as u32 })
    }

    /// Removes a job and frees its KV memory.
    pub(super) fn remove(&mut self, id: u64) {
        let Some(seq) = self.jobs.remove(&id) else { return };
        match seq.phase {
            Phase::Waiting => {
                self.waiting.remove(&seq.key);
                return;
            }
            Phase::Prefilling(_) => {
                self.prefilling.remove(&seq.key);
            }
            Phase::Decoding { last_step, .. } => {
                self.decoding.remove(&(last_step, id));
            }
            Phase::Exporting => (),
        }
        self.kv_used -= seq.job.reserved_tokens();
    }

    /// Admits waiting jobs up to the batch limit and the free KV memory.
    ///
    /// Returns the jobs that start decoding from an imported KV cache.
    fn admit(&mut self) -> SmallVec<[u64; 4]> {
        let mut imported = SmallVec::new();
        let batch = self.profile.limits(self.role).batch as usize;
        while let Some((&key, &id)) = self.waiting.first_key_value() {
            let active = self.prefilling.len() + self.decoding.len();
            if self.role != Role::Prefill && active >= batch {
                return imported;
            }
            let Some(seq) = self.jobs.get_mut(&id) else { return imported };
            let reserved = seq.job.reserved_tokens();
            if self.kv_used + reserved > self.profile.kv_tokens {
                return imported;
            }
            self.kv_used += reserved;
            self.waiting.remove(&key);
            if seq.job.stage == Stage::Decode {
                self.start_decoding(id);
                imported.push(id);
                continue;
            }
            let cached_blocks = self.cache.touch(&seq.job.prefix_blocks) as u32;
            let cached_tokens = cached_blocks * self.profile.block_tokens;
            seq.cached = cached_tokens.min(seq.job.prefill_tokens().saturating_sub(1));
            seq.phase = Phase::Prefilling(seq.job.prefill_tokens() - seq.cached);
            self.prefilling.insert(key, id);
        }
        imported
    }

    /// Divides the step's prefill token budget among the prefilling jobs.
    fn plan_chunks(&self) -> SmallVec<[(u64, u32); 8]> {
        let mut budget = self.profile.limits(self.role).chunk;
        let mut chunks = SmallVec::new();
        for &id in self.prefilling.values() {
            if budget == 0 {
                break;
            }
            let Phase::Prefilling(remaining) = self.jobs[&id].phase else { continue };
            let tokens = remaining.min(budget);
            budget -= tokens;
            chunks.push((id, tokens));
        }
        chunks
    }

    /// Removes the jobs that have produced their last token.
    fn finish_decoding(&mut self, events: &mut Vec<Event>) {
        while let Some(&(until, id)) = self.decoding.first()
            && until <= self.steps
        {
            if let Some(lost) = self.progress(id) {
                let first_token = self.jobs[&id].first_token;
                events.push(Event::Done {
                    id,
                    tokens: lost.tokens,
                    slow_gaps: lost.slow_gaps,
                    first_token,
                });
            }
            self.remove(id);
        }
    }

    /// Completes a prefill chunk; returns true if its job crashed the engine.
    fn compute_chunk(&mut self, id: u64, tokens: u32, events: &mut Vec<Event>) -> bool {
        let Some(seq) = self.jobs.get_mut(&id) else { return false };
        let Phase::Prefilling(remaining) = seq.phase else { return false };
        if tokens < remaining {
            seq.phase = Phase::Prefilling(remaining - tokens);
            return false;
        }
        if seq.job.poison {
            let lost = self.crash();
            events.push(Event::Crashed { by: id, lost });
            return true;
        }
        let (key, stage, cached) = (seq.key, seq.job.stage, seq.cached);
        let blocks = seq.job.prefix_blocks.clone();
        let changes = self.cache.insert(&blocks);
        if !changes.is_empty() {
            events.push(Event::CacheChanged(changes));
        }
        self.prefilling.remove(&key);
        events.push(Event::FirstToken { id, cached });
        if stage == Stage::Prefill {
            self.hold_for_export(id, events);
            return false;
        }
        self.start_decoding(id);
        self.finish_decoding(events);
        false
    }

    fn hold_for_export(&mut self, id: u64, events: &mut Vec<Event>) {
        let Some(seq) = self.jobs.get_mut(&id) else { return };
        seq.phase = Phase::Exporting;
        events.push(Event::Exportable { id });
    }

    fn start_decoding(&mut self, id: u64) {
        let Some(seq) = self.jobs.get_mut(&id) else { return };
        let first = u64::from(seq.job.stage == Stage::Whole);
        let remaining_steps = u64::from(seq.job.remaining_tokens()).saturating_sub(first);
        let last_step = self.steps + remaining_steps;
        seq.phase = Phase::Decoding {
            first_step: self.steps,
            slow_steps_before: self.slow_steps,
            last_step,
        };
        self.decoding.insert((last_step, id));
    }
}
