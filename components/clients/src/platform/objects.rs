//! The JSON of the object API.

use chervilgate_coord::{Change, Object, Version};
use serde::{Deserialize, Serialize};

/// An object in JSON; the value is hexadecimal.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ObjectJson {
    /// The object's name.
    pub key: String,
    /// The version of its last write or deletion.
    pub version: u64,
    /// Its content; none for a deletion.
    pub value: Option<String>,
}

impl ObjectJson {
    /// The JSON of a stored object.
    pub fn put(object: &Object) -> ObjectJson {
        ObjectJson {
            key: object.key.clone(),
            version: object.version.0,
            value: Some(hex::encode(&object.value)),
        }
    }

    /// The JSON of a change.
    pub fn change(change: &Change) -> ObjectJson {
        match change {
            Change::Put(object) => ObjectJson::put(object),
            Change::Delete { key, version } => {
                ObjectJson { key: key.clone(), version: version.0, value: None }
            }
        }
    }

    /// The change that this JSON stands for; none if the value is not hexadecimal.
    pub fn to_change(&self) -> Option<Change> {
        let version = Version(self.version);
        let Some(value) = &self.value else {
            return Some(Change::Delete { key: self.key.clone(), version });
        };
        let value = hex::decode(value).ok()?;
        Some(Change::Put(Object { key: self.key.clone(), version, value }))
    }

    /// The object that this JSON stands for.
    pub fn to_object(&self) -> Option<Object> {
        match self.to_change()? {
            Change::Put(object) => Some(object),
            Change::Delete { .. } => None,
        }
    }
}

/// The answer to a list.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ObjectsJson {
    /// The version the list is true at.
    pub version: u64,
    /// The objects.
    pub objects: Vec<ObjectJson>,
}

/// The answer to a watch.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WatchJson {
    /// The version seen up to.
    pub version: u64,
    /// The changes in order.
    pub changes: Vec<ObjectJson>,
}
