//! The check of a whole configuration.
//!
//! Each rule looks at one kind of object together with those that it refers
//! to. A rule never stops at its first finding.

mod change;
mod fallback;
mod key;
mod placement;
mod service;
mod target;
mod version;

use chervilgate_settings::Finding;

use crate::{Config, Kind, Name, ObjectId, Origins, origin::Reporter};

pub use change::check_change;

/// Checks the objects of `config` against one another.
///
/// Findings carry the places that `origins` knows, and the object's id as file
/// otherwise.
pub fn check(config: &Config, origins: &Origins) -> Vec<Finding> {
    let reporter = Reporter::new(origins);
    key::check(config, &reporter);
    service::check(config, &reporter);
    fallback::check(config, &reporter);
    version::check(config, &reporter);
    placement::check(config, &reporter);
    target::check(config, &reporter);
    reporter.into_vec()
}

fn id(kind: Kind, name: &Name) -> ObjectId {
    ObjectId { kind, name: name.clone() }
}

/// Reports a reference to an object that is not there.
fn dangling(reporter: &Reporter<'_>, from: &ObjectId, path: &str, kind: Kind, name: &Name) {
    if reporter.is_unreadable(&id(kind, name)) {
        return;
    }
    let expected = format!("the name of an existing {kind}");
    reporter.error(from, path, format!("there is no {kind} {name}"), &expected);
}
