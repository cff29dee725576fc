//! Rendezvous hashing of shared prompt parts over targets.

use crate::{hash::hash, protocol::Prompt};

/// What requests that should share a cache have in common: the last part of the
/// prompt that is not the request's own.
pub(super) fn affinity(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].last().or(prompt.parts.last()).map_or(0, |part| part.id)
}

/// The rank of a target for an affinity; the highest one owns it, and a target with
/// twice the weight owns twice as many.
pub(super) fn rank(affinity: u64, target: &str, weight: f64) -> f64 {
    let uniform = (hash(&(affinity, target)) >> 11) as f64 / (1u64 << 53) as f64;
    -weight / uniform.max(f64::MIN_POSITIVE).ln()
}
