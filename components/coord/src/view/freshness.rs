//! Tracks how recently a node's view was confirmed.
//!
//! A confirmation consists of a source and a time on this node's own clock: the
//! view contains everything that the source held at that time. Nodes exchange
//! ages as durations and add them up, so clocks are never compared.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;

use crate::{
    ident::Incarnation,
    view::root::{Voters, is_majority},
};

/// Maximum age of a view's confirmation for dispatching requests with an API key.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(4);

/// Whether requests with an API key may be dispatched now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewStatus {
    /// They may: the time since the platform confirmed the view.
    Platform(Duration),
    /// They may: the time within which a majority of the voters confirmed the view.
    Majority(Duration),
    /// No confirmation is recent enough; such requests must be refused as not run.
    Stale,
}

impl ViewStatus {
    /// Whether requests with an API key may be dispatched.
    pub fn is_fresh(self) -> bool {
        self != ViewStatus::Stale
    }
}

/// The confirmations of the current view.
#[derive(Debug, Clone)]
pub struct Freshness {
    me: Incarnation,
    platform_confirmed: Option<Time>,
    voters: Voters,
    voter_confirmed: BTreeMap<Incarnation, Time>,
}

impl Freshness {
    /// Creates a state without confirmations.
    pub fn new(me: Incarnation) -> Freshness {
        Freshness {
            me,
            platform_confirmed: None,
            voters: Voters::default(),
            voter_confirmed: BTreeMap::new(),
        }
    }

    /// Sets the voters of a newly adopted view.
    ///
    /// Confirmations by remaining voters stay valid: the new view contains every
    /// change that the old one contained.
    pub fn adopt_voters(&mut self, voters: &Voters) {
        self.voter_confirmed.retain(|voter, _| voters.contains(*voter));
        self.voters = voters.clone();
    }

    /// Records that the view contains everything that the platform held at `at`.
    ///
    /// Returns whether this is the latest confirmation by the platform.
    pub fn confirm_platform(&mut self, at: Time) -> bool {
        let is_newer = self.platform_confirmed.is_none_or(|latest| latest < at);
        if is_newer {
            self.platform_confirmed = Some(at);
        }
        is_newer
    }

    /// Records that the view contains everything that the voter held at `at`.
    ///
    /// Ignores nodes that are not voters of the current view.
    pub fn confirm_voter(&mut self, voter: Incarnation, at: Time) {
        if !self.voters.contains(voter) {
            return;
        }
        let latest = self.voter_confirmed.entry(voter).or_insert(at);
        *latest = at.max(*latest);
    }

    /// When the platform last confirmed the view.
    pub fn platform_confirmed_at(&self) -> Option<Time> {
        self.platform_confirmed
    }

    /// When the voter last confirmed the view; this node itself always confirms it.
    pub fn voter_confirmed_at(&self, now: Time, voter: Incarnation) -> Option<Time> {
        if voter == self.me {
            return Some(now);
        }
        self.voter_confirmed.get(&voter).copied()
    }

    /// Whether requests with an API key may be dispatched now.
    pub fn check(&self, now: Time) -> ViewStatus {
        if let Some(at) = self.platform_confirmed.filter(|at| now - *at <= MAX_VIEW_AGE) {
            return ViewStatus::Platform(now - at);
        }
        let age = |voter| self.voter_confirmed_at(now, voter).map(|at| now - at);
        let is_recent = |voter| age(voter).is_some_and(|age| age <= MAX_VIEW_AGE);
        if !is_majority(&self.voters.current, is_recent) {
            return ViewStatus::Stale;
        }
        let ages = self.voters.current.iter().filter_map(|voter| age(voter.incarnation));
        ViewStatus::Majority(ages.filter(|age| *age <= MAX_VIEW_AGE).max().unwrap_or_default())
    }
}
