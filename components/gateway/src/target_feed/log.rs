//! The latest changes of the targets' entries, as they are passed on.

use std::collections::VecDeque;

use chervilgate_coord::{Change, Version};

use crate::target_feed::PassedChanges;

/// Maximum number of changes that are kept, and of their bytes. Hosts that lack more read the store.
const MAX_KEPT: (usize, usize) = (256, 64 << 10);

/// Maximum bytes of the changes in one message, so that it fits into a datagram of 1,400 bytes with its
/// other fields, which take at most 80.
const MAX_MESSAGE_BYTES: usize = 1_320;

/// Upper bound of the bytes of a change beside its key and content.
const CHANGE_OVERHEAD: usize = 32;

/// Consecutive changes up to the version that this host has read.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    /// Version after which no change is missing; none before a list.
    start: Option<Version>,
    known: Version,
    changes: VecDeque<Change>,
    bytes: usize,
}

impl ChangeLog {
    /// Starts again after a list of version `known`.
    pub(super) fn restart(&mut self, known: Version) {
        *self = ChangeLog { start: Some(known), known, ..ChangeLog::default() };
    }

    /// Version up to which all changes are known; none before a list.
    pub(super) fn known(&self) -> Option<Version> {
        self.start.map(|_| self.known)
    }

    /// Adds all changes from the known version up to `known`. Changes out of order cannot be passed on,
    /// so the log starts again after them.
    pub(super) fn extend(&mut self, changes: &[Change], known: Version) {
        if self.start.is_none() || known < self.known {
            return;
        }
        if known.era != self.known.era || !is_ordered(changes, self.known, known) {
            return self.restart(known);
        }
        for change in changes.iter().filter(|change| size(change) > MAX_MESSAGE_BYTES) {
            // Hosts read it, and its whole batch, from the store.
            let bytes = size(change);
            log::info!(target: "store", at:% = change.version(), bytes; "change too long to pass on");
        }
        self.known = known;
        self.bytes += changes.iter().map(size).sum::<usize>();
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > MAX_KEPT.0 || self.bytes > MAX_KEPT.1 {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= size(&oldest);
            self.start = Some(oldest.version());
        }
    }

    /// All changes after `after` as at most `max` messages of consecutive changes; none if they are not
    /// all kept, or do not fit. The first message begins at the last change before `after`, since nothing
    /// changed in between.
    pub(super) fn since(&self, after: Version, max: usize) -> Option<Vec<PassedChanges>> {
        let start = self.start.filter(|start| after >= *start)?;
        let earlier = self.changes.iter().map(Change::version).take_while(|at| *at <= after);
        let mut passed = vec![PassedChanges::empty(earlier.last().unwrap_or(start))];
        let mut bytes = 0;
        for change in self.changes.iter().filter(|change| change.version() > after) {
            let (added, count) = (size(change), passed.len());
            let last = passed.last_mut()?;
            if bytes + added <= MAX_MESSAGE_BYTES {
                bytes += added;
                last.push(change);
            } else if added > MAX_MESSAGE_BYTES || count == max {
                return None;
            } else {
                let mut next = PassedChanges::empty(last.after);
                next.push(change);
                passed.push(next);
                bytes = added;
            }
        }
        passed.last_mut()?.after = self.known;
        Some(passed)
    }
}

/// Whether the changes follow each other, after `before` and up to `after`.
pub(super) fn is_ordered(changes: &[Change], before: Version, after: Version) -> bool {
    let versions = [before].into_iter().chain(changes.iter().map(Change::version));
    versions.is_sorted_by(|one, next| one < next)
        && changes.last().is_none_or(|last| last.version() <= after)
        && before.era == after.era
}

fn size(change: &Change) -> usize {
    CHANGE_OVERHEAD
        + match change {
            Change::Put(object) => object.key.len() + object.value.len(),
            Change::Delete { key, .. } => key.len(),
        }
}
