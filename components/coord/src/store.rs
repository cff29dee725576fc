//! Calls on the store, which is the platform's object store, and their replies, as data.
//!
//! The state machines of this crate do no I/O. They return calls; their driver
//! makes the calls and passes each reply back with the same [`CallId`]. A reply
//! may be missing, late or duplicated, and a call whose reply was lost may still
//! have taken effect; the driver reports that as [`StoreReply::Unknown`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// Name of an object: a path such as `shards/zone-a`.
pub type Key = String;

/// Matches a call with its reply; never reused within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Allocates call ids.
///
/// Replies are matched by id alone, so all state machines of a process share
/// one allocator or use ranges of ids that do not overlap.
#[derive(Debug, Clone)]
pub struct CallIds(u64);

impl CallIds {
    /// Creates an allocator whose first id is `first`.
    pub fn from(first: u64) -> CallIds {
        CallIds(first)
    }

    /// The next id.
    pub fn next_id(&mut self) -> CallId {
        self.0 += 1;
        CallId(self.0 - 1)
    }
}

/// An object's version; increases with each write anywhere in the store.
///
/// A store that comes back from an older copy of its content gives the revisions of what was lost
/// out again, to other writes. Its era then rises by one. Versions order by their eras first; a
/// revision says nothing beside one of another era. A version is of the era of the answer that
/// it was read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Version {
    /// How often the store has come back from an older copy; 0 for a store that never does.
    pub era: u64,
    /// Number of the write, within the era.
    pub revision: u64,
}

impl Version {
    /// A version of a store that never came back from a copy.
    pub const fn first_era(revision: u64) -> Version {
        Version { era: 0, revision }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// The condition of a conditional update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    At(Version),
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// The object's name.
    pub key: Key,
    /// The version of its last write.
    pub version: Version,
    /// Its content; at most one megabyte.
    pub value: Vec<u8>,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The object was written.
    Put(Object),
    /// The object was deleted.
    Delete {
        /// The object's name.
        key: Key,
        /// The version of the deletion.
        version: Version,
    },
}

impl Change {
    /// The version of the write or of the deletion.
    pub fn version(&self) -> Version {
        match self {
            Change::Put(object) => object.version,
            Change::Delete { version, .. } => *version,
        }
    }
}

/// A call on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads one object.
    Get {
        /// The object's name.
        key: Key,
    },
    /// Writes one object if `expect` holds.
    Put {
        /// The object's name.
        key: Key,
        /// The condition.
        expect: Expect,
        /// The new content.
        value: Vec<u8>,
    },
    /// Deletes one object if it has this version.
    Delete {
        /// The object's name.
        key: Key,
        /// The version to delete.
        version: Version,
    },
    /// Reads every object whose name starts with `prefix`.
    List {
        /// The start of the names.
        prefix: Key,
    },
    /// Waits for changes later than `after` to objects whose name starts with `prefix`.
    Watch {
        /// The start of the names.
        prefix: Key,
        /// The last version already seen.
        after: Version,
    },
}

/// The store's answer to one call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreReply {
    /// The object that was read, if it exists.
    Found(Option<Object>),
    /// The write took effect at this version.
    Written(Version),
    /// The condition did not hold; the object as stored, None if it does not exist.
    Conflict(Option<Object>),
    /// The objects listed, and the store version of the list.
    Listed {
        /// The objects.
        objects: Vec<Object>,
        /// The store version at which the list was read.
        version: Version,
    },
    /// Changes in order of version.
    Changed {
        /// The changes; empty if the wait timed out.
        changes: Vec<Change>,
        /// The version up to which changes are included; the next watch starts here.
        version: Version,
    },
    /// The changes since the watch's start are no longer kept, or the store came back from a copy
    /// since: list again.
    Compacted,
    /// The store refused the call before any effect, or could not be reached.
    Refused,
    /// No answer came: the call may or may not have taken effect.
    Unknown,
}
