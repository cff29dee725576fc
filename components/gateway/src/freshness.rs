//! How complete is what this host has read of a kind of objects in the store.
//!
//! A watch tells nothing while nothing changes, and nothing either once its connection has fallen
//! silent. So hosts tell each other of the latest change that they know of. A host whose watch has
//! not brought it after a moment gives the call up and goes on over another connection. Pollers'
//! watches wait only briefly, so that some hosts find a silent connection by themselves; the others
//! have a poller confirm that nothing has changed, and poll themselves if none does.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

/// Wait of a watch whose reply only shows whether what is known is still current.
const SHORT_WAIT: Duration = Duration::from_millis(200);

/// Wait of a watch whose silence other hosts would notice.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Wait of the watches of pollers, as a share of the time within which a change must be known. With
/// the next two it leaves time to hear of the change from a poller and to read it.
const POLL_SHARE: f64 = 0.5;

/// Time after its wait within which a watch must be answered, as such a share.
const ANSWER_SHARE: f64 = 0.25;

/// Time in which a watch must bring a change that another host knows, as such a share.
const BEHIND_SHARE: f64 = 0.15;

/// Time without confirmation by a poller after which a host polls itself, as such a share. It allows
/// for a lost request and for the pause of a poller's watch between changes.
const UNCONFIRMED_SHARE: f64 = 1.5;

/// What a host knows of the changes of one kind of objects, as it tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Version of the latest change.
    pub latest: Version,
    /// Version of the last list. Deletions before it may be unknown, as a list does not show them.
    pub listed: Version,
    /// Time since the store last confirmed that there is no later change, in microseconds.
    pub age: u64,
}

/// What this host knows of the changes of one kind of objects, and since when.
#[derive(Debug)]
pub struct Freshness {
    /// Time within which a change must be known.
    limit: Duration,
    /// Version of the last list.
    listed: Option<Version>,
    /// Version up to which all changes are known.
    known: Option<Version>,
    /// Version of the latest change that this host has read or heard of.
    latest: Version,
    /// When this host last heard of a later change than before.
    heard_at: Option<Time>,
    /// Since when the present watch has missed a change that another host knows.
    behind_since: Option<Time>,
    confirmed_at: Option<Time>,
    /// The same, counting only confirmations by pollers.
    peer_confirmed_at: Option<Time>,
}

impl Freshness {
    /// Starts without knowledge; a change must be known within `limit`.
    pub fn new(limit: Duration) -> Freshness {
        Freshness {
            limit,
            listed: None,
            known: None,
            latest: Version::default(),
            heard_at: None,
            behind_since: None,
            confirmed_at: None,
            peer_confirmed_at: None,
        }
    }

    /// Records a complete list, requested at `sent`, whose newest object is of version `newest`.
    /// `is_missing_some` states that it lacks objects which were known. Returns whether this host
    /// learned of a later change.
    pub fn record_list(
        &mut self,
        sent: Time,
        version: Version,
        newest: Option<Version>,
        is_missing_some: bool,
    ) -> bool {
        self.listed = Some(version);
        self.known = None;
        // When the missing ones were deleted does not show, but it was before the list.
        let newest = if is_missing_some { Some(version) } else { newest };
        self.record_changes(sent, sent, version, newest)
    }

    /// Records the reply to a watch sent at `sent`, with which all changes up to `version` are known
    /// as they were at `at`; `newest` is the version of the last of them, if it brought any. Returns
    /// whether this host learned of a later change.
    pub fn record_changes(
        &mut self,
        sent: Time,
        at: Time,
        version: Version,
        newest: Option<Version>,
    ) -> bool {
        // Other hosts may have passed on later changes while the call was under way.
        self.known = self.known.max(Some(version));
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let before = self.latest;
        self.latest = self.latest.max(newest.unwrap_or_default());
        let is_told = self.heard_at.is_some_and(|heard_at| heard_at < sent);
        if newest.is_none() && self.is_behind() && is_told {
            let latest = self.latest;
            log::warn!(target: "store", known:% = version, latest:%; "no such change in the store");
            self.latest = version;
        }
        if !self.is_behind() {
            self.behind_since = None;
        }
        self.latest > before
    }

    /// Records that another host knows of a change of version `latest`. Returns whether that is
    /// later than any before.
    pub fn hear(&mut self, now: Time, latest: Version) -> bool {
        let is_later = latest > self.latest;
        if is_later {
            self.latest = latest;
            self.heard_at = Some(now);
        }
        if self.is_behind() {
            self.behind_since.get_or_insert(now);
        }
        is_later
    }

