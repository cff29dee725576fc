//! Decides when a change is accepted.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ident::{Incarnation, Node},
    view::root::{Seq, Voters},
};

/// The views that the voters are known to hold.
#[derive(Debug, Clone, Default)]
pub struct Acceptance {
    held: BTreeMap<Incarnation, Seq>,
    stopped: BTreeSet<Incarnation>,
}

impl Acceptance {
    /// Records that a node holds view `seq`; a lower number than before is ignored.
    pub fn note_held(&mut self, incarnation: Incarnation, seq: Seq) {
        let held = self.held.entry(incarnation).or_default();
        *held = seq.max(*held);
    }

    /// Records proof that an incarnation no longer runs, so that it counts as holding every view.
    pub fn note_stopped(&mut self, incarnation: Incarnation) {
        self.stopped.insert(incarnation);
    }

    /// Removes nodes that are not voters.
    pub fn retain(&mut self, voters: &Voters) {
        self.held.retain(|incarnation, _| voters.contains(*incarnation));
        self.stopped.retain(|incarnation| voters.contains(*incarnation));
    }

    /// Whether the root `seq`, which the store already holds, is accepted.
    pub fn accepts(&self, voters: &Voters, seq: Seq) -> bool {
        voters.has_quorum(|voter| self.holds(voter, seq))
    }

    /// Voters that are not known to hold `seq`.
    pub fn lagging(&self, voters: &Voters, seq: Seq) -> Vec<Node> {
        let is_lagging = |voter: &&Node| !self.holds(voter.incarnation, seq);
        voters.all().into_iter().filter(is_lagging).cloned().collect()
    }

    fn holds(&self, voter: Incarnation, seq: Seq) -> bool {
        self.stopped.contains(&voter) || self.held.get(&voter).is_some_and(|held| *held >= seq)
    }
}
