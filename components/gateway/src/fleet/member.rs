//! One target with this host's work there, and what a request would cost at it.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    fleet::{OpenWork, Outcome, Place, Stage, TargetEntry, Ticket, health::Health},
    hash::hash,
    protocol::Prompt,
};

/// Prompt tokens that an engine computes in a millisecond with nothing else to do;
/// from the users' sheets, both of which state the same engine.
const PREFILL_RATE: f64 = 60.0;

/// How much slower an engine that generates computes prompts than one that only
/// computes prompts; the platform's documented factor.
const DECODE_SLOWDOWN: f64 = 2.0;

/// Time that attention adds, in milliseconds for each million pairs of a computed
/// token and a token before it; from the users' sheets.
const PAIRS_COST: f64 = 0.367;

/// What one open request costs the next one at an engine that generates, in
/// milliseconds: a few steps of its batch.
const OPEN_COST: f64 = 6.0;

/// What one open request costs the next one at a plain service, in milliseconds,
/// divided by its slots; the order of one request's work there.
const PLAIN_COST: f64 = 40.0;

/// Time beyond a prediction after which a request without a first token counts as
/// overdue: several steps of a full batch.
const OVERDUE_GRACE: Duration = Duration::from_millis(1_000);

/// Failure rate from which other hosts are told.
const TOLD_FAILURE_RATE: f64 = 0.3;

/// Time for which a target that another process answers for gets nothing, unless its
/// entry changes: entries of targets that are gone lapse within it.
const GONE_SPAN: Duration = Duration::from_secs(4);

/// Parts of prompts remembered for each target.
const PARTS: usize = 512;

/// One target with this host's work there.
#[derive(Debug)]
pub(super) struct Member {
    /// As it announced itself.
    pub(super) entry: TargetEntry,
    /// Stands for its id between hosts.
    pub(super) key: u32,
    /// Open requests of this host.
    pub(super) open: u32,
    /// Prompt computation sent and not known to be done, in milliseconds.
    pub(super) pending: f64,
    /// When each request without a first token is overdue.
    due: SmallVec<[(Ticket, Time); 4]>,
    /// Parts of prompts that hosts sent there, with the last time.
    parts: HashMap<u64, Time>,
    /// How it did of late.
    pub(super) health: Health,
    /// Until when it gets nothing although its entry stands.
    gone: Option<Time>,
    /// Until when it is kept without an entry.
    pub(super) lapses: Option<Time>,
}

/// Prompt tokens that a target has to compute.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Missing {
    /// Of parts that other requests share.
    pub(super) shared: u32,
    /// Of the request's own.
    pub(super) own: u32,
}

impl Member {
    /// A target without work.
    pub(super) fn new(now: Time, entry: TargetEntry) -> Member {
        Member {
            key: hash(&&*entry.id) as u32,
            open: 0,
            pending: 0.0,
            due: SmallVec::new(),
            parts: HashMap::new(),
            health: Health::new(now),
            gone: None,
            lapses: None,
            entry,
        }
    }

    /// Takes over a new entry; after a restart nothing is cached.
    pub(super) fn set(&mut self, now: Time, entry: TargetEntry) {
        if self.entry.born != entry.born || self.entry.addr != entry.addr {
            self.parts.clear();
            self.health = Health::new(now);
        }
        if self.entry.born != entry.born
            || self.entry.addr != entry.addr
            || self.entry.stage != entry.stage
        {
            self.gone = None;
        }
        self.lapses = None;
        self.entry = entry;
    }

    /// Whether it may get requests.
    pub(super) fn serves(&self, now: Time, service: &str) -> bool {
        let entry = &self.entry;
        &*entry.service == service
            && !entry.draining
            && self.gone.is_none_or(|until| now >= until)
            && self.lapses.is_none_or(|lapses| now < lapses)
    }

    /// Counts a request as sent.
    pub(super) fn start(&mut self, now: Time, ticket: Ticket, place: &Place, prompt: &Prompt) {
        self.open += 1;
        self.pending += place.read;
        self.due.push((ticket, now + place.predicted() * 2 + OVERDUE_GRACE));
        for part in &prompt.parts {
            self.keep_part(now, part.id);
        }
    }

