//! Rules for model versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Config, Kind, ModelVersion, Name, check::id, origin::Reporter};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut seen: BTreeMap<(&Name, &Name), &Name> = BTreeMap::new();
    for version in config.versions.values() {
        let pair = (&version.model, &version.version);
        if let Some(other) = seen.insert(pair, &version.name) {
            let problem = format!("{other} is the same version of {}", version.model);
            let from = id(Kind::ModelVersion, &version.name);
            reporter.error(&from, ".version", problem, "one object a version");
        }
        check_adapters(version, reporter);
    }
}

fn check_adapters(version: &ModelVersion, reporter: &Reporter<'_>) {
    let mut seen = BTreeSet::new();
    for (index, adapter) in version.adapters.iter().enumerate() {
        if !seen.insert(adapter) {
            let from = id(Kind::ModelVersion, &version.name);
            let path = format!(".adapters[{index}]");
            reporter.error(&from, &path, format!("{adapter} stands twice"), "one of them");
        }
    }
}
