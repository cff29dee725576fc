//! Rules for the change from one configuration to the next.

use chervilgate_settings::Finding;

use crate::{Config, KeyRecord, Kind, Origins, check::object_id, origin::Reporter};

/// Checks that `new` may replace `old`: a withdrawn key stays withdrawn, and no key
/// is removed or changes its organisation or secret.
pub fn check_change(old: &Config, new: &Config, origins: &Origins) -> Vec<Finding> {
    let reporter = Reporter::new(origins);
    for key in old.keys.values() {
        check_key(key, new.keys.get(&key.name), &reporter);
    }
    reporter.into_vec()
}

fn check_key(old: &KeyRecord, new: Option<&KeyRecord>, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Key, &old.name);
    let Some(new) = new else {
        let problem = format!("the key {} has been removed", old.name);
        return reporter.error(&id, "", problem, "the key; withdraw it to disable it");
    };
    if old.withdrawn && !new.withdrawn {
        let problem = "a withdrawal cannot be undone".to_owned();
        reporter.error(&id, ".withdrawn", problem, "true; issue a new key instead");
    }
    if old.hash != new.hash {
        let problem = "the secret of a key cannot change".to_owned();
        reporter.error(&id, ".hash", problem, "the old hash; issue a new key instead");
    }
    if old.organisation != new.organisation {
        let problem = format!("the key belongs to {}", old.organisation);
        reporter.error(
            &id,
            ".organisation",
            problem,
            "the same organisation; issue a new key instead",
        );
    }
}
