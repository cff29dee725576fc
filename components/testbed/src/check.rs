//! The one checker: judges a recorded history by the twelve promises.
//!
//! A promise counts as kept only where it could have been broken: each rule
//! counts its observations, and a report says which promises had none.

mod authority;
mod request;
mod usage;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use chervilgate_clock::Time;

use crate::history::{Entry, History};

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// An engine never receives conflicting orders.
    NoConflict,
    /// No request is cut short by a planned change.
    NoCut,
    /// Orders from a process that has lost its authority have no effect.
    NoStaleOrder,
    /// Requests run for their key's organisation; keys stay hidden and end.
    Keys,
    /// Target orders never come from two processes that believe to be in charge.
    OneOrderer,
    /// No usage window is reported twice with different figures.
    UsageOnce,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work after a few seconds.
    NoWorkForLeaving,
    /// A planned stop cuts no request.
    GracefulStop,
    /// An accepted configuration is in force within seconds and never reverts.
    ConfigInForce,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Promise; 12] = [
        Promise::NoConflict,
        Promise::NoCut,
        Promise::NoStaleOrder,
        Promise::Keys,
        Promise::OneOrderer,
        Promise::UsageOnce,
        Promise::WholeAnswer,
        Promise::TrueRefusal,
        Promise::AtMostOnce,
        Promise::NoWorkForLeaving,
        Promise::GracefulStop,
        Promise::ConfigInForce,
    ];
}

/// One time that a promise was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// When.
    pub at: Time,
    /// How.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} broken at {}: {}", self.promise, self.at, self.what)
    }
}

/// What the checker found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// How often each promise could have been broken.
    pub observed: BTreeMap<Promise, usize>,
    /// How it was.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Promises that the history put to the test.
    pub fn promises(&self) -> BTreeSet<Promise> {
        self.observed.keys().copied().collect()
    }

    /// Whether a promise was put to the test and kept throughout.
    pub fn kept(&self, promise: Promise) -> bool {
        self.observed.contains_key(&promise)
            && !self.breaches.iter().any(|breach| breach.promise == promise)
    }

    fn observe(&mut self, promise: Promise) {
        *self.observed.entry(promise).or_default() += 1;
    }

    fn breach(&mut self, promise: Promise, at: Time, what: String) {
        self.breaches.push(Breach { promise, at, what });
    }
}

/// Judges entries one after the other.
trait Rule {
    fn judge(&mut self, entry: &Entry, report: &mut Report);
}

/// Judges a history by all rules.
pub fn check(history: &History) -> Report {
    let mut report = Report::default();
    let mut rules: Vec<Box<dyn Rule>> = vec![
        Box::new(authority::Orders::default()),
        Box::new(authority::Beliefs::default()),
        Box::new(request::Runs::default()),
        Box::new(request::Stops),
        Box::new(usage::Windows::default()),
        Box::new(view::Keys::default()),
        Box::new(view::Drains::default()),
        Box::new(view::Configs::default()),
    ];
    for entry in &history.entries {
        for rule in &mut rules {
            rule.judge(entry, &mut report);
        }
    }
    report
}
