//! What was promised and what was seen.

use std::{collections::BTreeMap, fmt};

/// The promises, in the order of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Promise {
    /// An engine never receives conflicting orders.
    Conflict,
    /// No request is cut short by a planned change.
    Change,
    /// Orders without authority have no effect.
    Fencing,
    /// A request runs only for its key's organisation; no target sees a key.
    Keys,
    /// The platform gets target orders from one owner at a time.
    Targets,
    /// No usage window is reported twice with different figures.
    Usage,
    /// A caller receives the whole answer to its own request.
    Whole,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    Once,
    /// A leaving target receives no new work.
    Drain,
    /// A planned stop cuts no request.
    Stop,
    /// An accepted configuration is in force everywhere and never reverts.
    Config,
}

impl Promise {
    const ALL: [Promise; 12] = [
        Promise::Conflict,
        Promise::Change,
        Promise::Fencing,
        Promise::Keys,
        Promise::Targets,
        Promise::Usage,
        Promise::Whole,
        Promise::NotRun,
        Promise::Once,
        Promise::Drain,
        Promise::Stop,
        Promise::Config,
    ];

    fn text(self) -> &'static str {
        match self {
            Promise::Conflict => "no conflicting orders to an engine",
            Promise::Change => "no request cut by a planned change",
            Promise::Fencing => "no effect of orders without authority",
            Promise::Keys => "keys honoured, refused, never passed on",
            Promise::Targets => "one owner at a time orders targets",
            Promise::Usage => "usage reported once, never differing",
            Promise::Whole => "the whole answer to the own request",
            Promise::NotRun => "\"not run\" is true",
            Promise::Once => "non-repeatable requests run at most once",
            Promise::Drain => "no new work for a leaving target",
            Promise::Stop => "no request cut by a planned stop",
            Promise::Config => "configuration in force, never reverts",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    checks: u64,
    broken: u64,
}

/// Counts checks of each promise.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    rows: BTreeMap<Promise, Row>,
    notes: Vec<String>,
}

impl Ledger {
    /// Notes one check; `detail` is printed if it failed.
    pub(crate) fn check(&mut self, promise: Promise, held: bool, detail: impl FnOnce() -> String) {
        let row = self.rows.entry(promise).or_default();
        row.checks += 1;
        if !held {
            row.broken += 1;
            self.notes.push(format!("{}: {}", promise.text(), detail()));
        }
    }

    /// Whether each promise was checked and held.
    pub(crate) fn holds(&self) -> bool {
        let row = |promise| self.rows.get(&promise).copied().unwrap_or_default();
        Promise::ALL.iter().all(|promise| row(*promise).checks > 0 && row(*promise).broken == 0)
    }
}

impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for note in &self.notes {
            writeln!(f, "broken: {note}")?;
        }
        writeln!(f, "\n{:<44} {:>7} {:>7}", "promise", "checks", "broken")?;
        for promise in Promise::ALL {
            let row = self.rows.get(&promise).copied().unwrap_or_default();
            writeln!(f, "{:<44} {:>7} {:>7}", promise.text(), row.checks, row.broken)?;
        }
        write!(f, "{}", if self.holds() { "all promises held" } else { "NOT all promises held" })
    }
}
