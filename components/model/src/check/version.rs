//! Rules for model versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Config, Kind, ModelVersion, Name, check::object_id, origin::Reporter};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut seen: BTreeMap<(&Name, &Name), &Name> = BTreeMap::new();
    for version in config.versions.values() {
        let pair = (&version.model, &version.version);
        if let Some(other) = seen.insert(pair, &version.name) {
            let problem = format!("{other} already defines this version of {}", version.model);
            let id = object_id(Kind::ModelVersion, &version.name);
            reporter.error(&id, ".version", problem, "one object per version");
        }
        check_adapters(version, reporter);
    }
}

fn check_adapters(version: &ModelVersion, reporter: &Reporter<'_>) {
    let mut seen = BTreeSet::new();
    for (index, adapter) in version.adapters.iter().enumerate() {
        if !seen.insert(adapter) {
            let id = object_id(Kind::ModelVersion, &version.name);
            let path = format!(".adapters[{index}]");
            reporter.error(&id, &path, format!("duplicate adapter {adapter}"), "each adapter once");
        }
    }
}
