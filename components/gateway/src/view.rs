//! The current configuration and its freshness.
//!
//! A revoked API key must stop working within a limited time, even on a host that is
//! cut off from the store. So the host records, for each reply of the store, the
//! earliest time at which the store can have produced it, and refuses requests with
//! keys once that time is too long ago.
//!
//! Calls to the store are billed. So only a few hosts, the pollers, have it confirm every
//! other second that nothing has changed. The others keep one long watch open, which
//! reports changes at once, and ask a poller for its confirmation. Clocks are never
//! compared: the poller tells an age, and the asking host counts it from the time at
//! which it asked, so that a reply that is late only makes the view look older.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::config::Config;

/// Time reserved for sending a request to its target after the freshness check.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(300);

/// Wait of the watch of a poller.
const POLLER_WAIT: Duration = Duration::from_millis(1_500);

/// Wait of the watch of a host whose view pollers confirm.
const CONFIRMED_WAIT: Duration = Duration::from_secs(20);

/// Wait of the watch of a host whose view nobody else confirms, as a share of the time in
/// which revoked keys must stop working. The wait, the timeout of its call and one further
/// call together must take less than that time.
const UNCONFIRMED_WAIT_SHARE: f64 = 0.5;

/// Wait of the watch of a host whose view is nearly too old, to be confirmed soon.
const SHORT_WAIT: Duration = Duration::from_millis(200);

/// Age of the view from which a host asks the store itself, as a share of the time in which
/// revoked keys must stop working.
const MAX_CONFIRMED_SHARE: f64 = 0.6;

/// Time in which a change that a poller knows must arrive on the watch; after it, the
/// connection of the watch is taken for broken.
const CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Time after a restore of the store within which the operator has written again.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Asks a poller to confirm that the configuration has not changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// Gossip id of the sender.
    pub host: u32,
    /// The sender's monotonic clock, in microseconds.
    pub sent: u64,
}

/// A poller's reply to a [`ConfirmationRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// The request.
    pub request: ConfirmationRequest,
    /// Version of the poller's configuration.
    pub version: u64,
    /// Time since the store last confirmed it, in microseconds.
    pub age: u64,
}

/// The current configuration, with the time of its last confirmation.
#[derive(Debug)]
pub struct ConfigView {
    revocation_time: Duration,
    refuse_stale: bool,
    config: Option<Arc<Config>>,
    confirmed_at: Option<Time>,
    /// The same, counting only confirmations by pollers.
    peer_confirmed_at: Option<Time>,
    /// Time since which a poller is known to have a newer configuration.
    newer_since: Option<Time>,
    /// Version that the store showed last.
    stored: Option<u64>,
    /// Highest version that a poller has told of, and when it first did.
    heard: Option<(u64, Time)>,
    /// When the store last showed its version, or that it has not changed.
    answered_at: Option<Time>,
    /// Time until which the store's word alone confirms nothing.
    unsettled_until: Option<Time>,
}

impl ConfigView {
    /// Starts without a configuration; revoked keys must stop working within
    /// `revocation_time`.
    pub fn new(revocation_time: Duration, refuse_stale: bool) -> ConfigView {
        ConfigView {
            revocation_time,
            refuse_stale,
            config: None,
            confirmed_at: None,
            peer_confirmed_at: None,
            newer_since: None,
            stored: None,
            heard: None,
            answered_at: None,
            unsettled_until: None,
        }
    }

    /// The configuration, if there is one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Version of the configuration; none if there is none.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Processes a configuration that the store has shown. Replaces the present one if it is
    /// newer; returns whether it was.
    pub fn replace_if_newer(&mut self, config: Config) -> bool {
        self.stored = Some(config.version);
        let newer = self.config.as_ref().is_none_or(|known| config.version > known.version);
        if newer {
            self.config = Some(Arc::new(config));
            self.newer_since = None;
        }
        newer
    }

    /// Records that this process first read its configuration from a store that has come back from
    /// an older copy before. Whether that was just now is not known here, so a poller has to
    /// confirm the view, or the operator must have had the time to write again.
    pub fn start_unsettled(&mut self, now: Time) {
        if self.config.is_none() {
            self.unsettled_until = Some(now + SETTLE_TIME);
        }
    }

    /// Whether a poller's confirmation is needed soon.
    pub fn is_unconfirmed(&self) -> bool {
        self.confirmed_at.is_none()
    }

