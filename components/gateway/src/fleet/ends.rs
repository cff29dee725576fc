//! Targets that were seen to have ended, and may have started again under their ids.
//!
//! What is known of a start of a target ends with it: its version, its limit, the rest that it asked
//! for and whether it leaves. Its port may take connections again before its new entry is read, so
//! a host that has seen the end sends nothing there until then, for as long as an entry may be on its way.
//! After that, and at hosts that were told of the end, the target gets requests, but what it begins is of a
//! version that nobody knows.
//!
//! A port may refuse the connections of one host alone, whose path to it is cut. So an end is disproved by a
//! connection from before it, over which the target answers a request that was sent after it or writes on for
//! some time. The host that sees this tells others, and the version of the entry holds again, also for
//! what was begun meanwhile.

use std::time::Duration;

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fleet::{
    Build, BuildId, Fleet, Placement, STREAM_LIFE, TargetEntry, target::TargetState,
};

/// Time in which a target that has started again writes its entry, or in which that of one which has
/// not is removed.
const ENTRY_TIME: Duration = Duration::from_secs(10);

/// Time by which a connection must be older than an end to disprove it: the target may have started again
/// between its end and the moment at which this host heard of it.
const CONNECTION_MARGIN: Duration = Duration::from_millis(250);

/// Time over which events must arrive after an end to disprove it: those that were written before the end
/// arrive together.
const WRITING_TIME: Duration = Duration::from_millis(500);

/// Time for which this host must have waited for events that have just arrived. Others were there before.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Time in which what hosts tell each other arrives.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Maximum number of ends of one start that are remembered.
const MAX_ENDS: usize = 8;

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

/// That a connection has shown a start of a target to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LifeNotice {
    /// Which start.
    pub start: EndNotice,
    /// Milliseconds since the connection was opened.
    pub opened_ms: u32,
    /// Milliseconds since the target was seen to write on it.
    pub seen_ms: u32,
}

/// What was begun while the version of a target was not known, and now is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettledBuilds {
    /// What the version was taken for.
    pub taken_for: Vec<BuildId>,
    /// The one that it is.
    pub build: BuildId,
}

/// The time over which a connection has shown that a start goes on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Life {
    opened: Time,
    seen: Time,
}

impl Life {
    /// Whether the target cannot have ended at `time`.
    fn covers(&self, time: Time) -> bool {
        self.opened + CONNECTION_MARGIN <= time && time < self.seen
    }
}

/// That the start of a target which its entry is of has ended, as this host or another one found.
#[derive(Debug, Clone, Copy)]
struct TargetEnd {
    at: Time,
    /// Whether this host has seen it; otherwise another one did.
    is_own: bool,
    /// Whether the target answered what was sent before, and so may not have ended.
    goes_on: bool,
    /// Whether the start was seen to go on. It may still take no connections of this host.
    is_disproved: bool,
    /// When events first arrived after it.
    wrote_at: Option<Time>,
}

impl TargetEnd {
    fn leaves_doubt(&self, now: Time) -> bool {
        !self.is_disproved && (!self.goes_on || now.since(self.at) < STREAM_LIFE)
    }
}

/// The ends of one start that were found, oldest first.
#[derive(Debug, Default)]
pub(super) struct Ends {
    found: SmallVec<[TargetEnd; 1]>,
    /// The latest time over which the start was shown to go on.
    life: Option<Life>,
}

impl Ends {
    fn last(&self) -> Option<&TargetEnd> {
        self.found.last()
    }

    /// The latest end after which the version is not known.
    fn last_doubt(&self, now: Time) -> Option<&TargetEnd> {
        self.found.iter().rev().find(|end| end.leaves_doubt(now))
    }

    fn push(&mut self, at: Time, is_own: bool) {
        if self.found.len() >= MAX_ENDS {
            // The first stays: it may be the one that is true.
            self.found.remove(1);
        }
        let end = TargetEnd { at, is_own, goes_on: false, is_disproved: false, wrote_at: None };
        self.found.push(end);
    }
}

