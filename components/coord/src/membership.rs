//! What a node believes of the others, and how old that belief is.
//!
//! Beliefs come from sessions in the platform, from the platform's lagging list
//! of hosts, and from what was heard of a node directly. They decide whom to
//! follow, whom to name to callers and whom to forward to; nothing that must
//! hold depends on them. While the platform cannot be read, they stand as they
//! were: an outage makes nobody disappear.

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

/// A node heard of within this span is live, whatever its session says.
const HEARD_SPAN: Duration = Duration::from_secs(10);

/// A session as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// Whose session it is.
    pub node: Node,
    /// Its state.
    pub state: SessionState,
    /// The version that was read.
    pub version: Version,
    /// When this version was first read.
    pub moved: Time,
    /// When it was last read.
    pub read: Time,
}

/// What is believed of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It runs.
    Live,
    /// Its session stood still, or was ended by another; it may yet run.
    Silent,
    /// Its host left the platform's list; it may yet run.
    Delisted,
    /// A later incarnation has its address; it may yet run unseen.
    Replaced,
    /// It has released its session: nothing of it is under way.
    Released,
}

/// A belief and its age.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Belief {
    /// Whom it is about.
    pub node: Node,
    /// What is believed.
    pub standing: Standing,
    /// How long ago the last evidence came.
    pub age: Duration,
}

/// The other nodes, as one node knows them.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Node,
    patience: Duration,
    sightings: BTreeMap<Incarnation, Sighting>,
    heard: BTreeMap<Incarnation, Time>,
    listed: BTreeSet<SocketAddr>,
    delisted: BTreeSet<SocketAddr>,
}

impl Membership {
    /// Knows only `me`; a session unmoved for `patience` counts as silent.
    pub fn new(me: Node, patience: Duration) -> Membership {
        Membership {
            me,
            patience,
            sightings: BTreeMap::new(),
            heard: BTreeMap::new(),
            listed: BTreeSet::new(),
            delisted: BTreeSet::new(),
        }
    }

    /// Takes the sessions as they were read last.
    pub fn note_sessions(&mut self, sightings: impl IntoIterator<Item = Sighting>) {
        self.sightings = sightings.into_iter().map(|seen| (seen.node.incarnation, seen)).collect();
        self.heard.retain(|node, _| self.sightings.contains_key(node));
    }

    /// Notes that a node itself was heard of.
    pub fn note_heard(&mut self, now: Time, node: Incarnation) {
        self.heard.insert(node, now);
    }

    /// Takes the platform's list of hosts, leaving ones left out.
    pub fn note_hosts(&mut self, hosts: &[SocketAddr]) {
        let hosts: BTreeSet<SocketAddr> = hosts.iter().copied().collect();
        self.delisted.extend(self.listed.difference(&hosts));
        self.delisted.retain(|addr| !hosts.contains(addr));
        self.listed = hosts;
    }

    /// What is believed of each node but this one.
    pub fn beliefs(&self, now: Time) -> Vec<Belief> {
        let latest = self.latest();
        let others = self.sightings.values().filter(|seen| seen.node != self.me);
        others.map(|seen| self.belief(now, seen, &latest)).collect()
    }

    /// Nodes that are believed live, this one included.
    pub fn live(&self, now: Time) -> Vec<Node> {
        let beliefs = self.beliefs(now).into_iter();
        let live = beliefs.filter(|belief| belief.standing == Standing::Live);
        let mut nodes: Vec<Node> = live.map(|belief| belief.node).collect();
        nodes.push(self.me.clone());
        nodes.sort();
        nodes
    }

    fn belief(&self, now: Time, seen: &Sighting, latest: &BTreeMap<SocketAddr, Version>) -> Belief {
        let heard = self.heard.get(&seen.node.incarnation).copied();
        let evidence = heard.unwrap_or_default().max(seen.moved);
        let standing = if seen.state == SessionState::Released {
            Standing::Released
        } else if seen.node.addr == self.me.addr
            || latest.get(&seen.node.addr).is_some_and(|version| *version > seen.version)
        {
            Standing::Replaced
        } else if heard.is_some_and(|at| now - at <= HEARD_SPAN) {
            Standing::Live
        } else if self.delisted.contains(&seen.node.addr) {
            Standing::Delisted
        } else if seen.state == SessionState::Sealed || seen.read - seen.moved >= self.patience {
            Standing::Silent
        } else {
            Standing::Live
        };
        Belief { node: seen.node.clone(), standing, age: now - evidence }
    }

    /// The version of the last live session at each address.
    fn latest(&self) -> BTreeMap<SocketAddr, Version> {
        let mut latest: BTreeMap<SocketAddr, Version> = BTreeMap::new();
        for seen in self.sightings.values().filter(|seen| seen.state == SessionState::Live) {
            let version = latest.entry(seen.node.addr).or_default();
            *version = seen.version.max(*version);
        }
        latest
    }
}
