//! Rendezvous hashing of shared prompt parts over targets.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::protocol::Prompt;

/// What requests that should share a cache have in common: the last part of the
/// prompt that is not the request's own.
pub(super) fn affinity(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].last().or(prompt.parts.last()).map_or(0, |part| part.id)
}

/// The rank of a target for an affinity; the highest one owns it.
pub(super) fn rank(affinity: u64, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    affinity.hash(&mut hasher);
    target.hash(&mut hasher);
    hasher.finish()
}
