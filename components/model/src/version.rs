//! Model versions that engines can load.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Name;

/// A version of a model in the weight store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelVersion {
    /// The object's name, as placements refer to it.
    pub name: Name,
    /// The model.
    pub model: Name,
    /// The version within the model.
    pub version: Name,
    /// Whether it may be used.
    pub state: VersionState,
    /// Adapters that can be loaded on top.
    pub adapters: SmallVec<[Name; 2]>,
}

/// Whether a model version may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// May be placed.
    Active,
    /// Must not be placed any more.
    Withdrawn,
}
