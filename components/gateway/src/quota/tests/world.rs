//! Simulated hosts, owners and store, in steps of 1 ms.

use std::{collections::BinaryHeap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Version};
use chervilgate_policy::{QUOTA_PARTITIONS, QuotaBounds};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    config::{CallerLimits, Config, Org, Quota, QuotaUnit, org_hash},
    metrics::Metrics,
    quota::{
        OwnerAnswer, QuotaState,
        admit::{Step, WaitingRequest},
        lease::OwnerDoc,
        owner::Ask as OwnerAsk,
    },
    settings::{HostLimits, HostSettings},
};

pub(super) const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 190_000.0 };
/// Time within which a change of the configuration is applied.
pub(super) const APPLY_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(1);
/// Interval of the steps of owners and candidates.
const TICK_MS: u64 = 250;

/// What may go wrong, by chance per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Faults {
    pub(super) loss: f64,
    pub(super) cuts: f64,
    pub(super) kills: f64,
    pub(super) freezes: f64,
    pub(super) outages: f64,
    pub(super) restores: f64,
    pub(super) changes: f64,
}

/// Which hosts get the callers' requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Spread {
    OneHost,
    AllHosts,
    Moving,
}

enum Message {
    Ask { id: u64, partition: usize, need: f64, extra: f64 },
    Answer { id: u64, answer: OwnerAnswer },
    Return { id: u64, partition: usize },
    Notice { partition: usize, doc: OwnerDoc },
}

struct Delivery {
    at: Time,
    number: u64,
    from: usize,
    to: usize,
    boot: u64,
    message: Message,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Delivery) -> bool {
        self.number == other.number
    }
}
impl Eq for Delivery {}
impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Delivery) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Delivery {
    fn cmp(&self, other: &Delivery) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct SimHost {
    state: QuotaState,
    boot: u64,
    /// None while it runs.
    down_until: Option<Time>,
    frozen_until: Time,
    /// Cut off from hosts of the other group, and from the store.
    cut_until: Time,
    store_cut_until: Time,
    requests: Vec<(Time, Option<WaitingRequest>, f64)>,
    config_version: u64,
    listed: bool,
}

type StoredDocs = [Option<(u64, OwnerDoc)>; QUOTA_PARTITIONS];

pub(super) struct World {
    pub(super) now: Time,
    rng: Pcg64,
    faults: Faults,
    pub(super) bounds: QuotaBounds,
    hosts: Vec<SimHost>,
    metrics: Metrics,
    network: BinaryHeap<Delivery>,
    sent: u64,
    store: StoredDocs,
    era: u64,
    revision: u64,
    copies: Vec<StoredDocs>,
    store_down_until: Time,
    /// Quotas by time from which they are in force.
    pub(super) quotas: Vec<(Time, Quota)>,
    /// All requests, and those that were admitted.
    pub(super) asked: Vec<(Time, f64)>,
    pub(super) admitted: Vec<(Time, f64)>,
    pub(super) refused: usize,
    pub(super) unknown: usize,
    pub(super) datagrams: u64,
}

fn org() -> u64 {
    org_hash("org")
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + host as u16))
}

fn settings(host: usize, bounds: QuotaBounds) -> HostSettings {
    HostSettings {
        name: format!("host-{host}"),
        zone: String::new(),
        region: String::new(),
        caller_addr: addr(host),
        readiness_addr: addr(host),
        gossip_addr: addr(host),
        directory_addr: None,
        metrics_addr: None,
        store_addr: addr(host),
        duties_addr: None,
        memory: 256 << 20,
        max_descriptors: 0,
        bounds: HostLimits { quota: Some(bounds), ..HostLimits::default() },
    }
}

fn config(version: u64, quota: Quota) -> Config {
    let org = Org { name: "org".into(), priority: None, quota: Some(quota) };
    let keys = [("k".to_owned(), org)].into();
    Config::new(version, Vec::new(), Default::default(), Some(keys), CallerLimits::default())
}

impl World {
    pub(super) fn new(seed: u64, hosts: usize, rate: f64, burst: f64, faults: Faults) -> World {
        let quota = Quota { rate, burst, unit: QuotaUnit::Tokens { uncounted: 200 } };
        let mut world = World {
            now: Time::from_secs(100),
            rng: Pcg64::seed_from_u64(seed),
            faults,
            bounds: BOUNDS,
            hosts: Vec::new(),
            metrics: Metrics::new(),
            network: BinaryHeap::new(),
            sent: 0,
            store: Default::default(),
            era: 0,
            revision: 0,
            copies: Vec::new(),
            store_down_until: Time::ZERO,
            quotas: vec![(Time::from_secs(100), quota)],
            asked: Vec::new(),
            admitted: Vec::new(),
            refused: 0,
            unknown: 0,
            datagrams: 0,
        };
        world.start_hosts(hosts);
        world
    }

