//! The idempotency keys that one incarnation keeps in memory.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ident::Incarnation;

/// How long a scope is handed out by locate before the next one starts.
pub const SCOPE_LIFETIME: Duration = Duration::from_secs(300);

/// How long a scope's keys are kept after the scope was last handed out.
pub const SCOPE_RETENTION: Duration = Duration::from_secs(1_800);

/// Maximum number of keys kept; beyond it requests are refused and no key is evicted.
const MAX_KEYS: usize = 65_536;

/// Identifies the keys that one incarnation accepts during one period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Scope {
    /// The incarnation that keeps the keys.
    pub keeper: Incarnation,
    /// Number of the period, from 0; each lasts at least [`SCOPE_LIFETIME`].
    pub period: u32,
}

/// An idempotency key with its scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ScopedKey {
    /// The scope that locate handed out.
    pub scope: Scope,
    /// The organisation; equal keys of different organisations are distinct.
    pub organisation: String,
    /// The caller's key.
    pub key: String,
}

/// State of a request that was admitted under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RequestState {
    /// The request is running.
    Running,
    /// It has run; holds the answer if that was short enough to keep.
    Ran(Option<Vec<u8>>),
    /// It may have run; no answer was received.
    Unknown,
}

/// Decision on a request with a scoped key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it: the key is new.
    Run,
    /// Do not run it: the key was admitted before, with this state.
    Duplicate(RequestState),
    /// Do not run it here: it has not run, and may be resent in a new scope.
    NotRun,
    /// Do not run it: its scope has been discarded, so it may have run.
    Expired,
}

/// The key limit is reached; the request must be refused as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the limit of {MAX_KEYS} idempotency keys is reached"))]
pub struct TooManyKeys;

/// The keys that a stopping incarnation hands over to its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyTransfer {
    /// The incarnation that admitted the keys.
    pub keeper: Incarnation,
    records: BTreeMap<u32, BTreeMap<(String, String), RequestState>>,
}

/// How far a stop has progressed; ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Hands out scopes and admits requests.
    Open,
    /// Hands out no further scopes.
    Closed,
    /// Admits no further requests.
    Sealed,
}

#[derive(Debug, Clone, Default)]
struct Period {
    records: BTreeMap<(String, String), RequestState>,
    /// When the keys are discarded; None while the period's scope is handed out.
    expires_at: Option<Time>,
}

/// The keys that one incarnation keeps: its own, and those taken over from others.
#[derive(Debug, Clone)]
pub struct IdempotencyKeys {
    me: Incarnation,
    period: u32,
    started: Time,
    stage: Stage,
    periods: BTreeMap<Scope, Period>,
    /// Number of keys in all periods.
    count: usize,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys and starts the first scope.
    pub fn new(me: Incarnation, now: Time) -> IdempotencyKeys {
        let mut memory = IdempotencyKeys {
            me,
            period: 0,
            started: now,
            stage: Stage::Open,
            periods: BTreeMap::new(),
            count: 0,
        };
        memory.open_period();
        memory
    }

    /// The scope to hand out at `now`; `None` once [`IdempotencyKeys::close`] was called.
    pub fn scope(&mut self, now: Time) -> Option<Scope> {
        self.roll_over(now);
        (self.stage == Stage::Open).then_some(Scope { keeper: self.me, period: self.period })
    }

    /// Stops handing out scopes; keys of earlier scopes are still admitted.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closed);
    }

    /// Stops admitting requests, so that the keys handed to a successor are complete.
    pub fn seal(&mut self) {
        self.stage = Stage::Sealed;
    }

    /// Decides whether a request runs, and keeps its key if so.
    ///
    /// # Errors
    ///
    /// Fails if the key limit is reached; the request has not run.
    pub fn admit(&mut self, now: Time, key: &ScopedKey) -> Result<Admission, TooManyKeys> {
        self.roll_over(now);
        let Some(period) = self.periods.get_mut(&key.scope) else {
            return Ok(Admission::Expired);
        };
        let name = (key.organisation.clone(), key.key.clone());
        if let Some(record) = period.records.get(&name) {
            return Ok(Admission::Duplicate(record.clone()));
        }
        // A successor knows every key that ran, but must not run a new one itself:
        // if the answer to a handover was lost, there may be a second successor.
        if key.scope.keeper != self.me || self.stage == Stage::Sealed {
            return Ok(Admission::NotRun);
        }
        if self.count >= MAX_KEYS {
            return Err(TooManyKeys);
        }
        period.records.insert(name, RequestState::Running);
        self.count += 1;
        Ok(Admission::Run)
    }

    /// Records how an admitted request ended.
    pub fn finish(&mut self, key: &ScopedKey, record: RequestState) {
        let name = (key.organisation.clone(), key.key.clone());
        let period = self.periods.get_mut(&key.scope);
        if let Some(stored) = period.and_then(|period| period.records.get_mut(&name)) {
            *stored = record;
        }
    }

    /// Removes the key of an admitted request that was refused before dispatch.
    pub fn cancel(&mut self, key: &ScopedKey) {
        let name = (key.organisation.clone(), key.key.clone());
        let Some(period) = self.periods.get_mut(&key.scope) else {
            return;
        };
        if period.records.remove(&name).is_some() {
            self.count -= 1;
        }
    }

    /// Number of requests that are running.
    pub fn running(&self) -> usize {
        let records = self.periods.values().flat_map(|period| period.records.values());
        records.filter(|record| **record == RequestState::Running).count()
    }

    /// The keys to hand over to a successor, one item per admitting incarnation.
    pub fn export_keys(&self) -> Vec<KeyTransfer> {
        let mut transfers: BTreeMap<Incarnation, KeyTransfer> = BTreeMap::new();
        for (scope, period) in &self.periods {
            let transfer = transfers
                .entry(scope.keeper)
                .or_insert_with(|| KeyTransfer { keeper: scope.keeper, records: BTreeMap::new() });
            transfer.records.insert(scope.period, period.records.clone());
        }
        transfers.into_values().collect()
    }

    /// Takes over the keys of an incarnation that has stopped.
    ///
    /// Its running requests become unknown. A second call with the same keys
    /// changes nothing.
    pub fn import_keys(&mut self, now: Time, transfer: KeyTransfer) {
        for (period, mut records) in transfer.records {
            let scope = Scope { keeper: transfer.keeper, period };
            if self.periods.contains_key(&scope) {
                continue;
            }
            for record in records.values_mut().filter(|record| **record == RequestState::Running) {
                *record = RequestState::Unknown;
            }
            self.count += records.len();
            self.periods.insert(scope, Period { records, expires_at: Some(now + SCOPE_RETENTION) });
        }
    }

    /// Starts a new period if the current one is over, and discards expired ones.
    fn roll_over(&mut self, now: Time) {
        if now - self.started >= SCOPE_LIFETIME {
            let scope = Scope { keeper: self.me, period: self.period };
            if let Some(period) = self.periods.get_mut(&scope) {
                period.expires_at = Some(now + SCOPE_RETENTION);
            }
            self.period += 1;
            self.started = now;
            self.open_period();
        }
        let expired =
            |period: &Period| period.expires_at.is_some_and(|expires_at| expires_at <= now);
        let dropped = self.periods.values().filter(|period| expired(period));
        self.count -= dropped.map(|period| period.records.len()).sum::<usize>();
        self.periods.retain(|_, period| !expired(period));
    }

    fn open_period(&mut self) {
        self.periods.insert(Scope { keeper: self.me, period: self.period }, Period::default());
    }
}
