//! Which software versions hosts have announced to begin streams at.
//!
//! A stream that no host knows was begun by one that is gone. If that host had announced no further version
//! it can only be of the version that served alone before, the base ([`fleet`](crate::fleet)). A process
//! that is there and has announced one says by its answer that it did not begin the stream. Each host has an
//! object of its own, which names its process, and for a while those before it: these answer nothing.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::{
    build_record::StoredBuild,
    fleet::{BuildId, STREAM_LIFE, ServiceBuild},
    stored_list::StoredList,
};

/// What a host has announced, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnnouncements {
    /// By process, the present one last.
    processes: StoredList<StoredProcess>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredProcess {
    id: u32,
    builds: StoredList<StoredBuild>,
}

impl StoredProcess {
    fn new(id: u32, builds: &BTreeSet<ServiceBuild>) -> StoredProcess {
        StoredProcess { id, builds: builds.iter().cloned().map(StoredBuild::from).collect() }
    }

    /// Whether it may have announced a version of `service` other than `base`.
    fn may_have_other(&self, service: &str, base: BuildId) -> bool {
        let mut builds = self.builds.elements.iter().cloned().map(ServiceBuild::from);
        self.builds.unreadable > 0
            || builds.any(|build| &*build.service == service && build.id() != base)
    }
}

impl StoredAnnouncements {
    /// The processes of this host that may have begun streams at a version of `service` other than `base`.
    fn users(&self, service: &str, base: BuildId) -> impl Iterator<Item = u32> {
        let users = self.processes.elements.iter();
        let users = users.filter(move |process| process.may_have_other(service, base));
        users.map(|process| process.id)
    }
}

/// What this host has announced, and what it has read of others.
#[derive(Debug, Default)]
pub struct Announcements {
    version: Option<Version>,
    /// Earlier processes of this host, and when they were read.
    earlier: Vec<StoredProcess>,
    earlier_read_at: Option<Time>,
    read: Vec<(String, StoredAnnouncements)>,
    read_at: Option<Time>,
    is_wanted: bool,
}

impl Announcements {
    /// Whether this host has read what its earlier processes have announced.
    pub fn knows_earlier(&self) -> bool {
        self.earlier_read_at.is_some()
    }

    /// Records what the earlier processes of this host have announced.
    pub fn record_earlier(
        &mut self,
        now: Time,
        version: Option<Version>,
        stored: StoredAnnouncements,
    ) {
        self.version = version;
        self.earlier = stored.processes.elements;
        self.earlier_read_at = Some(now);
    }

    /// Whether the streams of earlier processes are over, so that they need not be named any more.
    pub fn is_outdated(&self, now: Time) -> bool {
        !self.earlier.is_empty()
            && self.earlier_read_at.is_some_and(|at| now.since(at) >= STREAM_LIFE)
    }

    /// What is to be stored of this host, whose process `own` announces `builds`.
    pub fn stored(
        &mut self,
        now: Time,
        own: u32,
        builds: &BTreeSet<ServiceBuild>,
    ) -> (Option<Version>, StoredAnnouncements) {
        if self.is_outdated(now) {
            self.earlier.clear();
        }
        let earlier = self.earlier.iter().cloned();
        let processes = earlier.chain([StoredProcess::new(own, builds)]).collect();
        (self.version, StoredAnnouncements { processes })
    }

    /// Records the version of this host's object.
    pub fn record_version(&mut self, version: Option<Version>) {
        self.version = version;
    }

    /// Has the announcements of all hosts read.
    pub fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Whether somebody waits for them.
    pub fn is_awaited(&self) -> bool {
        self.is_wanted
    }

    /// Whether they are to be read now, at most once in `interval`.
    pub fn is_read_due(&self, now: Time, interval: Duration) -> bool {
        self.is_wanted && self.read_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Records the announcements of all hosts by name, asked for at `sent`.
    pub fn record_read(&mut self, sent: Time, read: Vec<(String, StoredAnnouncements)>) {
        self.read = read;
        self.read_at = Some(sent);
        self.is_wanted = false;
    }

    /// Whether they were read since `time`.
    pub fn is_read_since(&self, time: Time) -> bool {
        self.read_at.is_some_and(|at| at >= time)
    }

    /// The processes that may have begun streams at a version of `service` other than `base`, with the names
    /// of their hosts.
    pub fn users(&self, service: &str, base: BuildId) -> impl Iterator<Item = (&str, u32)> {
        let hosts = self.read.iter();
        hosts.flat_map(move |(name, stored)| {
            stored.users(service, base).map(move |id| (&**name, id))
        })
    }
}