    pub(super) fn start_hosts(&mut self, hosts: usize) {
        self.hosts = (0..hosts).map(|index| self.start_host(index)).collect();
    }

    fn start_host(&mut self, index: usize) -> SimHost {
        let boot = self.rng.random();
        SimHost {
            state: QuotaState::new(&settings(index, self.bounds), boot),
            boot,
            down_until: None,
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            store_cut_until: Time::ZERO,
            requests: Vec::new(),
            config_version: 0,
            listed: false,
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = usize::from(to.port()) - 1_000;
        self.datagrams += 1;
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let is_cut = |host: &SimHost| self.now < host.cut_until;
        if from % 2 != to % 2 && (is_cut(&self.hosts[from]) || is_cut(&self.hosts[to])) {
            return;
        }
        let late = if self.rng.random_bool(0.02) { 200 } else { 4 };
        let delay = Duration::from_micros(self.rng.random_range(500..late * 1_000));
        self.sent += 1;
        let boot = self.hosts[to].boot;
        let at = self.now + delay;
        self.network.push(Delivery { at, number: self.sent, from, to, boot, message });
    }

    fn happens(&mut self, per_second: f64) -> bool {
        per_second > 0.0 && self.rng.random_bool(per_second * STEP.as_secs_f64())
    }

    fn inject_faults(&mut self) {
        let Faults { cuts, kills, freezes, outages, restores, changes, .. } = self.faults;
        let any = self.rng.random_range(0..self.hosts.len());
        let until = self.now + Duration::from_millis(self.rng.random_range(10..9_000));
        if self.happens(cuts) {
            self.hosts[any].cut_until = until;
        }
        if self.happens(cuts) {
            // One half is cut off from the store and from the other half.
            for host in self.hosts.iter_mut().step_by(2) {
                (host.cut_until, host.store_cut_until) = (until, until);
            }
        }
        if self.happens(cuts) {
            self.hosts[any].store_cut_until = until;
        }
        if self.happens(kills) {
            let all = self.rng.random_bool(0.3);
            let short = self.now + Duration::from_millis(self.rng.random_range(1..500));
            let until = if self.rng.random_bool(0.7) { short } else { until };
            for host in self.hosts.iter_mut().enumerate().filter(|(i, _)| all || *i == any) {
                host.1.down_until = Some(until);
                host.1.requests.clear();
            }
        }
        if self.happens(freezes) {
            self.hosts[any].frozen_until = until;
        }
        if self.happens(outages) {
            self.store_down_until = until;
        }
        if self.happens(1.0) {
            self.copies.push(self.store.clone());
        }
        if self.happens(restores) && !self.copies.is_empty() {
            let copy = self.rng.random_range(0..self.copies.len());
            self.store = self.copies[copy].clone();
            self.era += 1;
        }
        if self.happens(changes) {
            let rate = self.rng.random_range(20_000.0..900_000.0);
            let quota =
                Quota { rate, burst: rate * self.rng.random_range(0.0..1.5), ..self.quotas[0].1 };
            self.quotas.push((self.now, quota));
        }
    }

    fn write(&mut self, index: usize, partition: usize, doc: OwnerDoc, expect: Expect) -> bool {
        let current = self.store[partition]
            .as_ref()
            .map(|(revision, _)| Version { era: self.era, revision: *revision });
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::At(version) => current == Some(version),
        };
        if holds {
            self.revision += 1;
            self.store[partition] = Some((self.revision, doc.clone()));
        }
        // The reply may be lost, as the write itself.
        if self.rng.random_bool(self.faults.loss) {
            return false;
        }
        let now = self.now;
        let state = &mut self.hosts[index].state;
        if holds {
            let version = Version { era: self.era, revision: self.revision };
            if let Some(start) =
                state.leases[partition].record_write(now, now, version, doc.clone())
            {
                state.begin_owning(now, partition, start);
            }
            if state.leases[partition].is_owner() {
                state.hear_owner(now, partition, &doc);
            }
            return true;
        }
        false
    }

