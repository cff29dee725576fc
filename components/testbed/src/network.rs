//! Who can reach whom, and how long it takes.

use std::{collections::BTreeSet, ops::Range, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg32;

/// A host of the bed, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// One end of a path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A host.
    Host(HostId),
    /// The platform's store.
    Store,
    /// An endpoint, by name.
    Endpoint(String),
}

/// One-way delays between hosts and to endpoints, in microseconds.
const PATH_MICROS: Range<u64> = 700..1_800;

/// Delays of a call on the store, one way, in microseconds.
const STORE_MICROS: Range<u64> = 1_000..4_000;

/// Delays of a call on a slow store, one way, in microseconds.
const SLOW_MICROS: Range<u64> = 200_000..1_500_000;

/// The paths between the places, and which of them are cut.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(Place, Place)>,
    isolated: BTreeSet<HostId>,
}

impl Network {
    /// Cuts the path between two places, both ways.
    pub fn cut(&mut self, a: Place, b: Place) {
        self.cuts.insert(pair(a, b));
    }

    /// Mends the path between two places.
    pub fn mend(&mut self, a: Place, b: Place) {
        self.cuts.remove(&pair(a, b));
    }

    /// Cuts a host off from everything.
    pub fn isolate(&mut self, host: HostId) {
        self.isolated.insert(host);
    }

    /// Ends a host's isolation; single cuts stay.
    pub fn rejoin(&mut self, host: HostId) {
        self.isolated.remove(&host);
    }

    /// Whether something sent from one place now arrives at the other.
    pub fn connects(&self, a: &Place, b: &Place) -> bool {
        let alone = |place: &Place| match place {
            Place::Host(host) => self.isolated.contains(host),
            Place::Store | Place::Endpoint(_) => false,
        };
        !alone(a) && !alone(b) && !self.cuts.contains(&pair(a.clone(), b.clone()))
    }
}

fn pair(a: Place, b: Place) -> (Place, Place) {
    if a <= b { (a, b) } else { (b, a) }
}

/// The delay of one message between hosts, or to an endpoint.
pub(crate) fn path_delay(rng: &mut Pcg32) -> Duration {
    Duration::from_micros(rng.random_range(PATH_MICROS))
}

/// The delay of one message to or from the store.
pub(crate) fn store_delay(rng: &mut Pcg32, slow: bool) -> Duration {
    let range = if slow { SLOW_MICROS } else { STORE_MICROS };
    Duration::from_micros(rng.random_range(range))
}
