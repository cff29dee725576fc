//! Rendezvous hashing: who should own a shard.

use sha2::{Digest, Sha256};

use crate::{ident::Node, order::ShardId};

/// A name's digest, made once and mixed often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NameDigest(u64);

impl NameDigest {
    fn new(name: &str) -> NameDigest {
        let digest = Sha256::digest(name.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        NameDigest(u64::from_be_bytes(head))
    }

    /// The digest of a node's address: a restart there moves no duty.
    pub(crate) fn of_node(node: &Node) -> NameDigest {
        NameDigest::new(&node.addr.to_string())
    }

    /// The digest of a shard's name.
    pub(crate) fn of_shard(shard: &ShardId) -> NameDigest {
        NameDigest::new(&shard.0)
    }
}

/// A node's weight for a shard; the heaviest node should own it.
pub(crate) fn weigh(shard: NameDigest, node: NameDigest) -> u64 {
    finish(shard.0 ^ finish(node.0))
}

/// The finalizer of SplitMix64.
fn finish(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
