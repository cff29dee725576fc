//! Targets that were seen to have ended, and may have started again under their ids.
//!
//! What is known of a start of a target ends with it: its version, its limit, the rest that it asked
//! for and whether it leaves. Its port may take connections again before its new entry is read, so
//! a host that has seen the end sends nothing there until then, for as long as an entry may be on its way.
//! After that, and at hosts that were told of the end, the target gets requests, but what it begins is of a
//! version that nobody knows. That of its entry holds again only if its earlier start was seen to go on.

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

/// That a start of a target ended some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastEnd {
    /// Which start.
    pub notice: EndNotice,
    /// Milliseconds since.
    pub age_ms: u32,
}

/// That the start of a target which its entry is of has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetEnd {
    at: Time,
    /// Whether this host has seen it; otherwise another one did.
    is_own: bool,
    /// Whether the target answered what was sent before, and so may not have ended.
    goes_on: bool,
}

impl TargetState {
    /// Whether this host has seen it end, and nothing is known yet of a later start.
    pub(super) fn is_ended(&self, now: Time) -> bool {
        self.end.is_some_and(|end| end.is_own && !end.goes_on && now.since(end.at) < ENTRY_TIME)
    }

    fn record_end(&mut self, now: Time, is_own: bool) {
        if self.is_ended(now) {
            return;
        }
        let TargetEntry { id, incarnation, .. } = &self.entry;
        log::warn!(
            target: "fleet", id, incarnation, is_own;
            "target ended; its next entry is awaited"
        );
        self.end = Some(TargetEnd { at: now, is_own, goes_on: false });
    }

    /// The version of what runs there now: that of its entry, or one that is like no other. An answer
    /// that was read late may be one of the earlier start, so a target that seems to go on has no known
    /// version either while streams of that start may be taken up.
    pub(super) fn build(&self, now: Time) -> Build {
        match self.end.filter(|end| !end.goes_on || now.since(end.at) < STREAM_LIFE) {
            None => self.entry.build.clone(),
            Some(TargetEnd { at, .. }) => Build::new(&format!("unknown {} {at:?}", self.entry.id)),
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
        state.record_end(now, true);
        if is_new && self.untold_ends.len() < MAX_UNTOLD {
            self.untold_ends.push(notice);
        }
        is_new
    }

    /// Records ends that another host has seen, whose connections alone may have failed: requests are
    /// sent there all the same, but not as to the version of the entry. They are not passed on.
    pub fn apply_ends(&mut self, now: Time, notices: &[EndNotice]) {
        for notice in notices {
            let id = self.ids_by_hash.get(&notice.target);
            let Some(state) = id.and_then(|id| self.targets.get_mut(id)) else { continue };
            if state.entry.incarnation == notice.incarnation {
                state.record_end(now, false);
            }
        }
    }

    /// Records past ends, of which this host may not have heard because it started later. What it has
    /// found of the same start itself, or was told before, stands.
    pub fn apply_past_ends(&mut self, now: Time, ends: &[PastEnd]) {
        for PastEnd { notice, age_ms } in ends {
            let id = self.ids_by_hash.get(&notice.target);
            let Some(state) = id.and_then(|id| self.targets.get_mut(id)) else { continue };
            let age = Duration::from_millis((*age_ms).into());
            if state.entry.incarnation == notice.incarnation && state.end.is_none() {
                state.record_end(now.saturating_sub(age), false);
            }
        }
    }

    /// Ends after which the next entry may still be on its way, for hosts that have started since.
    pub fn past_ends(&self, now: Time) -> Vec<PastEnd> {
        let ends = self.targets.values().filter_map(|state| {
            let end = state.end.filter(|end| !end.goes_on)?;
            let age = now.since(end.at);
            let (target, incarnation) = (state.id_hash, state.entry.incarnation);
            (age < ENTRY_TIME).then_some(PastEnd {
                notice: EndNotice { target, incarnation },
                age_ms: age.as_millis() as u32,
            })
        });
        ends.take(MAX_UNTOLD).collect()
    }

    /// Ends that other hosts are to be told of.
    pub fn take_untold_ends(&mut self) -> Vec<EndNotice> {
        std::mem::take(&mut self.untold_ends)
    }

    /// Records that what was sent to the target at `sent` is answered. Returns whether the target, which
    /// was taken for ended since then, may be sent requests again.
    pub fn record_life(&mut self, placement: &Placement, sent: Time) -> bool {
        let Some(state) = self.placed_target(placement) else { return false };
        let Some(end) = state.end.as_mut().filter(|end| !end.goes_on && sent < end.at) else {
            return false;
        };
        end.goes_on = true;
        let Placement { id, incarnation, .. } = placement;
        log::info!(target: "fleet", id, incarnation; "target seems to go on");
        true
    }

    fn placed_target(&mut self, placement: &Placement) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(&placement.id)?;
        (state.entry.incarnation == placement.incarnation).then_some(state)
    }
}
