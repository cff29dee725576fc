//! Rendezvous hashing: who should own a shard.

use sha2::{Digest, Sha256};

use crate::{ident::Node, order::ShardId};

/// A node's weight for a shard; the highest should own it.
///
/// Depends on the address alone, so that a restart moves no duty.
pub fn weigh(shard: &ShardId, node: &Node) -> u64 {
    let digest = Sha256::new()
        .chain_update(shard.0.as_bytes())
        .chain_update([0])
        .chain_update(node.addr.to_string().as_bytes())
        .finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// How many of `others` should own the shard rather than `node`.
pub fn rank<'a>(shard: &ShardId, node: &Node, others: impl IntoIterator<Item = &'a Node>) -> usize {
    let key = |node: &Node| (weigh(shard, node), node.incarnation);
    let mine = key(node);
    others.into_iter().filter(|other| key(other) > mine).count()
}
