//! The simulated network: connectivity and random delays.

use std::{collections::BTreeSet, ops::Range, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg32;

/// Index of a host in its bed, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// One end of a network path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A host.
    Host(HostId),
    /// The platform's object store.
    Store,
    /// An endpoint, by its registered name.
    Endpoint(String),
}

/// One-way delay between hosts and to endpoints, in microseconds.
const PATH_MICROS: Range<u64> = 700..1_800;

/// One-way delay of a store call, in microseconds.
const STORE_MICROS: Range<u64> = 1_000..4_000;

/// One-way delay of a call on a slow store, in microseconds.
const SLOW_STORE_MICROS: Range<u64> = 200_000..1_500_000;

/// Which paths are cut and which hosts are isolated; everything else is connected.
#[derive(Debug, Default)]
pub struct Network {
    cut_paths: BTreeSet<(Place, Place)>,
    isolated: BTreeSet<HostId>,
}

impl Network {
    /// Cuts the path between two places in both directions.
    pub fn cut(&mut self, a: Place, b: Place) {
        self.cut_paths.insert(path(a, b));
    }

    /// Restores the path between two places in both directions.
    pub fn restore(&mut self, a: Place, b: Place) {
        self.cut_paths.remove(&path(a, b));
    }

    /// Cuts every path of a host.
    pub fn isolate(&mut self, host: HostId) {
        self.isolated.insert(host);
    }

    /// Ends a host's isolation; paths cut one by one stay cut.
    pub fn rejoin(&mut self, host: HostId) {
        self.isolated.remove(&host);
    }

    /// Whether a message between the two places arrives now.
    pub fn connects(&self, a: &Place, b: &Place) -> bool {
        let cut_off = |place: &Place| match place {
            Place::Host(host) => self.isolated.contains(host),
            Place::Store | Place::Endpoint(_) => false,
        };
        !cut_off(a) && !cut_off(b) && !self.cut_paths.contains(&path(a.clone(), b.clone()))
    }
}

fn path(a: Place, b: Place) -> (Place, Place) {
    if a <= b { (a, b) } else { (b, a) }
}

/// The delay of one message between hosts, or to an endpoint.
pub(crate) fn path_delay(rng: &mut Pcg32) -> Duration {
    Duration::from_micros(rng.random_range(PATH_MICROS))
}

/// The delay of one message to or from the store.
pub(crate) fn store_delay(rng: &mut Pcg32, slow: bool) -> Duration {
    let range = if slow { SLOW_STORE_MICROS } else { STORE_MICROS };
    Duration::from_micros(rng.random_range(range))
}
