//! Rules for the step from one configuration to the next.

use chervilgate_settings::Finding;

use crate::{Config, KeyRecord, Kind, Origins, check::id, origin::Reporter};

/// Checks that `new` may follow `old`: a withdrawn key stays withdrawn, no key
/// vanishes, and none changes its organisation or secret.
pub fn check_change(old: &Config, new: &Config, origins: &Origins) -> Vec<Finding> {
    let reporter = Reporter::new(origins);
    for key in old.keys.values() {
        check_key(key, new.keys.get(&key.name), &reporter);
    }
    reporter.into_vec()
}

fn check_key(old: &KeyRecord, new: Option<&KeyRecord>, reporter: &Reporter<'_>) {
    let from = id(Kind::Key, &old.name);
    let Some(new) = new else {
        let problem = format!("the key {} is gone", old.name);
        return reporter.error(&from, "", problem, "the key, withdrawn if need be");
    };
    if old.withdrawn && !new.withdrawn {
        let problem = "a withdrawal cannot be undone".to_owned();
        reporter.error(&from, ".withdrawn", problem, "true; issue a new key instead");
    }
    if old.hash != new.hash {
        let problem = "the secret of a key cannot change".to_owned();
        reporter.error(&from, ".hash", problem, "the former hash; issue a new key instead");
    }
    if old.organisation != new.organisation {
        let problem = format!("the key belongs to {}", old.organisation);
        reporter.error(&from, ".organisation", problem, "the same; issue a new key instead");
    }
}
