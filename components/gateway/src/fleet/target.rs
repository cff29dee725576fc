//! State of one target: this host's work on it, and the predicted cost of a request.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::TargetSpeed;
use smallvec::SmallVec;

use crate::{
    fleet::{
        AttemptId, AttemptOutcome, InFlightWork, Placement, TargetEntry, TargetRole,
        ends::{Ends, names_other_start},
        health::Health,
    },
    hash::stable_hash,
    protocol::Prompt,
};

/// Prompt tokens that the reference engine computes in a millisecond. What is learned of
/// the engines corrects it, as it does the other reference times.
const PREFILL_TOKENS_PER_MS: f64 = 60.0;

/// How much slower a decode engine computes prompts than a prefill engine; the factor
/// that the platform documents.
const DECODE_SLOWDOWN: f64 = 2.0;

/// Time that attention adds on the reference engine per million pairs of a computed token
/// and an earlier token.
const ATTENTION_COST_MS: f64 = 0.367;

/// Delay that each request in flight on a decode engine adds to the next one: a few
/// steps of its batch.
const IN_FLIGHT_COST_MS: f64 = 6.0;

/// Prompt tokens that a decode engine computes in a step beside its streams.
const CHUNK_TOKENS: u32 = 512;

/// Reference time of a decode engine's step without prompt tokens.
const STEP_MS: f64 = 3.7;

/// Reference run time of a request of a plain service; divided by the target's slots, it
/// is the delay that each request in flight adds to the next one.
const PLAIN_REQUEST_MS: f64 = 40.0;

/// Shortest reference time of a prompt from which the engine's speed is learned: with
/// shorter ones, the network and the engine's steps take most of the time.
const MIN_LEARNED_MS: f64 = 50.0;

/// Time of a response that does not depend on the prompt: the network and a step of the
/// engine.
const RESPONSE_OVERHEAD_MS: f64 = 10.0;

/// Longest predicted wait, relative to the reference time, with which a response says
/// something about the target's speed.
const MAX_LEARNED_WAIT: f64 = 0.25;

/// Time after the predicted first token at which a request counts as overdue: several
/// steps of a full batch.
const OVERDUE_GRACE: Duration = Duration::from_millis(1_000);

/// Failure rate from which a target counts as failing and other hosts are told.
pub(super) const FAILING_RATE: f64 = 0.3;

/// Time for which a target gets no requests after another process answered at its
/// address, unless its entry changes; the entries of targets that are gone expire
/// within it.
const REPLACED_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of prompt parts remembered per target.
const MAX_CACHED_PARTS: usize = 512;

/// One target with this host's work on it.
#[derive(Debug)]
pub(super) struct TargetState {
    /// Its entry in the store.
    pub(super) entry: TargetEntry,
    /// Hash of its id, by which hosts refer to it.
    pub(super) id_hash: u32,
    /// Hash of its id and start, by which hosts tell outcomes.
    pub(super) start_hash: u32,
    /// Hash of its service and role, whose targets are taken as equally fast.
    pub(super) group: u32,
    /// Number of this host's requests in flight.
    pub(super) in_flight: u32,
    /// KV tokens of these, if it is an engine.
    pub(super) kv_tokens: u64,
    /// Predicted time of the prompt computation that was sent and is not known to be
    /// finished.
    pub(super) pending_ms: f64,
    /// Requests without a first token.
    unanswered: SmallVec<[Unanswered; 4]>,
    /// Prompt parts that hosts sent there, with the time of last use.
    cached_parts: HashMap<u64, Time>,
    /// Recent failure rate.
    pub(super) health: Health,
    /// What this host has seen of its speed.
    pub(super) speed: TargetSpeed,
    /// Factor of its times to the reference times.
    pub(super) speed_factor: f64,
    /// Time until which it gets no requests, because another process answered at its
    /// address.
    pub(super) avoided_until: Option<Time>,
    /// Time until which it is kept without an entry in the store; none if it has one.
    pub(super) expires_at: Option<Time>,
    /// When the transfers of prompt prefixes end that this host started from or to it.
    pub(super) link_free_at: Time,
    /// That the start which its entry is of has ended, if it was found to have.
    pub(super) ends: Ends,
}

