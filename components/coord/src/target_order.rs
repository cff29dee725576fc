//! Target orders, availability zone by availability zone.
//!
//! Each zone is a shard of its own, and each pool of targets in it a receiver:
//! so two processes never order for one zone, and a new owner finishes what
//! its predecessor wrote down. The platform does not check fencing tokens, so
//! its pools count as receivers that do not.
//!
//! A reclaim of targets carries a number. The number is stored together with
//! the intent of its replacement, so that each reclaim is answered once, by
//! whichever owner comes first, and never beyond a limit.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    codec::encode,
    ident::Zone,
    intent::{Wish, WishError},
    order::{ReceiverId, ShardId},
};

/// What the platform is asked to change in a pool of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetOrder {
    /// Start this many targets more.
    Add {
        /// How many.
        count: u32,
    },
    /// Take these targets back.
    Return {
        /// Their names.
        targets: Vec<String>,
    },
}

/// Targets that the platform has taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reclaim {
    /// Grows with each reclaim in the pool.
    pub number: u64,
    /// Targets lost.
    pub lost: u32,
}

/// The name of a zone's shard.
pub fn zone_shard(zone: &Zone) -> ShardId {
    ShardId(format!("targets-{}", zone.0))
}

/// A zone's target orders on behalf of its owner.
#[derive(Debug, Clone)]
pub struct ZoneOrders {
    zone: Zone,
    limit: u32,
    reclaims: BTreeMap<String, VecDeque<Reclaim>>,
}

impl ZoneOrders {
    /// No reclaim known; no replacement is for more than `limit` targets.
    pub fn new(zone: Zone, limit: u32) -> ZoneOrders {
        ZoneOrders { zone, limit, reclaims: BTreeMap::new() }
    }

    /// The receiver of a pool's orders.
    pub fn receiver(&self, pool: &str) -> ReceiverId {
        ReceiverId { shard: zone_shard(&self.zone), name: pool.to_owned() }
    }

    /// Takes a reclaim; reclaims of a pool come in order of their numbers.
    pub fn reclaim(&mut self, pool: &str, reclaim: Reclaim) {
        let known = self.reclaims.entry(pool.to_owned()).or_default();
        if known.back().is_none_or(|last| last.number < reclaim.number) {
            known.push_back(reclaim);
        }
    }

    /// The next replacement of each pool that is due.
    pub fn due(&self) -> impl Iterator<Item = Wish> {
        self.reclaims.iter().filter_map(|(pool, reclaims)| {
            let reclaim = reclaims.front()?;
            let order = TargetOrder::Add { count: reclaim.lost.min(self.limit) };
            Some(Wish {
                receiver: self.receiver(pool),
                fencing: false,
                body: encode(&order),
                cause: Some(reclaim.number),
            })
        })
    }

    /// Takes what became of a replacement that was due.
    ///
    /// One that was accepted stays due until it is seen to be stored: its
    /// owner may lose the shard before.
    pub fn offered(&mut self, wish: &Wish, result: Result<(), WishError>) {
        if result != Err(WishError::Stale) {
            return;
        }
        if let Some(reclaims) = self.reclaims.get_mut(&wish.receiver.name) {
            reclaims.retain(|reclaim| Some(reclaim.number) > wish.cause);
        }
    }
}
