//! Configuration objects of any kind, and their ids.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{KeyRecord, ModelVersion, Name, Organisation, Placement, Service, Target};

/// The kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Organisation`]
    Organisation,
    /// [`KeyRecord`]
    Key,
    /// [`Service`]
    Service,
    /// [`ModelVersion`]
    ModelVersion,
    /// [`Placement`]
    Placement,
    /// [`Target`]
    Target,
}

/// Identifies an object by kind and name; displayed as `service/portal`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ObjectId {
    /// The kind.
    pub kind: Kind,
    /// The name, unique among objects of the kind.
    pub name: Name,
}

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "spec")]
pub enum Object {
    /// An organisation.
    Organisation(Organisation),
    /// The stored record of a key, which holds its hash but not its secret.
    Key(KeyRecord),
    /// A service.
    Service(Service),
    /// A model version.
    ModelVersion(ModelVersion),
    /// The target counts of a service by zone.
    Placement(Placement),
    /// A statically configured target.
    Target(Target),
}

impl Kind {
    /// All kinds in the order in which objects are listed.
    pub const ALL: [Kind; 6] = [
        Kind::Organisation,
        Kind::Key,
        Kind::Service,
        Kind::ModelVersion,
        Kind::Placement,
        Kind::Target,
    ];

    /// The name of the kind in object files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::Key => "key",
            Kind::Service => "service",
            Kind::ModelVersion => "model-version",
            Kind::Placement => "placement",
            Kind::Target => "target",
        }
    }

    /// Parses the name of a kind as it is written in object files.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl Object {
    /// The kind of the object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::Organisation(_) => Kind::Organisation,
            Object::Key(_) => Kind::Key,
            Object::Service(_) => Kind::Service,
            Object::ModelVersion(_) => Kind::ModelVersion,
            Object::Placement(_) => Kind::Placement,
            Object::Target(_) => Kind::Target,
        }
    }

    /// The name of the object.
    pub fn name(&self) -> &Name {
        match self {
            Object::Organisation(object) => &object.name,
            Object::Key(object) => &object.name,
            Object::Service(object) => &object.name,
            Object::ModelVersion(object) => &object.name,
            Object::Placement(object) => &object.name,
            Object::Target(object) => &object.name,
        }
    }

    /// The `spec` member as it is written in object files.
    pub fn spec(&self) -> Value {
        match self {
            Object::Organisation(object) => spec_value(object),
            Object::Key(object) => spec_value(object),
            Object::Service(object) => spec_value(object),
            Object::ModelVersion(object) => spec_value(object),
            Object::Placement(object) => spec_value(object),
            Object::Target(object) => spec_value(object),
        }
    }

    /// The object as it is written in files: `{"kind": …, "name": …, "spec": {…}}`.
    pub fn to_json(&self) -> Value {
        json!({ "kind": self.kind(), "name": self.name(), "spec": self.spec() })
    }

    /// The id, made of kind and name.
    pub fn id(&self) -> ObjectId {
        ObjectId { kind: self.kind(), name: self.name().clone() }
    }
}

/// Serializes an object without its name, which is written outside the spec, and
/// without null members.
fn spec_value(object: &impl Serialize) -> Value {
    let value = serde_json::to_value(object).expect("names are strings, numbers are finite");
    let Value::Object(members) = value else { return value };
    members.into_iter().filter(|(name, value)| name != "name" && !value.is_null()).collect()
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
