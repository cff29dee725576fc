//! Operators' objects as aggregates, and the check of a whole configuration.
//!
//! Operators write named objects that refer to one another: organisations,
//! keys, services, model versions, placements, targets and drains. A
//! [`Config`] holds all of them as one snapshot with a canonical encoding, so
//! that equal configurations have equal bytes and an equal [`Digest`].

mod config;
mod digest;
mod key;
mod name;
mod object;
mod organisation;
mod path;
mod placement;
mod route;
mod service;
mod target;
mod version;

pub use crate::{
    config::{Config, DecodeError},
    digest::Digest,
    key::{KeyError, KeyRecord, Secret, issue_key},
    name::{Name, NameError},
    object::{Kind, Object, ObjectId},
    organisation::{Limits, Organisation},
    placement::{Placement, ZoneCount},
    route::{Method, Pattern, Route, RouteError},
    service::{Access, Service, ServiceKind},
    target::{Drain, PayClass, Role, Target, TargetKind},
    version::{ModelVersion, VersionState},
};
