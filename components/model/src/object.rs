//! One object of any kind, and its id.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{KeyRecord, ModelVersion, Name, Organisation, Placement, Service, Target};

/// A kind of object.
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

/// Kind and name of an object, written `service/portal`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ObjectId {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: Name,
}

/// An object of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "spec")]
pub enum Object {
    /// An organisation.
    Organisation(Organisation),
    /// A key, without its secret.
    Key(KeyRecord),
    /// A service.
    Service(Service),
    /// A model version.
    ModelVersion(ModelVersion),
    /// A placement.
    Placement(Placement),
    /// A target.
    Target(Target),
}

impl Kind {
    /// Each kind, in the order in which objects are listed.
    pub const ALL: [Kind; 6] = [
        Kind::Organisation,
        Kind::Key,
        Kind::Service,
        Kind::ModelVersion,
        Kind::Placement,
        Kind::Target,
    ];

    /// The kind as files name it.
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

    /// The kind that files name `text`.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl Object {
    /// Its kind.
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

    /// Its name.
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

    /// The spec as files hold it.
    pub fn spec(&self) -> Value {
        match self {
            Object::Organisation(object) => spec_of(object),
            Object::Key(object) => spec_of(object),
            Object::Service(object) => spec_of(object),
            Object::ModelVersion(object) => spec_of(object),
            Object::Placement(object) => spec_of(object),
            Object::Target(object) => spec_of(object),
        }
    }

    /// The object as files hold it: `{"kind": …, "name": …, "spec": {…}}`.
    pub fn to_json(&self) -> Value {
        json!({ "kind": self.kind(), "name": self.name(), "spec": self.spec() })
    }

    /// Kind and name.
    pub fn id(&self) -> ObjectId {
        ObjectId { kind: self.kind(), name: self.name().clone() }
    }
}

/// An object's members without its name, which stands outside the spec, and
/// without absent ones.
fn spec_of(object: &impl Serialize) -> Value {
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
