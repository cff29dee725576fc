//! The part of a large fleet that one host knows.
//!
//! A host cannot hear of the load of every target: 610 targets that report once a
//! second would cost it ten times the traffic that it may spend on control. It
//! follows a subset, chosen by rendezvous hashing, so that hosts spread over all
//! targets and a change of the fleet moves few of them.

use crate::{HostId, TargetId, Zone};

#[cfg(test)]
mod tests;

/// A target and its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The target.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: Zone,
}

/// The `size` targets of a service that `host`, in `zone`, follows and sends to.
///
/// Half of them are in the host's zone if it has as many; the others are spread
/// over the rest, so that a lost zone leaves each host with targets.
pub fn choose_view(host: HostId, zone: Zone, targets: &[Place], size: usize) -> Vec<TargetId> {
    let (mut near, mut far): (Vec<Place>, Vec<Place>) =
        targets.iter().partition(|place| place.zone == zone);
    near.sort_by_key(|place| rank(host, place.id));
    far.sort_by_key(|place| rank(host, place.id));
    let from_near = size.div_ceil(2).max(size.saturating_sub(far.len())).min(near.len());
    let near = near.into_iter().take(from_near);
    let far = far.into_iter().take(size - from_near);
    near.chain(far).map(|place| place.id).collect()
}

/// Mixes host and target into a rank; the constants are those of SplitMix64.
fn rank(host: HostId, target: TargetId) -> u64 {
    let mut x = (u64::from(host.0) << 32 | u64::from(target.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
