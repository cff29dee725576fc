//! Acquires, renews and releases partitions, and announces their owners.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Object, StoreCall, StoreReply};
use chervilgate_policy::QUOTA_PARTITIONS;
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use crate::{
    gossip::{OwnerNotice, OwnerRotation, announce_owner, candidate_key},
    quota::{lease::OwnerDoc, listing::ListSchedule},
    state::Shared,
    watch::decode_objects,
};

/// Number of hosts that take over a partition whose owner is lost.
pub(crate) const CANDIDATES: usize = 3;

/// Key prefix of the partitions' objects.
const PREFIX: &str = "quota/";

/// Interval between steps.
const TICK: Duration = Duration::from_millis(250);

/// Interval between an owner's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an announcement after which a candidate reads the object.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Interval at which a candidate reads the object of an owner that it does not hear.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the start in which a host takes over only partitions that its address owns: it does not
/// know the other hosts yet.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(700);

/// Interval at which a host that owns several partitions gives one up if there are others for it.
const SPREAD_INTERVAL: Duration = Duration::from_secs(4);

/// Number of live hosts from which each partition is owned by another one.
const MIN_SPREAD_HOSTS: usize = 2 * QUOTA_PARTITIONS;

/// Applies the configuration, counts unanswered asks and reads owners from the store.
pub(crate) async fn maintain_quotas(shared: Arc<Shared>) {
    let mut schedule = ListSchedule::default();
    loop {
        let now = shared.now();
        let (is_active, is_due) = {
            let state = &mut *shared.state();
            apply_config(&shared, state, now);
            state.quota.observe_held(now);
            let is_active = state.quota.is_active();
            let wants = state.quota.expire_asks(now);
            let (lacks, hosts) = (state.quota.lacks_owner(), state.membership.count());
            (is_active, is_active && schedule.is_due(now, wants, lacks, hosts, rand::random()))
        };
        if is_due {
            let is_answered = list_owners(&shared).await;
            schedule.record(shared.now(), is_answered);
            if is_answered {
                shared.quota_due.iter().for_each(tokio::sync::Notify::notify_one);
            }
            sleep(TICK.mul_f64(rand::random())).await;
        }
        let changed = shared.quota_config.notified();
        if is_active {
            timeout(TICK, changed).await.ok();
        } else {
            changed.await;
        }
    }
}

/// Applies the configuration in force, if it is a new one.
pub(crate) fn apply_config(shared: &Shared, state: &mut crate::state::State, now: Time) {
    let Some(config) = state.view.config() else { return };
    state.quota.apply_config(
        now,
        config,
        |org, quota| shared.metrics.org_quota(org, quota.rate),
        |org| shared.metrics.remove_org_quota(org),
    );
}

/// Reads who owns the partitions; returns whether the store answered.
async fn list_owners(shared: &Shared) -> bool {
    let reply = shared.store.list_stale(PREFIX).await;
    let StoreReply::Listed { objects, version } = reply else { return false };
    let now = shared.now();
    let state = &mut shared.state().quota;
    for partition in 0..QUOTA_PARTITIONS {
        let object = objects.iter().find(|object| object.key == key(partition));
        let doc = object.and_then(decode);
        if let Some(doc) = doc.as_ref().filter(|doc| doc.era == version.era) {
            state.hear_owner(now, partition, doc);
        }
        let seen = object.map(|object| object.version);
        state.leases[partition].observe(now, version.era, seen, doc);
    }
    true
}

fn key(partition: usize) -> String {
    format!("{PREFIX}{partition}")
}

fn decode(object: &Object) -> Option<OwnerDoc> {
    decode_objects::<OwnerDoc>(std::slice::from_ref(object)).pop().map(|(_, doc)| doc)
}

/// Keeps one partition owned.
pub(crate) struct PartitionTask {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) partition: usize,
    rotation: OwnerRotation,
    announced_at: Option<Time>,
    read_at: Option<Time>,
    owned_since: Time,
}

