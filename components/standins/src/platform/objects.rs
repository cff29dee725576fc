//! Versioned objects with conditional updates and a log of changes.

use std::collections::{BTreeMap, VecDeque};

use chervilgate_coord::{Change, Expect, Object, Version};

/// Maximum number of changes kept for watches; older ones are compacted away.
const MAX_LOGGED_CHANGES: usize = 10_000;

#[derive(Default)]
pub(super) struct ObjectTable {
    objects: BTreeMap<String, Object>,
    log: VecDeque<Change>,
    version: Version,
    compacted: Version,
}

/// A failed write condition, with the current object; `None` if it does not exist.
pub(super) struct Conflict(pub(super) Option<Object>);

impl ObjectTable {
    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    pub(super) fn list<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Object> {
        let from = self.objects.range(prefix.to_owned()..);
        from.map(|(_, object)| object).take_while(move |object| object.key.starts_with(prefix))
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        expect: Expect,
        value: Vec<u8>,
    ) -> Result<Version, Conflict> {
        self.check_condition(key, expect)?;
        let version = self.next_version();
        let object = Object { key: key.to_owned(), version, value };
        self.objects.insert(key.to_owned(), object.clone());
        self.log_change(Change::Put(object));
        Ok(version)
    }

    pub(super) fn delete(&mut self, key: &str, at: Version) -> Result<Version, Conflict> {
        self.check_condition(key, Expect::At(at))?;
        let version = self.next_version();
        self.objects.remove(key);
        self.log_change(Change::Delete { key: key.to_owned(), version });
        Ok(version)
    }

    /// Changes later than `after`; `None` if some of them were compacted away.
    pub(super) fn changes(&self, prefix: &str, after: Version) -> Option<Vec<&Change>> {
        if after < self.compacted {
            return None;
        }
        let later = self.log.iter().filter(|change| change_version(change) > after);
        Some(later.filter(|change| change_key(change).starts_with(prefix)).collect())
    }

    pub(super) fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.version;
    }

    fn check_condition(&self, key: &str, expect: Expect) -> Result<(), Conflict> {
        let found = self.objects.get(key);
        let matches = match expect {
            Expect::Absent => found.is_none(),
            Expect::At(version) => found.is_some_and(|object| object.version == version),
        };
        if matches {
            return Ok(());
        }
        Err(Conflict(found.cloned()))
    }

    fn next_version(&mut self) -> Version {
        self.version.revision += 1;
        self.version
    }

    fn log_change(&mut self, change: Change) {
        self.log.push_back(change);
        if self.log.len() <= MAX_LOGGED_CHANGES {
            return;
        }
        if let Some(old) = self.log.pop_front() {
            self.compacted = change_version(&old);
        }
    }
}

fn change_version(change: &Change) -> Version {
    match change {
        Change::Put(object) => object.version,
        Change::Delete { version, .. } => *version,
    }
}

fn change_key(change: &Change) -> &str {
    match change {
        Change::Put(object) => &object.key,
        Change::Delete { key, .. } => key,
    }
}
