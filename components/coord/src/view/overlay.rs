//! Who follows whom.
//!
//! Rendezvous hashing orders the members of a zone, so that nodes agree without
//! talking and a change moves few edges. The first two watch the platform; the
//! others hang below them as a tree in which each node has two parents.

use std::cmp::Reverse;

use crate::{
    ident::{Node, Zone},
    view::{blob::Digest, root::Voters},
};

/// Relays of a zone.
const RELAYS: usize = 2;

/// Nodes that take a node as their first parent.
const FANOUT: usize = 4;

/// The most voters; with fewer members each of them is one.
const MAX_VOTERS: usize = 9;

/// A node's place.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Overlay {
    /// Whether the node watches the platform.
    pub relay: bool,
    /// Whether it is the first relay of all, which keeps the voters.
    pub first: bool,
    /// Nodes to follow, best first.
    pub parents: Vec<Node>,
}

impl Overlay {
    /// The place of `me` among `members`.
    pub fn plan(me: &Node, members: &[Node]) -> Overlay {
        let order = order_zone(&me.zone, members);
        let Some(place) = order.iter().position(|node| node.incarnation == me.incarnation) else {
            return Overlay { parents: order.into_iter().cloned().collect(), ..Overlay::default() };
        };
        let first = members.iter().max_by_key(|node| score(&Zone(String::new()), node));
        let first = first.is_some_and(|node| node.incarnation == me.incarnation);
        let relay = place < RELAYS;
        let mut parents: Vec<Node> = Vec::new();
        if let Some(parent) = place.checked_sub(RELAYS).map(|below| below / FANOUT) {
            parents.push(order[parent].clone());
            parents.push(order[parent ^ 1].clone());
        }
        let rest = order[..place.max(RELAYS).min(order.len())].iter().copied();
        for node in rest.chain(other_relays(me, members)) {
            if node.incarnation != me.incarnation && !parents.contains(node) {
                parents.push(node.clone());
            }
        }
        Overlay { relay, first, parents }
    }
}

/// The voters for the members that are live, keeping those there are.
///
/// Spreads them evenly over the zones.
pub fn elect_voters(present: &Voters, members: &[Node]) -> Vec<Node> {
    let mut zones: Vec<&Zone> = members.iter().map(|node| &node.zone).collect();
    zones.sort();
    zones.dedup();
    let mut ranked: Vec<(usize, &Node)> = Vec::new();
    for zone in zones {
        let mut order = order_zone(zone, members);
        order.sort_by_key(|node| !present.current.contains(node));
        ranked.extend(order.into_iter().enumerate());
    }
    ranked.sort_by_key(|(place, _)| *place);
    let mut voters: Vec<Node> =
        ranked.into_iter().take(MAX_VOTERS).map(|(_, voter)| voter.clone()).collect();
    voters.sort();
    voters
}

fn order_zone<'a>(zone: &Zone, members: &'a [Node]) -> Vec<&'a Node> {
    let mut order: Vec<&Node> = members.iter().filter(|node| node.zone == *zone).collect();
    order.sort_by_cached_key(|node| (Reverse(score(zone, node)), node.incarnation));
    order
}

fn other_relays<'a>(me: &Node, members: &'a [Node]) -> Vec<&'a Node> {
    let mut zones: Vec<&Zone> = members.iter().map(|node| &node.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| **zone != me.zone);
    let mut relays: Vec<&Node> =
        zones.iter().flat_map(|zone| order_zone(zone, members).into_iter().take(RELAYS)).collect();
    relays.sort_by_cached_key(|node| score(&me.zone, node));
    relays
}

fn score(zone: &Zone, node: &Node) -> u64 {
    let mut bytes = zone.0.as_bytes().to_vec();
    bytes.extend(node.incarnation.0.to_be_bytes());
    let digest = Digest::of(&bytes);
    u64::from_be_bytes([0, 1, 2, 3, 4, 5, 6, 7].map(|at| digest.0[at]))
}
