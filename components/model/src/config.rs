//! The whole configuration and its encodings.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    Digest, KeyError, KeyRecord, ModelVersion, Name, Object, ObjectId, Organisation, Placement,
    Service, Target, key::key_id,
};

/// All objects of a configuration, by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Organisations that use the system.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Keys, withdrawn ones included.
    pub keys: BTreeMap<Name, KeyRecord>,
    /// Model services and plain services.
    pub services: BTreeMap<Name, Service>,
    /// Versions that placements can refer to.
    pub versions: BTreeMap<Name, ModelVersion>,
    /// Target counts by service and zone.
    pub placements: BTreeMap<Name, Placement>,
    /// Statically configured targets.
    pub targets: BTreeMap<Name, Target>,
    /// Draining targets, which get no new work.
    ///
    /// Taken from the view's root, not from operators' files.
    pub drains: BTreeSet<Name>,
}

/// The bytes are not an encoded configuration.
#[derive(Debug, Snafu)]
#[snafu(display("invalid configuration at {}", source.path()))]
pub struct DecodeError {
    source: serde_path_to_error::Error<serde_json::Error>,
}

/// A published entry does not hold the object that it is named after.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The entry does not decode.
    #[snafu(display("cannot decode {name}: {source}"))]
    InvalidObject {
        /// The entry's name.
        name: String,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The entry holds an object with another id.
    #[snafu(display("{name} holds {id}"))]
    IdMismatch {
        /// The entry's name.
        name: String,
        /// The id of the object that it holds.
        id: ObjectId,
    },
}

impl Config {
    /// Creates a configuration; a later object replaces an earlier one with its id.
    pub fn from_objects(objects: impl IntoIterator<Item = Object>) -> Config {
        let mut config = Config::default();
        for object in objects {
            config.insert(object);
        }
        config
    }

    /// Inserts an object, replacing one with the same id.
    pub fn insert(&mut self, object: Object) {
        let name = object.name().clone();
        match object {
            Object::Organisation(object) => drop(self.organisations.insert(name, object)),
            Object::Key(object) => drop(self.keys.insert(name, object)),
            Object::Service(object) => drop(self.services.insert(name, object)),
            Object::ModelVersion(object) => drop(self.versions.insert(name, object)),
            Object::Placement(object) => drop(self.placements.insert(name, object)),
            Object::Target(object) => drop(self.targets.insert(name, object)),
        }
    }

    /// All objects by id.
    pub fn objects(&self) -> BTreeMap<ObjectId, Object> {
        let organisations = self.organisations.values().cloned().map(Object::Organisation);
        let keys = self.keys.values().cloned().map(Object::Key);
        let services = self.services.values().cloned().map(Object::Service);
        let versions = self.versions.values().cloned().map(Object::ModelVersion);
        let placements = self.placements.values().cloned().map(Object::Placement);
        let targets = self.targets.values().cloned().map(Object::Target);
        organisations
            .chain(keys)
            .chain(services)
            .chain(versions)
            .chain(placements)
            .chain(targets)
            .map(|object| (object.id(), object))
            .collect()
    }

    /// The canonical encoding: JSON without whitespace, objects sorted by name.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names are strings and numbers are finite")
    }

    /// Decodes the canonical encoding.
    ///
    /// # Errors
    /// If `bytes` are not the JSON of a configuration.
    pub fn from_bytes(bytes: &[u8]) -> Result<Config, DecodeError> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        serde_path_to_error::deserialize(&mut json).context(DecodeSnafu)
    }

    /// The encoding of each object, by its id, such as `service/portal`.
    ///
    /// Leaves out the drains, which are not part of a publication.
    pub fn to_entries(&self) -> BTreeMap<String, Vec<u8>> {
        let objects = self.objects().into_iter();
        let encode = |object| serde_json::to_vec(&object).expect("names are strings");
        objects.map(|(id, object)| (id.to_string(), encode(object))).collect()
    }

    /// Decodes the entries made by [`Config::to_entries`].
    ///
    /// # Errors
    /// If an entry does not hold the object that it is named after.
    pub fn from_entries(entries: &BTreeMap<String, Vec<u8>>) -> Result<Config, EntryError> {
        let mut config = Config::default();
        for (name, bytes) in entries {
            let object: Object =
                serde_json::from_slice(bytes).context(InvalidObjectSnafu { name })?;
            ensure!(object.id().to_string() == *name, IdMismatchSnafu { name, id: object.id() });
            config.insert(object);
        }
        Ok(config)
    }

    /// The SHA-256 digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    /// Verifies a caller's key and returns its record.
    ///
    /// # Errors
    /// If it is malformed, unknown or withdrawn.
    pub fn verify_key(&self, key: &str) -> Result<&KeyRecord, KeyError> {
        let record = self.keys.get(key_id(key)?).ok_or(KeyError::Unknown)?;
        record.verify(key)?;
        Ok(record)
    }

    /// The service that serves `model` to callers.
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services.values().find(|service| service.model().is_some_and(|name| *name == model))
    }

    /// The service with the longest prefix that matches `path`, and the rest of the path.
    pub fn service_for_path<'a>(&self, path: &'a str) -> Option<(&Service, &'a str)> {
        self.services
            .values()
            .filter_map(|service| Some((service, service.strip_prefix(path)?)))
            .max_by_key(|(service, _)| service.prefix.len())
    }

    /// The statically configured targets of `service`.
    pub fn static_targets(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(move |target| target.service == *service)
    }

    /// Whether the target `name` is draining and gets no new work.
    pub fn is_draining(&self, name: &str) -> bool {
        self.drains.contains(name)
    }
}