impl PartitionTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        socket: Arc<UdpSocket>,
        partition: usize,
    ) -> PartitionTask {
        PartitionTask {
            shared,
            socket,
            partition,
            rotation: OwnerRotation::default(),
            announced_at: None,
            read_at: None,
            owned_since: Time::ZERO,
        }
    }

    /// Acquires the partition when it is without an owner, and renews it while it is owned.
    pub(crate) async fn run(mut self) {
        let started = self.shared.now();
        loop {
            let due = self.shared.quota_due[self.partition].notified();
            if !self.shared.state().quota.is_active() {
                due.await;
                continue;
            }
            let is_urgent = timeout(TICK, due).await.is_ok();
            self.step(started, is_urgent).await;
        }
    }

    async fn step(&mut self, started: Time, is_urgent: bool) {
        let now = self.shared.now();
        let (is_owner, is_releasing) = {
            let lease = &self.shared.state().quota.leases[self.partition];
            (lease.is_owner(), lease.is_releasing())
        };
        if is_owner {
            self.release_if_due(now);
        } else if !is_releasing && !self.may_take_over(now, started, is_urgent).await {
            return;
        }
        let now = self.shared.now();
        let write = {
            let state = &mut *self.shared.state();
            let doc = state.quota.leases[self.partition].next_write(now);
            doc.filter(|doc| !state.leaving || doc.released)
        };
        if let Some(doc) = write {
            self.write(doc).await;
        }
        self.announce(false).await;
    }

    /// Gives the partition up if this host stops, or owns several while others own none.
    fn release_if_due(&mut self, now: Time) {
        let state = &mut *self.shared.state();
        let owned = state.quota.leases.iter().filter(|lease| lease.is_owner()).count();
        let has_others = state.membership.live_names(now).count() + 1 >= MIN_SPREAD_HOSTS;
        let is_last =
            !state.quota.leases[self.partition + 1..].iter().any(|lease| lease.is_owner());
        let is_excess =
            owned > 1 && has_others && is_last && now >= self.owned_since + SPREAD_INTERVAL;
        if state.leaving || is_excess {
            state.quota.leases[self.partition].release(now);
        }
    }

    /// Whether this host may take the partition over, after reading its object if it is not known.
    async fn may_take_over(&mut self, now: Time, started: Time, is_urgent: bool) -> bool {
        let is_own_address = {
            let state = self.shared.state();
            if state.leaving {
                return false;
            }
            let doc = state.quota.leases[self.partition].doc();
            doc.is_some_and(|doc| doc.addr == Some(self.shared.settings.gossip_addr))
        };
        if is_own_address {
            return true;
        }
        if now < started + ACQUAINTANCE_TIME || !self.is_unowned(now) || !self.is_candidate(now) {
            return false;
        }
        let is_due = self.read_at.is_none_or(|at| now >= at + READ_INTERVAL);
        if is_due || is_urgent {
            self.read(now).await;
        }
        self.read_at.is_some()
    }

    fn is_unowned(&self, now: Time) -> bool {
        let owner = self.shared.state().quota.owners[self.partition];
        owner.is_none_or(|owner| now >= owner.heard_at + SILENCE_TIME)
    }

    fn is_candidate(&self, now: Time) -> bool {
        let state = self.shared.state();
        if !state.membership.is_listed() {
            return false;
        }
        let key = candidate_key(self.partition);
        let owns_other = state.quota.leases.iter().any(|lease| lease.is_owner());
        let has_others = state.membership.live_names(now).count() + 1 >= MIN_SPREAD_HOSTS;
        if owns_other && has_others {
            return false;
        }
        let owners = state.quota.owners.iter().flatten().map(|owner| owner.addr);
        let owners: smallvec::SmallVec<[_; QUOTA_PARTITIONS]> =
            owners.filter(|_| has_others).collect();
        state.membership.rank(now, key, &owners) < CANDIDATES
    }

    async fn read(&mut self, now: Time) {
        self.read_at = Some(now);
        let reply = self.shared.store.call(&StoreCall::Get { key: key(self.partition) }).await;
        let StoreReply::Found(object) = reply else { return };
        self.observe(object.as_ref());
    }

    fn observe(&mut self, object: Option<&Object>) {
        let now = self.shared.now();
        let era = object.map_or_else(|| self.shared.store.era(), |object| object.version.era);
        let doc = object.and_then(decode);
        let state = &mut self.shared.state().quota;
        if let Some(doc) = doc.as_ref().filter(|doc| doc.era == era) {
            let known = state.owners[self.partition];
            if known.is_none_or(|known| known.count < doc.count || known.era < era) {
                state.hear_owner(now, self.partition, doc);
            }
        }
        let version = object.map(|object| object.version);
        state.leases[self.partition].observe(now, era, version, doc);
    }

    async fn write(&mut self, doc: OwnerDoc) {
        let Ok(value) = serde_json::to_vec(&doc) else { return };
        let expect = self.shared.state().quota.leases[self.partition].expected();
        let call = StoreCall::Put { key: key(self.partition), expect, value };
        let sent = self.shared.now();
        match self.shared.store.call(&call).await {
            StoreReply::Written(version) => self.record_write(sent, version, doc).await,
            StoreReply::Conflict(object) => self.observe(object.as_ref()),
            reply => {
                let partition = self.partition;
                let now = self.shared.now();
                let spread = rand::random();
                self.shared.state().quota.leases[partition].record_failure(now, spread);
                log::info!(target: "quota", partition, reply:?; "owner not written");
            }
        }
    }

    async fn record_write(
        &mut self,
        sent: Time,
        version: chervilgate_coord::Version,
        doc: OwnerDoc,
    ) {
        let now = self.shared.now();
        let partition = self.partition;
        let released = doc.released;
        let has_begun = {
            let state = &mut self.shared.state().quota;
            let start = state.leases[partition].record_write(now, sent, version, doc.clone());
            if let Some(start) = start {
                state.begin_owning(now, partition, start);
            }
            // An object written in another era than seen does not make this host the owner.
            if released || state.leases[partition].is_owner() {
                state.hear_owner(now, partition, &doc);
            }
            start.is_some()
        };
        if has_begun {
            self.owned_since = now;
            log::info!(target: "quota", partition, version:%; "partition taken over");
        }
        if released {
            log::info!(target: "quota", partition, version:%; "partition released");
        }
        if has_begun || released {
            self.announce(true).await;
        }
    }

    async fn announce(&mut self, is_urgent: bool) {
        let now = self.shared.now();
        let is_due = self.announced_at.is_none_or(|at| now >= at + ANNOUNCE_INTERVAL);
        let notice = {
            let lease = &self.shared.state().quota.leases[self.partition];
            let doc = lease.own_doc().filter(|_| is_urgent || is_due && lease.may_grant(now));
            doc.and_then(|doc| OwnerNotice::new(self.partition, doc))
        };
        let Some(notice) = notice else { return };
        self.announced_at = Some(now);
        announce_owner(&self.shared, &self.socket, notice, &mut self.rotation, is_urgent).await;
    }
}
