//! The hosts that serve callers, as they enter themselves in the store.
//!
//! Each host rewrites its entry at a fixed pace. A host whose entry has not
//! changed for a while, by this host's clock, is taken as gone; while the store
//! does not answer, nothing is concluded.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

/// Time between two writes of a host's entry.
pub const BEAT: Duration = Duration::from_secs(2);

/// Time without a change after which a host is taken as gone: two beats and the
/// lag of a read that may be old.
const SILENCE: Duration = Duration::from_secs(6);

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
    /// Its availability zone.
    pub zone: String,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Counts up with each write.
    pub beat: u64,
}

#[derive(Debug)]
struct Known {
    entry: HostEntry,
    version: Version,
    changed: Time,
}

/// The other hosts that serve callers.
#[derive(Debug)]
pub struct Members {
    own: String,
    known: HashMap<String, Known>,
}

impl Members {
    /// No other host known to the one named `own`.
    pub fn new(own: &str) -> Members {
        Members { own: own.to_owned(), known: HashMap::new() }
    }

    /// Takes in the entries that the store lists.
    pub fn update(&mut self, now: Time, entries: Vec<(String, Version, HostEntry)>) {
        self.known.retain(|name, _| entries.iter().any(|(listed, ..)| listed == name));
        for (name, version, entry) in entries {
            if name == self.own {
                continue;
            }
            match self.known.get_mut(&name) {
                Some(known) if known.version >= version => {}
                Some(known) => *known = Known { entry, version, changed: now },
                None => {
                    self.known.insert(name, Known { entry, version, changed: now });
                }
            }
        }
    }

    /// Hosts that serve, this one included.
    pub fn count(&self, now: Time) -> usize {
        1 + self.serving(now).count()
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

    /// Where the other hosts hear of this host's open work.
    pub fn gossip_addrs(&self, now: Time) -> Vec<SocketAddr> {
        self.serving(now).map(|entry| entry.gossip).collect()
    }

    fn serving(&self, now: Time) -> impl Iterator<Item = &HostEntry> {
        self.known
            .values()
            .filter(move |known| !known.entry.leaving && now.since(known.changed) < SILENCE)
            .map(|known| &known.entry)
    }
}
