//! Builds a bed with shard owners, shards and receivers of orders.

use std::time::Duration;

use chervilgate_coord::{Guards, ReceiverId, ShardId, Timings};

use crate::{
    bed::Testbed,
    owner::{Owner, OwnerSetting, ReceiverSetting, receiver_fact},
    receiver::{FakeEngine, FakePlatform},
};

/// Size and behaviour of a bed of shard owners.
#[derive(Debug, Clone)]
pub struct OwnersSetting {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of hosts, spread evenly over three zones.
    pub hosts: usize,
    /// Number of engine shards, each with one engine that checks fencing tokens and one
    /// that does not.
    pub engine_shards: usize,
    /// Number of shards for target orders, each with one pool.
    pub zone_shards: usize,
    /// Time between orders to the same receiver.
    pub order_period: Duration,
    /// Durations of leases and other deadlines.
    pub terms: Timings,
    /// Which safety checks of the protocol are on; tests turn some off.
    pub guards: Guards,
    /// Whether owners may rely on the platform never delisting a host that still runs.
    pub trust_list: bool,
}

impl Default for OwnersSetting {
    fn default() -> OwnersSetting {
        OwnersSetting {
            seed: 1,
            hosts: 3,
            engine_shards: 1,
            zone_shards: 1,
            order_period: Duration::from_millis(1_500),
            terms: Timings::default(),
            guards: Guards::default(),
            trust_list: false,
        }
    }
}

/// Builds a bed; all processes start at the beginning of the run.
pub fn build_owners(setting: &OwnersSetting) -> Testbed {
    let mut bed = Testbed::new(setting.seed);
    bed.record_writes(Box::new(receiver_fact));
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
