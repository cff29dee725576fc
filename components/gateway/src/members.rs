//! The hosts that serve callers, as they enter themselves in the store.
//!
//! An entry says that a host exists and where; that it lives is heard from itself.
//! Only hosts heard of late are told to callers: an entry may outlive its host, and a
//! process that has just started cannot tell how old it is. A host that hears nobody
//! tells of itself alone.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

/// Time between two lists of the hosts' entries.
pub(crate) const LIST_PACE: Duration = Duration::from_secs(6);

/// Time without hearing from a host after which it is taken as gone. Each host tells a
/// few others ten times a second.
const SILENCE: Duration = Duration::from_secs(3);

/// Hosts of the asker's zone below which it is told of hosts elsewhere too.
const NEAR_FLOOR: usize = 2;

/// One host's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Where it serves callers.
    pub addr: SocketAddr,
    /// Where it hears of other hosts' open work.
    pub gossip: SocketAddr,
    /// Stands for the process in what it tells other hosts.
    pub id: u32,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is about to stop.
    pub leaving: bool,
}

#[derive(Debug)]
struct Known {
    entry: HostEntry,
    version: Version,
    /// When it was last heard.
    heard: Option<Time>,
    /// Its true time less this host's when last heard, in microseconds.
    ahead: Option<i64>,
}

/// The other hosts that serve callers.
#[derive(Debug)]
pub struct Members {
    own: String,
    known: HashMap<String, Known>,
    listed: bool,
}

impl Members {
    /// No other host known to the one named `own`.
    pub fn new(own: &str) -> Members {
        Members { own: own.to_owned(), known: HashMap::new(), listed: false }
    }

    /// Takes in the entries that the store lists.
    pub fn update(&mut self, entries: Vec<(String, Version, HostEntry)>) {
        self.listed = true;
        self.known.retain(|name, _| entries.iter().any(|(listed, ..)| listed == name));
        for (name, version, entry) in entries {
            if name == self.own {
                continue;
            }
            match self.known.get_mut(&name) {
                Some(known) if known.version >= version => {}
                Some(known) => {
                    let same = known.entry.id == entry.id;
                    let heard = known.heard.filter(|_| same);
                    let ahead = known.ahead.filter(|_| same);
                    *known = Known { entry, version, heard, ahead };
                }
                None => {
                    self.known.insert(name, Known { entry, version, heard: None, ahead: None });
                }
            }
        }
    }

    /// Whether the entries have been listed once.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Notes that the host that `id` stands for lives, and that its true time is
    /// `ahead` microseconds of this host's. False if its entry is not known.
    pub fn hear(&mut self, now: Time, id: u32, ahead: i64) -> bool {
        let mut is_known = false;
        for known in self.known.values_mut().filter(|known| known.entry.id == id) {
            known.heard = Some(now);
            known.ahead = Some(ahead);
            is_known = true;
        }
        is_known
    }

    /// What the hosts heard of late take for true time, less this host's.
    pub fn times(&self, now: Time) -> Vec<i64> {
        let heard = self.known.values().filter(|known| known.is_heard(now));
        heard.filter_map(|known| known.ahead).collect()
    }

    /// Forgets the other hosts' times, after this host's was set right.
    pub fn forget_times(&mut self) {
        for known in self.known.values_mut() {
            known.ahead = None;
        }
    }

    /// Names of the other hosts that serve.
    pub fn names(&self, now: Time) -> impl Iterator<Item = &str> {
        let serving = self.known.iter().filter(move |(_, known)| known.serves(now));
        serving.map(|(name, _)| name.as_str())
    }

    /// Hosts that may serve, this one included: also those not heard yet.
    pub fn count(&self) -> usize {
        1 + self.known.values().filter(|known| !known.entry.leaving).count()
    }

    /// Addresses for a caller in `zone`, `own` among them if this host serves.
    pub fn addresses(&self, now: Time, zone: &str, own: Option<&HostEntry>) -> Vec<SocketAddr> {
        let serving: Vec<&HostEntry> = self.serving(now).chain(own).collect();
        let near = serving.iter().filter(|entry| entry.zone == zone);
        let near: Vec<SocketAddr> = near.map(|entry| entry.addr).collect();
        if near.len() >= NEAR_FLOOR {
            return near;
        }
        serving.iter().map(|entry| entry.addr).collect()
    }

    /// Where the other hosts hear of this host's open work; also those not heard yet.
    pub fn gossip_addrs(&self) -> Vec<SocketAddr> {
        let staying = self.known.values().filter(|known| !known.entry.leaving);
        staying.map(|known| known.entry.gossip).collect()
    }

    fn serving(&self, now: Time) -> impl Iterator<Item = &HostEntry> {
        let serving = self.known.values().filter(move |known| known.serves(now));
        serving.map(|known| &known.entry)
    }
}

impl Known {
    fn is_heard(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENCE)
    }

    fn serves(&self, now: Time) -> bool {
        !self.entry.leaving && self.is_heard(now)
    }
}