impl TargetState {
    /// Whether this host has seen it end, and nothing is known yet of a later start.
    pub(super) fn is_ended(&self, now: Time) -> bool {
        let mut own = self.ends.found.iter().filter(|end| end.is_own && !end.goes_on);
        own.any(|end| now.since(end.at) < ENTRY_TIME)
    }

    /// Whether a further notice of its end says nothing new.
    fn is_known_to_end(&self, now: Time) -> bool {
        self.is_ended(now) && self.ends.last().is_some_and(|end| !end.is_disproved)
    }

    fn record_end(&mut self, now: Time, at: Time, is_own: bool) {
        if self.is_known_to_end(now) {
            return;
        }
        let TargetEntry { id, incarnation, .. } = &self.entry;
        log::warn!(
            target: "fleet", id, incarnation, is_own;
            "target ended; its next entry is awaited"
        );
        self.ends.push(at, is_own);
    }

    /// The version of what runs there now: that of its entry, or one that is like no other. An answer
    /// that was read late may be one of the earlier start, so a target that seems to go on has no known
    /// version either while streams of that start may be taken up.
    pub(super) fn build(&self, now: Time) -> Build {
        match self.ends.last_doubt(now) {
            None => self.entry.build.clone(),
            Some(end) => self.unknown_build(end),
        }
    }

    fn unknown_build(&self, end: &TargetEnd) -> Build {
        Build::new(&format!("unknown {} {:?}", self.entry.id, end.at))
    }

