//! Calls on the platform's object store, as data.
//!
//! The machines of this crate do no I/O. They return calls; whoever drives
//! them makes the calls and hands the replies back under the same [`CallId`].
//! A reply may be missing, late or double, and a call whose reply was lost may
//! still have taken effect: [`StoreReply::Unknown`] says so.

use serde::{Deserialize, Serialize};

/// Names an object, as a path such as `shards/zone-a`.
pub type Key = String;

/// Matches a call with its reply; never reused within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Hands out call ids.
///
/// One for all machines of a process, or one a machine with a `first` of its
/// own: the driver matches replies by id alone.
#[derive(Debug, Clone)]
pub struct CallIds(u64);

impl CallIds {
    /// Ids from `first` on.
    pub fn from(first: u64) -> CallIds {
        CallIds(first)
    }

    /// The next id.
    pub fn next_id(&mut self) -> CallId {
        self.0 += 1;
        CallId(self.0 - 1)
    }
}

/// An object's version; grows with each write anywhere in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Version(pub u64);

/// What a conditional update requires of the object's present version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object stands at this version.
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
    /// Its content; at most a megabyte.
    pub value: Vec<u8>,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The object was written.
    Put(Object),
    /// The object was deleted by the write of this version.
    Delete {
        /// The object's name.
        key: Key,
        /// The version of the deletion.
        version: Version,
    },
}

/// One call on the store.
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
    /// Deletes one object if it stands at this version.
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
    /// Waits for changes below `prefix` later than `after`.
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
    /// The condition did not hold; the object as it stands.
    Conflict(Option<Object>),
    /// The objects listed, and the version the list is true at.
    Listed {
        /// The objects.
        objects: Vec<Object>,
        /// The version of the list.
        version: Version,
    },
    /// Changes in order of version, and the version seen up to.
    Changed {
        /// The changes; empty when the wait ran out.
        changes: Vec<Change>,
        /// The version seen up to.
        version: Version,
    },
    /// The watch's start has been compacted away: list again.
    Compacted,
    /// The store refused the call before any effect, or could not be reached.
    Refused,
    /// No answer came: the call may have taken effect or not.
    Unknown,
}
