//! The targets known to this host, pooled by role and locality for sampling.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use chervilgate_clock::Time;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::{
    LoadReport, Role, Target, TargetId, TargetState, Zone,
    router::{
        health::{Health, can_eject},
        load::{Load, MeanLoad},
    },
};

/// Number of roles.
const ROLE_COUNT: usize = 3;

/// Minimum share of full load during slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// Minimum share of the total load that a host assumes to have sent itself.
const MIN_HOST_SHARE: f64 = 1.0 / 64.0;

/// Maximum random draws per wanted target; bounds sampling when many targets are ejected.
const DRAWS_PER_TARGET: usize = 3;

/// A target and the state that this host keeps for it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) target: Target,
    pub(super) load: Load,
    pub(super) health: Health,
    /// Until then, the target gets no new requests, because it runs a suspect.
    pub(super) isolated_until: Option<Time>,
    serving_since: Option<Time>,
}

impl Entry {
    fn new(target: Target) -> Entry {
        Entry {
            target,
            load: Load::default(),
            health: Health::default(),
            isolated_until: None,
            serving_since: None,
        }
    }

    /// Whether the target is isolated at `now`.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        self.isolated_until.is_some_and(|until| now < until)
    }

    /// Share of its full load that the target may take during slow start, from 0.1 to 1.
    pub(super) fn slow_start_share(&self, now: Time, slow_start: Duration) -> f64 {
        let Some(serving_since) = self.serving_since else { return 1.0 };
        let share = now.since(serving_since).as_secs_f64() / slow_start.as_secs_f64().max(1e-6);
        share.clamp(MIN_SLOW_START_SHARE, 1.0)
    }
}

/// Sampled targets.
pub(super) type Sample = SmallVec<[TargetId; 12]>;

/// All known targets; serving ones are pooled by role and locality.
#[derive(Debug)]
pub(super) struct TargetTable {
    zone: Zone,
    entries: HashMap<TargetId, Entry>,
    pools: [[Vec<TargetId>; 2]; ROLE_COUNT],
    mean_load: [MeanLoad; ROLE_COUNT],
    ejected: Vec<TargetId>,
    /// Attempts started by this host; makes its random ranks differ from those of other hosts.
    started: u64,
}

impl TargetTable {
    pub(super) fn new(zone: Zone) -> TargetTable {
        TargetTable {
            zone,
            entries: HashMap::new(),
            pools: Default::default(),
            mean_load: Default::default(),
            ejected: Vec::new(),
            started: 0,
        }
    }

    pub(super) fn get(&self, id: TargetId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: TargetId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// Number of serving targets.
    pub(super) fn serving(&self) -> usize {
        self.pools.iter().flatten().map(Vec::len).sum()
    }

    /// Number of serving targets with `role`.
    pub(super) fn count(&self, role: Role) -> usize {
        self.pools[role_index(role)].iter().map(Vec::len).sum()
    }

    /// Whether the target is in the zone of this host.
    pub(super) fn is_local(&self, target: &Target) -> bool {
        target.zone == self.zone
    }

    /// Mean load of the targets with `role`.
    pub(super) fn mean_load(&self, role: Role) -> &MeanLoad {
        &self.mean_load[role_index(role)]
    }

    /// Adds a target or updates its role, state and specs.
    pub(super) fn set(&mut self, now: Time, target: Target) {
        self.remove_from_pool(target.id);
        let (id, state) = (target.id, target.state);
        if state == TargetState::Serving {
            self.pool(&target).push(id);
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            self.entries.insert(id, Entry::new(target));
            return;
        };
        let started = matches!(entry.target.state, TargetState::Starting | TargetState::Changing);
        if started && state == TargetState::Serving {
            entry.serving_since = Some(now);
        }
        entry.target = target;
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, id: TargetId) {
        self.remove_from_pool(id);
        self.entries.remove(&id);
    }

    /// Applies a load report.
    pub(super) fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        let host_rank = draw_host_rank(self.started, id, now);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.load.report(now.saturating_sub(report.age), report, host_rank) {
            self.mean_load[role_index(entry.target.role)].update(&report);
        }
    }

    /// Counts an attempt started by this host.
    pub(super) fn record_start(&mut self) {
        self.started += 1;
    }

    /// Share of the total load sent by this host, which has `open` attempts.
    pub(super) fn host_share(&self, open: usize) -> f64 {
        let generating = [Role::Mixed, Role::Decode]
            .map(|role| self.mean_load(role).seqs() * self.count(role) as f64);
        let total_seqs: f64 = generating.iter().sum();
        if total_seqs < 1.0 {
            return 1.0;
        }
        (open as f64 / total_seqs).clamp(MIN_HOST_SHARE, 1.0)
    }

    /// Records a failed attempt; ejects the target if too many failed in a row.
    pub(super) fn record_failure(&mut self, now: Time, id: TargetId) {
        let entries = &self.entries;
        self.ejected.retain(|id| entries.get(id).is_some_and(|e| e.health.is_ejected(now)));
        let total = self.serving();
        let allowed = can_eject(self.ejected.len(), total);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.health.record_failure() && allowed {
            entry.health.eject(now);
            self.ejected.push(id);
        }
    }

    /// Samples up to `count` serving targets with `role`, half of them in the local zone.
    ///
    /// Ejected targets are only used if no others are found.
    pub(super) fn sample(&self, now: Time, role: Role, count: usize, rng: &mut dyn Rng) -> Sample {
        let [local, remote] = &self.pools[role_index(role)];
        let from_local = count.div_ceil(2).max(count.saturating_sub(remote.len())).min(local.len());
        let mut sample = Sample::new();
        self.draw(now, local, from_local, &mut sample, rng);
        let from_remote = (count - from_local).min(remote.len());
        self.draw(now, remote, from_remote, &mut sample, rng);
        if sample.is_empty() {
            sample.extend(local.iter().chain(remote).take(count).copied());
        }
        sample
    }

    fn draw(
        &self,
        now: Time,
        pool: &[TargetId],
        count: usize,
        sample: &mut Sample,
        rng: &mut dyn Rng,
    ) {
        if count == pool.len() {
            sample.extend(pool.iter().copied().filter(|id| self.is_in_use(now, *id)));
            return;
        }
        let wanted = sample.len() + count;
        for _ in 0..count * DRAWS_PER_TARGET {
            if sample.len() == wanted {
                return;
            }
            let id = pool[rng.random_range(0..pool.len())];
            if !sample.contains(&id) && self.is_in_use(now, id) {
                sample.push(id);
            }
        }
    }

    fn is_in_use(&self, now: Time, id: TargetId) -> bool {
        self.get(id).is_some_and(|entry| !entry.health.is_ejected(now))
    }

    fn pool(&mut self, target: &Target) -> &mut Vec<TargetId> {
        let remote = usize::from(target.zone != self.zone);
        &mut self.pools[role_index(target.role)][remote]
    }

    fn remove_from_pool(&mut self, id: TargetId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let target = entry.target.clone();
        let pool = self.pool(&target);
        if let Some(at) = pool.iter().position(|known| *known == id) {
            pool.swap_remove(at);
        }
    }
}

fn role_index(role: Role) -> usize {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

/// A pseudo-random number from 0 to 1 that differs by host, target and report.
fn draw_host_rank(started: u64, id: TargetId, now: Time) -> f64 {
    let mut hasher = DefaultHasher::new();
    (started, id, now).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
