//! The hosts that serve callers, from their entries in the store and their gossip.
//!
//! An entry says that a host exists and where; only its gossip shows that it is alive.
//! Callers are given only hosts whose gossip arrived recently: an entry may outlive its
//! host, and a process that has just started cannot tell how old an entry is. A host
//! that receives no gossip returns only itself.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;

/// Interval at which the hosts' entries are listed.
pub(crate) const LIST_INTERVAL: Duration = Duration::from_secs(6);

/// Time without gossip from a host after which it counts as gone. Each host sends to a
/// few others ten times a second.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of hosts in the caller's zone below which hosts of other zones are returned
/// too.
const MIN_ZONE_HOSTS: usize = 2;

/// Minimum number of pollers, so that some remain when single hosts are lost.
const MIN_POLLERS: usize = 3;

/// Number of hosts for each further poller; it limits the requests that a poller gets.
const HOSTS_PER_POLLER: usize = 32;

/// Number of pollers that pass changes on to each other host, so that one may fail or be lost.
const FEEDERS_PER_HOST: usize = 2;

/// The hosts that have the store confirm the configuration on behalf of the others.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Pollers {
    /// Whether this host is one of them.
    pub includes_own: bool,
    /// Gossip addresses of the others.
    pub addrs: Vec<SocketAddr>,
}

/// A host's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Identifies the process in gossip.
    pub id: u32,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is stopping and must get no new callers.
    pub leaving: bool,
}

#[derive(Debug)]
struct KnownHost {
    entry: HostEntry,
    version: Version,
    /// Time of its last gossip message.
    last_gossip_at: Option<Time>,
    /// Its wall clock minus this host's at that time, in microseconds.
    clock_offset: Option<i64>,
}

/// The other hosts that are known.
#[derive(Debug)]
pub struct Membership {
    own_name: String,
    hosts: HashMap<String, KnownHost>,
    listed: bool,
}

impl Membership {
    /// Starts without other hosts; `own` is this host's name.
    pub fn new(own: &str) -> Membership {
        Membership { own_name: own.to_owned(), hosts: HashMap::new(), listed: false }
    }

    /// Replaces the entries by those listed; an older version of an entry is ignored.
    pub fn update(&mut self, entries: Vec<(String, Version, HostEntry)>) {
        self.listed = true;
        self.hosts.retain(|name, _| entries.iter().any(|(listed, ..)| listed == name));
        for (name, version, entry) in entries {
            if name == self.own_name {
                continue;
            }
            match self.hosts.get_mut(&name) {
                Some(known) if known.version >= version => {}
                Some(known) => {
                    let same = known.entry.id == entry.id;
                    let last_gossip_at = known.last_gossip_at.filter(|_| same);
                    let clock_offset = known.clock_offset.filter(|_| same);
                    *known = KnownHost { entry, version, last_gossip_at, clock_offset };
                }
                None => {
                    self.hosts.insert(
                        name,
                        KnownHost { entry, version, last_gossip_at: None, clock_offset: None },
                    );
                }
            }
        }
    }

    /// Whether the entries have been listed at least once.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Records a message from the host with gossip id `id`, whose wall clock is
    /// `clock_offset` microseconds ahead of this host's. Returns false if its entry is
    /// not known.
    pub fn record_heartbeat(&mut self, now: Time, id: u32, clock_offset: i64) -> bool {
        let mut is_known = false;
        for known in self.hosts.values_mut().filter(|known| known.entry.id == id) {
            known.last_gossip_at = Some(now);
            known.clock_offset = Some(clock_offset);
            is_known = true;
        }
        is_known
    }

    /// Wall clocks of the hosts whose gossip arrived recently, minus this host's, in
    /// microseconds.
    pub fn clock_offsets(&self, now: Time) -> Vec<i64> {
        let live = self.hosts.values().filter(|known| known.is_alive(now));
        live.filter_map(|known| known.clock_offset).collect()
    }

    /// Clears the clock offsets, after this host's clock was corrected.
    pub fn clear_clock_offsets(&mut self) {
        for known in self.hosts.values_mut() {
            known.clock_offset = None;
        }
    }

    /// Names of the other hosts that are alive and not stopping.
    pub fn live_names(&self, now: Time) -> impl Iterator<Item = &str> {
        let serving = self.hosts.iter().filter(move |(_, known)| known.serves(now));
        serving.map(|(name, _)| name.as_str())
    }

    /// The pollers: those first in an order by hash among the hosts that are alive, so that
    /// all hosts choose nearly the same ones.
    pub fn pollers(&self, now: Time) -> Pollers {
        let names = self.poller_names(now);
        let others = names.iter().filter_map(|name| self.hosts.get(*name));
        Pollers {
            includes_own: names.contains(&self.own_name.as_str()),
            addrs: others.map(|known| known.entry.gossip).collect(),
        }
    }

    fn poller_names(&self, now: Time) -> Vec<&str> {
        let live = self.hosts.iter().filter(|(_, known)| known.serves(now));
        let names = live.map(|(name, _)| name.as_str());
        let mut ranked: Vec<&str> = names.chain([self.own_name.as_str()]).collect();
        let count = MIN_POLLERS + ranked.len() / HOSTS_PER_POLLER;
        ranked.sort_unstable_by_key(|name| stable_hash(&("poller", name)));
        ranked.truncate(count);
        ranked
    }

