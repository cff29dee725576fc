//! Counts usage at an entry and brings it to the platform.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    ident::Incarnation,
    order::ShardId,
    step::{Protocol, Step},
    store::{CallId, CallIds, Expect, Object, StoreCall, StoreReply, Version},
    view::blob_key,
    window::{
        seal::{Seal, Sheet, WindowId, seal_key, sheet_key},
        tally::{Tally, Usage},
    },
};

/// Between two flushes to the platform.
pub const FLUSH_SPAN: Duration = Duration::from_secs(30);

/// Between two states sent to the mirror.
pub const MIRROR_SPAN: Duration = Duration::from_secs(1);

/// Between two looks for the open window's seal.
const SEAL_SPAN: Duration = Duration::from_secs(60);

/// The first delay after a call that failed.
const FIRST_DELAY: Duration = Duration::from_millis(200);

/// The longest delay after a call that failed.
const MOST_DELAY: Duration = Duration::from_secs(5);

/// What a meter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MeterAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send this state to the mirror; it may be lost.
    Mirror {
        /// The window.
        window: WindowId,
        /// The step it is.
        step: Step,
        /// The state.
        sheet: Sheet,
    },
}

/// Actions of one step.
pub type MeterActions = SmallVec<[MeterAction; 4]>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    Sheet,
    Flush { state: u64 },
    Seal,
    Sealed,
}