/// A request without a first token.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    attempt: AttemptId,
    started_at: Time,
    /// When the first token is overdue.
    due: Time,
    /// Reference time of the response; none if it says nothing about the target's speed.
    reference: Option<Duration>,
    /// Time predicted for what comes before and beside that.
    overhead: Duration,
    /// Longest time beside that with which an import succeeded; none if that does not show.
    import_time: Option<Duration>,
}

/// What the first token of a request says.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    /// Of the target's speed; none if nothing.
    pub(super) observation: Option<Observation>,
    /// Whether the imported prefix arrived; none if unclear.
    pub(super) imported: Option<bool>,
}

/// Time that a response took, and the time that the reference target takes for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    pub(super) reference: Duration,
    pub(super) seen: Duration,
}

/// Prompt tokens that a target has to compute.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UncachedTokens {
    /// Tokens of parts that other requests share.
    pub(super) shared: u32,
    /// Tokens of the request's own part.
    pub(super) own: u32,
}

impl TargetState {
    /// Starts without work in flight.
    pub(super) fn new(now: Time, entry: TargetEntry) -> TargetState {
        TargetState {
            id_hash: stable_hash(&&*entry.id) as u32,
            start_hash: start_hash(&entry),
            group: group(&entry),
            in_flight: 0,
            kv_tokens: 0,
            pending_ms: 0.0,
            unanswered: SmallVec::new(),
            cached_parts: HashMap::new(),
            health: Health::new(now),
            speed: TargetSpeed::default(),
            speed_factor: 1.0,
            avoided_until: None,
            expires_at: None,
            link_free_at: now,
            ends: Ends::default(),
            entry,
        }
    }

    /// Updates the entry; after a restart nothing is cached.
    pub(super) fn update_entry(&mut self, now: Time, entry: TargetEntry) {
        if self.entry.incarnation != entry.incarnation || self.entry.addr != entry.addr {
            self.cached_parts.clear();
            self.health = Health::new(now);
            self.speed.clear();
        }
        if self.entry.incarnation != entry.incarnation
            || self.entry.addr != entry.addr
            || self.entry.role != entry.role
        {
            self.avoided_until = None;
        }
        if names_other_start(&self.entry, &entry) {
            self.ends = Ends::default();
        }
        self.expires_at = None;
        self.start_hash = start_hash(&entry);
        self.group = group(&entry);
        self.entry = entry;
    }

    /// Whether it may get requests for `service`.
    pub(super) fn serves(&self, now: Time, service: &str) -> bool {
        let entry = &self.entry;
        &*entry.service == service
            && !entry.draining
            && self.avoided_until.is_none_or(|until| now >= until)
            && self.expires_at.is_none_or(|expires| now < expires)
            && !self.is_ended(now)
    }