    /// Gossip addresses of up to `count` other hosts, by their order by hash over `key`: the first
    /// `pollers` of the pollers, unless this host is one of these, and then the first of all.
    pub fn holders(&self, now: Time, key: u64, pollers: usize, count: usize) -> Vec<SocketAddr> {
        let mut names = self.poller_names(now);
        names.sort_unstable_by_key(|name| stable_hash(&(key, name)));
        let others = names.into_iter().take(pollers).filter_map(|name| self.hosts.get(name));
        let mut holders: Vec<SocketAddr> = others.map(|known| known.entry.gossip).collect();
        for addr in self.ranked(now, key, count) {
            if holders.len() < count && !holders.contains(&addr) {
                holders.push(addr);
            }
        }
        holders
    }

    /// Gossip addresses of the hosts to which this one, as a poller, passes changes on: of the pollers,
    /// the first two in an order by hash over the host's name do so. Empty if this host is no poller.
    pub fn followers(&self, now: Time) -> Vec<SocketAddr> {
        let pollers: Vec<&str> = self.poller_names(now);
        if !pollers.contains(&self.own_name.as_str()) {
            return Vec::new();
        }
        let others = self
            .hosts
            .iter()
            .filter(|(name, known)| !known.entry.leaving && !pollers.contains(&name.as_str()));
        let followers = others.filter(|(host, _)| {
            let rank = |poller: &str| stable_hash(&("feeder", poller, host.as_str()));
            let own = rank(&self.own_name);
            pollers.iter().filter(|poller| rank(poller) < own).count() < FEEDERS_PER_HOST
        });
        followers.map(|(_, known)| known.entry.gossip).collect()
    }

    /// Gossip addresses of up to `count` other hosts that are not stopping: those first in an order by
    /// hash over `key`, which nearly all hosts see alike. Those that no gossip has arrived from come
    /// last; a host that has just started has heard of none.
    pub fn ranked(&self, now: Time, key: u64, count: usize) -> Vec<SocketAddr> {
        let staying = self.hosts.iter().filter(|(_, known)| !known.entry.leaving);
        let ranked = staying.map(|(name, known)| {
            (!known.is_alive(now), stable_hash(&(key, name)), known.entry.gossip)
        });
        let mut ranked: Vec<(bool, u64, SocketAddr)> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(.., addr)| addr).collect()
    }

    /// Number of live hosts before this one in an order by hash over `key`, without those at the
    /// addresses in `except`.
    pub fn rank(&self, now: Time, key: u64, except: &[SocketAddr]) -> usize {
        let own = stable_hash(&(key, &self.own_name));
        let others = self
            .hosts
            .iter()
            .filter(|(_, known)| known.serves(now) && !except.contains(&known.entry.gossip));
        others.filter(|(name, _)| stable_hash(&(key, name)) < own).count()
    }

    /// Number of hosts that may be serving, with this one.
    pub fn count(&self) -> usize {
        1 + self.staying_names().count()
    }

    /// Names of the other hosts that may be serving: all that are not stopping, even if no gossip of
    /// them has arrived yet.
    pub fn staying_names(&self) -> impl Iterator<Item = &str> {
        let staying = self.hosts.iter().filter(|(_, known)| !known.entry.leaving);
        staying.map(|(name, _)| name.as_str())
    }

    /// Addresses for a caller in `zone`; includes `own` if this host is ready.
    pub fn addresses(&self, now: Time, zone: &str, own: Option<&HostEntry>) -> Vec<SocketAddr> {
        let serving: Vec<&HostEntry> = self.serving(now).chain(own).collect();
        let near = serving.iter().filter(|entry| entry.zone == zone);
        let near: Vec<SocketAddr> = near.map(|entry| entry.addr).collect();
        if near.len() >= MIN_ZONE_HOSTS {
            return near;
        }
        serving.iter().map(|entry| entry.addr).collect()
    }

    /// Gossip address of the other host with this name.
    pub fn gossip_addr(&self, name: &str) -> Option<SocketAddr> {
        self.hosts.get(name).map(|known| known.entry.gossip)
    }

    /// Gossip addresses of all other hosts that are not stopping, even if no gossip of
    /// them has arrived yet.
    pub fn gossip_addrs(&self) -> Vec<SocketAddr> {
        let staying = self.hosts.values().filter(|known| !known.entry.leaving);
        staying.map(|known| known.entry.gossip).collect()
    }

    fn serving(&self, now: Time) -> impl Iterator<Item = &HostEntry> {
        let serving = self.hosts.values().filter(move |known| known.serves(now));
        serving.map(|known| &known.entry)
    }
}

impl KnownHost {
    fn is_alive(&self, now: Time) -> bool {
        self.last_gossip_at
            .is_some_and(|last_gossip_at| now.since(last_gossip_at) < LIVENESS_TIMEOUT)
    }

    fn serves(&self, now: Time) -> bool {
        !self.entry.leaving && self.is_alive(now)
    }
}
