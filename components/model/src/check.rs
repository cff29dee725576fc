//! Validates a whole configuration.
//!
//! Each submodule checks one kind of object against the objects that it refers
//! to, and continues after a finding.

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

/// Checks the objects of `config` and the references between them.
///
/// A finding names the object's location in `origins`, or the object's id in
/// place of the file if it has none.
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

fn object_id(kind: Kind, name: &Name) -> ObjectId {
    ObjectId { kind, name: name.clone() }
}

/// Reports a reference at `path` of the object `id` to an object that does not exist.
fn report_dangling(reporter: &Reporter<'_>, id: &ObjectId, path: &str, kind: Kind, name: &Name) {
    if reporter.is_in_file(&object_id(kind, name)) {
        return;
    }
    let expected = format!("the name of an existing {kind}");
    reporter.error(id, path, format!("there is no {kind} {name}"), &expected);
}