    fn read(&mut self, index: usize, partition: usize) {
        let found = self.store[partition].clone();
        let version =
            found.as_ref().map(|(revision, _)| Version { era: self.era, revision: *revision });
        let doc = found.map(|(_, doc)| doc);
        let (now, era) = (self.now, self.era);
        let state = &mut self.hosts[index].state;
        if let Some(doc) = doc.as_ref().filter(|doc| doc.era == era) {
            state.hear_owner(now, partition, doc);
        }
        state.leases[partition].observe(now, era, version, doc);
    }

    /// The steps of an owner, and of a host that takes over what it hears no owner of.
    fn tick(&mut self, index: usize) {
        let now = self.now;
        let has_store = now >= self.hosts[index].store_cut_until && now >= self.store_down_until;
        let is_lost = self.hosts[index].state.expire_asks(now);
        if has_store && (is_lost || !self.hosts[index].listed) {
            self.hosts[index].listed = true;
            (0..QUOTA_PARTITIONS).for_each(|partition| self.read(index, partition));
        }
        for partition in 0..QUOTA_PARTITIONS {
            let owner = self.hosts[index].state.owners[partition];
            let is_unheard =
                owner.is_none_or(|owner| now >= owner.heard_at + Duration::from_secs(2));
            let is_owner = self.hosts[index].state.leases[partition].is_owner();
            let is_candidate = (partition + self.hosts.len() - index) % self.hosts.len() < 3;
            if has_store && !is_owner && is_unheard && is_candidate && self.rng.random_bool(0.3) {
                self.read(index, partition);
            }
            let doc = self.hosts[index].state.leases[partition].doc();
            let is_own = doc.is_some_and(|doc| doc.addr == Some(addr(index)));
            let may_take = is_own || is_unheard && is_candidate && self.hosts[index].listed;
            if is_owner || may_take {
                let lease = &mut self.hosts[index].state.leases[partition];
                let expect = lease.expected();
                if let Some(doc) = lease.next_write(now)
                    && !(has_store && self.write(index, partition, doc, expect))
                {
                    let spread = self.rng.random();
                    self.hosts[index].state.leases[partition].record_failure(now, spread);
                    if has_store {
                        self.read(index, partition);
                    }
                }
            }
            let lease = &self.hosts[index].state.leases[partition];
            if let Some(doc) = lease.own_doc().filter(|_| lease.is_owner()).cloned() {
                for peer in (0..self.hosts.len()).filter(|peer| *peer != index) {
                    self.send(index, addr(peer), Message::Notice { partition, doc: doc.clone() });
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { to, from, boot, message, .. } = delivery;
        let now = self.now;
        if now < self.hosts[to].frozen_until {
            let at = self.hosts[to].frozen_until;
            self.network.push(Delivery { at, number: delivery.number, from, to, boot, message });
            return;
        }
        if self.hosts[to].down_until.is_some() || self.hosts[to].boot != boot {
            return;
        }
        let state = &mut self.hosts[to].state;
        match message {
            Message::Ask { id, partition, need, extra } => {
                let answer =
                    match state.answer(now, partition, &OwnerAsk { id, org: org(), need, extra }) {
                        OwnerAnswer::Granted(amount) => OwnerAnswer::Granted(amount.floor()),
                        other => other,
                    };
                self.send(to, addr(from), Message::Answer { id, answer });
            }
            Message::Answer { id, answer } => {
                if let Some((returned, owner)) = state.apply_answer(now, id, answer) {
                    let (id, partition) = returned.parts();
                    self.send(to, owner, Message::Return { id, partition });
                }
            }
            Message::Return { id, partition } => state.take_back(now, partition, id),
            Message::Notice { partition, doc } => state.hear_owner(now, partition, &doc),
        }
    }

    fn begin_request(&mut self, index: usize, count: f64) {
        let now = self.now;
        self.asked.push((now, count));
        let state = &mut self.hosts[index].state;
        match WaitingRequest::begin(state, now, org(), count, now + Duration::from_secs(2)) {
            Some(Ok(_)) => self.admitted.push((now, count)),
            Some(Err(request)) => {
                self.hosts[index].requests.push((now, Some(request), count));
                self.run_requests(index);
            }
            None => self.unknown += 1,
        }
    }

    fn run_requests(&mut self, index: usize) {
        let now = self.now;
        let mut requests = std::mem::take(&mut self.hosts[index].requests);
        for (until, slot, count) in &mut requests {
            while let Some(request) = slot.as_mut() {
                if now < *until && !request.has_reply() {
                    break;
                }
                let state = &mut self.hosts[index].state;
                match request.next(state, now) {
                    Step::Admitted(_) => self.admitted.push((now, *count)),
                    Step::Ask(ask, to) => {
                        let (id, partition, need, extra) = ask.parts();
                        self.send(index, to, Message::Ask { id, partition, need, extra });
                        continue;
                    }
                    Step::Wait(time) => {
                        *until = time;
                        if now >= time {
                            continue;
                        }
                        break;
                    }
                    Step::Again => continue,
                    Step::Failed(crate::failure::Failure::OverQuota(_)) => self.refused += 1,
                    Step::Failed(_) => self.unknown += 1,
                }
                if let Some(request) = slot.take() {
                    for (returned, owner) in request.finish(&mut self.hosts[index].state, now) {
                        let (id, partition) = returned.parts();
                        self.send(index, owner, Message::Return { id, partition });
                    }
                }
            }
        }
        requests.retain(|(_, request, _)| request.is_some());
        requests.append(&mut self.hosts[index].requests);
        self.hosts[index].requests = requests;
    }

    /// Applies the latest configuration at hosts, each within the time for it.
    fn apply_configs(&mut self) {
        for index in 0..self.hosts.len() {
            let newest = self.quotas.len();
            let version = self.hosts[index].config_version as usize;
            if version == newest || self.hosts[index].down_until.is_some() {
                continue;
            }
            let (since, _) = self.quotas[version];
            let is_due = version == 0
                || self.now >= since + APPLY_TIME.saturating_sub(STEP * 2)
                || self.rng.random_bool(0.002);
            if is_due && (self.now >= self.hosts[index].frozen_until) {
                let version = if version == 0 { newest } else { version + 1 };
                let config = config(version as u64, self.quotas[version - 1].1);
                let host = &mut self.hosts[index];
                host.config_version = version as u64;
                let metrics = &self.metrics;
                host.state.apply_config(
                    self.now,
                    &config,
                    |org, quota| metrics.org_quota(org, quota.rate),
                    |_| {},
                );
            }
        }
    }

    /// Starts all hosts anew, at the addresses that they had.
    pub(super) fn restart_hosts(&mut self) {
        self.start_hosts(self.hosts.len());
    }

    /// Changes the quota, with a burst of one second.
    pub(super) fn set_rate(&mut self, rate: f64) {
        let quota = Quota { rate, burst: rate, ..self.quotas[0].1 };
        self.quotas.push((self.now, quota));
    }

    /// Runs for `time` while requests that together count `demand` times the rate arrive.
    pub(super) fn run(&mut self, time: Duration, demand: f64, spread: Spread, sizes: (f64, f64)) {
        let end = self.now + time;
        let mean = (sizes.0 + sizes.1) / 2.0;
        while self.now < end {
            self.now += STEP;
            self.inject_faults();
            self.apply_configs();
            while self.network.peek().is_some_and(|delivery| delivery.at <= self.now) {
                if let Some(delivery) = self.network.pop() {
                    self.deliver(delivery);
                }
            }
            for index in 0..self.hosts.len() {
                if self.hosts[index].down_until.is_some_and(|until| self.now >= until) {
                    self.hosts[index] = self.start_host(index);
                }
                let host = &self.hosts[index];
                if host.down_until.is_some() || self.now < host.frozen_until {
                    continue;
                }
                let millis = self.now.as_micros() / 1_000;
                if (millis + 37 * index as u64).is_multiple_of(TICK_MS) {
                    self.tick(index);
                }
                self.run_requests(index);
            }
            let rate = self.quotas.last().unwrap().1.rate;
            let mut arriving = demand * rate * STEP.as_secs_f64() / mean;
            while arriving > 0.0 && self.rng.random_bool(arriving.min(1.0)) {
                arriving -= 1.0;
                let size = self.rng.random_range(sizes.0..sizes.1).floor();
                let size = if self.rng.random_bool(0.01) { size * 5.0 } else { size };
                let seconds = self.now.as_micros() / 1_500_000;
                let index = match spread {
                    Spread::OneHost => 0,
                    Spread::AllHosts => self.rng.random_range(0..self.hosts.len()),
                    Spread::Moving => seconds as usize % self.hosts.len(),
                };
                let host = &self.hosts[index];
                if host.down_until.is_none() && self.now >= host.frozen_until {
                    self.begin_request(index, size);
                }
            }
        }
    }
}