    /// Drops the ends that `life` disproves. Those that this host has seen go on holding requests back: the
    /// target may take no new connections of it. Returns what was begun in doubt.
    fn disprove(&mut self, now: Time, life: Life) -> Option<SettledBuilds> {
        let doubts = self.ends.found.iter().filter(|end| !end.is_disproved);
        let disproved = doubts.filter(|end| life.covers(end.at));
        let taken_for: Vec<BuildId> = disproved.map(|end| self.unknown_build(end).id).collect();
        if taken_for.is_empty() {
            return None;
        }
        self.ends.life = Some(life);
        for end in &mut self.ends.found {
            end.is_disproved |= life.covers(end.at);
        }
        self.ends.found.retain(|end| !end.is_disproved || end.is_own);
        let TargetEntry { id, incarnation, .. } = &self.entry;
        log::info!(target: "fleet", id, incarnation; "target has not ended");
        Some(SettledBuilds { taken_for, build: self.build(now).id })
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
        let is_new = !state.is_known_to_end(now);
        state.record_end(now, now, true);
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
                state.record_end(now, now, false);
            }
        }
    }

    /// Records past ends, of which this host may not have heard because it started later. What it has
    /// found of the same start itself, or was told before, stands.
    pub fn apply_past_ends(&mut self, now: Time, ends: &[PastEnd]) {
        for PastEnd { notice, age_ms } in ends {
            let id = self.ids_by_hash.get(&notice.target);
            let Some(state) = id.and_then(|id| self.targets.get_mut(id)) else { continue };
            let at = before(now, *age_ms);
            let is_known =
                state.ends.last().is_some() || state.ends.life.is_some_and(|life| life.covers(at));
            if state.entry.incarnation == notice.incarnation && !is_known {
                state.record_end(now, at, false);
            }
        }
    }

    /// Ends after which the next entry may still be on its way, for hosts that have started since.
    pub fn past_ends(&self, now: Time) -> Vec<PastEnd> {
        let ends = self.targets.values().filter_map(|state| {
            let mut found = state.ends.found.iter().rev();
            let end = found.find(|end| !end.goes_on && !end.is_disproved)?;
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
        let ends = state.ends.found.iter_mut();
        let mut earlier = ends.filter(|end| !end.goes_on && sent < end.at).peekable();
        if earlier.peek().is_none() {
            return false;
        }
        earlier.for_each(|end| end.goes_on = true);
        let Placement { id, incarnation, .. } = placement;
        log::info!(target: "fleet", id, incarnation; "target seems to go on");
        true
    }

    /// Records that the target answers what was sent at `sent` over a connection that was opened at `opened`.
    /// A process that answers there what was sent after an end has not ended. Returns what was begun in
    /// doubt of that.
    pub fn record_answer(
        &mut self,
        now: Time,
        placement: &Placement,
        sent: Time,
        opened: Time,
    ) -> Option<SettledBuilds> {
        // What was sent before an end may have been answered before it, too.
        self.record_connection(now, placement, Life { opened, seen: sent })
    }

    /// Records that events arrived of the answer to what was sent at `sent`, for which this host has waited
    /// since `awaited`. Returns what was begun in doubt of it.
    pub fn record_events(
        &mut self,
        now: Time,
        placement: &Placement,
        sent: Time,
        awaited: Time,
    ) -> Option<SettledBuilds> {
        let state = self.placed_target(placement)?;
        let end = state.ends.found.last_mut().filter(|end| !end.is_disproved)?;
        // Others may have arrived before the end, and are read late.
        let is_new = awaited > end.at && now.since(awaited) >= MIN_WAIT;
        if !is_new || now.since(*end.wrote_at.get_or_insert(now)) < WRITING_TIME {
            return None;
        }
        self.record_connection(now, placement, Life { opened: sent, seen: now })
    }

    fn record_connection(
        &mut self,
        now: Time,
        placement: &Placement,
        life: Life,
    ) -> Option<SettledBuilds> {
        let settled = self.placed_target(placement)?.disprove(now, life)?;
        let state = self.placed_target(placement)?;
        let target = state.id_hash;
        if self.untold_lives.len() < MAX_UNTOLD {
            let start = EndNotice { target, incarnation: placement.incarnation };
            self.untold_lives.push(notice_of(now, start, life));
        }
        Some(settled)
    }

    /// Starts whose ends were disproved, which other hosts are to be told of.
    pub fn take_untold_lives(&mut self) -> Vec<LifeNotice> {
        std::mem::take(&mut self.untold_lives)
    }

    /// Starts whose ends were disproved, while others may still tell of these.
    pub fn past_lives(&self, now: Time) -> Vec<LifeNotice> {
        let lives = self.targets.values().filter_map(|state| {
            let life = state.ends.life.filter(|life| now.since(life.seen) < ENTRY_TIME)?;
            let (target, incarnation) = (state.id_hash, state.entry.incarnation);
            Some(notice_of(now, EndNotice { target, incarnation }, life))
        });
        lives.take(MAX_UNTOLD).collect()
    }

    /// Records starts that others have seen go on. Returns what was begun in doubt of it.
    pub fn apply_lives(&mut self, now: Time, notices: &[LifeNotice]) -> Vec<SettledBuilds> {
        let settled = notices.iter().filter_map(|LifeNotice { start, opened_ms, seen_ms }| {
            let state = self.targets.get_mut(self.ids_by_hash.get(&start.target)?)?;
            if state.entry.incarnation != start.incarnation {
                return None;
            }
            let life = Life { opened: before(now, *opened_ms), seen: before(now, *seen_ms) };
            // An end that this host has just been told of may be the earlier one.
            let seen = life.seen.saturating_sub(NOTICE_TIME);
            let settled = state.disprove(now, Life { seen, ..life });
            state.ends.life = Some(life);
            settled
        });
        settled.collect()
    }

    fn placed_target(&mut self, placement: &Placement) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(&placement.id)?;
        (state.entry.incarnation == placement.incarnation).then_some(state)
    }
}

fn before(now: Time, age_ms: u32) -> Time {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}

fn notice_of(now: Time, start: EndNotice, life: Life) -> LifeNotice {
    let age_ms = |time: Time| u32::try_from(now.since(time).as_millis()).unwrap_or(u32::MAX);
    LifeNotice { start, opened_ms: age_ms(life.opened), seen_ms: age_ms(life.seen) }
}
