//! Software versions that join others of their service.
//!
//! A host announces each version that joins, in the store, before it begins streams there. So a host that is
//! gone and has announced none has begun streams only at the version that served alone before: the base.
//! Until the announcement is written, requests go to the other versions, as long as these serve.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use chervilgate_clock::Time;

use crate::fleet::{
    Build, BuildId, Fleet, SeenBuilds, ServiceBuild, TargetEntry, target::TargetState,
};

/// What this host knows of versions that have joined.
#[derive(Debug, Default)]
pub(super) struct Joins {
    /// Versions that are to be announced.
    due: BTreeSet<ServiceBuild>,
    announced: BTreeSet<ServiceBuild>,
    /// Versions at which no request begins yet.
    held_back: BTreeSet<ServiceBuild>,
    /// By service, the version that had served alone when the first other one joined.
    bases: HashMap<Arc<str>, BuildId>,
}

impl Fleet {
    /// Records the version of an entry, which no target of its service has had.
    pub(super) fn record_join(&mut self, now: Time, entry: &TargetEntry) {
        let build = ServiceBuild::of(entry);
        let live = self.live_builds(now);
        let joins_others =
            live.iter().any(|known| known.service == build.service && known.build != build.build);
        if let SeenBuilds::Only(base) = self.seen_builds(now, &entry.service) {
            self.joins.bases.insert(entry.service.clone(), base);
        }
        self.joins.announced.retain(|announced| live.contains(announced));
        if joins_others && !self.joins.announced.contains(&build) {
            self.joins.due.insert(build.clone());
            self.joins.held_back.insert(build);
        }
    }

    /// Lets requests begin at all versions of a first list. None of them is known to be the base.
    pub(super) fn admit_listed(&mut self) {
        self.joins.held_back.clear();
        let due = std::mem::take(&mut self.joins.due);
        let services: BTreeSet<Arc<str>> = due.into_iter().map(|build| build.service).collect();
        let present = self.present_builds().into_iter();
        self.joins.due = present.filter(|build| services.contains(&build.service)).collect();
    }

    /// Versions that are to be announced before requests begin there.
    pub fn builds_to_announce(&self) -> &BTreeSet<ServiceBuild> {
        &self.joins.due
    }

    /// The versions that this host has announced.
    pub fn announced_builds(&self) -> &BTreeSet<ServiceBuild> {
        &self.joins.announced
    }

    /// Records that these versions were announced, or need not be.
    pub fn record_announced(&mut self, builds: &BTreeSet<ServiceBuild>) {
        self.joins.due.retain(|build| !builds.contains(build));
        self.joins.held_back.retain(|build| !builds.contains(build));
        self.joins.announced.extend(builds.iter().cloned());
    }

    /// Has all versions announced again, as the store has come back from an older copy. What hosts that are
    /// gone had announced may be lost, so no version is a base any more.
    pub fn distrust_announced(&mut self) {
        self.joins.due.append(&mut self.joins.announced);
        self.joins.bases.clear();
    }

    /// The version that began each stream of `service` which no host has begun that has announced another
    /// one; none if this host cannot tell.
    pub fn base_build(&self, now: Time, service: &str) -> Option<BuildId> {
        self.joins.bases.get(service).copied().filter(|_| self.knows_past_builds(now))
    }

    /// Whether requests go to other targets than `state` until its version is announced.
    pub(super) fn is_held_back(&self, now: Time, state: &TargetState) -> bool {
        if self.joins.held_back.is_empty() || !self.is_unannounced(&state.entry) {
            return false;
        }
        self.targets.values().any(|other| {
            other.entry.role == state.entry.role
                && other.serves(now, &state.entry.service)
                && !self.is_unannounced(&other.entry)
        })
    }

    fn is_unannounced(&self, entry: &TargetEntry) -> bool {
        let is_of = |build: &ServiceBuild| {
            build.service == entry.service && build.build == entry.build.name
        };
        self.joins.held_back.iter().any(is_of)
    }
}

impl ServiceBuild {
    /// Its id.
    pub fn id(&self) -> BuildId {
        Build::new(&self.build).id
    }
}
