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

/// A window is reported with one set of figures, by one owner after another.
#[derive(Debug, Default)]
pub(super) struct Windows {
    windows: BTreeMap<String, Window>,
}

impl Rule for Windows {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
        let Fact::Reported { window, figures, sender, epoch } = &entry.fact else {
            return;
        };
        report.observe(Promise::UsageOnce);
        let first = Window { figures: figures.clone(), epoch: *epoch };
        let known = self.windows.entry(window.clone()).or_insert(first);
        if known.figures != *figures {
            let what = format!("{window} reported with other figures by {sender}");
            report.breach(Promise::UsageOnce, entry.at, what);
        }
        if *epoch < known.epoch {
            let what = format!("{window} reported by {sender} after a later owner");
            report.breach(Promise::UsageOnce, entry.at, what);
        }
        known.epoch = known.epoch.max(*epoch);
    }
}
