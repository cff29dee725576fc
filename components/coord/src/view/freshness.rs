//! How recently a node's view was confirmed.
//!
//! A confirmation is a point on this node's own clock together with a source,
//! and says: this view holds everything that the source held then. Ages are
//! passed on as durations and summed; no two clocks are compared.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;

use crate::{
    ident::Incarnation,
    view::root::{Voters, majority},
};

/// A view confirmed within this span may be served from.
pub const FRESH_SPAN: Duration = Duration::from_secs(4);

/// Whether keyed work may be dispatched now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The platform has confirmed the view this long ago.
    Platform(Duration),
    /// A majority of the voters has confirmed the view within this span.
    Majority(Duration),
    /// Neither has; keyed work is to be refused as not run.
    Stale,
}

impl Verdict {
    /// Whether keyed work may be dispatched.
    pub fn is_fresh(self) -> bool {
        self != Verdict::Stale
    }
}

/// The confirmations of the present view.
#[derive(Debug, Clone)]
pub struct Freshness {
    me: Incarnation,
    platform: Option<Time>,
    voters: Voters,
    contacts: BTreeMap<Incarnation, Time>,
}

impl Freshness {
    /// No confirmation yet.
    pub fn new(me: Incarnation) -> Freshness {
        Freshness { me, platform: None, voters: Voters::default(), contacts: BTreeMap::new() }
    }

    /// Follows a newly adopted view's voters.
    ///
    /// Earlier confirmations stand: the new view holds all that the old one did.
    pub fn adopt(&mut self, voters: &Voters) {
        self.contacts.retain(|voter, _| voters.contains(*voter));
        self.voters = voters.clone();
    }

    /// Notes that this view holds all that the platform held at `at`.
    pub fn confirm_platform(&mut self, at: Time) -> bool {
        let newer = self.platform.is_none_or(|known| known < at);
        if newer {
            self.platform = Some(at);
        }
        newer
    }

    /// Notes that this view holds all that the voter held at `at`.
    ///
    /// Anyone who is no voter of the present view is passed over.
    pub fn confirm_voter(&mut self, voter: Incarnation, at: Time) {
        if !self.voters.contains(voter) {
            return;
        }
        let known = self.contacts.entry(voter).or_insert(at);
        *known = at.max(*known);
    }

    /// When the platform confirmed the view last.
    pub fn platform(&self) -> Option<Time> {
        self.platform
    }

    /// When the voter confirmed the view last.
    pub fn voter(&self, now: Time, voter: Incarnation) -> Option<Time> {
        if voter == self.me {
            return Some(now);
        }
        self.contacts.get(&voter).copied()
    }

    /// Whether keyed work may be dispatched now.
    pub fn check(&self, now: Time) -> Verdict {
        if let Some(at) = self.platform.filter(|at| now - *at <= FRESH_SPAN) {
            return Verdict::Platform(now - at);
        }
        let age = |voter| self.voter(now, voter).map(|at| now - at);
        let recent = |voter| age(voter).is_some_and(|age| age <= FRESH_SPAN);
        if !majority(&self.voters.current, recent) {
            return Verdict::Stale;
        }
        let ages = self.voters.current.iter().filter_map(|voter| age(voter.incarnation));
        Verdict::Majority(ages.filter(|age| *age <= FRESH_SPAN).max().unwrap_or_default())
    }
}
