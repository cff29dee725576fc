//! One engine with continuous batching.
//!
//! KV memory for a whole answer is reserved when a job is admitted, so a running
//! job is never preempted. Jobs are admitted and prefilled by priority, then in
//! order of arrival. All decoding sequences get one token a step, so the engine
//! keeps count of steps, not of tokens: a sequence's tokens and slow gaps are
//! differences of two counters.

mod batch;
mod load;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;

use crate::{
    CacheChange, PrefixCache, Profile, Role,
    engine::batch::{Sequence, Step},
    job::{Job, Stage},
};

pub use crate::engine::load::Load;

/// Something an engine did, at the time that it was advanced to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job produced its first token here.
    First {
        /// The job.
        id: u64,
        /// Prompt tokens found in the prefix cache.
        cached: u32,
    },
    /// A job of stage [`Stage::Prefill`] is ready to export its KV cache.
    Exportable {
        /// The job.
        id: u64,
    },
    /// A job produced its last token.
    Done {
        /// The job.
        id: u64,
        /// Tokens produced here.
        tokens: u32,
        /// Gaps between those tokens that were longer than the limit.
        slow: u32,
        /// When the first token was produced after KV import, otherwise zero.
        joined: Time,
    },
    /// A step with decoding sequences ended.
    Stepped {
        /// Length of the step.
        gap: Duration,
        /// Sequences that got a token.
        seqs: u32,
    },
    /// The prefix cache changed.
    Cached(Vec<CacheChange>),
    /// The role change is complete.
    Changed(Role),
    /// A poison job crashed the engine.
    Crashed {
        /// The poison job.
        by: u64,
        /// Every job that is lost.
        lost: Vec<Lost>,
    },
}

/// A job that a crash, a reclaim or a cancel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    /// The job.
    pub id: u64,
    /// Tokens of the answer produced in all, those before this job counted.
    pub emitted: u32,
    /// Tokens produced here.
    pub tokens: u32,
    /// Gaps between those tokens that were longer than the limit.
    pub slow: u32,
}

/// Why an engine does not take a job; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It is changing role, crashed or not yet loaded.
    Unavailable,
    /// It would never fit into KV memory.
    TooLarge,
    /// Its role does not cover the stage.
    WrongRole,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    /// Finishes its jobs before a change to the role.
    Draining(Role),
    Changing(Role, Time),
    Down,
}

type Place = (Reverse<u8>, u64);

/// An engine in virtual time.
#[derive(Debug)]
pub struct Engine {
    profile: Profile,
    role: Role,
    gap_limit: Duration,
    state: State,
    arrivals: u64,
    steps: u64,
    slow_steps: u64,
    kv_used: u32,
    waiting: BTreeMap<Place, u64>,
    prefilling: BTreeMap<Place, u64>,
    decoding: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, Sequence>,
    step: Option<Step>,
    cache: PrefixCache,
    busy: Duration,
}

impl Engine {
    /// An idle engine that counts gaps longer than `gap_limit` as slow.
    pub fn new(profile: Profile, role: Role, gap_limit: Duration) -> Engine {
        Engine {
            cache: PrefixCache::new(profile.cache_blocks),
            profile,
            role,
            gap_limit,
            state: State::Serving,
            arrivals: 0,
            steps: 0,
            slow_steps: 0,
            kv_used: 0,
            waiting: BTreeMap::new(),
            prefilling: BTreeMap::new(),
            decoding: BTreeSet::new(),
            jobs: BTreeMap::new(),
            step: None,
            busy: Duration::ZERO,
        }
    }

    /// The role it has, or had before a change that is under way.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its speeds and limits.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Whether it takes jobs.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether it crashed, or was reclaimed.
    pub fn is_down(&self) -> bool {
        self.state == State::Down
    }

    /// Time spent in steps.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Takes a job.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; the job is not run then.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Refusal> {
        if self.state != State::Serving {
            return Err(Refusal::Unavailable);
        }
        if self.role == Role::Prefill && job.stage != Stage::Prefill {
            return Err(Refusal::WrongRole);
        }
        if job.reserved() > self.profile.kv_tokens {
            return Err(Refusal::TooLarge);
        }
        let place = (Reverse(job.priority), self.arrivals);
        self.arrivals += 1;
        self.waiting.insert(place, job.id);
        self.jobs.insert(job.id, Sequence::new(job, place));
        self.begin_step(now);
        Ok(())
    }

    /// Ends a job early; `None` if it does not run here.
    pub fn cancel(&mut self, now: Time, id: u64) -> Option<Lost> {
        let lost = self.lose(id)?;
        self.release(now, id);
        Some(lost)
    }

    /// Frees the memory of a job, once its KV cache is exported.
    pub fn release(&mut self, now: Time, id: u64) {
        self.remove(id);
        self.begin_step(now);
        self.begin_change(now);
    }

    /// Leading `blocks` that are cached.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        self.cache.count(blocks)
    }

    /// Caches blocks whose KV was imported; returns what changed.
    pub fn import(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        self.cache.insert(blocks)
    }

    /// Orders a role change; the engine finishes its jobs first and takes no new ones.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unavailable`] unless it is serving.
    pub fn change_role(&mut self, now: Time, role: Role) -> Result<(), Refusal> {
        if self.state != State::Serving {
            return Err(Refusal::Unavailable);
        }
        self.state = State::Draining(role);
        self.begin_change(now);
        Ok(())
    }

    /// Stops at once; every job is lost.
    pub fn crash(&mut self) -> Vec<Lost> {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        let lost = ids.iter().filter_map(|&id| self.lose(id)).collect();
        self.state = State::Down;
        self.waiting.clear();
        self.prefilling.clear();
        self.decoding.clear();
        self.jobs.clear();
        self.cache.clear();
        self.step = None;
        self.kv_used = 0;
        lost
    }

    /// Serves again after a crash, with an empty cache.
    pub fn restart(&mut self) {
        if self.state == State::Down {
            self.state = State::Serving;
        }
    }

    /// When it next has something to do.
    pub fn next(&self) -> Option<Time> {
        match (self.state, &self.step) {
            (State::Changing(_, until), _) => Some(until),
            (_, Some(step)) => Some(step.ends),
            (_, None) => None,
        }
    }

    /// Does what is due at `now`, and adds what happened to `events`.
    pub fn advance(&mut self, now: Time, events: &mut Vec<Event>) {
        if let State::Changing(role, until) = self.state
            && until <= now
        {
            self.role = role;
            self.state = State::Serving;
            events.push(Event::Changed(role));
        }
        if self.step.as_ref().is_some_and(|step| step.ends <= now) {
            self.end_step(events);
            self.begin_step(now);
            self.begin_change(now);
        }
    }

    fn begin_change(&mut self, now: Time) {
        if let State::Draining(role) = self.state
            && self.jobs.is_empty()
        {
            self.step = None;
            self.cache.clear();
            self.state = State::Changing(role, now + self.profile.role_change);
        }
    }
}
