//! Rules for keys.

use std::collections::BTreeMap;

use crate::{
    Config, Digest, Kind, Name,
    check::{dangling, id},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut hashes: BTreeMap<Digest, &Name> = BTreeMap::new();
    for key in config.keys.values() {
        let from = id(Kind::Key, &key.name);
        if !config.organisations.contains_key(&key.organisation) {
            dangling(reporter, &from, ".organisation", Kind::Organisation, &key.organisation);
        }
        if let Some(other) = hashes.insert(key.hash, &key.name) {
            let problem = format!("the key {other} has the same hash");
            reporter.error(&from, ".hash", problem, "a key of its own, from `key issue`");
        }
    }
}
