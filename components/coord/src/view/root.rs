//! The root object and the edits that move it on.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    document::{Access, Document},
    ident::{Incarnation, Node},
    step::{Protocol, Step},
    view::blob::Digest,
};

/// The root's name in the platform.
pub const ROOT_KEY: &str = "view/root";

/// Publications that the root itself remembers.
const RECENT_PUBLICATIONS: usize = 8;

/// Numbers the roots; each write adds one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Seq(pub u64);

/// The hash of a key; the key itself is never kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 32]);

/// A target's name.
pub type TargetName = String;

/// Names one attempt to publish; drawn at random by the publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PublicationId(pub u64);

/// A published configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Publication {
    /// The attempt that published it.
    pub id: PublicationId,
    /// Its number, from 1.
    pub number: u64,
    /// The root that brought it.
    pub seq: Seq,
    /// Its manifest.
    pub manifest: Digest,
}

/// A target that gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Draining {
    /// The target.
    pub target: TargetName,
    /// The root that began the drain.
    pub since: Seq,
}

/// The nodes whose majority vouches for a view.
///
/// While `prior` is not empty, the change from it is not settled yet, and an
/// acceptance needs a majority of both.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Voters {
    /// The voters in force.
    pub current: Vec<Node>,
    /// The voters before them, until a majority of those has met the change.
    pub prior: Vec<Node>,
    /// The root that brought `current`.
    pub since: Seq,
}

impl Voters {
    /// Whether those for whom `holds` is true accept a root.
    ///
    /// An incarnation that is proved out may be counted as holding: it cannot
    /// vouch for an older view any more.
    pub fn accept(&self, holds: impl Fn(Incarnation) -> bool) -> bool {
        majority(&self.current, &holds) && (self.prior.is_empty() || majority(&self.prior, &holds))
    }

    /// Every voter, each once.
    pub fn all(&self) -> BTreeSet<&Node> {
        self.current.iter().chain(&self.prior).collect()
    }

    /// Whether the node is a voter.
    pub fn contains(&self, node: Incarnation) -> bool {
        self.current.iter().chain(&self.prior).any(|voter| voter.incarnation == node)
    }
}

/// Whether `holds` is true of more than half; never of an empty list.
pub(crate) fn majority(voters: &[Node], holds: impl Fn(Incarnation) -> bool) -> bool {
    let count = voters.iter().filter(|voter| holds(voter.incarnation)).count();
    count * 2 > voters.len()
}

/// What every node has to know alike.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Root {
    /// Its number.
    pub seq: Seq,
    /// The latest publications, oldest first; the last one is in force.
    pub publications: Vec<Publication>,
    /// Withdrawn keys; only ever grows.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Targets that get no new work, by name.
    pub draining: Vec<Draining>,
    /// Who vouches for views.
    pub voters: Voters,
}

/// A change to the root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Puts a configuration into force, in place of the one it was made from.
    Publish {
        /// The attempt.
        id: PublicationId,
        /// The manifest it was made from; `None` for the first one.
        base: Option<Digest>,
        /// Its manifest.
        manifest: Digest,
    },
    /// Withdraws keys for good.
    Withdraw(BTreeSet<KeyHash>),
    /// Begins to drain a target.
    Drain(TargetName),
    /// Ends a drain: the target is gone, or is to serve again.
    EndDrain(Draining),
    /// Replaces the voters.
    Elect(Vec<Node>),
    /// Notes that the change of voters made by this root is settled.
    Settle(Seq),
}

/// Why an edit cannot be made.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum EditError {
    /// Another configuration was published meanwhile.
    #[snafu(display("another configuration has been published"))]
    Overtaken {
        /// The manifest in force.
        present: Option<Digest>,
    },
    /// So many configurations were published meanwhile that the root no longer
    /// tells whether this one was among them.
    #[snafu(display("too many configurations have been published to tell"))]
    Forgotten,
    /// An earlier change of voters is not settled.
    #[snafu(display("an earlier change of voters is not settled"))]
    Unsettled,
}

impl Root {
    /// The configuration in force.
    pub fn publication(&self) -> Option<&Publication> {
        self.publications.last()
    }

    /// Whether the target gets no new work.
    pub fn is_draining(&self, target: &str) -> bool {
        self.draining.iter().any(|drain| drain.target == target)
    }

    fn publish(
        &mut self,
        id: PublicationId,
        base: Option<Digest>,
        manifest: Digest,
    ) -> Result<(), EditError> {
        let present = self.publication().map(|made| made.manifest);
        if present != base {
            let known = self.publications.iter().any(|made| Some(made.manifest) == base);
            let whole = self.publications.first().is_none_or(|made| made.number == 1);
            ensure!(known || whole, ForgottenSnafu);
            return OvertakenSnafu { present }.fail();
        }
        let number = self.publication().map_or(0, |made| made.number) + 1;
        self.publications.push(Publication { id, number, seq: self.seq, manifest });
        if self.publications.len() > RECENT_PUBLICATIONS {
            self.publications.remove(0);
        }
        Ok(())
    }
}

impl Document for Root {
    type Edit = Edit;
    type Error = EditError;

    fn contains(&self, edit: &Edit) -> bool {
        match edit {
            Edit::Publish { id, .. } => self.publications.iter().any(|made| made.id == *id),
            Edit::Withdraw(keys) => keys.is_subset(&self.withdrawn),
            Edit::Drain(target) => self.is_draining(target),
            Edit::EndDrain(drain) => !self.draining.contains(drain),
            Edit::Elect(voters) => self.voters.current == *voters,
            Edit::Settle(since) => self.voters.since != *since || self.voters.prior.is_empty(),
        }
    }

    fn revise(&mut self) {
        self.seq.0 += 1;
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), EditError> {
        match edit {
            Edit::Publish { id, base, manifest } => self.publish(*id, *base, *manifest)?,
            Edit::Withdraw(keys) => self.withdrawn.extend(keys),
            Edit::Drain(target) if !self.is_draining(target) => {
                self.draining.push(Draining { target: target.clone(), since: self.seq });
                self.draining.sort();
            }
            Edit::Drain(_) => {}
            Edit::EndDrain(drain) => self.draining.retain(|present| present != drain),
            Edit::Elect(voters) => {
                ensure!(self.voters.prior.is_empty(), UnsettledSnafu);
                let prior = std::mem::replace(&mut self.voters.current, voters.clone());
                self.voters.prior = prior;
                self.voters.since = self.seq;
            }
            Edit::Settle(since) if self.voters.since == *since => self.voters.prior.clear(),
            Edit::Settle(_) => {}
        }
        Ok(())
    }

    fn step(edit: &Edit, access: Access) -> Step {
        let protocol = match edit {
            Edit::Publish { .. } => Protocol::Publication,
            Edit::Withdraw(_) => Protocol::Withdrawal,
            Edit::Drain(_) | Edit::EndDrain(_) => Protocol::Drain,
            Edit::Elect(_) | Edit::Settle(_) => Protocol::Membership,
        };
        match access {
            Access::Read => Step::new(protocol, "read root"),
            Access::Write => Step::new(protocol, "write root"),
        }
    }
}
