//! The record of the software versions that have served, which outlives all hosts.
//!
//! A host that lists the targets sees the versions that serve now, not those that left before: while it
//! was not running, or while it could not follow the changes. Where all hosts were killed at once none
//! remembers them either, and streams that such a version began are still taken up. So one object in
//! the store names the versions that may have begun a stream.
//!
//! A few hosts keep it up to date: a version is added as soon as one of them lists it, and removed once
//! it has been gone for as long as streams live, by the clock of a host that saw it go. A version that a
//! host first learns of from the record counts as gone since then. No times of day are compared, and what
//! is removed too late only has streams refused that nobody remembers.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{fleet::ServiceBuild, stored_list::StoredList};

/// The record as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoredBuilds {
    builds: StoredList<StoredBuild>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredBuild {
    service: Arc<str>,
    build: Arc<str>,
}

impl From<ServiceBuild> for StoredBuild {
    fn from(ServiceBuild { service, build }: ServiceBuild) -> StoredBuild {
        StoredBuild { service, build }
    }
}

impl From<StoredBuild> for ServiceBuild {
    fn from(StoredBuild { service, build }: StoredBuild) -> ServiceBuild {
        ServiceBuild { service, build }
    }
}

impl StoredBuilds {
    /// The record with these versions.
    pub fn new(builds: &BTreeSet<ServiceBuild>) -> StoredBuilds {
        StoredBuilds { builds: builds.iter().cloned().map(StoredBuild::from).collect() }
    }

    /// Whether all versions that it names can be read.
    pub fn is_complete(&self) -> bool {
        self.builds.unreadable == 0
    }

    /// The versions that it names, without those that cannot be read.
    pub fn into_builds(self) -> BTreeSet<ServiceBuild> {
        self.builds.elements.into_iter().map(ServiceBuild::from).collect()
    }
}

/// The outcome of a comparison of the record with what a host knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Merge {
    /// Versions of which this host did not know that they have served.
    pub unknown: BTreeSet<ServiceBuild>,
    /// The versions that the record is to name.
    pub merged: BTreeSet<ServiceBuild>,
}

/// What of the record this host has seen or written.
#[derive(Debug, Default)]
pub struct BuildRecord {
    /// The versions that this host and the record had in common.
    synced: BTreeSet<ServiceBuild>,
    /// Whether the record was read since the targets were last listed, or is being read.
    is_read: bool,
}

impl BuildRecord {
    /// Whether the record has to be read for what served before the targets were listed.
    pub fn is_unread(&self) -> bool {
        !self.is_read
    }

    /// Records that the targets were listed: changes before may never have been read.
    pub fn record_list(&mut self) {
        self.is_read = false;
    }

    /// Records that the record is about to be read.
    pub fn start_read(&mut self) {
        self.is_read = true;
    }

    /// Whether the record may lack what this host knows: `live`, the versions that may have begun a
    /// stream.
    pub fn is_due(&self, live: &BTreeSet<ServiceBuild>) -> bool {
        self.synced != *live
    }

    /// Forgets what the record held, as the store has come back from an older copy.
    pub fn distrust(&mut self) {
        self.synced.clear();
    }

    /// Compares the record with the versions that serve now and with those that may have begun a
    /// stream as far as this host knows.
    pub fn merge(
        &self,
        recorded: &BTreeSet<ServiceBuild>,
        present: &BTreeSet<ServiceBuild>,
        live: &BTreeSet<ServiceBuild>,
    ) -> Merge {
        let mut merge = Merge { merged: present.clone(), ..Merge::default() };
        // What another host has removed since stays out, unless it serves again.
        merge.merged.extend(live.difference(&self.synced).cloned());
        for build in recorded {
            let is_over = !live.contains(build) && self.synced.contains(build);
            if is_over {
                continue;
            }
            merge.merged.insert(build.clone());
            if !live.contains(build) {
                merge.unknown.insert(build.clone());
            }
        }
        merge
    }

    /// Records that the record and this host agree on `live`.
    pub fn record_synced(&mut self, live: BTreeSet<ServiceBuild>) {
        self.synced = live;
    }
}