    /// Takes a part as cached.
    pub(super) fn keep_part(&mut self, now: Time, part: u64) {
        self.parts.insert(part, now);
        if self.parts.len() > PARTS {
            self.forget_parts();
        }
    }

    /// Forgets the half of the parts that was used least recently.
    fn forget_parts(&mut self) {
        let mut times: Vec<Time> = self.parts.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.parts.retain(|_, used| *used > median);
    }

    /// Counts a prompt as computed; doing so again changes nothing and returns false.
    pub(super) fn computed(&mut self, ticket: Ticket, place: &Place) -> bool {
        let Some(at) = self.due.iter().position(|(known, _)| *known == ticket) else {
            return false;
        };
        self.due.remove(at);
        self.pending = (self.pending - place.read).max(0.0);
        true
    }

    /// Counts a request as ended.
    pub(super) fn finish(&mut self, now: Time, outcome: Outcome) {
        self.open = self.open.saturating_sub(1);
        self.health.note(now, outcome);
        if matches!(outcome, Outcome::Unreachable | Outcome::Gone) {
            self.parts.clear();
        }
        if outcome == Outcome::Gone {
            self.gone = Some(now + GONE_SPAN);
        }
    }

    /// Prompt tokens to compute: all after the first part that is not cached.
    ///
    /// Shared parts that are not known to be here are so with probability `likely`.
    pub(super) fn missing(&self, prompt: &Prompt, likely: f64) -> Missing {
        let (mut cached, mut shared) = (0, 0);
        let last = prompt.parts.len().saturating_sub(1);
        let mut whole = true;
        for (index, part) in prompt.parts.iter().enumerate() {
            whole &= self.parts.contains_key(&part.id);
            if whole {
                cached += part.tokens;
            } else if index < last {
                shared += part.tokens;
            }
        }
        let own = prompt.tokens.saturating_sub(cached + shared);
        let shared = (f64::from(shared) * (1.0 - likely)) as u32;
        Missing { shared, own: own.max(u32::from(prompt.tokens > 0)) }
    }

    /// Time to compute `tokens` of a prompt of `all` tokens, in milliseconds.
    pub(super) fn read_time(&self, tokens: u32, all: u32) -> f64 {
        let slowdown = if self.entry.stage == Stage::Decode { DECODE_SLOWDOWN } else { 1.0 };
        let pairs = f64::from(tokens) * f64::from(all) / 1e6;
        (f64::from(tokens) / PREFILL_RATE + pairs * PAIRS_COST) * slowdown
    }

    /// Time until the target begins with a new request, in milliseconds, with
    /// `others_open` requests and `others_pending` milliseconds of prompt computation of
    /// the other hosts.
    pub(super) fn wait(&self, now: Time, others_open: u32, others_pending: f64) -> f64 {
        let open = f64::from(self.open + others_open);
        let late = self.overdue(now) + others_pending;
        if self.entry.stage == Stage::Whole {
            return open * PLAIN_COST / f64::from(self.entry.slots.max(1)) + late;
        }
        let crowding = if self.entry.stage == Stage::Decode { open * OPEN_COST } else { 0.0 };
        self.pending + late + crowding
    }

    /// How long the oldest request without a first token is overdue, in milliseconds.
    ///
    /// A target may accept requests and stay silent; nothing else shows it.
    pub(super) fn overdue(&self, now: Time) -> f64 {
        let oldest = self.due.iter().map(|(_, due)| *due).min();
        oldest.map_or(0.0, |due| now.since(due).as_secs_f64() * 1e3)
    }

    /// Whether it failed so often of late that other hosts are told.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        self.health.rate(now) >= TOLD_FAILURE_RATE
    }

    /// What other hosts are told of the work in front of the target.
    pub(super) fn told(&self, now: Time) -> OpenWork {
        let pending = self.pending + self.overdue(now);
        let failing = if self.is_failing(now) { self.health.rate(now) } else { 0.0 };
        OpenWork {
            target: self.key,
            pending: pending.min(f64::from(u16::MAX)) as u16,
            open: u16::try_from(self.open).unwrap_or(u16::MAX),
            failing: (failing * 100.0) as u8,
        }
    }
}
