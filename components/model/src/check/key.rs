//! Rules for keys.

use std::collections::BTreeMap;

use crate::{
    Config, Digest, Kind, Name,
    check::{object_id, report_dangling},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut hashes: BTreeMap<Digest, &Name> = BTreeMap::new();
    for key in config.keys.values() {
        let id = object_id(Kind::Key, &key.name);
        if !config.organisations.contains_key(&key.organisation) {
            report_dangling(reporter, &id, ".organisation", Kind::Organisation, &key.organisation);
        }
        if let Some(other) = hashes.insert(key.hash, &key.name) {
            let problem = format!("the key {other} has the same hash");
            reporter.error(&id, ".hash", problem, "a unique key, from `key issue`");
        }
    }
}
