//! Subsetting: which targets of a large fleet a host tracks.
//!
//! A host cannot track the load of every target: with 610 targets that report once a second,
//! reports would take ten times the traffic allowed for control messages. Each host tracks a
//! subset chosen by rendezvous hashing, which spreads hosts over all targets and changes few
//! subsets when the fleet changes.

use crate::{HostId, TargetId, Zone};

#[cfg(test)]
mod tests;

/// A target and its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLocation {
    /// The target.
    pub id: TargetId,
    /// The zone that the target runs in.
    pub zone: Zone,
}

/// Chooses the `size` targets of a service that `host`, in `zone`, tracks and sends requests
/// to.
///
/// Half of them are in the host's zone if it has enough; the rest are in other zones, so that
/// every host keeps some targets when a zone is lost.
pub fn choose_subset(
    host: HostId,
    zone: Zone,
    targets: &[TargetLocation],
    size: usize,
) -> Vec<TargetId> {
    let (mut local, mut remote): (Vec<TargetLocation>, Vec<TargetLocation>) =
        targets.iter().partition(|location| location.zone == zone);
    local.sort_by_key(|location| rendezvous_rank(host, location.id));
    remote.sort_by_key(|location| rendezvous_rank(host, location.id));
    let from_local = size.div_ceil(2).max(size.saturating_sub(remote.len())).min(local.len());
    let local = local.into_iter().take(from_local);
    let remote = remote.into_iter().take(size - from_local);
    local.chain(remote).map(|location| location.id).collect()
}

/// Hashes a host and a target into a sort key with the SplitMix64 finalizer.
fn rendezvous_rank(host: HostId, target: TargetId) -> u64 {
    let mut x = (u64::from(host.0) << 32 | u64::from(target.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
