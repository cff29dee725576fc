//! A fake versioned object store with conditional writes and watches.

use std::collections::{BTreeMap, VecDeque};

use chervilgate_coord::{Change, Expect, Key, Object, StoreCall, StoreReply, Version};

/// Maximum number of changes kept for watches; older ones are compacted away.
const MAX_LOGGED_CHANGES: usize = 10_000;

/// The result of a store call.
#[derive(Debug)]
pub enum StoreOutcome {
    /// The reply, available at once.
    Reply(StoreReply),
    /// A watch without changes so far: serve it again after the next write.
    Pending {
        /// Prefix of the watched keys.
        prefix: Key,
        /// The last version that the watcher has seen.
        after: Version,
    },
}

/// The objects of the store and its log of recent changes.
#[derive(Debug, Default)]
pub struct FakeStore {
    objects: BTreeMap<Key, Object>,
    log: VecDeque<Change>,
    version: Version,
    compacted: Version,
}

impl FakeStore {
    /// Carries out one call.
    pub fn serve(&mut self, call: &StoreCall) -> StoreOutcome {
        match call {
            StoreCall::Get { key } => {
                StoreOutcome::Reply(StoreReply::Found(self.objects.get(key).cloned()))
            }
            StoreCall::Put { key, expect, value } => {
                StoreOutcome::Reply(self.put(key, *expect, value))
            }
            StoreCall::Delete { key, version } => StoreOutcome::Reply(self.delete(key, *version)),
            StoreCall::List { prefix } => StoreOutcome::Reply(self.list(prefix)),
            StoreCall::Watch { prefix, after } => self.watch(prefix, *after),
        }
    }

    /// Clears the log of changes: watches from earlier versions get
    /// [`StoreReply::Compacted`] and have to list again.
    pub fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.version;
    }

    /// Reads an object without a store call; `None` if it does not exist.
    pub fn object(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// The version of the last write.
    pub fn version(&self) -> Version {
        self.version
    }

    fn put(&mut self, key: &Key, expect: Expect, value: &[u8]) -> StoreReply {
        let present = self.objects.get(key);
        let matches = match (expect, present) {
            (Expect::Absent, None) => true,
            (Expect::At(version), Some(object)) => object.version == version,
            _ => false,
        };
        if !matches {
            return StoreReply::Conflict(present.cloned());
        }
        self.version.revision += 1;
        let object = Object { key: key.clone(), version: self.version, value: value.to_vec() };
        self.objects.insert(key.clone(), object.clone());
        self.log_change(Change::Put(object));
        StoreReply::Written(self.version)
    }

    fn delete(&mut self, key: &Key, version: Version) -> StoreReply {
        let present = self.objects.get(key);
        if present.is_none_or(|object| object.version != version) {
            return StoreReply::Conflict(present.cloned());
        }
        self.version.revision += 1;
        self.objects.remove(key);
        self.log_change(Change::Delete { key: key.clone(), version: self.version });
        StoreReply::Written(self.version)
    }

    fn list(&self, prefix: &Key) -> StoreReply {
        let objects = self
            .objects
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(prefix.as_str()))
            .map(|(_, object)| object.clone())
            .collect();
        StoreReply::Listed { objects, version: self.version }
    }

    fn watch(&self, prefix: &Key, after: Version) -> StoreOutcome {
        if after < self.compacted {
            return StoreOutcome::Reply(StoreReply::Compacted);
        }
        let mut changes: Vec<Change> = self
            .log
            .iter()
            .rev()
            .take_while(|change| version_of(change) > after)
            .filter(|change| key_of(change).starts_with(prefix))
            .cloned()
            .collect();
        changes.reverse();
        if changes.is_empty() {
            return StoreOutcome::Pending { prefix: prefix.clone(), after };
        }
        StoreOutcome::Reply(StoreReply::Changed { changes, version: self.version })
    }

    fn log_change(&mut self, change: Change) {
        self.log.push_back(change);
        if self.log.len() <= MAX_LOGGED_CHANGES {
            return;
        }
        if let Some(oldest) = self.log.pop_front() {
            self.compacted = version_of(&oldest);
        }
    }
}

fn version_of(change: &Change) -> Version {
    match change {
        Change::Put(object) => object.version,
        Change::Delete { version, .. } => *version,
    }
}

fn key_of(change: &Change) -> &Key {
    match change {
        Change::Put(object) => &object.key,
        Change::Delete { key, .. } => key,
    }
}
