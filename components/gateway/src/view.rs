//! How fresh this host's configuration is.
//!
//! A key that was withdrawn must stop working within a bounded time, also on a
//! host that hears nothing of it. So the host notes for each answer of the store
//! the earliest moment at which the store can have given it, and refuses requests
//! with keys once that moment lies too far back.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;

use crate::config::Config;

/// Time kept back for the way from the check to the target.
const MARGIN: Duration = Duration::from_millis(300);

/// The configuration in force on this host.
#[derive(Debug)]
pub struct View {
    revoke: Duration,
    refuse_stale: bool,
    config: Option<Arc<Config>>,
    confirmed: Option<Time>,
}

impl View {
    /// No configuration yet; withdrawn keys are to stop within `revoke`.
    pub fn new(revoke: Duration, refuse_stale: bool) -> View {
        View { revoke, refuse_stale, config: None, confirmed: None }
    }

    /// The configuration, if there is one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Takes over a configuration; an older one than the present is ignored.
    ///
    /// Returns whether it was taken over.
    pub fn adopt(&mut self, config: Config) -> bool {
        let newer = self.config.as_ref().is_none_or(|known| config.version > known.version);
        if newer {
            self.config = Some(Arc::new(config));
        }
        newer
    }

    /// Notes that the store had nothing newer at `at`.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Whether requests with keys may start.
    pub fn is_fresh(&self, now: Time) -> bool {
        if !self.refuse_stale {
            return self.config.is_some();
        }
        self.confirmed.is_some_and(|at| now < at + self.revoke.saturating_sub(MARGIN))
    }

    /// Time since the store last confirmed the view.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }
}
