//! A small world of owners, shards and receivers.

use std::time::Duration;

use chervilgate_coord::{Guards, ReceiverId, ShardId, Terms};

use crate::{
    bed::Bed,
    owner::{Owner, OwnerSetting, ReceiverSetting, record_receivers},
    receiver::{FakeEngine, FakePlatform},
};

/// How large a world is and how its parts behave.
#[derive(Debug, Clone)]
pub struct WorldSetting {
    /// Seeds everything.
    pub seed: u64,
    /// Hosts, spread over three zones.
    pub hosts: usize,
    /// Shards of engines, each with one engine that checks fencing tokens and
    /// one that does not.
    pub engine_shards: usize,
    /// Shards of target orders, each with one pool.
    pub zone_shards: usize,
    /// From one order to a receiver to the next.
    pub order_period: Duration,
    /// Spans of time.
    pub terms: Terms,
    /// Protections.
    pub guards: Guards,
    /// Whether the platform delists no host that still runs.
    pub trust_list: bool,
}

impl Default for WorldSetting {
    fn default() -> WorldSetting {
        WorldSetting {
            seed: 1,
            hosts: 3,
            engine_shards: 1,
            zone_shards: 1,
            order_period: Duration::from_millis(1_500),
            terms: Terms::default(),
            guards: Guards::default(),
            trust_list: false,
        }
    }
}

/// Builds a world; all processes start at its first moment.
pub fn build_world(setting: &WorldSetting) -> Bed {
    let mut bed = Bed::new(setting.seed);
    bed.record_writes(Box::new(record_receivers));
    let mut shards = Vec::new();
    let mut receivers = Vec::new();
    let mut add = |shard: &ShardId, name: &str, fencing: bool| {
        let id = ReceiverId { shard: shard.clone(), name: name.to_owned() };
        receivers.push(ReceiverSetting { id, fencing, period: setting.order_period });
    };
    for index in 0..setting.engine_shards {
        let shard = ShardId(format!("engines-{index}"));
        add(&shard, "fenced", true);
        add(&shard, "plain", false);
        shards.push(shard);
    }
    for index in 0..setting.zone_shards {
        let shard = ShardId(format!("targets-{index}"));
        add(&shard, "pool", false);
        shards.push(shard);
    }
    for receiver in &receivers {
        let name = receiver.id.to_string();
        if receiver.id.name == "pool" {
            bed.add_endpoint(&name, Box::new(FakePlatform));
        } else {
            bed.add_endpoint(&name, Box::new(FakeEngine::new(receiver.fencing)));
        }
    }
    let owner = OwnerSetting {
        shards,
        receivers,
        terms: setting.terms,
        guards: setting.guards,
        trust_list: setting.trust_list,
    };
    for index in 0..setting.hosts {
        let zone = ["a", "b", "c"][index % 3];
        bed.add_host(zone, Owner::factory(owner.clone()));
    }
    bed
}
