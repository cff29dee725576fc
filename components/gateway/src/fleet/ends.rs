//! Targets that were seen to have ended, and may have started again under their ids.
//!
//! What is known of a start of a target ends with it: its version, its limit, the rest that it asked
//! for and whether it leaves. Its port may take connections again before its new entry is read, so
//! nothing is sent there until then, for as long as an entry may be on its way. After that it gets
//! requests again, but what it begins is of a version that nobody knows.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;

use crate::fleet::{Build, Fleet, Placement, STREAM_LIFE, TargetEntry, target::TargetState};

/// Time in which a target that has started again writes its entry, or in which that of one which has
/// not is removed.
const ENTRY_TIME: Duration = Duration::from_secs(10);

impl TargetState {
    /// Whether it has ended, and nothing is known yet of a later start.
    pub(super) fn is_ended(&self, now: Time) -> bool {
        self.ended_at.is_some_and(|at| now.since(at) < ENTRY_TIME)
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
    /// Records that the start of a target that `placement` is of was seen to have ended.
    pub fn record_end(&mut self, now: Time, placement: &Placement) {
        let Some(state) = self.placed_target(placement) else { return };
        if !state.is_ended(now) {
            let Placement { id, incarnation, .. } = placement;
            log::warn!(target: "fleet", id, incarnation; "target ended; its next entry is awaited");
        }
        state.ended_at = Some(now);
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
        let id: &Arc<str> = &placement.id;
        let state = self.targets.get_mut(id)?;
        (state.entry.incarnation == placement.incarnation).then_some(state)
    }
}