/// The counters of one entry for one shard's windows.
#[derive(Debug, Clone)]
pub struct Meter {
    me: Incarnation,
    window: WindowId,
    sheet: Sheet,
    mirrored: u64,
    flushed: u64,
    version: Option<Version>,
    known: bool,
    /// A higher state of the same entry stands in the platform.
    overtaken: bool,
    flight: Option<(CallId, Asked)>,
    sealed: Option<Seal>,
    /// Planned to stop soon.
    hurries: bool,
    /// The flushed state after which the window was still seen open.
    open_after: Option<u64>,
    flush_at: Time,
    seal_at: Time,
    mirror_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl Meter {
    /// Counts in `window`, or in a later one once it is found sealed.
    pub fn new(me: Incarnation, shard: ShardId, number: u64, now: Time, seed: u64) -> Meter {
        let mut backoff = Backoff::new(FIRST_DELAY, MOST_DELAY, seed);
        let spread = backoff.fail() * 5;
        backoff.reset();
        Meter {
            me,
            window: WindowId { shard, number },
            sheet: Sheet::default(),
            mirrored: 0,
            flushed: 0,
            version: None,
            known: true,
            overtaken: false,
            flight: None,
            sealed: None,
            hurries: false,
            open_after: None,
            flush_at: now + FLUSH_SPAN.saturating_sub(spread),
            seal_at: now,
            mirror_at: now,
            retry_at: now,
            backoff,
        }
    }

    /// Goes on from another entry's last known state, to bring it home.
    pub(crate) fn resume(
        of: Incarnation,
        window: WindowId,
        sheet: Sheet,
        now: Time,
        seed: u64,
    ) -> Meter {
        let mut meter = Meter::new(of, window.shard.clone(), window.number, now, seed);
        meter.mirrored = sheet.state;
        meter.sheet = sheet;
        meter.flush_at = now;
        meter.known = false;
        meter
    }

    /// Whether everything counted is sealed, or a later state of the entry
    /// itself is in the platform.
    ///
    /// A flush alone is not enough: the seal may have been taken before it.
    pub(crate) fn is_settled(&self) -> bool {
        self.overtaken || self.sheet.tally.is_empty()
    }

    /// Counts usage.
    pub fn add(&mut self, organisation: &str, used: Usage) {
        self.sheet.tally.add(organisation, used);
        self.sheet.state += 1;
    }

    /// The window that is counted in.
    pub fn window(&self) -> &WindowId {
        &self.window
    }

    /// Whether everything counted so far is in the platform.
    pub fn is_flushed(&self) -> bool {
        self.flushed == self.sheet.state
    }

    /// Flushes and mirrors as soon as possible, for a planned stop.
    ///
    /// Each flush is then followed by a look for the window's seal, since a
    /// seal taken before the flush lacks it; [`Meter::is_home`] tells the end.
    pub fn hurry(&mut self, now: Time) {
        self.hurries = true;
        self.flush_at = now;
        self.seal_at = now;
        self.mirror_anew(now);
    }

    /// Sends the state to the mirror again, as after a change of the mirror.
    pub fn mirror_anew(&mut self, now: Time) {
        self.mirrored = 0;
        self.mirror_at = now;
    }

    /// Whether a hurried meter has brought everything into an open window.
    ///
    /// A seal that is being made at this very moment may still lack it; then
    /// the mirror brings it home.
    pub fn is_home(&self) -> bool {
        self.sheet.tally.is_empty() || (self.is_flushed() && self.open_after == Some(self.flushed))
    }

    /// When [`Meter::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let mirror = if self.mirrored < self.sheet.state { self.mirror_at } else { Time::NEVER };
        if self.flight.is_some() {
            return mirror;
        }
        let flush = if self.is_flushed() { Time::NEVER } else { self.flush_at };
        let seal = if self.sealed.is_some() { self.retry_at } else { self.seal_at };
        mirror.min(flush.min(seal).max(self.retry_at))
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> MeterActions {
        let mut actions = MeterActions::new();
        if now >= self.mirror_at && self.mirrored < self.sheet.state {
            self.mirrored = self.sheet.state;
            self.mirror_at = now + MIRROR_SPAN;
            let (window, sheet) = (self.window.clone(), self.sheet.clone());
            let step = Step::new(Protocol::Window, "mirror sheet");
            actions.push(MeterAction::Mirror { window, step, sheet });
        }
        if self.flight.is_some() || now < self.retry_at {
            return actions;
        }
        if let Some(seal) = &self.sealed {
            if let Some(part) = seal.sheets.get(&self.me) {
                let call = StoreCall::Get { key: blob_key(&part.sheet) };
                actions.push(self.fly(ids, Asked::Sealed, "read sealed sheet", call));
            }
        } else if now >= self.seal_at {
            self.seal_at = now + SEAL_SPAN;
            let call = StoreCall::Get { key: seal_key(&self.window) };
            actions.push(self.fly(ids, Asked::Seal, "look for seal", call));
        } else if now >= self.flush_at && !self.is_flushed() {
            actions.push(self.flush(ids));
        }
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<MeterActions> {
        let (_, asked) = self.flight.take_if(|(flying, _)| *flying == id)?;
        match (asked, reply) {
            (Asked::Seal, StoreReply::Found(object)) => {
                self.backoff.reset();
                let seal = object.as_ref().and_then(|object| decode::<Seal>(&object.value).ok());
                match seal {
                    Some(seal) => self.note_sealed(now, seal),
                    None => self.open_after = Some(self.flushed),
                }
            }
            (Asked::Sealed, StoreReply::Found(Some(object))) => {
                self.carry(now, &object.value);
            }
            (Asked::Sheet, StoreReply::Found(object)) => {
                self.note_stored(object.as_ref());
                self.known = true;
            }
            (Asked::Flush { state }, StoreReply::Written(version)) => {
                self.backoff.reset();
                self.flushed = state;
                self.version = Some(*version);
                self.flush_at = now + FLUSH_SPAN;
                // A window sealed meanwhile is found by a look after the flush.
                let look_at = if self.hurries { now } else { now + FLUSH_SPAN / 2 };
                self.seal_at = self.seal_at.min(look_at);
            }
            (Asked::Flush { .. }, StoreReply::Conflict(object)) => {
                self.note_stored(object.as_ref());
            }
            (asked, _) => {
                self.known = self.known && !matches!(asked, Asked::Flush { .. });
                self.seal_at = if asked == Asked::Seal { now } else { self.seal_at };
                self.retry_at = now + self.backoff.fail();
            }
        }
        Some(self.advance(now, ids))
    }

    fn note_stored(&mut self, object: Option<&Object>) {
        self.version = object.map(|object| object.version);
        let stored = object.and_then(|object| decode::<Sheet>(&object.value).ok());
        self.overtaken = stored.is_some_and(|stored| stored.state > self.sheet.state);
    }

    fn flush(&mut self, ids: &mut CallIds) -> MeterAction {
        let key = sheet_key(&self.window, self.me);
        if !self.known {
            return self.fly(ids, Asked::Sheet, "read sheet", StoreCall::Get { key });
        }
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let call = StoreCall::Put { key, expect, value: encode(&self.sheet) };
        let state = self.sheet.state;
        self.fly(ids, Asked::Flush { state }, "write sheet", call)
    }

    /// Goes on in the next window; what the seal lacks is counted there.
    fn note_sealed(&mut self, now: Time, seal: Seal) {
        match seal.sheets.get(&self.me) {
            Some(part) if part.state < self.sheet.state => self.sealed = Some(seal),
            Some(_) => self.next_window(now, Tally::default()),
            None => {
                let rest = std::mem::take(&mut self.sheet.tally);
                self.next_window(now, rest);
            }
        }
    }

    fn carry(&mut self, now: Time, bytes: &[u8]) {
        let Ok(sealed) = decode::<Sheet>(bytes) else {
            log::error!(target: "window", window:% = self.window; "sealed sheet does not decode");
            self.retry_at = now + self.backoff.fail();
            return;
        };
        let rest = self.sheet.tally.beyond(&sealed.tally);
        self.next_window(now, rest);
    }

    fn next_window(&mut self, now: Time, rest: Tally) {
        let empty = rest.is_empty();
        self.window = self.window.next();
        self.sheet = Sheet { state: self.sheet.state + u64::from(!empty), tally: rest };
        if empty {
            self.flushed = self.sheet.state;
            self.mirrored = self.sheet.state;
        }
        self.version = None;
        self.known = true;
        self.sealed = None;
        self.open_after = None;
        if self.hurries {
            self.flush_at = now;
        }
        // The next window may be sealed as well, if this entry was away; what is
        // left over must not miss one window after another.
        self.seal_at = now;
        if !empty {
            self.flush_at = self.flush_at.min(now + MIRROR_SPAN);
        }
    }

    fn fly(
        &mut self,
        ids: &mut CallIds,
        asked: Asked,
        name: &'static str,
        call: StoreCall,
    ) -> MeterAction {
        let id = ids.next_id();
        self.flight = Some((id, asked));
        MeterAction::Call { id, step: Step::new(Protocol::Window, name), call }
    }
}
