//! What one incarnation remembers of the keys in its scopes.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ident::Incarnation;

/// How long locate hands a scope out before it begins the next one.
pub const SCOPE_SPAN: Duration = Duration::from_secs(300);

/// How long a scope's keys are remembered after the scope was last handed out.
pub const RETENTION: Duration = Duration::from_secs(1_800);

/// The most keys remembered; further requests are refused, none is forgotten.
const MOST_KEYS: usize = 65_536;

/// Names what remembers a key: an incarnation, and a span of its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Scope {
    /// The incarnation that remembers.
    pub keeper: Incarnation,
    /// Counts the spans of its life.
    pub period: u32,
}

/// An idempotency key with its scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ScopedKey {
    /// The scope that locate handed out.
    pub scope: Scope,
    /// Whose key it is; keys of different organisations never meet.
    pub organisation: String,
    /// The caller's key.
    pub key: String,
}

/// What is remembered of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// The request is running.
    Running,
    /// It ran; its answer, if it was short enough to keep.
    Ran(Option<Vec<u8>>),
    /// It may have run, and no answer was received.
    Unknown,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Run it; this is its first and only time.
    Run,
    /// Do not run it; this is known of it.
    Seen(Record),
    /// Do not run it here; it has not run, and may be sent again in a new scope.
    NotRun,
    /// Do not run it; its scope is forgotten, so it may have run.
    Forgotten,
}

/// No room for another key; the request is to be refused as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("no room for another idempotency key"))]
pub struct MemoryFull;

/// What a stopped incarnation leaves to its heir.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Legacy {
    /// The incarnation that remembered.
    pub keeper: Incarnation,
    records: BTreeMap<u32, BTreeMap<(String, String), Record>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Open,
    Closed,
    Sealed,
}

#[derive(Debug, Clone, Default)]
struct Period {
    records: BTreeMap<(String, String), Record>,
    ends: Option<Time>,
}

/// The keys that one incarnation remembers: its own, and those left to it.
#[derive(Debug, Clone)]
pub struct Memory {
    me: Incarnation,
    period: u32,
    began: Time,
    stage: Stage,
    periods: BTreeMap<Scope, Period>,
    count: usize,
}

impl Memory {
    /// Begins the first scope.
    pub fn new(me: Incarnation, now: Time) -> Memory {
        let mut memory = Memory {
            me,
            period: 0,
            began: now,
            stage: Stage::Open,
            periods: BTreeMap::new(),
            count: 0,
        };
        memory.open_period();
        memory
    }

    /// The scope to hand out now; `None` once this process is stopping.
    pub fn scope(&mut self, now: Time) -> Option<Scope> {
        self.turn(now);
        (self.stage == Stage::Open).then_some(Scope { keeper: self.me, period: self.period })
    }

    /// Hands out no further scope; keys of earlier ones are still taken.
    pub fn close(&mut self) {
        self.stage = self.stage.max(Stage::Closed);
    }

    /// Runs nothing more, so that what is left to an heir is whole.
    pub fn seal(&mut self) {
        self.stage = Stage::Sealed;
    }

    /// Decides on a request, and remembers it if it is to run.
    ///
    /// # Errors
    ///
    /// Fails if there is no room; the request has not run.
    pub fn admit(&mut self, now: Time, key: &ScopedKey) -> Result<Admission, MemoryFull> {
        self.turn(now);
        let Some(period) = self.periods.get_mut(&key.scope) else {
            return Ok(Admission::Forgotten);
        };
        let name = (key.organisation.clone(), key.key.clone());
        if let Some(record) = period.records.get(&name) {
            return Ok(Admission::Seen(record.clone()));
        }
        // An heir knows each key that ran. It runs none itself: a handover whose
        // answer was lost may have made a second heir.
        if key.scope.keeper != self.me || self.stage == Stage::Sealed {
            return Ok(Admission::NotRun);
        }
        if self.count >= MOST_KEYS {
            return Err(MemoryFull);
        }
        period.records.insert(name, Record::Running);
        self.count += 1;
        Ok(Admission::Run)
    }

    /// Notes how an admitted request ended.
    pub fn finish(&mut self, key: &ScopedKey, record: Record) {
        let name = (key.organisation.clone(), key.key.clone());
        let period = self.periods.get_mut(&key.scope);
        if let Some(present) = period.and_then(|period| period.records.get_mut(&name)) {
            *present = record;
        }
    }

    /// Forgets an admitted request that was refused before its dispatch.
    pub fn cancel(&mut self, key: &ScopedKey) {
        let name = (key.organisation.clone(), key.key.clone());
        let Some(period) = self.periods.get_mut(&key.scope) else {
            return;
        };
        if period.records.remove(&name).is_some() {
            self.count -= 1;
        }
    }

    /// Requests that are running.
    pub fn running(&self) -> usize {
        let records = self.periods.values().flat_map(|period| period.records.values());
        records.filter(|record| **record == Record::Running).count()
    }

    /// What an heir has to take over, each former keeper by itself.
    pub fn legacies(&self) -> Vec<Legacy> {
        let mut legacies: BTreeMap<Incarnation, Legacy> = BTreeMap::new();
        for (scope, period) in &self.periods {
            let legacy = legacies
                .entry(scope.keeper)
                .or_insert_with(|| Legacy { keeper: scope.keeper, records: BTreeMap::new() });
            legacy.records.insert(scope.period, period.records.clone());
        }
        legacies.into_values().collect()
    }

    /// Takes over the memory of an incarnation that has stopped.
    ///
    /// Its running requests are kept as unknown. Taking it twice changes
    /// nothing.
    pub fn inherit(&mut self, now: Time, legacy: Legacy) {
        for (period, mut records) in legacy.records {
            let scope = Scope { keeper: legacy.keeper, period };
            if self.periods.contains_key(&scope) {
                continue;
            }
            for record in records.values_mut().filter(|record| **record == Record::Running) {
                *record = Record::Unknown;
            }
            self.count += records.len();
            self.periods.insert(scope, Period { records, ends: Some(now + RETENTION) });
        }
    }

    fn turn(&mut self, now: Time) {
        if now - self.began >= SCOPE_SPAN {
            let scope = Scope { keeper: self.me, period: self.period };
            if let Some(period) = self.periods.get_mut(&scope) {
                period.ends = Some(now + RETENTION);
            }
            self.period += 1;
            self.began = now;
            self.open_period();
        }
        let over = |period: &Period| period.ends.is_some_and(|ends| ends <= now);
        let dropped = self.periods.values().filter(|period| over(period));
        self.count -= dropped.map(|period| period.records.len()).sum::<usize>();
        self.periods.retain(|_, period| !over(period));
    }

    fn open_period(&mut self) {
        self.periods.insert(Scope { keeper: self.me, period: self.period }, Period::default());
    }
}
