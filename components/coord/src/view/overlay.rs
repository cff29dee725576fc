//! The distribution tree: which nodes each node follows.
//!
//! Rendezvous hashing ranks the members of a zone, so that nodes agree without
//! communication and a change of members changes few connections. The first two
//! members are relays, which watch the root in the store; the others form a tree
//! below them in which each node has two parents.

use std::cmp::Reverse;

use crate::{
    ident::{Node, Zone},
    view::{blob::Digest, root::Voters},
};

/// Number of relays in each zone.
const RELAYS_PER_ZONE: usize = 2;

/// Number of nodes that have the same first parent.
const TREE_FANOUT: usize = 4;

/// Maximum number of voters; with fewer members, every member is a voter.
const MAX_VOTERS: usize = 9;

/// A node's position in the distribution tree.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Overlay {
    /// Whether the node watches the root in the store.
    pub relay: bool,
    /// Whether the node is the one member that updates the list of voters.
    pub manages_voters: bool,
    /// Nodes to follow, in order of preference.
    pub parents: Vec<Node>,
}

impl Overlay {
    /// Computes the position of `me` among `members`.
    pub fn plan(me: &Node, members: &[Node]) -> Overlay {
        let ranking = rank_zone(&me.zone, members);
        let Some(rank) = ranking.iter().position(|node| node.incarnation == me.incarnation) else {
            return Overlay {
                parents: ranking.into_iter().cloned().collect(),
                ..Overlay::default()
            };
        };
        // An empty zone name gives one ranking over all members.
        let first = members.iter().max_by_key(|node| rendezvous_weight(&Zone(String::new()), node));
        let manages_voters = first.is_some_and(|node| node.incarnation == me.incarnation);
        let relay = rank < RELAYS_PER_ZONE;
        let mut parents: Vec<Node> = Vec::new();
        if let Some(parent) = rank.checked_sub(RELAYS_PER_ZONE).map(|index| index / TREE_FANOUT) {
            parents.push(ranking[parent].clone());
            // The second parent is the other member of the parent's pair.
            parents.push(ranking[parent ^ 1].clone());
        }
        let earlier = ranking[..rank.max(RELAYS_PER_ZONE).min(ranking.len())].iter().copied();
        for node in earlier.chain(other_relays(me, members)) {
            if node.incarnation != me.incarnation && !parents.contains(node) {
                parents.push(node.clone());
            }
        }
        Overlay { relay, manages_voters, parents }
    }
}

/// Selects voters from the live members, evenly across zones.
///
/// Prefers the voters in force, so that few of them change.
pub fn select_voters(in_force: &Voters, members: &[Node]) -> Vec<Node> {
    let mut zones: Vec<&Zone> = members.iter().map(|node| &node.zone).collect();
    zones.sort();
    zones.dedup();
    let mut ranked: Vec<(usize, &Node)> = Vec::new();
    for zone in zones {
        let mut ranking = rank_zone(zone, members);
        ranking.sort_by_key(|node| !in_force.current.contains(node));
        ranked.extend(ranking.into_iter().enumerate());
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let mut voters: Vec<Node> =
        ranked.into_iter().take(MAX_VOTERS).map(|(_, voter)| voter.clone()).collect();
    voters.sort();
    voters
}

fn rank_zone<'a>(zone: &Zone, members: &'a [Node]) -> Vec<&'a Node> {
    let mut ranking: Vec<&Node> = members.iter().filter(|node| node.zone == *zone).collect();
    ranking.sort_by_cached_key(|node| (Reverse(rendezvous_weight(zone, node)), node.incarnation));
    ranking
}

fn other_relays<'a>(me: &Node, members: &'a [Node]) -> Vec<&'a Node> {
    let mut zones: Vec<&Zone> = members.iter().map(|node| &node.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| **zone != me.zone);
    let mut relays: Vec<&Node> = zones
        .iter()
        .flat_map(|zone| rank_zone(zone, members).into_iter().take(RELAYS_PER_ZONE))
        .collect();
    relays.sort_by_cached_key(|node| rendezvous_weight(&me.zone, node));
    relays
}

fn rendezvous_weight(zone: &Zone, node: &Node) -> u64 {
    let mut bytes = zone.0.as_bytes().to_vec();
    bytes.extend(node.incarnation.0.to_be_bytes());
    let digest = Digest::of(&bytes);
    u64::from_be_bytes([0, 1, 2, 3, 4, 5, 6, 7].map(|index| digest.0[index]))
}
