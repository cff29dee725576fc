//! Predictions for one request on one target.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::{
    Request, Role, RouteSettings, Specs,
    router::{
        fleet::{Entry, Fleet},
        load::Estimate,
    },
};

/// Share of the time between tokens that is planned with.
const GAP_SHARE: f64 = 0.95;

/// Share of the KV memory that is planned with.
const KV_SHARE: f64 = 0.95;

/// What a full batch costs against time to the first token.
const CROWDING: Duration = Duration::from_millis(60);

/// Output, in tokens, from which one long gap is within the good share of gaps.
const TRANSFER_OUTPUT: u32 = 40;

/// Price of a prompt's time on a full engine that generates, against its time on a
/// prefill engine.
const PROMPT_PRICE: f64 = 8.0;

/// Mean queue, in chunks, from which prompts count as computed all the time.
const OFTEN: f64 = 0.2;

/// How far a target may be filled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fill {
    /// Share of a target's sequences, from 0 to 1.
    pub(crate) seqs: f64,
    /// Prompt work that may wait at a target.
    pub(crate) backlog: Duration,
}

/// The question asked of each target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Query<'a> {
    pub(super) now: Time,
    pub(super) request: &'a Request,
    pub(super) settings: &'a RouteSettings,
    pub(super) fill: Fill,
    /// This host's part in the work of all hosts, from 0 to 1.
    pub(super) part: f64,
}

/// A target's answer: it has room, and the work would take so long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Offer {
    /// Predicted time until the prompt is computed, or the sequence can start.
    pub(super) time: Duration,
    /// Time plus what the choice costs others.
    pub(super) score: Duration,
}

impl Query<'_> {
    /// An engine of role prefill that computes the prompt, `cached` tokens known.
    pub(super) fn prefill(&self, fleet: &Fleet, entry: &Entry, cached: u32) -> Option<Offer> {
        let specs = &entry.target.specs;
        let load = self.load(fleet, entry);
        let wait = specs.prefill(load.prompt);
        let warmth = entry.warmth(self.now, self.settings.slow_start);
        if wait > self.fill.backlog.mul_f64(warmth) {
            return None;
        }
        let missing = self.request.prompt.saturating_sub(cached);
        let time = self.distance(fleet, entry) + wait + specs.prefill(missing.into());
        Some(Offer { time, score: time })
    }

    /// An engine that generates the output after importing the KV cache.
    pub(super) fn decode(&self, fleet: &Fleet, entry: &Entry) -> Option<Offer> {
        let specs = &entry.target.specs;
        let load = self.load(fleet, entry);
        let chunk = chunk_share(specs, &load);
        if !self.has_room(entry, &load, chunk) {
            return None;
        }
        let step = specs.step(load.seqs + 1) + chunk;
        let time = self.distance(fleet, entry) + specs.transfer(self.request.prompt.into()) + step;
        Some(Offer { time, score: time + self.crowding(entry, &load) })
    }

    /// A mixed or decode engine that does it all, the prompt in chunks.
    pub(super) fn whole(&self, fleet: &Fleet, entry: &Entry, cached: u32) -> Option<Offer> {
        let specs = &entry.target.specs;
        let load = self.load(fleet, entry);
        if !self.has_room(entry, &load, chunk_share(specs, &load)) {
            return None;
        }
        let rate = chunk_rate(specs, load.seqs);
        let wait = Duration::from_secs_f64(load.prompt as f64 / rate);
        if wait > self.fill.backlog {
            return None;
        }
        let missing = self.request.prompt.saturating_sub(cached);
        let compute = Duration::from_secs_f64(f64::from(missing) / rate);
        let time = self.distance(fleet, entry) + wait + compute + specs.step(load.seqs + 1);
        let price = self.crowding(entry, &load) + self.price(entry, &load, missing);
        Some(Offer { time, score: time + price })
    }

    /// What computing `missing` prompt tokens costs the sequences that run there.
    fn price(&self, entry: &Entry, load: &Estimate, missing: u32) -> Duration {
        let specs = &entry.target.specs;
        let share = f64::from(load.seqs) / f64::from(specs.batch(self.settings.gap));
        specs.prefill(missing.into()).mul_f64(PROMPT_PRICE * share * share)
    }

    /// Whether the gap that a KV transfer leaves after the first token is good, or
    /// one of enough gaps.
    pub(super) fn bears_transfer(&self, entry: &Entry) -> bool {
        let specs = &entry.target.specs;
        let gap = specs.transfer(self.request.prompt.into()) + specs.step(specs.slots / 2);
        gap <= self.settings.gap || self.request.output >= TRANSFER_OUTPUT
    }

    fn load(&self, fleet: &Fleet, entry: &Entry) -> Estimate {
        let typical = fleet.typical(entry.target.role);
        entry.load.estimate(self.now, self.settings.stale, typical)
    }

    fn distance(&self, fleet: &Fleet, entry: &Entry) -> Duration {
        if fleet.is_near(&entry.target) { Duration::ZERO } else { self.settings.far * 2 }
    }

    /// Whether one more sequence keeps the time between tokens and the memory.
    fn has_room(&self, entry: &Entry, load: &Estimate, chunk: Duration) -> bool {
        let specs = &entry.target.specs;
        let gap = self.settings.gap.mul_f64(GAP_SHARE).saturating_sub(chunk);
        let warmth = entry.warmth(self.now, self.settings.slow_start);
        let limit = f64::from(specs.batch(gap)) * self.fill.seqs * warmth;
        let room = limit.max(1.0) - f64::from(load.seqs);
        let kv = load.kv + u64::from(self.request.prompt + self.request.output);
        let kv_limit = specs.kv_tokens as f64 * KV_SHARE;
        room >= self.room_needed(load) && kv as f64 <= kv_limit
    }

    /// Room that the estimate has to show before one more sequence is sent.
    ///
    /// All hosts see the same room in the same report. Each takes what others send
    /// and see leave to be like its own, by its part in the work, and waits for the
    /// room that its place among them needs; together they fill the room once.
    fn room_needed(&self, load: &Estimate) -> f64 {
        let others = 1.0 / self.part - 1.0;
        (1.0 + others * (load.net as f64 + load.place)).max(1.0)
    }

    fn crowding(&self, entry: &Entry, load: &Estimate) -> Duration {
        let specs = &entry.target.specs;
        let share = f64::from(load.seqs) / f64::from(specs.batch(self.settings.gap));
        let warmth = entry.warmth(self.now, self.settings.slow_start);
        CROWDING.mul_f64(share / warmth)
    }
}

/// Time that one chunk of prompt adds to a step.
fn chunk_time(specs: &Specs) -> Duration {
    specs.prefill(specs.chunk.into())
}

/// Time that prompts add to the steps that count: all of a chunk when prompts are
/// often computed, next to none when that is rare enough to be among the long gaps
/// that a good answer may have.
fn chunk_share(specs: &Specs, load: &Estimate) -> Duration {
    let often = f64::from(specs.chunk) * OFTEN;
    chunk_time(specs).mul_f64((load.prompt as f64 / often.max(1.0)).min(1.0))
}

/// Prompt tokens a second beside `seqs` sequences.
fn chunk_rate(specs: &Specs, seqs: u32) -> f64 {
    let step = specs.step(seqs) + chunk_time(specs);
    f64::from(specs.chunk) / step.as_secs_f64().max(1e-6)
}

/// Roles that can generate output.
pub(super) const GENERATING: [Role; 2] = [Role::Mixed, Role::Decode];
