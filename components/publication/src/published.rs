//! The root of the view together with the configuration that it refers to.

use chervilgate_coord::view::{Digest, KeyHash, Root, Snapshot};
use chervilgate_model::{Config, EntryError, Name};

/// The root as read from the store, with its configuration.
#[derive(Debug, Clone, Default)]
pub struct PublishedState {
    /// The root, with withdrawn keys and draining targets.
    pub root: Root,
    /// The configuration as published, without later withdrawals and drains.
    pub config: Config,
}

impl PublishedState {
    /// The current publication's manifest; `None` before the first publication.
    pub fn manifest(&self) -> Option<Digest> {
        self.root.publication().map(|publication| publication.manifest)
    }

    /// The effective configuration: withdrawals and drains are applied.
    pub fn effective_config(&self) -> Config {
        let mut config = self.config.clone();
        for key in config.keys.values_mut() {
            key.withdrawn |= self.root.withdrawn.contains(&KeyHash(*key.hash.as_bytes()));
        }
        let targets = self.root.draining.iter().map(|draining| &draining.target);
        config.drains = targets.filter_map(|target| target.parse::<Name>().ok()).collect();
        config
    }
}

/// Encodes a configuration as a snapshot.
pub fn to_snapshot(config: &Config) -> Snapshot {
    Snapshot { objects: config.to_entries() }
}

/// Decodes the configuration in a snapshot.
///
/// # Errors
/// If an entry does not decode to the object that it is named after.
pub fn from_snapshot(snapshot: &Snapshot) -> Result<Config, EntryError> {
    Config::from_entries(&snapshot.objects)
}
