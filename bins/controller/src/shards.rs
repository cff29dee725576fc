//! Division of the controllers' work into shards, which is the same on all controllers.

use std::fmt;

use chervilgate_coord::ShardId;
use sha2::{Digest, Sha256};

/// Number of shards of each kind. Must equal `USAGE_GROUPS` of the entry.
const SHARDS_PER_KIND: u8 = 16;

/// The kind of work that a shard covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShardKind {
    /// Orders to engines, sharded by service.
    Engines,
    /// Orders for targets, sharded by availability zone.
    Targets,
    /// Usage windows, sharded by organisation.
    Usage,
}

impl fmt::Display for ShardKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ShardKind::Engines => "engines",
            ShardKind::Targets => "targets",
            ShardKind::Usage => "usage",
        })
    }
}

/// Returns the shards of all kinds.
pub(crate) fn all_shards() -> Vec<ShardId> {
    let kinds = [ShardKind::Engines, ShardKind::Targets, ShardKind::Usage];
    kinds.iter().flat_map(|kind| (0..SHARDS_PER_KIND).map(|index| shard(*kind, index))).collect()
}

/// Returns the shard of `name`, which is what its kind is sharded by.
pub(crate) fn shard_of(kind: ShardKind, name: &str) -> ShardId {
    shard(kind, Sha256::digest(name.as_bytes())[0] % SHARDS_PER_KIND)
}

/// Whether the shard is of this kind.
pub(crate) fn has_kind(shard: &ShardId, kind: ShardKind) -> bool {
    shard.0.split('/').next().is_some_and(|prefix| prefix == kind.to_string())
}

fn shard(duty: ShardKind, group: u8) -> ShardId {
    ShardId(format!("{duty}/{group:02}"))
}
