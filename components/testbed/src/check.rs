//! Checks a recorded history against the twelve promises of the system.
//!
//! A promise counts as kept only where it could have been broken: each rule
//! counts its observations, and a report shows which promises had none.

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

/// An invariant that every history has to satisfy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// An engine never receives conflicting orders.
    NoConflict,
    /// No request is cut short by a planned change.
    NoCut,
    /// Orders from a process that has lost its authority have no effect.
    NoStaleOrder,
    /// Requests run for their key's organisation; targets never see keys, and a
    /// withdrawn key stops working.
    Keys,
    /// Target orders never come from two processes that both believe they own the zone.
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
    /// All promises, in the order of their declaration.
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

/// A violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise that was broken.
    pub promise: Promise,
    /// Virtual time of the fact that broke it.
    pub at: Time,
    /// What happened, for a reader of the report.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} broken at {}: {}", self.promise, self.at, self.what)
    }
}

/// The result of checking a history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Observations per promise: how often it could have been broken.
    pub observations: BTreeMap<Promise, usize>,
    /// Every violation, oldest first.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Promises with at least one observation.
    pub fn promises(&self) -> BTreeSet<Promise> {
        self.observations.keys().copied().collect()
    }

    /// Whether a promise has observations and no violation.
    pub fn kept(&self, promise: Promise) -> bool {
        self.observations.contains_key(&promise)
            && !self.violations.iter().any(|violation| violation.promise == promise)
    }

    fn observe(&mut self, promise: Promise) {
        *self.observations.entry(promise).or_default() += 1;
    }

    fn add_violation(&mut self, promise: Promise, at: Time, what: String) {
        self.violations.push(Violation { promise, at, what });
    }
}

/// Checks the entries of a history, in order, against one or more promises.
trait Rule {
    fn visit(&mut self, entry: &Entry, report: &mut Report);
}

/// Checks a history against all rules.
pub fn check(history: &History) -> Report {
    let mut report = Report::default();
    let mut rules: Vec<Box<dyn Rule>> = vec![
        Box::new(authority::Orders::default()),
        Box::new(authority::Ownership::default()),
        Box::new(request::Requests::default()),
        Box::new(request::Stops),
        Box::new(usage::Windows::default()),
        Box::new(view::Keys::default()),
        Box::new(view::Draining::default()),
        Box::new(view::Configs::default()),
    ];
    for entry in &history.entries {
        for rule in &mut rules {
            rule.visit(entry, &mut report);
        }
    }
    report
}
