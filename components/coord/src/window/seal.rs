//! The stored forms of windows.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{ident::Incarnation, order::ShardId, store::Key, view::Digest, window::tally::Tally};

/// Names a window: a group of organisations, and a number from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WindowId {
    /// The shard whose owner seals and reports the window.
    pub shard: ShardId,
    /// Its number.
    pub number: u64,
}

impl WindowId {
    /// The window after this one.
    pub fn next(&self) -> WindowId {
        WindowId { shard: self.shard.clone(), number: self.number + 1 }
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:010}", self.shard, self.number)
    }
}

/// What one entry has counted in one window so far.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Sheet {
    /// Counts the states of this incarnation's sheets; a higher one replaces a
    /// lower one.
    pub state: u64,
    /// The counters.
    pub tally: Tally,
}

/// One entry's part of a sealed window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sealed {
    /// The state that was sealed.
    pub state: u64,
    /// The blob of the sealed sheet.
    pub sheet: Digest,
}

/// A sealed window; never changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Seal {
    /// The figures to report.
    pub total: Tally,
    /// What they were taken from.
    pub sheets: BTreeMap<Incarnation, Sealed>,
}

/// The start of the names of a window's sheets.
pub fn sheet_prefix(window: &WindowId) -> Key {
    format!("sheets/{window}/")
}

/// The name of an entry's sheet.
pub fn sheet_key(window: &WindowId, entry: Incarnation) -> Key {
    format!("sheets/{window}/{entry}")
}

/// The name of a window's seal.
pub fn seal_key(window: &WindowId) -> Key {
    format!("seals/{window}")
}

/// The entry that a sheet's name names.
pub(crate) fn entry_of(window: &WindowId, key: &str) -> Option<Incarnation> {
    let name = key.strip_prefix(&sheet_prefix(window))?;
    u64::from_str_radix(name, 16).ok().map(Incarnation)
}
