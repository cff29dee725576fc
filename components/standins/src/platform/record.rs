//! The calls that the fake platform has received, and protocol violations among them.

use std::collections::BTreeMap;

use chervilgate_clients::{OrderReceipt, TargetOrder, UsageReport};

/// A usage report or target order that the platform must never receive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformFinding {
    /// A usage window was reported twice with different figures.
    Contradiction {
        /// The first report.
        first: UsageReport,
        /// The later report, which differs.
        second: UsageReport,
    },
    /// An order with an older epoch arrived after one with a newer epoch.
    StaleOrder(TargetOrder),
}

/// Calls, orders and usage reports that the platform has received.
#[derive(Debug, Clone, Default)]
pub struct PlatformRecord {
    /// Calls carried out, writes included; those refused while down don't count.
    pub calls: u64,
    /// Object writes tried, failed conditions included.
    pub writes: u64,
    /// Target orders by id; repetitions are left out.
    pub orders: BTreeMap<String, TargetOrder>,
    /// Usage reports; repetitions are left out.
    pub usage: Vec<UsageReport>,
    /// Violations found.
    pub findings: Vec<PlatformFinding>,
}

impl PlatformRecord {
    pub(super) fn add_order(&mut self, order: TargetOrder) -> OrderReceipt {
        let receipt = OrderReceipt { id: order.id.clone(), granted: order.count };
        let newest = self.newest_epoch(&order);
        if order.epoch < newest {
            self.findings.push(PlatformFinding::StaleOrder(order.clone()));
        }
        self.orders.entry(order.id.clone()).or_insert(order);
        receipt
    }

    pub(super) fn add_usage(&mut self, report: UsageReport) {
        let same = |known: &&UsageReport| {
            known.organisation == report.organisation && known.window == report.window
        };
        let Some(first) = self.usage.iter().find(same).cloned() else {
            self.usage.push(report);
            return;
        };
        let repeated = UsageReport { epoch: first.epoch, ..report.clone() } == first;
        if !repeated {
            self.findings.push(PlatformFinding::Contradiction { first, second: report });
        }
    }

    fn newest_epoch(&self, order: &TargetOrder) -> u64 {
        let same =
            |known: &&TargetOrder| known.zone == order.zone && known.service == order.service;
        self.orders.values().filter(same).map(|known| known.epoch).max().unwrap_or(0)
    }
}
