//! Rules about usage reports.

use std::collections::BTreeMap;

use chervilgate_coord::Epoch;

use crate::{
    check::{Promise, Report, Rule},
    history::{Entry, Fact},
};

#[derive(Debug)]
struct Window {
    figures: Vec<u8>,
    epoch: Epoch,
}

/// Checks that a window is always reported with the same figures, and never by an
/// earlier owner after a later one.
#[derive(Debug, Default)]
pub(super) struct Windows {
    windows: BTreeMap<String, Window>,
}

impl Rule for Windows {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        let Fact::Reported { window, figures, sender, epoch } = &entry.fact else {
            return;
        };
        report.observe(Promise::UsageOnce);
        let first = Window { figures: figures.clone(), epoch: *epoch };
        let known = self.windows.entry(window.clone()).or_insert(first);
        if known.figures != *figures {
            let what = format!("{window} was reported with different figures by {sender}");
            report.add_violation(Promise::UsageOnce, entry.at, what);
        }
        if *epoch < known.epoch {
            let what = format!("{window} was reported by {sender} after a later owner's report");
            report.add_violation(Promise::UsageOnce, entry.at, what);
        }
        known.epoch = known.epoch.max(*epoch);
    }
}
