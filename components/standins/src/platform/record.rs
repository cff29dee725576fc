//! What has reached the platform, and what was wrong with it.

use std::collections::BTreeMap;

use chervilgate_clients::{OrderReceipt, TargetOrder, UsageReport};

/// A usage report or order that should not have come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageFinding {
    /// A window came twice with different figures.
    Contradiction {
        /// The first report.
        first: UsageReport,
        /// The one that differs.
        second: UsageReport,
    },
    /// An order of an older epoch came after a newer one.
    StaleOrder(TargetOrder),
}

/// Everything that has reached the platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformRecord {
    /// Calls answered, writes among them.
    pub calls: u64,
    /// Writes.
    pub writes: u64,
    /// Orders by id.
    pub orders: BTreeMap<String, TargetOrder>,
    /// Usage reports, repetitions left out.
    pub usage: Vec<UsageReport>,
    /// What was wrong.
    pub findings: Vec<UsageFinding>,
}

impl PlatformRecord {
    pub(super) fn take_order(&mut self, order: TargetOrder) -> OrderReceipt {
        let receipt = OrderReceipt { id: order.id.clone(), granted: order.count };
        let newest = self.newest_epoch(&order);
        if order.epoch < newest {
            self.findings.push(UsageFinding::StaleOrder(order.clone()));
        }
        self.orders.entry(order.id.clone()).or_insert(order);
        receipt
    }

    pub(super) fn take_usage(&mut self, report: UsageReport) {
        let same = |known: &&UsageReport| {
            known.organisation == report.organisation && known.window == report.window
        };
        let Some(first) = self.usage.iter().find(same).cloned() else {
            self.usage.push(report);
            return;
        };
        let repeated = UsageReport { epoch: first.epoch, ..report.clone() } == first;
        if !repeated {
            self.findings.push(UsageFinding::Contradiction { first, second: report });
        }
    }

    fn newest_epoch(&self, order: &TargetOrder) -> u64 {
        let same =
            |known: &&TargetOrder| known.zone == order.zone && known.service == order.service;
        self.orders.values().filter(same).map(|known| known.epoch).max().unwrap_or(0)
    }
}
