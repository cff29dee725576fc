//! How duty is cut into shards, the same on all controllers.

use std::fmt;

use chervilgate_coord::ShardId;
use sha2::{Digest, Sha256};

/// Shards of each kind of duty.
const GROUPS: u8 = 16;

/// A kind of duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Orders to engines, by service.
    Engines,
    /// Orders for targets, by availability zone.
    Targets,
    /// Usage windows, by organisation.
    Usage,
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Duty::Engines => "engines",
            Duty::Targets => "targets",
            Duty::Usage => "usage",
        })
    }
}

/// Every shard there is.
pub(crate) fn all_shards() -> Vec<ShardId> {
    let duties = [Duty::Engines, Duty::Targets, Duty::Usage];
    duties.iter().flat_map(|duty| (0..GROUPS).map(|group| shard(*duty, group))).collect()
}

/// The shard that looks after `name`.
pub(crate) fn shard_of(duty: Duty, name: &str) -> ShardId {
    shard(duty, Sha256::digest(name.as_bytes())[0] % GROUPS)
}

/// Whether a shard is one of this duty.
pub(crate) fn is_duty(shard: &ShardId, duty: Duty) -> bool {
    shard.0.split('/').next().is_some_and(|kind| kind == duty.to_string())
}

fn shard(duty: Duty, group: u8) -> ShardId {
    ShardId(format!("{duty}/{group:02}"))
}
