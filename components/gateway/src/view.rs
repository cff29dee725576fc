//! The current configuration and its freshness.
//!
//! A revoked API key must stop working within a limited time, even on a host that is
//! cut off from the store. So the host records, for each reply of the store, the
//! earliest time at which the store can have produced it, and refuses requests with
//! keys once that time is too long ago.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;

use crate::config::Config;

/// Time reserved for sending a request to its target after the freshness check.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(300);

/// The current configuration, with the time of its last confirmation.
#[derive(Debug)]
pub struct ConfigView {
    revocation_time: Duration,
    refuse_stale: bool,
    config: Option<Arc<Config>>,
    confirmed_at: Option<Time>,
}

impl ConfigView {
    /// Starts without a configuration; revoked keys must stop working within
    /// `revocation_time`.
    pub fn new(revocation_time: Duration, refuse_stale: bool) -> ConfigView {
        ConfigView { revocation_time, refuse_stale, config: None, confirmed_at: None }
    }

    /// The configuration, if there is one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Replaces the configuration by a newer one; returns whether it was newer.
    pub fn replace_if_newer(&mut self, config: Config) -> bool {
        let newer = self.config.as_ref().is_none_or(|known| config.version > known.version);
        if newer {
            self.config = Some(Arc::new(config));
        }
        newer
    }

    /// Records that the configuration was up to date at `at`.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records a reply without changes, read at `now`, to a watch that was sent at `sent` and
    /// waits `hold_time` for a change.
    ///
    /// The reply may have waited in a socket while this process was suspended, so the time of
    /// reading proves nothing. A reply before the end of the wait only confirms its start.
    pub fn confirm_unchanged(&mut self, now: Time, sent: Time, hold_time: Duration) {
        let held_until = sent + hold_time;
        self.confirm(if now < held_until { sent } else { held_until });
    }

    /// Whether the configuration is fresh enough to start requests with API keys.
    pub fn is_fresh(&self, now: Time) -> bool {
        if !self.refuse_stale {
            return self.config.is_some();
        }
        self.confirmed_at
            .is_some_and(|at| now < at + self.revocation_time.saturating_sub(FRESHNESS_MARGIN))
    }

    /// Time since the store last confirmed the configuration; none if it never did.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