    /// Whether a change is known to exist that this host has not read. Without any reply of the
    /// store it is not behind, but at its start.
    pub fn is_behind(&self) -> bool {
        self.known.is_some_and(|known| known < self.latest)
    }

    /// Whether what is known includes all changes that were made before `since`.
    pub fn is_read_since(&self, since: Time) -> bool {
        self.confirmed_at.is_some_and(|at| at >= since) && !self.is_behind()
    }

    /// Records that other hosts passed on all changes up to `version`; `newest` is the version of the
    /// last of those that were new.
    pub fn record_passed(&mut self, version: Version, newest: Option<Version>) {
        self.known = self.known.max(Some(version));
        self.latest = self.latest.max(newest.unwrap_or_default());
        if !self.is_behind() {
            self.behind_since = None;
        }
    }

    /// Records that a poller knew all changes as they were at `at`, up to `known`.
    pub fn confirm_by_peer(&mut self, at: Time, known: Version) {
        if self.known.is_some_and(|own| own >= known) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
        }
    }

    /// Time as of which all changes are known; none if the store has confirmed nothing yet.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Since when a change is missing that another host knows, unless a watch was sent since.
    pub fn behind_since(&self) -> Option<Time> {
        self.behind_since
    }

    /// Version up to which all changes are known; none before a list.
    pub fn known(&self) -> Option<Version> {
        self.known
    }

    /// Records that a call sent at `sent` brought no change later than `known`.
    pub fn confirm(&mut self, sent: Time, known: Version) {
        if self.known.is_some_and(|own| own >= known) {
            self.confirmed_at = self.confirmed_at.max(Some(sent));
        }
    }

    /// Version of the latest change that this host knows of.
    pub fn latest(&self) -> Version {
        self.latest
    }

    /// What to tell a host that asks; none if the store has confirmed nothing yet.
    pub fn progress(&self, now: Time) -> Option<Progress> {
        let age = u64::try_from(self.age(now)?.as_micros()).ok()?;
        Some(Progress { latest: self.latest, listed: self.listed?, age })
    }

    /// Applies what a poller told when it was asked at `asked`. Returns whether this host learned of
    /// a later change.
    pub fn apply_progress(&mut self, now: Time, asked: Time, progress: &Progress) -> bool {
        let is_later = self.hear(now, progress.latest);
        let is_current =
            self.known.is_some_and(|known| known >= progress.latest && known >= progress.listed);
        if is_current {
            let at = Some(asked.saturating_sub(Duration::from_micros(progress.age)));
            self.confirmed_at = self.confirmed_at.max(at);
            self.peer_confirmed_at = self.peer_confirmed_at.max(at);
        }
        is_later
    }

    /// Time for which the next watch should wait for changes.
    pub fn watch_wait(&mut self, now: Time, is_poller: bool) -> Duration {
        self.behind_since = None;
        if self.is_behind() {
            return SHORT_WAIT;
        }
        let limit = self.limit.mul_f64(UNCONFIRMED_SHARE);
        let is_confirmed = self.peer_confirmed_at.is_some_and(|at| now.since(at) < limit);
        if is_poller || !is_confirmed {
            return self.limit.mul_f64(POLL_SHARE).max(SHORT_WAIT);
        }
        LONG_WAIT
    }

    /// Time after its wait within which a watch must be answered.
    pub fn answer_time(&self) -> Duration {
        self.limit.mul_f64(ANSWER_SHARE).max(SHORT_WAIT)
    }

    /// Time at which a watch call that waits for `wait` must be given up for a new one; none if it
    /// need not be. A long reply must not be given up again and again while it arrives, so a call that
    /// is answered soon anyway is left alone.
    pub fn watch_due(&self, wait: Duration) -> Option<Time> {
        if wait <= SHORT_WAIT {
            return None;
        }
        let behind = self.behind_since.map(|since| since + self.limit.mul_f64(BEHIND_SHARE));
        if wait < LONG_WAIT {
            return behind;
        }
        let unconfirmed =
            self.peer_confirmed_at.unwrap_or(Time::ZERO) + self.limit.mul_f64(UNCONFIRMED_SHARE);
        Some(behind.map_or(unconfirmed, |behind| behind.min(unconfirmed)))
    }

    /// Time since the store last confirmed what is known; none if it never did.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}

/// What this host knows of each kind of objects that others write.
#[derive(Debug)]
pub struct Reads {
    /// The configuration.
    pub config: Freshness,
    /// The targets' entries.
    pub targets: Freshness,
}
