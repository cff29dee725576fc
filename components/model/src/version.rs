//! Model versions that engines can load.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Name;

/// A version of a model whose weights are in the weight store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelVersion {
    /// The name by which placements refer to it.
    pub name: Name,
    /// The model's name in callers' requests.
    pub model: Name,
    /// The version's name, unique within the model.
    pub version: Name,
    /// Whether placements may use it.
    pub state: VersionState,
    /// Adapters that engines can load on top of the weights.
    pub adapters: SmallVec<[Name; 2]>,
}

/// Whether placements may use a model version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Placements may use it.
    Active,
    /// A placement that uses it is an error.
    Withdrawn,
}
