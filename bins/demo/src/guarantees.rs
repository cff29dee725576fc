//! The guarantees that the demo checks, and the results of the checks.

use std::{collections::BTreeMap, fmt};

/// The guarantees, in the order of the printed table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Guarantee {
    /// An engine never receives conflicting orders.
    OrderConflict,
    /// No request is cut short by a planned change.
    PlannedChange,
    /// Orders without authority have no effect.
    Fencing,
    /// A request runs only for its key's organisation; no target sees a key.
    Keys,
    /// The platform gets target orders from one owner at a time.
    Targets,
    /// No usage window is reported twice with different figures.
    Usage,
    /// A caller receives the whole answer to its own request.
    CompleteAnswer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A draining target receives no new work.
    Drain,
    /// No request is cut short by a planned stop.
    PlannedStop,
    /// An accepted configuration is in force everywhere and never reverts.
    Config,
}

impl Guarantee {
    const ALL: [Guarantee; 12] = [
        Guarantee::OrderConflict,
        Guarantee::PlannedChange,
        Guarantee::Fencing,
        Guarantee::Keys,
        Guarantee::Targets,
        Guarantee::Usage,
        Guarantee::CompleteAnswer,
        Guarantee::NotRun,
        Guarantee::AtMostOnce,
        Guarantee::Drain,
        Guarantee::PlannedStop,
        Guarantee::Config,
    ];

    fn text(self) -> &'static str {
        match self {
            Guarantee::OrderConflict => "no conflicting orders to an engine",
            Guarantee::PlannedChange => "no request cut by a planned change",
            Guarantee::Fencing => "no effect of orders without authority",
            Guarantee::Keys => "only valid keys accepted, none forwarded",
            Guarantee::Targets => "one owner at a time orders targets",
            Guarantee::Usage => "usage reported once, never differing",
            Guarantee::CompleteAnswer => "complete answer to the caller's own request",
            Guarantee::NotRun => "\"not run\" is true",
            Guarantee::AtMostOnce => "non-repeatable requests run at most once",
            Guarantee::Drain => "no new work for a leaving target",
            Guarantee::PlannedStop => "no request cut by a planned stop",
            Guarantee::Config => "configuration in force, never reverts",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    checks: u64,
    failed: u64,
}

/// Counts the checks of each guarantee, and collects what failed.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeReport {
    counts_by_guarantee: BTreeMap<Guarantee, Counts>,
    failures: Vec<String>,
}

impl GuaranteeReport {
    /// Records one check; `detail` is printed if it failed.
    pub(crate) fn check(
        &mut self,
        guarantee: Guarantee,
        held: bool,
        detail: impl FnOnce() -> String,
    ) {
        let counts = self.counts_by_guarantee.entry(guarantee).or_default();
        counts.checks += 1;
        if !held {
            counts.failed += 1;
            self.failures.push(format!("{}: {}", guarantee.text(), detail()));
        }
    }

    /// Whether each guarantee was checked at least once and all checks passed.
    pub(crate) fn all_hold(&self) -> bool {
        let counts =
            |guarantee| self.counts_by_guarantee.get(&guarantee).copied().unwrap_or_default();
        Guarantee::ALL
            .iter()
            .all(|guarantee| counts(*guarantee).checks > 0 && counts(*guarantee).failed == 0)
    }
}

impl fmt::Display for GuaranteeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for failure in &self.failures {
            writeln!(f, "broken: {failure}")?;
        }
        writeln!(f, "\n{:<44} {:>7} {:>7}", "promise", "checks", "broken")?;
        for guarantee in Guarantee::ALL {
            let counts = self.counts_by_guarantee.get(&guarantee).copied().unwrap_or_default();
            writeln!(f, "{:<44} {:>7} {:>7}", guarantee.text(), counts.checks, counts.failed)?;
        }
        write!(
            f,
            "{}",
            if self.all_hold() { "all guarantees held" } else { "NOT all guarantees held" }
        )
    }
}
