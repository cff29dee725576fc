//! Finds the process that keeps the keys of a scope.

use std::collections::BTreeMap;

use chervilgate_clock::Time;

use crate::{
    claim::memory::{SCOPE_RETENTION, Scope},
    ident::{Incarnation, Node},
};

/// The process that keeps a scope's keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScopeHolder {
    /// This process.
    Local,
    /// Another process: forward the request to it. If it does not answer, the
    /// outcome is "unknown".
    Remote(Node),
    /// No live process is known to keep them: answer "unknown".
    Unknown,
}

/// The live processes, and the successors of stopped ones, as known to this process.
#[derive(Debug, Clone)]
pub struct ScopeDirectory {
    me: Incarnation,
    members: BTreeMap<Incarnation, Node>,
    /// The successor of each stopped incarnation, and when it was recorded.
    successors: BTreeMap<Incarnation, (Incarnation, Time)>,
}

impl ScopeDirectory {
    /// Creates a directory that knows only this process.
    pub fn new(me: Incarnation) -> ScopeDirectory {
        ScopeDirectory { me, members: BTreeMap::new(), successors: BTreeMap::new() }
    }

    /// Replaces the set of processes that are believed to run.
    pub fn set_members(&mut self, members: &[Node]) {
        self.members = members.iter().map(|node| (node.incarnation, node.clone())).collect();
    }

    /// Records that a successor has taken over the keys of a stopped incarnation.
    pub fn add_successor(&mut self, now: Time, stopped: Incarnation, successor: Incarnation) {
        self.successors.insert(stopped, (successor, now));
        self.successors.retain(|_, (_, since)| now - *since <= SCOPE_RETENTION);
    }

    /// Pairs of a stopped incarnation and its successor, to pass on to other processes.
    pub fn successors(&self) -> impl Iterator<Item = (Incarnation, Incarnation)> {
        self.successors.iter().map(|(stopped, (successor, _))| (*stopped, *successor))
    }

    /// Finds the process to which a request of this scope belongs.
    pub fn find(&self, scope: Scope) -> ScopeHolder {
        let mut keeper = scope.keeper;
        // A successor may have stopped as well; a chain has at most as many links as there
        // are successors.
        for _ in 0..=self.successors.len() {
            if keeper == self.me {
                return ScopeHolder::Local;
            }
            match self.successors.get(&keeper) {
                Some((successor, _)) => keeper = *successor,
                None => break,
            }
        }
        self.members
            .get(&keeper)
            .map_or(ScopeHolder::Unknown, |node| ScopeHolder::Remote(node.clone()))
    }

    /// Chooses the successor of a stopping process among `members`.
    ///
    /// Prefers processes of the same zone, and among these the one with the next
    /// higher incarnation.
    pub fn choose_successor(me: &Node, members: &[Node]) -> Option<Node> {
        let others = members.iter().filter(|node| node.incarnation != me.incarnation);
        let distance = |node: &&Node| {
            let other_zone = node.zone != me.zone;
            (other_zone, node.incarnation.0.wrapping_sub(me.incarnation.0))
        };
        others.min_by_key(distance).cloned()
    }
}
