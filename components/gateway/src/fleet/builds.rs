//! Software versions of targets, of which several may serve side by side in one service.
//!
//! What two versions write does not fit together, so a stream goes on at the version that began it,
//! and a prompt is computed and generated from by one version.

use std::{collections::HashMap, sync::Arc, time::Duration};

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

/// Which versions of a service may have begun a stream that callers go on with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenBuilds {
    /// Only this one, for as long as streams live.
    Only(BuildId),
    /// Only this one now; this host has not seen the targets for as long as streams live.
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
    /// When the last target of a service and version was removed or replaced.
    gone: HashMap<(Arc<str>, BuildId), Time>,
    /// When this host first listed the targets.
    listed_at: Option<Time>,
    /// Whether a target came whose service had none of its version.
    is_new: bool,
}

impl GoneBuilds {
    pub(super) fn record_list(&mut self, now: Time) {
        self.listed_at.get_or_insert(now);
    }

    pub(super) fn record_gone(&mut self, now: Time, entry: &TargetEntry) {
        self.gone.retain(|_, at| now.since(*at) < STREAM_LIFE);
        self.gone.insert((entry.service.clone(), entry.build.id), now);
    }
}

impl Fleet {
    /// Which versions may have begun a stream of `service`.
    pub fn seen_builds(&self, now: Time, service: &str) -> SeenBuilds {
        let gone = self.gone_builds.gone.iter();
        let gone = gone.filter(|((of, _), at)| &**of == service && now.since(**at) < STREAM_LIFE);
        let present = self.entries().filter(|entry| &*entry.service == service);
        let mut builds =
            present.map(|entry| entry.build.id).chain(gone.map(|((_, build), _)| *build));
        let Some(first) = builds.next() else { return SeenBuilds::Unsure };
        if builds.any(|build| build != first) {
            return SeenBuilds::Several;
        }
        let listed_at = self.gone_builds.listed_at;
        if listed_at.is_some_and(|at| now.since(at) >= STREAM_LIFE) {
            return SeenBuilds::Only(first);
        }
        SeenBuilds::OnlyNow(first)
    }

    /// Records the version of an entry that is about to be known.
    pub(super) fn record_build(&mut self, entry: &TargetEntry) {
        let is_known = self
            .entries()
            .any(|known| known.service == entry.service && known.build.id == entry.build.id);
        self.gone_builds.is_new |= !is_known;
    }

    /// Whether a service has got a target of a version that it did not have, since this was last
    /// asked.
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
            .any(|state| state.serves(now, service) && state.entry.build.id == build)
    }
}
