//! A hash that is the same on every host.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes a value with fixed keys, so that all hosts rank alike.
pub(crate) fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
