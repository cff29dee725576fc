//! One engine with continuous batching.
//!
//! KV memory for the complete output is reserved when a job is admitted, so a
//! running job is never preempted. Jobs are admitted and prefilled by priority,
//! then in order of arrival. Every decoding sequence gets one token per step, so
//! the engine counts steps, not tokens: the tokens and slow gaps of a sequence
//! are differences of two step counters.

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

pub use crate::engine::load::EngineLoad;

/// An event in an engine, at the time passed to [`Engine::advance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job produced its first token on this engine.
    FirstToken {
        /// The job.
        id: u64,
        /// Prompt tokens found in the prefix cache.
        cached: u32,
    },
    /// A [`Stage::Prefill`] job has finished and its KV cache can be exported.
    Exportable {
        /// The job.
        id: u64,
    },
    /// A job produced its last token.
    Done {
        /// The job.
        id: u64,
        /// Tokens produced on this engine.
        tokens: u32,
        /// Gaps between those tokens that exceeded the gap limit.
        slow_gaps: u32,
        /// Time of the first token after a KV import; zero for jobs without an import.
        first_token: Time,
    },
    /// A step that had decoding sequences ended.
    StepDone {
        /// Duration of the step, which is the gap between two tokens.
        gap: Duration,
        /// Number of sequences that got a token.
        seqs: u32,
    },
    /// Blocks were added to or evicted from the prefix cache.
    CacheChanged(Vec<CacheChange>),
    /// A role change to this role is complete.
    RoleChanged(Role),
    /// A job with [`Job::poison`] set crashed the engine.
    Crashed {
        /// The job that caused the crash.
        by: u64,
        /// All jobs that the engine had, the cause included.
        lost: Vec<LostJob>,
    },
}

/// A job ended early by a crash, a reclaim or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostJob {
    /// The job.
    pub id: u64,
    /// Output tokens produced in total, including those before this job.
    pub emitted_tokens: u32,
    /// Tokens produced on this engine.
    pub tokens: u32,
    /// Gaps between those tokens that exceeded the gap limit.
    pub slow_gaps: u32,
}

/// Why an engine rejected a job or a role change; nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is changing its role, has crashed or is not yet loaded.
    Unavailable,
    /// The job needs more KV memory than the engine has.
    TooLarge,
    /// The role of the engine does not include the job's stage.
    WrongRole,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    /// Finishes its jobs before it changes to the role.
    Draining(Role),
    /// Changes to the role until the time.
    Changing(Role, Time),
    Down,
}

/// Order of jobs in a queue: higher priority first, then order of arrival.
type QueueKey = (Reverse<u8>, u64);

/// A simulated engine in virtual time.
#[derive(Debug)]
pub struct Engine {
    profile: Profile,
    role: Role,
    /// A longer gap between two tokens counts as slow.
    gap_limit: Duration,
    state: State,
    /// Number of jobs taken so far.
    arrivals: u64,
    /// Number of steps completed so far.
    steps: u64,
    /// Number of those that exceeded the gap limit.
    slow_steps: u64,
    /// Reserved KV memory, in tokens.
    kv_used: u32,
    waiting: BTreeMap<QueueKey, u64>,
    prefilling: BTreeMap<QueueKey, u64>,
    /// Last step and id of each decoding job.
    decoding: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, Sequence>,
    step: Option<Step>,
    cache: PrefixCache,
    busy_time: Duration,
}

impl Engine {
    /// Creates an idle engine that counts gaps longer than `gap_limit` as slow.
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
            busy_time: Duration::ZERO,
        }
    }

    /// The current role; during a role change, the previous one.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Speeds, memory and limits of the engine.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Whether the engine accepts jobs.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the engine has crashed or was reclaimed.
    pub fn is_down(&self) -> bool {
        self.state == State::Down
    }

    /// Total duration of all steps started so far.
    pub fn busy_time(&self) -> Duration {
        self.busy_time
    }

    /// Queues a job.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the engine cannot run the job.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Refusal> {
        if self.state != State::Serving {
            return Err(Refusal::Unavailable);
        }
        if self.role == Role::Prefill && job.stage != Stage::Prefill {
            return Err(Refusal::WrongRole);
        }
        if job.reserved_tokens() > self.profile.kv_tokens {
            return Err(Refusal::TooLarge);
        }
        let key = (Reverse(job.priority), self.arrivals);
        self.arrivals += 1;
        self.waiting.insert(key, job.id);
        self.jobs.insert(job.id, Sequence::new(job, key));
        self.start_step(now);
        Ok(())
    }

    /// Ends a job early; `None` if the engine does not have it.
    pub fn cancel(&mut self, now: Time, id: u64) -> Option<LostJob> {
        let lost = self.progress(id)?;
        self.release(now, id);
        Some(lost)
    }

    /// Removes a job and frees its KV memory; called once its KV cache is exported.
    pub fn release(&mut self, now: Time, id: u64) {
        self.remove(id);
        self.start_step(now);
        self.start_role_change(now);
    }

    /// Returns how many leading `blocks` are in the prefix cache.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        self.cache.prefix_len(blocks)
    }

    /// Adds blocks whose KV cache was imported and returns the cache changes.
    pub fn import_blocks(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        self.cache.insert(blocks)
    }

    /// Requests a role change; the engine rejects new jobs and first finishes those it has.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unavailable`] if the engine is not serving.
    pub fn change_role(&mut self, now: Time, role: Role) -> Result<(), Refusal> {
        if self.state != State::Serving {
            return Err(Refusal::Unavailable);
        }
        self.state = State::Draining(role);
        self.start_role_change(now);
        Ok(())
    }

    /// Crashes the engine and returns the jobs that are lost.
    pub fn crash(&mut self) -> Vec<LostJob> {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        let lost = ids.iter().filter_map(|&id| self.progress(id)).collect();
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

    /// Restarts a crashed engine with an empty cache; does nothing in other states.
    pub fn restart(&mut self) {
        if self.state == State::Down {
            self.state = State::Serving;
        }
    }

    /// Time of the next event, when [`Engine::advance`] must be called; `None` if idle.
    pub fn next_event(&self) -> Option<Time> {
        match (self.state, &self.step) {
            (State::Changing(_, until), _) => Some(until),
            (_, Some(step)) => Some(step.ends_at),
            (_, None) => None,
        }
    }

    /// Processes what is due at `now` and appends the resulting events to `events`.
    pub fn advance(&mut self, now: Time, events: &mut Vec<Event>) {
        if let State::Changing(role, until) = self.state
            && until <= now
        {
            self.role = role;
            self.state = State::Serving;
            events.push(Event::RoleChanged(role));
        }
        if self.step.as_ref().is_some_and(|step| step.ends_at <= now) {
            self.finish_step(events);
            self.start_step(now);
            self.start_role_change(now);
        }
    }

    /// Starts a requested role change once all jobs are finished.
    fn start_role_change(&mut self, now: Time) {
        if let State::Draining(role) = self.state
            && self.jobs.is_empty()
        {
            self.step = None;
            self.cache.clear();
            self.state = State::Changing(role, now + self.profile.role_change);
        }
    }
}