    /// Counts a request as in flight.
    pub(super) fn start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        placement: &Placement,
        prompt: &Prompt,
    ) {
        self.in_flight += 1;
        self.pending_ms += placement.prefill_ms;
        self.unanswered.push(Unanswered {
            attempt,
            started_at: now,
            due: now + placement.predicted_time() * 2 + OVERDUE_GRACE,
            reference: self.reference_time(placement),
            overhead: millis(placement.wait_ms + RESPONSE_OVERHEAD_MS),
            import_time: import_time(placement),
        });
        for part in &prompt.parts {
            self.record_part(now, part.id);
        }
    }

    /// Records a part as cached.
    pub(super) fn record_part(&mut self, now: Time, part: u64) {
        self.cached_parts.insert(part, now);
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.evict_parts();
        }
    }

    /// Drops the least recently used half of the parts.
    fn evict_parts(&mut self) {
        let mut times: Vec<Time> = self.cached_parts.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.cached_parts.retain(|_, used| *used > median);
    }

    /// Reference time of the response to a new request; none if it will say nothing about
    /// the target's speed.
    fn reference_time(&self, placement: &Placement) -> Option<Duration> {
        if self.entry.role == TargetRole::Whole {
            return (self.in_flight <= self.entry.slots).then(|| millis(PLAIN_REQUEST_MS));
        }
        let reference = placement.prefill_ms / self.speed_factor;
        let is_clear = placement.cache_is_known
            && reference >= MIN_LEARNED_MS
            && placement.wait_ms <= reference * MAX_LEARNED_WAIT;
        is_clear.then(|| millis(reference))
    }

    /// Marks a prompt as computed; a repeat has no effect and returns none.
    pub(super) fn mark_computed(
        &mut self,
        now: Time,
        attempt: AttemptId,
        placement: &Placement,
    ) -> Option<Seen> {
        let at = self.unanswered.iter().position(|known| known.attempt == attempt)?;
        let known = self.unanswered.remove(at);
        self.pending_ms = (self.pending_ms - placement.prefill_ms).max(0.0);
        let seen = now.since(known.started_at).saturating_sub(known.overhead);
        Some(Seen {
            observation: known.reference.map(|reference| Observation { reference, seen }),
            imported: known.import_time.map(|limit| seen <= limit),
        })
    }

    /// Records that a request was sent without the import that was planned.
    pub(super) fn cancel_import(&mut self, attempt: AttemptId) {
        let known = self.unanswered.iter_mut().find(|known| known.attempt == attempt);
        if let Some(known) = known {
            known.import_time = None;
        }
    }

    /// Predicted time until its link is free, in milliseconds.
    pub(super) fn link_wait_ms(&self, now: Time) -> f64 {
        self.link_free_at.since(now).as_secs_f64() * 1e3
    }

    /// Tokens of the leading shared parts that are cached.
    pub(super) fn cached_shared_tokens(&self, prompt: &Prompt) -> u32 {
        let parts = prompt.shared_parts().iter();
        let cached = parts.take_while(|part| self.cached_parts.contains_key(&part.id));
        cached.fold(0, |sum, part| part.tokens.saturating_add(sum))
    }

    /// Removes a request in flight and records its outcome.
    pub(super) fn finish(&mut self, now: Time, outcome: AttemptOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.health.record(now, outcome);
        if matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Replaced) {
            self.cached_parts.clear();
        }
        if outcome == AttemptOutcome::Replaced {
            self.avoided_until = Some(now + REPLACED_TIMEOUT);
        }
    }

    /// Prompt tokens to compute: all after the first part that is not cached.
    ///
    /// A shared part that is not known to be cached is cached with probability
    /// `hit_rate`.
    pub(super) fn uncached_tokens(&self, prompt: &Prompt, hit_rate: f64) -> UncachedTokens {
        let (mut cached, mut shared) = (0, 0);
        let last = prompt.parts.len().saturating_sub(1);
        let mut whole = true;
        for (index, part) in prompt.parts.iter().enumerate() {
            whole &= self.cached_parts.contains_key(&part.id);
            if whole {
                cached = part.tokens.saturating_add(cached);
            } else if index < last {
                shared = part.tokens.saturating_add(shared);
            }
        }
        let own = prompt.tokens.saturating_sub(cached.saturating_add(shared));
        let shared = (f64::from(shared) * (1.0 - hit_rate)) as u32;
        UncachedTokens { shared, own: own.max(u32::from(prompt.tokens > 0)) }
    }

    /// Predicted time to compute `tokens` of a prompt of `prompt_tokens` tokens, in
    /// milliseconds.
    pub(super) fn prefill_time_ms(&self, tokens: u32, prompt_tokens: u32) -> f64 {
        let slowdown = if self.entry.role == TargetRole::Decode { DECODE_SLOWDOWN } else { 1.0 };
        reference_prompt_ms(tokens, prompt_tokens) * slowdown * self.speed_factor
    }

    /// Time that the reference engine takes for the prompt of `placement`, in milliseconds.
    pub(super) fn reference_ms(&self, placement: &Placement) -> f64 {
        placement.prefill_ms / self.speed_factor
    }

    /// Predicted pause of streams whose events hold `event_tokens` tokens while the engine computes
    /// `work_ms` milliseconds of prompts of `prompt_tokens` tokens: each token takes a step, which
    /// computes a chunk as long as there is work.
    pub(super) fn pause_ms(&self, work_ms: f64, prompt_tokens: u32, event_tokens: u32) -> f64 {
        let steps = f64::from(event_tokens);
        let chunks_ms = steps * self.prefill_time_ms(CHUNK_TOKENS, prompt_tokens);
        steps * STEP_MS * self.speed_factor + work_ms.min(chunks_ms)
    }

    /// Predicted time until the target starts a new request, in milliseconds. The other
    /// hosts have `others_open` requests and `others_pending` milliseconds of prompt
    /// computation on it.
    pub(super) fn expected_wait(&self, now: Time, others_open: u32, others_pending: f64) -> f64 {
        let open = f64::from(self.in_flight + others_open);
        let delay = self.overdue_ms(now) + others_pending;
        if self.entry.role == TargetRole::Whole {
            let run_time = PLAIN_REQUEST_MS * self.speed_factor;
            return open * run_time / f64::from(self.entry.slots.max(1)) + delay;
        }
        let in_flight_delay =
            if self.entry.role == TargetRole::Decode { open * IN_FLIGHT_COST_MS } else { 0.0 };
        self.pending_ms + delay + in_flight_delay
    }

    /// Time by which the oldest request without a first token is overdue, in
    /// milliseconds.
    ///
    /// This is the only sign of a target that accepts requests and never responds.
    pub(super) fn overdue_ms(&self, now: Time) -> f64 {
        let oldest = self.unanswered.iter().map(|known| known.due).min();
        oldest.map_or(0.0, |due| now.since(due).as_secs_f64() * 1e3)
    }

    /// Whether its failure rate is high enough to be reported to other hosts.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        self.health.rate(now) >= FAILING_RATE
    }

    /// This host's work in flight on the target, to send to other hosts.
    pub(super) fn reported_work(&self, now: Time) -> InFlightWork {
        let pending = self.pending_ms + self.overdue_ms(now);
        let failing = if self.is_failing(now) { self.health.rate(now) } else { 0.0 };
        InFlightWork {
            target: self.id_hash,
            pending: pending.min(f64::from(u16::MAX)) as u16,
            open: u16::try_from(self.in_flight).unwrap_or(u16::MAX),
            failing: (failing * 100.0) as u8,
        }
    }
}

/// Time in which the reference engine computes `tokens` of a prompt of `prompt_tokens` tokens, in
/// milliseconds.
pub(super) fn reference_prompt_ms(tokens: u32, prompt_tokens: u32) -> f64 {
    let pairs = f64::from(tokens) * f64::from(prompt_tokens) / 1e6;
    f64::from(tokens) / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_COST_MS
}

/// Longest time to the first token with which an import succeeded: halfway to that with the prefix
/// computed. None if the wait hides the difference.
fn import_time(placement: &Placement) -> Option<Duration> {
    let saved_ms = placement.import.as_ref()?.saved_ms;
    let is_clear = saved_ms >= MIN_LEARNED_MS && placement.wait_ms <= saved_ms;
    is_clear.then(|| millis(placement.prefill_ms + saved_ms / 2.0))
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}

fn start_hash(entry: &TargetEntry) -> u32 {
    stable_hash(&(&*entry.id, entry.incarnation)) as u32
}

fn group(entry: &TargetEntry) -> u32 {
    group_of(&entry.service, entry.role)
}

/// Identifies the targets of one service and role.
pub(super) fn group_of(service: &str, role: TargetRole) -> u32 {
    stable_hash(&(service, role)) as u32
}
