//! What a node knows about the state of the other nodes, and how old that knowledge is.
//!
//! The sources are the sessions in the store, the platform's list of hosts,
//! which lags behind, and messages received from a node directly. The result
//! selects the nodes to follow, to announce to callers and to forward to; no
//! safety property depends on it. While the platform cannot be read, it does
//! not change: an outage of the platform makes no node disappear.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;

use crate::{
    ident::{Incarnation, Node},
    session::SessionState,
    store::Version,
};

/// A node that was heard from within this time is live, whatever its session says.
const HEARD_TIMEOUT: Duration = Duration::from_secs(10);

/// A session as last read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionReading {
    /// The process that owns the session.
    pub node: Node,
    /// The state that was read.
    pub state: SessionState,
    /// The version that was read.
    pub version: Version,
    /// When this version was first read.
    pub changed_at: Time,
    /// When it was last read.
    pub read_at: Time,
}

/// The presumed state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The node is running.
    Live,
    /// Its session was not renewed in time, or another process sealed it; it may still run.
    Silent,
    /// Its host disappeared from the platform's list; it may still run.
    Delisted,
    /// A later incarnation has its address; it may still run, unreachable.
    Replaced,
    /// It has released its session: it has no request or order in flight.
    Released,
}

/// The presumed state of a node and the age of that information.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The node.
    pub node: Node,
    /// Its presumed state.
    pub state: MemberState,
    /// Time since the session last changed or the node was last heard from.
    pub age: Duration,
}

/// One node's knowledge of the other nodes.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Node,
    silent_after: Duration,
    readings: BTreeMap<Incarnation, SessionReading>,
    heard_at: BTreeMap<Incarnation, Time>,
    listed_hosts: BTreeSet<SocketAddr>,
    delisted_hosts: BTreeSet<SocketAddr>,
}

impl Membership {
    /// Creates a membership that contains only `me`.
    ///
    /// A session that has not changed for `silent_after` counts as silent.
    pub fn new(me: Node, silent_after: Duration) -> Membership {
        Membership {
            me,
            silent_after,
            readings: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            listed_hosts: BTreeSet::new(),
            delisted_hosts: BTreeSet::new(),
        }
    }

    /// Replaces the known sessions by those of the latest read.
    pub fn note_sessions(&mut self, readings: impl IntoIterator<Item = SessionReading>) {
        self.readings =
            readings.into_iter().map(|session| (session.node.incarnation, session)).collect();
        self.heard_at.retain(|incarnation, _| self.readings.contains_key(incarnation));
    }

    /// Records that a message arrived from the node itself.
    pub fn note_heard(&mut self, now: Time, incarnation: Incarnation) {
        self.heard_at.insert(incarnation, now);
    }

    /// Takes the platform's list of hosts, without the ones that are shutting down.
    pub fn note_hosts(&mut self, hosts: &[SocketAddr]) {
        let hosts: BTreeSet<SocketAddr> = hosts.iter().copied().collect();
        self.delisted_hosts.extend(self.listed_hosts.difference(&hosts));
        self.delisted_hosts.retain(|addr| !hosts.contains(addr));
        self.listed_hosts = hosts;
    }

    /// The presumed state of every node except this one.
    pub fn statuses(&self, now: Time) -> Vec<MemberStatus> {
        let latest_versions = self.latest_live_versions();
        let others = self.readings.values().filter(|session| session.node != self.me);
        others.map(|session| self.status(now, session, &latest_versions)).collect()
    }

    /// Nodes that are presumed live, including this one, sorted.
    pub fn live(&self, now: Time) -> Vec<Node> {
        let statuses = self.statuses(now).into_iter();
        let live = statuses.filter(|status| status.state == MemberState::Live);
        let mut nodes: Vec<Node> = live.map(|status| status.node).collect();
        nodes.push(self.me.clone());
        nodes.sort();
        nodes
    }

    fn status(
        &self,
        now: Time,
        session: &SessionReading,
        latest_versions: &BTreeMap<SocketAddr, Version>,
    ) -> MemberStatus {
        let heard_at = self.heard_at.get(&session.node.incarnation).copied();
        let last_evidence = heard_at.unwrap_or_default().max(session.changed_at);
        let state = if session.state == SessionState::Released {
            MemberState::Released
        } else if session.node.addr == self.me.addr
            || latest_versions
                .get(&session.node.addr)
                .is_some_and(|version| *version > session.version)
        {
            MemberState::Replaced
        } else if heard_at.is_some_and(|at| now - at <= HEARD_TIMEOUT) {
            MemberState::Live
        } else if self.delisted_hosts.contains(&session.node.addr) {
            MemberState::Delisted
        } else if session.state == SessionState::Sealed
            || session.read_at - session.changed_at >= self.silent_after
        {
            MemberState::Silent
        } else {
            MemberState::Live
        };
        MemberStatus { node: session.node.clone(), state, age: now - last_evidence }
    }

    /// The version of the most recently written live session at each address.
    fn latest_live_versions(&self) -> BTreeMap<SocketAddr, Version> {
        let mut latest_versions: BTreeMap<SocketAddr, Version> = BTreeMap::new();
        for session in self.readings.values().filter(|session| session.state == SessionState::Live)
        {
            let version = latest_versions.entry(session.node.addr).or_default();
            *version = session.version.max(*version);
        }
        latest_versions
    }
}
