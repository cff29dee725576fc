//! Rendezvous hashing of shared prompt parts over targets.

use crate::{hash::stable_hash, protocol::Prompt};

/// The key by which requests are assigned to engines: the last shared part of the
/// prompt, or its only part.
pub(super) fn affinity(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].last().or(prompt.parts.last()).map_or(0, |part| part.id)
}

/// The rank of a target for an affinity key. The target with the highest rank owns the
/// key; a target with twice the weight owns twice as many keys.
pub(super) fn rank(affinity: u64, target: &str, weight: f64) -> f64 {
    let uniform = (stable_hash(&(affinity, target)) >> 11) as f64 / (1u64 << 53) as f64;
    -weight / uniform.max(f64::MIN_POSITIVE).ln()
}
