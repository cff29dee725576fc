//! Predicted latency and score of running a request on a target.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::{
    Request, Role, RouteSettings, TargetSpecs,
    router::{
        fleet::{Entry, TargetTable},
        load::LoadEstimate,
    },
};

/// Share of the maximum token gap up to which an engine is filled.
const USABLE_GAP_SHARE: f64 = 0.95;

/// Share of the KV cache up to which an engine is filled.
const USABLE_KV_SHARE: f64 = 0.95;

/// Score penalty of a full batch, added to the predicted time to first token.
const FULL_BATCH_PENALTY: Duration = Duration::from_millis(60);

/// Output length, in tokens, from which a single long gap stays within the tolerated share of
/// gaps.
const MIN_TRANSFER_OUTPUT: u32 = 40;

/// Cost of prompt time on a full engine that generates output, relative to a prefill engine.
const PROMPT_INTERFERENCE: f64 = 8.0;

/// Mean prompt queue, in chunks, from which every step is assumed to compute a chunk.
const FREQUENT_PROMPT_CHUNKS: f64 = 0.2;

/// How far a target may be filled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct FillLimit {
    /// Share of the sequence limit of a target, from 0 to 1.
    pub(crate) seq_share: f64,
    /// Maximum time of queued prompt work on a target.
    pub(crate) backlog: Duration,
}

/// Inputs for scoring targets for one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Query<'a> {
    pub(super) now: Time,
    pub(super) request: &'a Request,
    pub(super) settings: &'a RouteSettings,
    pub(super) fill: FillLimit,
    /// Share of the total load sent by this host, from 0 to 1.
    pub(super) host_share: f64,
}

/// Prediction for a target that has capacity for the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Prediction {
    /// Predicted time until the prompt is computed or the sequence can start.
    pub(super) time: Duration,
    /// Predicted time plus penalties for the impact on other requests.
    pub(super) score: Duration,
}

