//! When a change counts as accepted.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ident::{Incarnation, Node},
    view::root::{Seq, Voters},
};

/// What the voters are known to hold.
#[derive(Debug, Clone, Default)]
pub struct Acceptance {
    held: BTreeMap<Incarnation, Seq>,
    out: BTreeSet<Incarnation>,
}

impl Acceptance {
    /// Notes that a node holds a view; a lower number than before is passed over.
    pub fn note_held(&mut self, node: Incarnation, seq: Seq) {
        let held = self.held.entry(node).or_default();
        *held = seq.max(*held);
    }

    /// Notes that an incarnation is proved out and vouches for nothing any more.
    pub fn note_out(&mut self, node: Incarnation) {
        self.out.insert(node);
    }

    /// Forgets nodes that are no voters.
    pub fn retain(&mut self, voters: &Voters) {
        self.held.retain(|node, _| voters.contains(*node));
        self.out.retain(|node| voters.contains(*node));
    }

    /// Whether the root numbered `seq`, which the platform holds, is accepted.
    pub fn accepts(&self, voters: &Voters, seq: Seq) -> bool {
        voters.accept(|voter| self.holds(voter, seq))
    }

    /// Voters that are not known to hold `seq`.
    pub fn lagging(&self, voters: &Voters, seq: Seq) -> Vec<Node> {
        let lags = |voter: &&Node| !self.holds(voter.incarnation, seq);
        voters.all().into_iter().filter(lags).cloned().collect()
    }

    fn holds(&self, voter: Incarnation, seq: Seq) -> bool {
        self.out.contains(&voter) || self.held.get(&voter).is_some_and(|held| *held >= seq)
    }
}
