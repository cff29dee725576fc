//! The record of crashes that accuse parts of prompts, which outlives all hosts.
//!
//! Hosts tell each other of crashes, but where all of them are killed none remembers any, and each part
//! that crashes targets has to end three more to be known again. So one object in the store holds the
//! latest crashes that still accuse. A few hosts keep it: a crash is added once it is known there, and removed
//! once one of them has forgotten it or its parts were answered. No times of day are stored: a crash that a
//! host learns from the record counts from then on, so that a part is refused for at most one retention
//! time after the last start of all hosts.
//!
//! Failed runs of whole requests are not recorded. Each stream that breaks off is one, so where many
//! targets end they would be written by the hundred, and they count for two minutes only.

use std::collections::HashSet;

use chervilgate_policy::{CrashId, CrashNotice};
use serde::{Deserialize, Serialize};

use crate::stored_list::StoredList;

/// Maximum number of crashes in the record. A part is refused after three, or after six if it was answered.
const MAX_RECORDED: usize = 32;

/// The record as stored. Each crash is text, as digests exceed the numbers that all readers of JSON keep.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoredCrashes {
    crashes: StoredList<String>,
}

impl StoredCrashes {
    /// The record with these crashes.
    ///
    /// # Errors
    /// If one cannot be encoded.
    pub fn new(crashes: &[CrashNotice]) -> Result<StoredCrashes, postcard::Error> {
        let texts = crashes.iter().map(|notice| Ok(to_hex(&postcard::to_stdvec(notice)?)));
        Ok(StoredCrashes { crashes: texts.collect::<Result<_, postcard::Error>>()? })
    }

    /// The crashes that it holds, without those that cannot be read.
    pub fn into_crashes(self) -> Vec<CrashNotice> {
        let bytes = self.crashes.elements.iter().filter_map(|text| from_hex(text));
        bytes.filter_map(|bytes| postcard::from_bytes(&bytes).ok()).collect()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> =
        text.chars().map(|digit| digit.to_digit(16).map(|value| value as u8)).collect();
    digits.map(|digits| {
        digits.chunks(2).map(|pair| pair.iter().fold(0, |all, one| all << 4 | one)).collect()
    })
}

/// The outcome of a comparison of the record with what a host knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashMerge {
    /// Crashes that this host did not know.
    pub unknown: Vec<CrashNotice>,
    /// The crashes that the record is to hold.
    pub merged: Vec<CrashNotice>,
    /// Whether it holds others.
    pub is_changed: bool,
}

fn ids(crashes: &[CrashNotice]) -> HashSet<CrashId> {
    crashes.iter().map(|notice| notice.crash).collect()
}

/// What of the record this host has seen or written.
#[derive(Debug, Default)]
pub struct CrashRecord {
    /// The crashes that this host and the record had in common.
    synced: HashSet<CrashId>,
    is_read: bool,
}

impl CrashRecord {
    /// Whether this host has not read the record since it started.
    pub fn is_unread(&self) -> bool {
        !self.is_read
    }

    /// Whether the record may differ from `live`, the crashes that this host knows and that still accuse.
    pub fn is_due(&self, live: &[CrashNotice]) -> bool {
        self.synced != ids(live)
    }

    /// Forgets what the record held, as the store has come back from an older copy.
    pub fn distrust(&mut self) {
        self.synced.clear();
    }

    /// Compares the record with the crashes that this host knows and that still accuse.
    pub fn merge(&self, recorded: &[CrashNotice], live: &[CrashNotice]) -> CrashMerge {
        let (recorded_ids, live_ids) = (ids(recorded), ids(live));
        // What this host once had in common with the record and does not know now is over.
        let unknown = recorded.iter().filter(|notice| {
            !live_ids.contains(&notice.crash) && !self.synced.contains(&notice.crash)
        });
        let unknown: Vec<CrashNotice> = unknown.cloned().collect();
        // What another host has left out since stays out.
        let kept = live.iter().filter(|notice| {
            recorded_ids.contains(&notice.crash) || !self.synced.contains(&notice.crash)
        });
        let mut merged: Vec<CrashNotice> = unknown.iter().chain(kept).cloned().collect();
        merged.drain(..merged.len().saturating_sub(MAX_RECORDED));
        let is_changed = ids(&merged) != recorded_ids;
        CrashMerge { unknown, merged, is_changed }
    }

    /// Records that the record and this host agree on `live`.
    pub fn record_synced(&mut self, live: &[CrashNotice]) {
        self.is_read = true;
        self.synced = ids(live);
    }
}
