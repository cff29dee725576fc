//! JSON types of the object API.

use chervilgate_coord::{Change, Object, Version};
use serde::{Deserialize, Serialize};

/// An object, or the deletion of one.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ObjectJson {
    /// The object's key.
    pub key: String,
    /// The version of its last write or deletion.
    pub version: u64,
    /// The content in hexadecimal; `None` for a deletion.
    pub value: Option<String>,
}

impl ObjectJson {
    /// Converts a stored object.
    pub fn from_object(object: &Object) -> ObjectJson {
        ObjectJson {
            key: object.key.clone(),
            version: object.version.revision,
            value: Some(hex::encode(&object.value)),
        }
    }

    /// Converts a change.
    pub fn from_change(change: &Change) -> ObjectJson {
        match change {
            Change::Put(object) => ObjectJson::from_object(object),
            Change::Delete { key, version } => {
                ObjectJson { key: key.clone(), version: version.revision, value: None }
            }
        }
    }

    /// Parses a change; `None` if the value is not hexadecimal.
    pub fn to_change(&self) -> Option<Change> {
        let version = Version::first_era(self.version);
        let Some(value) = &self.value else {
            return Some(Change::Delete { key: self.key.clone(), version });
        };
        let value = hex::decode(value).ok()?;
        Some(Change::Put(Object { key: self.key.clone(), version, value }))
    }

    /// Parses an object; `None` for a deletion or a value that is not hexadecimal.
    pub fn to_object(&self) -> Option<Object> {
        match self.to_change()? {
            Change::Put(object) => Some(object),
            Change::Delete { .. } => None,
        }
    }
}

/// The response to a list call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ObjectsJson {
    /// The store's version at which the list was taken.
    pub version: u64,
    /// The objects with the requested prefix.
    pub objects: Vec<ObjectJson>,
}

/// The response to a watch call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WatchJson {
    /// The store's version that the changes lead to; the next watch starts after it.
    pub version: u64,
    /// The changes in the order of their versions.
    pub changes: Vec<ObjectJson>,
}
