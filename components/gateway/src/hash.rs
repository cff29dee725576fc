//! One hash for what hosts have to rank alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The same on every host.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
