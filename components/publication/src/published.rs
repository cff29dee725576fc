//! A root of the view together with its configuration.

use chervilgate_coord::view::{Digest, KeyHash, Root, Snapshot};
use chervilgate_model::{Config, EntryError, Name};

/// What is in force.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// The root.
    pub root: Root,
    /// The configuration as it was published.
    pub config: Config,
}

impl Published {
    /// The manifest in force; none before the first publication.
    pub fn manifest(&self) -> Option<Digest> {
        self.root.publication().map(|publication| publication.manifest)
    }

    /// The configuration with withdrawals and drains applied.
    pub fn in_force(&self) -> Config {
        let mut config = self.config.clone();
        for key in config.keys.values_mut() {
            key.withdrawn |= self.root.withdrawn.contains(&KeyHash(*key.hash.as_bytes()));
        }
        let targets = self.root.draining.iter().map(|draining| &draining.target);
        config.drains = targets.filter_map(|target| target.parse::<Name>().ok()).collect();
        config
    }
}

/// The snapshot of a configuration.
pub fn to_snapshot(config: &Config) -> Snapshot {
    Snapshot { objects: config.to_entries() }
}

/// The configuration in a snapshot.
///
/// # Errors
/// If an entry is no object of the model.
pub fn from_snapshot(snapshot: &Snapshot) -> Result<Config, EntryError> {
    Config::from_entries(&snapshot.objects)
}
