//! Targets that were seen to have ended, and may have started again under their ids.
//!
//! What is known of a start of a target ends with it: its version, its limit, the rest that it asked
//! for and whether it leaves. Its port may take connections again before its new entry is read, so
//! nothing is sent there until then, for as long as an entry may be on its way. After that it gets
//! requests again, but what it begins is of a version that nobody knows.

use std::time::Duration;

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::fleet::{Build, Fleet, Placement, STREAM_LIFE, TargetEntry, target::TargetState};

/// Time in which a target that has started again writes its entry, or in which that of one which has
/// not is removed.
const ENTRY_TIME: Duration = Duration::from_secs(10);

/// Maximum number of ends that wait to be told, so that they fit into one datagram.
const MAX_UNTOLD: usize = 60;

/// That a start of a target has ended, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndNotice {
    /// Hash of the target's id.
    pub target: u32,
    /// Which start of it.
    pub incarnation: u64,
}

impl TargetState {
    /// Whether it has ended, and nothing is known yet of a later start.
    pub(super) fn is_ended(&self, now: Time) -> bool {
        self.ended_at.is_some_and(|at| now.since(at) < ENTRY_TIME)
    }

    fn record_end(&mut self, now: Time) {
        if !self.is_ended(now) {
            let TargetEntry { id, incarnation, .. } = &self.entry;
            log::warn!(target: "fleet", id, incarnation; "target ended; its next entry is awaited");
        }
        self.ended_at = Some(now);
    }

    /// The version of what runs there now: that of its entry, or one that is like no other.
    pub(super) fn build(&self, now: Time) -> Build {
        match self.ended_at.filter(|at| now.since(*at) < STREAM_LIFE) {
            None => self.entry.build.clone(),
            Some(at) => Build::new(&format!("unknown {} {at:?}", self.entry.id)),
        }
    }
}

/// Whether `entry` is of another start than `known`. Starts without a number are told apart by what
/// else the entries say.
pub(super) fn names_other_start(known: &TargetEntry, entry: &TargetEntry) -> bool {
    known.incarnation != entry.incarnation || (known.incarnation == 0 && known != entry)
}

impl Fleet {
    /// Records that this host has seen the start of a target end that `placement` is of. Returns whether
    /// other hosts are to hear of it.
    pub fn record_end(&mut self, now: Time, placement: &Placement) -> bool {
        let Some(state) = self.placed_target(placement) else { return false };
        let notice = EndNotice { target: state.id_hash, incarnation: placement.incarnation };
        let is_new = !state.is_ended(now);
        state.record_end(now);
        if is_new && self.untold_ends.len() < MAX_UNTOLD {
            self.untold_ends.push(notice);
        }
        is_new
    }

    /// Records ends that another host has seen. They are not passed on.
    pub fn apply_ends(&mut self, now: Time, notices: &[EndNotice]) {
        for notice in notices {
            let id = self.ids_by_hash.get(&notice.target);
            let Some(state) = id.and_then(|id| self.targets.get_mut(id)) else { continue };
            if state.entry.incarnation == notice.incarnation {
                state.record_end(now);
            }
        }
    }

    /// Ends that other hosts are to be told of.
    pub fn take_untold_ends(&mut self) -> Vec<EndNotice> {
        std::mem::take(&mut self.untold_ends)
    }

    /// Records that what was sent to the target at `sent` is answered. Returns whether this shows that
    /// its start, which was taken for ended since then, goes on.
    pub fn record_life(&mut self, placement: &Placement, sent: Time) -> bool {
        let Some(state) = self.placed_target(placement) else { return false };
        let lives_on = state.ended_at.is_some_and(|at| sent < at);
        if lives_on {
            state.ended_at = None;
            let Placement { id, incarnation, .. } = placement;
            log::info!(target: "fleet", id, incarnation; "target goes on");
        }
        lives_on
    }

    fn placed_target(&mut self, placement: &Placement) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(&placement.id)?;
        (state.entry.incarnation == placement.incarnation).then_some(state)
    }
}
