//! Scenes with shard owners that send orders while faults are injected.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Incarnation, ReceiverId, ShardId, StoreCall, override_key};

use crate::{
    bed::{Testbed, hosts::HostState},
    fault::FaultInjection,
    history::Fact,
    matrix::Scene,
    process::Input,
    world::{OwnersSetting, build_owners},
};

/// Owners send orders to engines and to the platform.
pub struct AuthorityScene {
    /// Name in reports.
    pub name: &'static str,
    /// Hosts, shards and receivers; the seed is replaced by that of the run.
    pub world: OwnersSetting,
    /// Faults of the scene itself, besides those that a cell adds.
    pub faults: Vec<FaultInjection>,
    /// A planned stop of one host, with its time.
    pub stop: Option<(Time, crate::network::HostId)>,
}

/// Last time of an injected fault.
const LAST_FAULT: Time = Time::from_secs(35);

/// When an operator declares lost hosts dead.
const OVERRIDE_AT: Time = Time::from_secs(85);

/// End of the run.
const END: Time = Time::from_secs(108);

/// At the end, each receiver must have completed an order within this time.
const MAX_IDLE: Duration = Duration::from_secs(12);

impl Scene for AuthorityScene {
    fn name(&self) -> &str {
        self.name
    }

    fn build(&self, seed: u64) -> Testbed {
        let mut bed = build_owners(&OwnersSetting { seed, ..self.world.clone() });
        for injection in &self.faults {
            bed.inject_fault(*injection);
        }
        bed
    }

    fn run(&self, bed: &mut Testbed) {
        if let Some((at, host)) = self.stop {
            bed.run_until(at);
            bed.send_input(host, Input::Stop);
        }
        bed.run_until(OVERRIDE_AT);
        override_lost_hosts(bed);
        bed.run_until(END);
    }

    fn fault_deadline(&self) -> Time {
        LAST_FAULT
    }

    fn final_problems(&self, bed: &Testbed) -> Vec<String> {
        if bed.hosts().all(|host| bed.state(host) == HostState::Lost) {
            return Vec::new();
        }
        let mut problems = unowned_shards(bed);
        problems.extend(idle_receivers(bed));
        problems
    }
}

/// Writes an operator's override for every process that ever ran on a lost host.
///
/// Earlier processes are included because an intent may name one that was killed and
/// replaced before the host was lost.
pub fn override_lost_hosts(bed: &mut Testbed) {
    let lost: BTreeSet<Incarnation> = bed
        .history
        .entries
        .iter()
        .filter(|entry| entry.host.is_some_and(|host| bed.state(host) == HostState::Lost))
        .filter_map(|entry| entry.process)
        .collect();
    for incarnation in lost {
        let key = override_key(incarnation);
        let call = StoreCall::Put { key, expect: Expect::Absent, value: Vec::new() };
        bed.store.serve(&call);
    }
}

/// Shards that no process owns at the end.
fn unowned_shards(bed: &Testbed) -> Vec<String> {
    let mut owned: BTreeMap<&ShardId, bool> = BTreeMap::new();
    for entry in &bed.history.entries {
        match &entry.fact {
            Fact::Holds { shard, until, .. } => {
                owned.insert(shard, *until > bed.now());
            }
            Fact::Yields { shard } => {
                owned.insert(shard, false);
            }
            _ => {}
        }
    }
    owned
        .into_iter()
        .filter(|(_, owned)| !owned)
        .map(|(shard, _)| format!("no process owns {shard} at the end"))
        .collect()
}

/// Receivers without a recently completed order.
fn idle_receivers(bed: &Testbed) -> Vec<String> {
    let mut last: BTreeMap<&ReceiverId, Time> = BTreeMap::new();
    for entry in &bed.history.entries {
        match &entry.fact {
            Fact::Recorded { receiver, .. } => {
                last.entry(receiver).or_default();
            }
            Fact::Completed { order, .. } => {
                last.insert(&order.receiver, entry.at);
            }
            _ => {}
        }
    }
    last.into_iter()
        .filter(|(_, at)| bed.now() - *at > MAX_IDLE)
        .map(|(receiver, at)| format!("{receiver} has completed no order since {at}"))
        .collect()
}
