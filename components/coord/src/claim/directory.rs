//! Who can be asked about a scope.

use std::collections::BTreeMap;

use chervilgate_clock::Time;

use crate::{
    claim::memory::{RETENTION, Scope},
    ident::{Incarnation, Node},
};

/// Where a request with a scope belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Keeper {
    /// This process remembers the scope.
    Here,
    /// Forward the request there. Its silence means "unknown".
    At(Node),
    /// Nobody known remembers it: answer "unknown".
    Gone,
}

/// Members and heirs, as far as this node knows.
#[derive(Debug, Clone)]
pub struct Directory {
    me: Incarnation,
    members: BTreeMap<Incarnation, Node>,
    heirs: BTreeMap<Incarnation, (Incarnation, Time)>,
}

impl Directory {
    /// Knows nobody but this node.
    pub fn new(me: Incarnation) -> Directory {
        Directory { me, members: BTreeMap::new(), heirs: BTreeMap::new() }
    }

    /// Follows the members that are believed to run.
    pub fn set_members(&mut self, members: &[Node]) {
        self.members = members.iter().map(|node| (node.incarnation, node.clone())).collect();
    }

    /// Notes that an heir has taken over a stopped incarnation's memory.
    pub fn note_heir(&mut self, now: Time, of: Incarnation, heir: Incarnation) {
        self.heirs.insert(of, (heir, now));
        self.heirs.retain(|_, (_, noted)| now - *noted <= RETENTION);
    }

    /// Heirs that are still worth telling of.
    pub fn heirs(&self) -> impl Iterator<Item = (Incarnation, Incarnation)> {
        self.heirs.iter().map(|(of, (heir, _))| (*of, *heir))
    }

    /// Where a request of this scope belongs.
    pub fn find(&self, scope: Scope) -> Keeper {
        let mut keeper = scope.keeper;
        // Heirs stop as well; a chain is as long as there are heirs at most.
        for _ in 0..=self.heirs.len() {
            if keeper == self.me {
                return Keeper::Here;
            }
            match self.heirs.get(&keeper) {
                Some((heir, _)) => keeper = *heir,
                None => break,
            }
        }
        self.members.get(&keeper).map_or(Keeper::Gone, |node| Keeper::At(node.clone()))
    }

    /// The heir that a stopping process should choose among `members`.
    ///
    /// Prefers its own zone, and there the incarnation next to its own.
    pub fn choose_heir(me: &Node, members: &[Node]) -> Option<Node> {
        let others = members.iter().filter(|node| node.incarnation != me.incarnation);
        let distance = |node: &&Node| {
            let far = node.zone != me.zone;
            (far, node.incarnation.0.wrapping_sub(me.incarnation.0))
        };
        others.min_by_key(distance).cloned()
    }
}
