//! Stored records of usage windows, and their keys.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    ident::Incarnation, order::ShardId, store::Key, view::Digest, window::tally::UsageTotals,
};

/// Identifies a window: the shard of a group of organisations, and a number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WindowId {
    /// The shard whose owner seals and reports the window.
    pub shard: ShardId,
    /// The window's number in the shard, from 1.
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

/// The cumulative usage that one entry has counted in one window.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct UsageSheet {
    /// Increases with each change, also across the incarnation's windows; a sheet
    /// with a higher number replaces one with a lower number.
    pub state: u64,
    /// The usage counters.
    pub tally: UsageTotals,
}

/// The sheet of one entry as included in a seal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SealedSheet {
    /// The state number of the sealed sheet.
    pub state: u64,
    /// Digest of the blob that holds the sealed sheet.
    pub sheet: Digest,
}

/// A sealed window; never changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WindowSeal {
    /// The sum of all sheets, to be reported.
    pub total: UsageTotals,
    /// The sheets that were summed up, by entry.
    pub sheets: BTreeMap<Incarnation, SealedSheet>,
}

/// Key prefix of a window's sheets in the store.
pub fn sheet_prefix(window: &WindowId) -> Key {
    format!("sheets/{window}/")
}

/// The store key of an entry's sheet.
pub fn sheet_key(window: &WindowId, entry: Incarnation) -> Key {
    format!("sheets/{window}/{entry}")
}

/// The store key of a window's seal.
pub fn seal_key(window: &WindowId) -> Key {
    format!("seals/{window}")
}

/// The entry whose sheet has this key; None if the key is not of a sheet in the window.
pub(crate) fn entry_from_key(window: &WindowId, key: &str) -> Option<Incarnation> {
    let name = key.strip_prefix(&sheet_prefix(window))?;
    u64::from_str_radix(name, 16).ok().map(Incarnation)
}
