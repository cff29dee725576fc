//! Derives target orders from the placements in the configuration.

use chervilgate_coord::{ReceiverId, ShardId, intent::NewOrder};
use chervilgate_model::{Config, Placement, ZoneCount};

use crate::{
    orders::OrderBody,
    shards::{ShardKind, shard_of},
};

/// Returns an order for each placement, zone and price tier in the owned shards.
pub(crate) fn placement_orders(config: &Config, owned: impl Fn(&ShardId) -> bool) -> Vec<NewOrder> {
    let orders = config.placements.values().flat_map(|placement| {
        placement
            .zones
            .iter()
            .flat_map(move |(zone, count)| zone_orders(placement, zone.as_str(), *count))
    });
    orders.filter(|order| owned(&order.receiver.shard)).collect()
}

/// Returns the orders for steady and for cheap targets.
fn zone_orders(placement: &Placement, zone: &str, count: ZoneCount) -> [NewOrder; 2] {
    let order = |count: u32, cheap: bool| {
        let service = placement.service.to_string();
        let pool =
            format!("{}/{service}/{}", placement.name, if cheap { "cheap" } else { "steady" });
        let order_body = OrderBody::Targets { zone: zone.to_owned(), service, count, cheap };
        NewOrder {
            receiver: ReceiverId {
                shard: shard_of(ShardKind::Targets, zone),
                name: format!("{zone}/{pool}"),
            },
            fencing: false,
            body: order_body.to_bytes(),
            cause: None,
        }
    };
    [order(count.steady, false), order(count.cheap, true)]
}
