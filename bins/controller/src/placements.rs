//! Orders for the targets that the placements ask for.

use chervilgate_coord::{ReceiverId, ShardId, intent::Wish};
use chervilgate_model::{Config, Placement, ZoneCount};

use crate::{
    orders::Content,
    shards::{Duty, shard_of},
};

/// The orders that the placements ask for in the owned shards.
pub(crate) fn wanted_orders(config: &Config, owned: impl Fn(&ShardId) -> bool) -> Vec<Wish> {
    let placed = config.placements.values().flat_map(|placement| {
        placement
            .zones
            .iter()
            .flat_map(move |(zone, count)| orders_of(placement, zone.as_str(), *count))
    });
    placed.filter(|wish| owned(&wish.receiver.shard)).collect()
}

fn orders_of(placement: &Placement, zone: &str, count: ZoneCount) -> [Wish; 2] {
    let order = |count: u32, cheap: bool| {
        let service = placement.service.to_string();
        let pool =
            format!("{}/{service}/{}", placement.name, if cheap { "cheap" } else { "steady" });
        let content = Content::Targets { zone: zone.to_owned(), service, count, cheap };
        Wish {
            receiver: ReceiverId {
                shard: shard_of(Duty::Targets, zone),
                name: format!("{zone}/{pool}"),
            },
            fencing: false,
            body: content.to_body(),
            cause: None,
        }
    };
    [order(count.steady, false), order(count.cheap, true)]
}
