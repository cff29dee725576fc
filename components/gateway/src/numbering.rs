//! How the streams of each software version count their events, as far as this host has seen.
//!
//! A caller that takes a stream up names its last event, which does not show how the stream counts. Other
//! streams of the same version do: where all have counted by one, a larger step leaves an event out.

use std::collections::HashMap;

use crate::{fleet::BuildId, hash::stable_hash};

/// Maximum number of versions that are remembered.
const MAX_VERSIONS: usize = 256;

/// How the streams of each service and software version count.
#[derive(Debug, Default)]
pub struct Numberings {
    /// Whether all streams seen count by one, by the hash of the service and its version.
    by_one: HashMap<(u64, BuildId), bool>,
}

impl Numberings {
    /// Records whether a stream of `service`, at the version `build`, counts by one.
    pub fn record(&mut self, service: &str, build: BuildId, counts_by_one: bool) {
        if self.by_one.len() >= MAX_VERSIONS {
            self.by_one.clear();
        }
        *self.by_one.entry((stable_hash(&service), build)).or_insert(true) &= counts_by_one;
    }

    /// Whether all streams seen of `service` at the version `build` count by one; false if none was.
    pub fn count_by_one(&self, service: &str, build: BuildId) -> bool {
        self.by_one.get(&(stable_hash(&service), build)).copied().unwrap_or(false)
    }
}
