//! Composing and completing steps.

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    Role,
    engine::{Engine, Event, Lost, Place},
    job::{Job, Stage},
};

/// A job on this engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    pub(super) place: Place,
    pub(super) phase: Phase,
    cached: u32,
    joined: Time,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    /// Prompt tokens still to compute.
    Prefilling(u32),
    /// Decodes since a step, with the slow steps counted by then, until a step.
    Decoding {
        since: u64,
        slow: u64,
        until: u64,
    },
    /// Holds its KV cache for export.
    Exporting,
}

/// A step under way.
#[derive(Debug)]
pub(super) struct Step {
    began: Time,
    pub(super) ends: Time,
    seqs: u32,
    chunks: SmallVec<[(u64, u32); 8]>,
}

impl Sequence {
    pub(super) fn new(job: Job, place: Place) -> Sequence {
        Sequence { job, place, phase: Phase::Waiting, cached: 0, joined: Time::ZERO }
    }
}

impl Engine {
    /// Starts the next step if there is work and none is under way.
    pub(super) fn begin_step(&mut self, now: Time) {
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
        let length = self.profile.step_time(self.role, seqs, tokens);
        self.busy += length;
        for id in imported {
            if let Some(seq) = self.jobs.get_mut(&id) {
                seq.joined = now + length;
            }
        }
        self.step = Some(Step { began: now, ends: now + length, seqs, chunks });
    }

    /// Gives out the step's tokens.
    pub(super) fn end_step(&mut self, events: &mut Vec<Event>) {
        let Some(step) = self.step.take() else { return };
        let gap = step.ends.since(step.began);
        self.steps += 1;
        if gap > self.gap_limit {
            self.slow_steps += 1;
        }
        if step.seqs > 0 {
            events.push(Event::Stepped { gap, seqs: step.seqs });
        }
        self.finish_decoding(events);
        for (id, tokens) in step.chunks {
            if self.compute_chunk(id, tokens, events) {
                return;
            }
        }
    }

    /// Tokens and slow gaps of a job so far.
    pub(super) fn lose(&self, id: u64) -> Option<Lost> {
        let seq = self.jobs.get(&id)?;
        let (tokens, slow) = match seq.phase {
            Phase::Waiting | Phase::Prefilling(_) => (0, 0),
            Phase::Exporting => (1, 0),
            Phase::Decoding { since, slow, .. } => {
                let first = u64::from(seq.job.stage == Stage::Whole);
                (self.steps - since + first, self.slow_steps - slow)
            }
        };
        let emitted = seq.job.emitted + tokens as u32;
        Some(Lost { id, emitted, tokens: tokens as u32, slow: slow as u32 })
    }

    /// Forgets a job and frees its memory.
    pub(super) fn remove(&mut self, id: u64) {
        let Some(seq) = self.jobs.remove(&id) else { return };
        match seq.phase {
            Phase::Waiting => {
                self.waiting.remove(&seq.place);
                return;
            }
            Phase::Prefilling(_) => {
                self.prefilling.remove(&seq.place);
            }
            Phase::Decoding { until, .. } => {
                self.decoding.remove(&(until, id));
            }
            Phase::Exporting => (),
        }
        self.kv_used -= seq.job.reserved();
    }

    /// Admits what fits; returns the jobs with an imported KV cache.
    fn admit(&mut self) -> SmallVec<[u64; 4]> {
        let mut imported = SmallVec::new();
        let batch = self.profile.limits(self.role).batch as usize;
        while let Some((&place, &id)) = self.waiting.first_key_value() {
            let active = self.prefilling.len() + self.decoding.len();
            if self.role != Role::Prefill && active >= batch {
                return imported;
            }
            let Some(seq) = self.jobs.get_mut(&id) else { return imported };
            let reserved = seq.job.reserved();
            if self.kv_used + reserved > self.profile.kv_tokens {
                return imported;
            }
            self.kv_used += reserved;
            self.waiting.remove(&place);
            if seq.job.stage == Stage::Decode {
                self.join_decoding(id);
                imported.push(id);
                continue;
            }
            let blocks = self.cache.touch(&seq.job.blocks) as u32;
            let hit = blocks * self.profile.block_tokens;
            seq.cached = hit.min(seq.job.context().saturating_sub(1));
            seq.phase = Phase::Prefilling(seq.job.context() - seq.cached);
            self.prefilling.insert(place, id);
        }
        imported
    }

    fn plan_chunks(&self) -> SmallVec<[(u64, u32); 8]> {
        let mut budget = self.profile.limits(self.role).chunk;
        let mut chunks = SmallVec::new();
        for &id in self.prefilling.values() {
            if budget == 0 {
                break;
            }
            let Phase::Prefilling(left) = self.jobs[&id].phase else { continue };
            let tokens = left.min(budget);
            budget -= tokens;
            chunks.push((id, tokens));
        }
        chunks
    }

    fn finish_decoding(&mut self, events: &mut Vec<Event>) {
        while let Some(&(until, id)) = self.decoding.first()
            && until <= self.steps
        {
            if let Some(lost) = self.lose(id) {
                let joined = self.jobs[&id].joined;
                events.push(Event::Done { id, tokens: lost.tokens, slow: lost.slow, joined });
            }
            self.remove(id);
        }
    }

    /// Computes a part of a prompt; true if the engine crashed over it.
    fn compute_chunk(&mut self, id: u64, tokens: u32, events: &mut Vec<Event>) -> bool {
        let Some(seq) = self.jobs.get_mut(&id) else { return false };
        let Phase::Prefilling(left) = seq.phase else { return false };
        if tokens < left {
            seq.phase = Phase::Prefilling(left - tokens);
            return false;
        }
        if seq.job.poison {
            let lost = self.crash();
            events.push(Event::Crashed { by: id, lost });
            return true;
        }
        let (place, stage, cached) = (seq.place, seq.job.stage, seq.cached);
        let blocks = seq.job.blocks.clone();
        let changes = self.cache.insert(&blocks);
        if !changes.is_empty() {
            events.push(Event::Cached(changes));
        }
        self.prefilling.remove(&place);
        events.push(Event::First { id, cached });
        if stage == Stage::Prefill {
            self.hold(id, events);
            return false;
        }
        self.join_decoding(id);
        self.finish_decoding(events);
        false
    }

    fn hold(&mut self, id: u64, events: &mut Vec<Event>) {
        let Some(seq) = self.jobs.get_mut(&id) else { return };
        seq.phase = Phase::Exporting;
        events.push(Event::Exportable { id });
    }

    fn join_decoding(&mut self, id: u64) {
        let Some(seq) = self.jobs.get_mut(&id) else { return };
        let first = u64::from(seq.job.stage == Stage::Whole);
        let left = u64::from(seq.job.remaining()).saturating_sub(first);
        let until = self.steps + left;
        seq.phase = Phase::Decoding { since: self.steps, slow: self.slow_steps, until };
        self.decoding.insert((until, id));
    }
}