    /// Records an answer of the store, read at `now`, that its configuration was the newest at
    /// `at`. A store that has come back from an older copy proves nothing until it has caught
    /// up with the versions that are known.
    pub fn confirm(&mut self, now: Time, at: Time) {
        self.answered_at = self.answered_at.max(Some(now));
        let is_unsettled = self.unsettled_until.is_some_and(|until| now < until);
        if is_unsettled || self.is_store_behind(now) {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the store shows an older configuration than is known to exist.
    fn is_store_behind(&self, now: Time) -> bool {
        let newest = self.version().max(self.heard_newer(now).map(|(version, _)| version));
        self.stored.is_some_and(|stored| newest.is_some_and(|newest| stored < newest))
    }

    /// A newer version that a poller has told of, and since when. One that the store does not show
    /// for long was never accepted.
    fn heard_newer(&self, now: Time) -> Option<(u64, Time)> {
        let known = self.version();
        self.heard.filter(|(version, since)| {
            Some(*version) > known && now.since(*since) < self.revocation_time
        })
    }

    /// Records a reply without changes, read at `now`, to a watch that was sent at `sent` and
    /// waits `hold_time` for a change.
    ///
    /// The reply may have waited in a socket while this process was suspended, so the time of
    /// reading proves nothing. A reply before the end of the wait only confirms its start.
    pub fn confirm_unchanged(&mut self, now: Time, sent: Time, hold_time: Duration) {
        let held_until = sent + hold_time;
        self.confirm(now, if now < held_until { sent } else { held_until });
    }

    /// Answers another host's request with this host's own confirmation; none if it has
    /// none.
    pub fn confirmation(&self, now: Time, request: ConfirmationRequest) -> Option<Confirmation> {
        let version = self.config.as_ref()?.version;
        let age = u64::try_from(self.age(now)?.as_micros()).ok()?;
        Some(Confirmation { request, version, age })
    }

    /// Applies a poller's reply to a request of the process with the gossip id `host`.
    ///
    /// The poller computed the age after the request was sent, so the store confirmed its
    /// view at `sent` minus the age or later.
    pub fn apply_confirmation(&mut self, now: Time, host: u32, reply: &Confirmation) {
        let sent = Time::from_micros(reply.request.sent);
        if reply.request.host != host || sent > now {
            return;
        }
        let Some(config) = &self.config else { return };
        if reply.version > config.version {
            self.newer_since.get_or_insert(now);
            if self.heard.is_none_or(|(heard, _)| reply.version > heard) {
                self.heard = Some((reply.version, now));
            }
            return;
        }
        // A poller with an older version may have it from an older copy of the store.
        if reply.version < config.version {
            return;
        }
        self.unsettled_until = None;
        let at = sent.saturating_sub(Duration::from_micros(reply.age));
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
    }

    /// Time for which the next watch call should wait for changes. The call also brings a
    /// newer configuration that a poller has told of.
    pub fn watch_wait(&mut self, now: Time, is_poller: bool) -> Duration {
        self.newer_since = None;
        let limit = self.revocation_time.mul_f64(MAX_CONFIRMED_SHARE);
        let is_recent = |at: Time| now.since(at) < limit;
        if !self.confirmed_at.is_some_and(is_recent) || self.heard_newer(now).is_some() {
            return SHORT_WAIT;
        }
        if is_poller {
            return POLLER_WAIT;
        }
        if self.peer_confirmed_at.is_some_and(is_recent) {
            return CONFIRMED_WAIT;
        }
        self.revocation_time.mul_f64(UNCONFIRMED_WAIT_SHARE)
    }

    /// Time at which a watch call that waits for `wait` must be given up for a new one;
    /// none if it need not be.
    pub fn watch_due(&self, wait: Duration) -> Option<Time> {
        if wait < CONFIRMED_WAIT {
            return None;
        }
        let limit = self.revocation_time.mul_f64(MAX_CONFIRMED_SHARE);
        let too_old = self.confirmed_at.unwrap_or(Time::ZERO) + limit;
        let newer = self.newer_since.map(|since| since + CHANGE_DELAY);
        Some(newer.map_or(too_old, |newer| newer.min(too_old)))
    }

    /// Whether the configuration is fresh enough to start requests with API keys.
    pub fn is_fresh(&self, now: Time) -> bool {
        if !self.refuse_stale {
            return self.config.is_some();
        }
        // The store had the time to show the newer version, and did not.
        let is_outdated = self
            .heard_newer(now)
            .is_some_and(|(_, since)| self.answered_at > Some(since + CHANGE_DELAY));
        !is_outdated
            && self
                .confirmed_at
                .is_some_and(|at| now < at + self.revocation_time.saturating_sub(FRESHNESS_MARGIN))
    }

    /// Time since the store last confirmed the configuration; none if it never did.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
