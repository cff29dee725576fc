//! Scenes of authority: owners that give orders while something happens.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Incarnation, ReceiverId, ShardId, StoreCall, override_key};

use crate::{
    bed::{Bed, hosts::HostState},
    fault::Strike,
    history::Fact,
    matrix::Scene,
    process::Input,
    world::{WorldSetting, build_world},
};

/// Owners give orders to engines and for targets.
pub struct AuthorityScene {
    /// Its name.
    pub name: &'static str,
    /// The world.
    pub world: WorldSetting,
    /// Faults of the scene itself.
    pub strikes: Vec<Strike>,
    /// A planned stop of a host.
    pub stop: Option<(Time, crate::network::HostId)>,
}

/// The last step that is struck.
const STRIKE_UNTIL: Time = Time::from_secs(35);

/// An operator declares vanished hosts dead.
const OVERRIDE_AT: Time = Time::from_secs(85);

/// The end of the run.
const END: Time = Time::from_secs(108);

/// How recently a receiver must have finished an order at the end.
const RECENT: Duration = Duration::from_secs(12);

impl Scene for AuthorityScene {
    fn name(&self) -> &str {
        self.name
    }

    fn build(&self, seed: u64) -> Bed {
        let mut bed = build_world(&WorldSetting { seed, ..self.world.clone() });
        for strike in &self.strikes {
            bed.strike(*strike);
        }
        bed
    }

    fn drive(&self, bed: &mut Bed) {
        if let Some((at, host)) = self.stop {
            bed.run_until(at);
            bed.give(host, Input::Stop);
        }
        bed.run_until(OVERRIDE_AT);
        override_vanished(bed);
        bed.run_until(END);
    }

    fn strike_until(&self) -> Time {
        STRIKE_UNTIL
    }

    fn complaints(&self, bed: &Bed) -> Vec<String> {
        if bed.hosts().all(|host| bed.state(host) == HostState::Gone) {
            return Vec::new();
        }
        let mut complaints = unowned(bed);
        complaints.extend(idle(bed));
        complaints
    }
}

/// An operator declares every process that ran on a vanished host dead.
///
/// Earlier ones too: an intent may name a process that was killed there and
/// started anew before the host went.
pub fn override_vanished(bed: &mut Bed) {
    let vanished: BTreeSet<Incarnation> = bed
        .history
        .entries
        .iter()
        .filter(|entry| entry.host.is_some_and(|host| bed.state(host) == HostState::Gone))
        .filter_map(|entry| entry.process)
        .collect();
    for incarnation in vanished {
        let key = override_key(incarnation);
        let call = StoreCall::Put { key, expect: Expect::Absent, value: Vec::new() };
        bed.store.serve(&call);
    }
}

/// Shards that nobody owns at the end.
fn unowned(bed: &Bed) -> Vec<String> {
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
        .map(|(shard, _)| format!("nobody owns {shard} at the end"))
        .collect()
}

/// Receivers that have finished no order lately.
fn idle(bed: &Bed) -> Vec<String> {
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
        .filter(|(_, at)| bed.now() - *at > RECENT)
        .map(|(receiver, at)| format!("{receiver} has finished no order since {at}"))
        .collect()
}
