//! The root object and the edits that change it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    document::{Access, Document},
    ident::{Incarnation, Node},
    step::{Protocol, Step},
    view::blob::Digest,
};

/// The key of the root in the store.
pub const ROOT_KEY: &str = "view/root";

/// Maximum number of publications listed in the root.
const MAX_PUBLICATIONS: usize = 8;

/// The sequence number of a root; each write increments it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Seq(pub u64);

/// The hash of an API key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 32]);

/// The name of a target.
pub type TargetName = String;

/// Identifies one attempt to publish; drawn at random by the publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PublicationId(pub u64);

/// A published configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Publication {
    /// The attempt to publish that created it.
    pub id: PublicationId,
    /// Its number among all publications, starting at 1.
    pub number: u64,
    /// The first root that contains it.
    pub seq: Seq,
    /// The digest of its manifest.
    pub manifest: Digest,
}

/// A target that gets no new requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Draining {
    /// The target.
    pub target: TargetName,
    /// The root that started the drain.
    pub since: Seq,
}

/// The nodes whose majority accepts a view.
///
/// While `prior` is not empty, a change of voters is in progress, and an
/// acceptance needs a majority of both lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Voters {
    /// The voters in force.
    pub current: Vec<Node>,
    /// The previous voters, until a majority of them holds the change.
    pub prior: Vec<Node>,
    /// The root that set `current`.
    pub since: Seq,
}

impl Voters {
    /// Whether the voters for which `holds` is true are enough to accept a root.
    ///
    /// An incarnation that provably no longer runs may be counted: it cannot
    /// confirm an older view any more.
    pub fn has_quorum(&self, holds: impl Fn(Incarnation) -> bool) -> bool {
        is_majority(&self.current, &holds)
            && (self.prior.is_empty() || is_majority(&self.prior, &holds))
    }

    /// The current and prior voters, without duplicates.
    pub fn all(&self) -> BTreeSet<&Node> {
        self.current.iter().chain(&self.prior).collect()
    }

    /// Whether the node is a current or prior voter.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.current.iter().chain(&self.prior).any(|voter| voter.incarnation == incarnation)
    }
}

/// Whether `holds` is true for more than half of the voters; false for an empty list.
pub(crate) fn is_majority(voters: &[Node], holds: impl Fn(Incarnation) -> bool) -> bool {
    let count = voters.iter().filter(|voter| holds(voter.incarnation)).count();
    count * 2 > voters.len()
}

/// The replicated state that must be the same on every node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Root {
    /// Its sequence number.
    pub seq: Seq,
    /// The most recent publications, oldest first; the last one is in force.
    pub publications: Vec<Publication>,
    /// Withdrawn keys; keys are never removed.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Targets that get no new requests, sorted by name.
    pub draining: Vec<Draining>,
    /// The nodes that accept views.
    pub voters: Voters,
}

/// A change to the root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Replaces the configuration in force by one that was derived from it.
    Publish {
        /// The attempt to publish.
        id: PublicationId,
        /// The manifest of the configuration it was derived from; `None` for the first one.
        base: Option<Digest>,
        /// The digest of its manifest.
        manifest: Digest,
    },
    /// Withdraws keys permanently.
    Withdraw(BTreeSet<KeyHash>),
    /// Starts to drain a target.
    Drain(TargetName),
    /// Ends a drain: the target has been removed or is to serve again.
    EndDrain(Draining),
    /// Starts a change to these voters.
    SetVoters(Vec<Node>),
    /// Finishes the change of voters that was started by this root.
    FinishVoterChange(Seq),
}

/// The reason for which an edit cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum EditError {
    /// The base configuration is no longer in force.
    #[snafu(display("another configuration was published first"))]
    BaseReplaced {
        /// The manifest of the configuration in force.
        in_force: Option<Digest>,
    },
    /// The base configuration is no longer listed in the root, so it is unknown whether this
    /// configuration was published in between.
    #[snafu(display(
        "too many configurations were published since to tell whether this one was in force"
    ))]
    BaseUnknown,
    /// An earlier change of voters is not finished.
    #[snafu(display("an earlier change of voters is not finished"))]
    VoterChangePending,
}

impl Root {
    /// The configuration in force.
    pub fn publication(&self) -> Option<&Publication> {
        self.publications.last()
    }

    /// Whether the target gets no new requests.
    pub fn is_draining(&self, target: &str) -> bool {
        self.draining.iter().any(|drain| drain.target == target)
    }

    fn publish(
        &mut self,
        id: PublicationId,
        base: Option<Digest>,
        manifest: Digest,
    ) -> Result<(), EditError> {
        let in_force = self.publication().map(|publication| publication.manifest);
        if in_force != base {
            let is_recent =
                self.publications.iter().any(|publication| Some(publication.manifest) == base);
            let is_complete =
                self.publications.first().is_none_or(|publication| publication.number == 1);
            ensure!(is_recent || is_complete, BaseUnknownSnafu);
            return BaseReplacedSnafu { in_force }.fail();
        }
        let number = self.publication().map_or(0, |publication| publication.number) + 1;
        self.publications.push(Publication { id, number, seq: self.seq, manifest });
        if self.publications.len() > MAX_PUBLICATIONS {
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
            Edit::Publish { id, .. } => {
                self.publications.iter().any(|publication| publication.id == *id)
            }
            Edit::Withdraw(keys) => keys.is_subset(&self.withdrawn),
            Edit::Drain(target) => self.is_draining(target),
            Edit::EndDrain(drain) => !self.draining.contains(drain),
            Edit::SetVoters(voters) => self.voters.current == *voters,
            Edit::FinishVoterChange(since) => {
                self.voters.since != *since || self.voters.prior.is_empty()
            }
        }
    }

    fn begin_revision(&mut self) {
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
            Edit::EndDrain(drain) => self.draining.retain(|other| other != drain),
            Edit::SetVoters(voters) => {
                ensure!(self.voters.prior.is_empty(), VoterChangePendingSnafu);
                let prior = std::mem::replace(&mut self.voters.current, voters.clone());
                self.voters.prior = prior;
                self.voters.since = self.seq;
            }
            Edit::FinishVoterChange(since) if self.voters.since == *since => {
                self.voters.prior.clear()
            }
            Edit::FinishVoterChange(_) => {}
        }
        Ok(())
    }

    fn step(edit: &Edit, access: Access) -> Step {
        let protocol = match edit {
            Edit::Publish { .. } => Protocol::Publication,
            Edit::Withdraw(_) => Protocol::Withdrawal,
            Edit::Drain(_) | Edit::EndDrain(_) => Protocol::Drain,
            Edit::SetVoters(_) | Edit::FinishVoterChange(_) => Protocol::Membership,
        };
        match access {
            Access::Read => Step::new(protocol, "read root"),
            Access::Write => Step::new(protocol, "write root"),
        }
    }
}
