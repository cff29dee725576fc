//! The targets of the host's view, grouped for sampling.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use chervilgate_clock::Time;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::{
    LoadReport, Role, State, Target, TargetId, Zone,
    router::{
        health::{Health, may_eject},
        load::{Load, Typical},
    },
};

/// Roles, as pool numbers.
const ROLES: usize = 3;

/// Least share of its full work that a new target takes.
const SLOW_FLOOR: f64 = 0.1;

/// Least part of all work that a host is taken to have.
const PART_FLOOR: f64 = 1.0 / 64.0;

/// Samples drawn for each target wanted, before ejected ones are taken too.
const TRIES: usize = 3;

/// One target with what this host knows of it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) target: Target,
    pub(super) load: Load,
    pub(super) health: Health,
    /// Kept free of unproven requests until then, for a suspect's sake.
    pub(super) held: Option<Time>,
    joined: Option<Time>,
}

impl Entry {
    fn new(target: Target) -> Entry {
        Entry { target, load: Load::default(), health: Health::default(), held: None, joined: None }
    }

    /// Whether the target is kept free of unproven requests.
    pub(super) fn is_held(&self, now: Time) -> bool {
        self.held.is_some_and(|until| now < until)
    }

    /// Share of its full work that the target takes, from 0.1 to 1.
    pub(super) fn warmth(&self, now: Time, slow_start: Duration) -> f64 {
        let Some(joined) = self.joined else { return 1.0 };
        let share = now.since(joined).as_secs_f64() / slow_start.as_secs_f64().max(1e-6);
        share.clamp(SLOW_FLOOR, 1.0)
    }
}

/// Sampled targets.
pub(super) type Sample = SmallVec<[TargetId; 12]>;

/// All targets of the view; serving ones are in a pool by role and nearness.
#[derive(Debug)]
pub(super) struct Fleet {
    zone: Zone,
    entries: HashMap<TargetId, Entry>,
    pools: [[Vec<TargetId>; 2]; ROLES],
    typical: [Typical; ROLES],
    ejected: Vec<TargetId>,
    /// Attempts started by this host; tells its draws from those of others.
    started: u64,
}

impl Fleet {
    pub(super) fn new(zone: Zone) -> Fleet {
        Fleet {
            zone,
            entries: HashMap::new(),
            pools: Default::default(),
            typical: Default::default(),
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

    /// Serving targets.
    pub(super) fn serving(&self) -> usize {
        self.pools.iter().flatten().map(Vec::len).sum()
    }

    /// Serving targets of `role`.
    pub(super) fn count(&self, role: Role) -> usize {
        self.pools[number(role)].iter().map(Vec::len).sum()
    }

    /// Whether the target is in this host's zone.
    pub(super) fn is_near(&self, target: &Target) -> bool {
        target.zone == self.zone
    }

    /// The mean load of the targets of `role`.
    pub(super) fn typical(&self, role: Role) -> &Typical {
        &self.typical[number(role)]
    }

    /// Adds a target, or takes over its new role, state or specs.
    pub(super) fn set(&mut self, now: Time, target: Target) {
        self.unpool(target.id);
        let (id, state) = (target.id, target.state);
        if state == State::Serving {
            self.pool(&target).push(id);
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            self.entries.insert(id, Entry::new(target));
            return;
        };
        let started = matches!(entry.target.state, State::Starting | State::Changing);
        if started && state == State::Serving {
            entry.joined = Some(now);
        }
        entry.target = target;
    }

    /// Forgets a target.
    pub(super) fn remove(&mut self, id: TargetId) {
        self.unpool(id);
        self.entries.remove(&id);
    }

    /// Takes in a load report.
    pub(super) fn report(&mut self, now: Time, id: TargetId, report: LoadReport) {
        let place = draw_place(self.started, id, now);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.load.report(now.before(report.age), report, place) {
            self.typical[number(entry.target.role)].update(&report);
        }
    }

    /// Notes that this host started an attempt.
    pub(super) fn count_start(&mut self) {
        self.started += 1;
    }

    /// This host's part in the work of all hosts, when it has `open` attempts.
    pub(super) fn part(&self, open: usize) -> f64 {
        let generating = [Role::Mixed, Role::Decode]
            .map(|role| self.typical(role).seqs() * self.count(role) as f64);
        let all: f64 = generating.iter().sum();
        if all < 1.0 {
            return 1.0;
        }
        (open as f64 / all).clamp(PART_FLOOR, 1.0)
    }

    /// Notes a failed attempt; ejects the target if it fails again and again.
    pub(super) fn fail(&mut self, now: Time, id: TargetId) {
        let entries = &self.entries;
        self.ejected.retain(|id| entries.get(id).is_some_and(|e| e.health.ejected(now)));
        let total = self.serving();
        let may = may_eject(self.ejected.len(), total);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.health.fail() && may {
            entry.health.eject(now);
            self.ejected.push(id);
        }
    }

    /// Samples up to `count` serving targets of `role`, half of them near.
    ///
    /// Ejected targets are passed over as long as others are drawn.
    pub(super) fn sample(&self, now: Time, role: Role, count: usize, rng: &mut dyn Rng) -> Sample {
        let [near, far] = &self.pools[number(role)];
        let from_near = count.div_ceil(2).max(count.saturating_sub(far.len())).min(near.len());
        let mut sample = Sample::new();
        self.draw(now, near, from_near, &mut sample, rng);
        let from_far = (count - from_near).min(far.len());
        self.draw(now, far, from_far, &mut sample, rng);
        if sample.is_empty() {
            sample.extend(near.iter().chain(far).take(count).copied());
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
            sample.extend(pool.iter().copied().filter(|id| self.is_usable(now, *id)));
            return;
        }
        let wanted = sample.len() + count;
        for _ in 0..count * TRIES {
            if sample.len() == wanted {
                return;
            }
            let id = pool[rng.random_range(0..pool.len())];
            if !sample.contains(&id) && self.is_usable(now, id) {
                sample.push(id);
            }
        }
    }

    fn is_usable(&self, now: Time, id: TargetId) -> bool {
        self.get(id).is_some_and(|entry| !entry.health.ejected(now))
    }

    fn pool(&mut self, target: &Target) -> &mut Vec<TargetId> {
        let far = usize::from(target.zone != self.zone);
        &mut self.pools[number(target.role)][far]
    }

    fn unpool(&mut self, id: TargetId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let target = entry.target.clone();
        let pool = self.pool(&target);
        if let Some(at) = pool.iter().position(|known| *known == id) {
            pool.swap_remove(at);
        }
    }
}

fn number(role: Role) -> usize {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

/// A number from 0 to 1 that differs by host, target and report.
fn draw_place(started: u64, id: TargetId, now: Time) -> f64 {
    let mut hasher = DefaultHasher::new();
    (started, id, now).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
