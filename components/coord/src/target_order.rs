//! Orders for targets, one shard per availability zone.
//!
//! Each zone is a shard and each pool of targets in it a receiver, so two
//! processes never order for one zone, and a new owner finishes the stored
//! order of its predecessor. The platform does not check fencing tokens, so the
//! pools are receivers without fencing.
//!
//! A reclaim of targets carries a number, which is stored together with the
//! intent of its replacement. So each reclaim is answered by one order, whoever
//! owns the shard, and a replacement never exceeds a limit.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    codec::encode,
    ident::Zone,
    intent::{NewOrder, OrderError},
    order::{ReceiverId, ShardId},
};

/// A change of a pool of targets, ordered from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetOrder {
    /// Start additional targets.
    Add {
        /// The number of targets to start.
        count: u32,
    },
    /// Give targets back to the platform.
    Return {
        /// Their names.
        targets: Vec<String>,
    },
}

/// Targets that the platform has taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reclaim {
    /// Increases with each reclaim in the pool.
    pub number: u64,
    /// Number of targets lost.
    pub lost: u32,
}

/// The shard of a zone's target orders.
pub fn zone_shard(zone: &Zone) -> ShardId {
    ShardId(format!("targets-{}", zone.0))
}

/// Reclaims of a zone that are still to be answered, kept by the owner of its shard.
#[derive(Debug, Clone)]
pub struct ZoneOrders {
    zone: Zone,
    max_replacement: u32,
    reclaims: BTreeMap<String, VecDeque<Reclaim>>,
}

impl ZoneOrders {
    /// Creates the state of a zone without reclaims.
    ///
    /// A replacement orders at most `max_replacement` targets.
    pub fn new(zone: Zone, max_replacement: u32) -> ZoneOrders {
        ZoneOrders { zone, max_replacement, reclaims: BTreeMap::new() }
    }

    /// The receiver of orders for a pool.
    pub fn receiver(&self, pool: &str) -> ReceiverId {
        ReceiverId { shard: zone_shard(&self.zone), name: pool.to_owned() }
    }

    /// Adds a reclaim; one with a number not above the pool's last is ignored.
    pub fn add_reclaim(&mut self, pool: &str, reclaim: Reclaim) {
        let known = self.reclaims.entry(pool.to_owned()).or_default();
        if known.back().is_none_or(|last| last.number < reclaim.number) {
            known.push_back(reclaim);
        }
    }

    /// The order for the oldest unanswered reclaim of each pool.
    pub fn due_requests(&self) -> impl Iterator<Item = NewOrder> {
        self.reclaims.iter().filter_map(|(pool, reclaims)| {
            let reclaim = reclaims.front()?;
            let order = TargetOrder::Add { count: reclaim.lost.min(self.max_replacement) };
            Some(NewOrder {
                receiver: self.receiver(pool),
                fencing: false,
                body: encode(&order),
                cause: Some(reclaim.number),
            })
        })
    }

    /// Handles the result of requesting an order from [`ZoneOrders::due_requests`].
    ///
    /// An accepted order stays due until [`OrderError::Stale`] shows that it is
    /// stored, since the shard may be lost before.
    pub fn handle_result(&mut self, request: &NewOrder, result: Result<(), OrderError>) {
        if result != Err(OrderError::Stale) {
            return;
        }
        if let Some(reclaims) = self.reclaims.get_mut(&request.receiver.name) {
            reclaims.retain(|reclaim| Some(reclaim.number) > request.cause);
        }
    }
}
