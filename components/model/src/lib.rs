//! The configuration model: the objects that operators write, and their validation.
//!
//! Operators write named objects that refer to one another: organisations,
//! keys, services, model versions, placements and targets. A [`Config`] holds
//! all objects and has a canonical encoding, so that equal configurations have
//! equal bytes and an equal [`Digest`].
//!
//! [`read_files`] reads objects from files, [`check`] validates a whole
//! configuration. Both continue after a finding, so that one run reports all
//! findings.

mod check;
mod config;
mod diff;
mod digest;
mod files;
mod key;
mod name;
mod object;
mod organisation;
mod origin;
mod path;
mod placement;
mod read;
mod route;
mod service;
mod target;
mod version;

pub use crate::{
    check::{check, check_change},
    config::{Config, DecodeError, EntryError},
    diff::{Change, ChangeKind, FieldChange, diff},
    digest::Digest,
    files::{ParsedObjects, read_files},
    key::{KeyError, KeyRecord, Secret, issue_key},
    name::{Name, NameError},
    object::{Kind, Object, ObjectId},
    organisation::{Limits, Organisation},
    origin::Origins,
    placement::{Placement, ZoneCount},
    route::{Method, Pattern, Route, RouteError},
    service::{Access, Service, ServiceKind},
    target::{PricingClass, Role, Target, TargetKind},
    version::{ModelVersion, VersionState},
};
