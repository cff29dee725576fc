//! Metrics of how changes of the targets reach a host.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::target_feed::ReadReason;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Where a change of a target's entry came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// This host's own watch.
    Store,
    /// Another host's message.
    Datagram,
}

/// Counts changes of the targets by how this host learned of them.
#[derive(Debug, Default)]
pub(crate) struct FeedMetrics {
    changes: Family<SourceLabel, Counter>,
    gaps: Counter,
    reads: Family<ReasonLabel, Counter>,
    passed: Counter,
}

impl FeedMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("target_changes", "Changes of targets by source", self.changes.clone());
        registry.register(
            "target_change_gaps",
            "Messages with changes of targets of which earlier ones were missing",
            self.gaps.clone(),
        );
        registry.register(
            "target_reads",
            "Watches of the targets by the reason for which they were opened",
            self.reads.clone(),
        );
        registry.register(
            "target_changes_passed",
            "Datagrams with changes of targets sent to other hosts",
            self.passed.clone(),
        );
    }

    /// Counts changes that were applied.
    pub(crate) fn count_changes(&self, source: ChangeSource, count: usize) {
        let source = match source {
            ChangeSource::Store => "store",
            ChangeSource::Datagram => "datagram",
        };
        self.changes.get_or_create(&SourceLabel { source }).inc_by(count as u64);
    }

    /// Counts a message that cannot be applied yet.
    pub(crate) fn count_gap(&self) {
        self.gaps.inc();
    }

    /// Counts a watch of this host's own.
    pub(crate) fn count_read(&self, reason: ReadReason) {
        self.reads.get_or_create(&ReasonLabel { reason: reason.as_str() }).inc();
    }

    /// Counts datagrams sent to other hosts.
    pub(crate) fn count_passed(&self, count: usize) {
        self.passed.inc_by(count as u64);
    }
}
