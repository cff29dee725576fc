//! Rendezvous hashing, which decides which process should own a shard.

use sha2::{Digest, Sha256};

use crate::{ident::Node, order::ShardId};

/// The digest of a name, computed once and combined with many others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NameDigest(u64);

impl NameDigest {
    fn new(name: &str) -> NameDigest {
        let digest = Sha256::digest(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        NameDigest(u64::from_be_bytes(first))
    }

    /// The digest of a node's address, so that a restarted process keeps its rank.
    pub(crate) fn of_node(node: &Node) -> NameDigest {
        NameDigest::new(&node.addr.to_string())
    }

    /// The digest of a shard's name.
    pub(crate) fn of_shard(shard: &ShardId) -> NameDigest {
        NameDigest::new(&shard.0)
    }
}

/// A node's weight for a shard; the node with the highest weight should own it.
pub(crate) fn rendezvous_weight(shard: NameDigest, node: NameDigest) -> u64 {
    splitmix_finalize(shard.0 ^ splitmix_finalize(node.0))
}

/// The finalizer of SplitMix64.
fn splitmix_finalize(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