impl Query<'_> {
    /// Predicts computing the prompt on a prefill engine, where `cached` tokens are cached.
    /// `None` if its queue is too long.
    pub(super) fn prefill(
        &self,
        targets: &TargetTable,
        entry: &Entry,
        cached: u32,
    ) -> Option<Prediction> {
        let specs = &entry.target.specs;
        let load = self.estimate_load(targets, entry);
        let wait = specs.prefill_time(load.prompt_tokens);
        let slow_start_share = entry.slow_start_share(self.now, self.settings.slow_start);
        if wait > self.fill.backlog.mul_f64(slow_start_share) {
            return None;
        }
        let uncached = self.request.prompt_tokens.saturating_sub(cached);
        let time = self.network_delay(targets, entry) + wait + specs.prefill_time(uncached.into());
        Some(Prediction { time, score: time })
    }

    /// Predicts generating the output on an engine after a KV cache transfer. `None` if it is
    /// full.
    pub(super) fn decode(&self, targets: &TargetTable, entry: &Entry) -> Option<Prediction> {
        let specs = &entry.target.specs;
        let load = self.estimate_load(targets, entry);
        let chunk = typical_chunk_time(specs, &load);
        if !self.has_room(entry, &load, chunk) {
            return None;
        }
        let step = specs.step_time(load.seqs + 1) + chunk;
        let time = self.network_delay(targets, entry)
            + specs.transfer_time(self.request.prompt_tokens.into())
            + step;
        Some(Prediction { time, score: time + self.batch_penalty(entry, &load) })
    }

    /// Predicts running the whole request on a mixed or decode engine, with the prompt computed
    /// in chunks. `None` if it is full.
    pub(super) fn colocated(
        &self,
        targets: &TargetTable,
        entry: &Entry,
        cached: u32,
    ) -> Option<Prediction> {
        let specs = &entry.target.specs;
        let load = self.estimate_load(targets, entry);
        if !self.has_room(entry, &load, typical_chunk_time(specs, &load)) {
            return None;
        }
        let rate = chunk_rate(specs, load.seqs);
        let wait = Duration::from_secs_f64(load.prompt_tokens as f64 / rate);
        if wait > self.fill.backlog {
            return None;
        }
        let uncached = self.request.prompt_tokens.saturating_sub(cached);
        let compute = Duration::from_secs_f64(f64::from(uncached) / rate);
        let time =
            self.network_delay(targets, entry) + wait + compute + specs.step_time(load.seqs + 1);
        let penalty = self.batch_penalty(entry, &load) + self.interference(entry, &load, uncached);
        Some(Prediction { time, score: time + penalty })
    }

    /// Slowdown that computing `uncached` prompt tokens causes to sequences running on the
    /// engine.
    fn interference(&self, entry: &Entry, load: &LoadEstimate, uncached: u32) -> Duration {
        let specs = &entry.target.specs;
        let share = f64::from(load.seqs) / f64::from(specs.max_batch(self.settings.token_gap));
        specs.prefill_time(uncached.into()).mul_f64(PROMPT_INTERFERENCE * share * share)
    }

    /// Whether the gap caused by a KV cache transfer after the first token is within the limit,
    /// or is only one of enough gaps.
    pub(super) fn tolerates_transfer(&self, entry: &Entry) -> bool {
        let specs = &entry.target.specs;
        let gap = specs.transfer_time(self.request.prompt_tokens.into())
            + specs.step_time(specs.slots / 2);
        gap <= self.settings.token_gap || self.request.output_tokens >= MIN_TRANSFER_OUTPUT
    }

    fn estimate_load(&self, targets: &TargetTable, entry: &Entry) -> LoadEstimate {
        let mean_load = targets.mean_load(entry.target.role);
        entry.load.estimate(self.now, self.settings.report_max_age, mean_load)
    }

    fn network_delay(&self, targets: &TargetTable, entry: &Entry) -> Duration {
        if targets.is_local(&entry.target) {
            Duration::ZERO
        } else {
            self.settings.cross_zone_delay * 2
        }
    }

    /// Whether one more sequence keeps the token gap and the KV cache use within limits.
    fn has_room(&self, entry: &Entry, load: &LoadEstimate, chunk: Duration) -> bool {
        let specs = &entry.target.specs;
        let gap = self.settings.token_gap.mul_f64(USABLE_GAP_SHARE).saturating_sub(chunk);
        let slow_start_share = entry.slow_start_share(self.now, self.settings.slow_start);
        let limit = f64::from(specs.max_batch(gap)) * self.fill.seq_share * slow_start_share;
        let room = limit.max(1.0) - f64::from(load.seqs);
        let kv =
            load.kv_tokens + u64::from(self.request.prompt_tokens + self.request.output_tokens);
        let kv_limit = specs.kv_tokens as f64 * USABLE_KV_SHARE;
        room >= self.required_room(load) && kv as f64 <= kv_limit
    }

    /// Free sequence slots that the estimate must show before another sequence is sent.
    ///
    /// All hosts see the same free slots in the same report. Each host extrapolates what the
    /// others sent since from its own change and its share of the load, and waits for the slots
    /// that its random rank among the hosts requires. Together they fill the free slots once.
    fn required_room(&self, load: &LoadEstimate) -> f64 {
        let others = 1.0 / self.host_share - 1.0;
        (1.0 + others * (load.own_change as f64 + load.host_rank)).max(1.0)
    }

    fn batch_penalty(&self, entry: &Entry, load: &LoadEstimate) -> Duration {
        let specs = &entry.target.specs;
        let share = f64::from(load.seqs) / f64::from(specs.max_batch(self.settings.token_gap));
        let slow_start_share = entry.slow_start_share(self.now, self.settings.slow_start);
        FULL_BATCH_PENALTY.mul_f64(share / slow_start_share)
    }
}

/// Time that a chunk of prompt tokens adds to a step.
fn chunk_time(specs: &TargetSpecs) -> Duration {
    specs.prefill_time(specs.chunk.into())
}

/// Time that prompt chunks add to a typical step: a full chunk if prompts are computed often,
/// and close to zero if the affected steps are rare enough to fall within the tolerated share
/// of long gaps.
fn typical_chunk_time(specs: &TargetSpecs, load: &LoadEstimate) -> Duration {
    let threshold = f64::from(specs.chunk) * FREQUENT_PROMPT_CHUNKS;
    chunk_time(specs).mul_f64((load.prompt_tokens as f64 / threshold.max(1.0)).min(1.0))
}

/// Prompt tokens per second computed alongside `seqs` sequences.
fn chunk_rate(specs: &TargetSpecs, seqs: u32) -> f64 {
    let step = specs.step_time(seqs) + chunk_time(specs);
    f64::from(specs.chunk) / step.as_secs_f64().max(1e-6)
}

/// Roles that generate output.
pub(super) const GENERATING_ROLES: [Role; 2] = [Role::Mixed, Role::Decode];
