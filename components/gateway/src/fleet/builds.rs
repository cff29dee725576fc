//! Software versions of targets, of which several may serve side by side in one service.
//!
//! What two versions write does not fit together, so a stream goes on at the version that began it,
//! and a prompt is computed and generated from by one version. A version that is gone still counts
//! while a stream that it began may be taken up. A host that has just started learns of such versions
//! from the record in the store ([`build_record`](crate::build_record)).

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use chervilgate_clock::Time;

use crate::{
    fleet::{Fleet, TargetEntry},
    hash::stable_hash,
};

/// Longest time for which callers go on with a stream: as long, versions that are gone still count.
pub const STREAM_LIFE: Duration = Duration::from_secs(60);

/// Identifies a software version to all hosts.
pub type BuildId = u64;

/// A software version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Build {
    /// Hash of the name.
    pub id: BuildId,
    /// The name, for log lines.
    pub name: Arc<str>,
}

impl Build {
    /// The version with this name; targets that name none have the one without a name.
    pub fn new(name: &str) -> Build {
        Build { id: stable_hash(&name), name: name.into() }
    }
}

impl Default for Build {
    fn default() -> Build {
        Build::new("")
    }
}

/// A software version that serves, or has served, in one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceBuild {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the version.
    pub build: Arc<str>,
}

impl ServiceBuild {
    pub(super) fn of(entry: &TargetEntry) -> ServiceBuild {
        ServiceBuild { service: entry.service.clone(), build: entry.build.name.clone() }
    }
}

/// Which versions of a service may have begun a stream that callers go on with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenBuilds {
    /// Only this one, for as long as streams live.
    Only(BuildId),
    /// Only this one now; what served before is not known for as long as streams live.
    OnlyNow(BuildId),
    /// Several.
    Several,
    /// This host's list of targets is empty or old.
    Unsure,
}

impl SeenBuilds {
    /// The name in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SeenBuilds::Only(_) => "only",
            SeenBuilds::OnlyNow(_) => "only-now",
            SeenBuilds::Several => "several",
            SeenBuilds::Unsure => "unsure",
        }
    }
}

/// Versions that targets had which are gone.
#[derive(Debug, Default)]
pub(super) struct GoneBuilds {
    /// When the last target of a service and version was removed or replaced, or this host learned
    /// that there had been one.
    gone: HashMap<ServiceBuild, Time>,
    /// When this host last listed the targets.
    listed_at: Option<Time>,
    /// Whether this host knows what served before it listed the targets.
    knows_past: bool,
    /// Whether a target came whose service had none of its version.
    is_new: bool,
}

impl GoneBuilds {
    /// Records that the targets were listed; returns whether for the first time.
    pub(super) fn record_list(&mut self, now: Time) -> bool {
        let is_first = self.listed_at.replace(now).is_none();
        // A list does not show what came and went since the one before.
        self.knows_past = false;
        is_first
    }

    pub(super) fn record_gone(&mut self, now: Time, entry: &TargetEntry) {
        self.gone.insert(ServiceBuild::of(entry), now);
    }

    /// Forgets versions whose streams are over.
    fn forget_old(&mut self, now: Time) {
        self.gone.retain(|_, at| now.since(*at) < STREAM_LIFE);
    }
}

impl Fleet {
    /// Which versions may have begun a stream of `service`.
    pub fn seen_builds(&self, now: Time, service: &str) -> SeenBuilds {
        let gone = self.gone_builds.gone.iter();
        let gone = gone
            .filter(|(known, at)| &*known.service == service && now.since(**at) < STREAM_LIFE)
            .map(|(known, _)| &known.build);
        let present = self.entries().filter(|entry| &*entry.service == service);
        let mut builds = present.map(|entry| &entry.build.name).chain(gone);
        let Some(first) = builds.next() else { return SeenBuilds::Unsure };
        if builds.any(|build| build != first) {
            return SeenBuilds::Several;
        }
        let only = Build::new(first).id;
        if self.knows_past_builds(now) { SeenBuilds::Only(only) } else { SeenBuilds::OnlyNow(only) }
    }

    /// Whether streams of a service may be of several versions.
    pub fn has_several_builds(&self, now: Time) -> bool {
        let services: HashSet<&str> = self.entries().map(|entry| &*entry.service).collect();
        services.into_iter().any(|service| self.seen_builds(now, service) == SeenBuilds::Several)
    }

    /// Whether this host knows all versions that may have begun a stream: it was told what served
    /// before it listed the targets, or that is over.
    pub fn knows_past_builds(&self, now: Time) -> bool {
        let GoneBuilds { listed_at, knows_past, .. } = self.gone_builds;
        listed_at.is_some_and(|at| knows_past || now.since(at) >= STREAM_LIFE)
    }

    /// Records that these versions have served, as far as is known until `now`, beside those that
    /// this host has seen; and, if this `is_complete`, that no others have until it listed the
    /// targets.
    pub fn adopt_builds(
        &mut self,
        now: Time,
        builds: impl IntoIterator<Item = ServiceBuild>,
        is_complete: bool,
    ) {
        for build in builds {
            self.gone_builds.gone.insert(build, now);
        }
        self.gone_builds.knows_past |= is_complete;
    }

    /// The versions that serve now.
    pub fn present_builds(&self) -> BTreeSet<ServiceBuild> {
        self.entries().map(ServiceBuild::of).collect()
    }

    /// The versions that may have begun a stream, as far as this host knows.
    pub fn live_builds(&mut self, now: Time) -> BTreeSet<ServiceBuild> {
        self.gone_builds.forget_old(now);
        self.present_builds().into_iter().chain(self.gone_builds.gone.keys().cloned()).collect()
    }

    /// Records the version of an entry that is about to be known.
    pub(super) fn record_build(&mut self, now: Time, entry: &TargetEntry) {
        let is_known = self
            .entries()
            .any(|known| known.service == entry.service && known.build.id == entry.build.id);
        if !is_known {
            self.gone_builds.is_new = true;
            self.record_join(now, entry);
        }
    }

    /// Whether a service has got a target of a version that it did not have, since this was last taken.
    pub fn has_new_build(&self) -> bool {
        self.gone_builds.is_new
    }

    /// The same, and forgets it.
    pub fn take_new_build(&mut self) -> bool {
        std::mem::take(&mut self.gone_builds.is_new)
    }

    /// Name of the service with this hash.
    pub fn service_of_hash(&self, hash: u64) -> Option<Arc<str>> {
        let mut services = self.entries().map(|entry| &entry.service);
        services.find(|service| stable_hash(&&***service) == hash).cloned()
    }

    /// Whether a target of this version serves, even if nothing may be sent to it now.
    pub fn serves_build(&self, now: Time, service: &str, build: BuildId) -> bool {
        self.targets
            .values()
            .any(|state| state.serves(now, service) && state.build(now).id == build)
    }
}
