//! Counts usage at an entry and writes it to the store.

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
        seal::{UsageSheet, WindowId, WindowSeal, seal_key, sheet_key},
        tally::{Usage, UsageTotals},
    },
};

/// Interval between two flushes to the store.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between two sheets sent to the mirror.
pub const MIRROR_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two checks whether the current window has been sealed.
const SEAL_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Delay before the first retry of a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An action for the driver of a [`UsageMeter`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageMeterAction {
    /// Call the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step, for logs and tests.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send this sheet to the mirror; it may get lost.
    Mirror {
        /// The window.
        window: WindowId,
        /// The protocol step, for logs and tests.
        step: Step,
        /// The sheet.
        sheet: UsageSheet,
    },
}

/// Actions that result from one event.
pub type UsageMeterActions = SmallVec<[UsageMeterAction; 4]>;

/// The store call that is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    /// Reads the stored sheet.
    Sheet,
    /// Writes the sheet with this state number.
    Flush { state: u64 },
    /// Reads the window's seal.
    Seal,
    /// Reads the sheet that the seal includes.
    SealedSheet,
}

/// Counts the usage of one entry in the windows of one shard.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    me: Incarnation,
    window: WindowId,
    sheet: UsageSheet,
    /// The state number last sent to the mirror.
    mirrored: u64,
    /// The state number last stored.
    flushed: u64,
    /// Version of the stored sheet; None if there is none.
    version: Option<Version>,
    /// Whether `version` is up to date; if not, the sheet is read before a write.
    version_known: bool,
    /// The store holds a sheet of the same entry with a higher state number.
    superseded: bool,
    pending: Option<(CallId, PendingCall)>,
    /// The seal of the current window, while the sealed sheet is being read.
    sealed: Option<WindowSeal>,
    /// The entry is stopping: flush and check without delay.
    stopping: bool,
    /// The last flushed state number for which a later check found the window not sealed.
    confirmed_state: Option<u64>,
    flush_at: Time,
    check_seal_at: Time,
    mirror_at: Time,
    retry_at: Time,
    backoff: Backoff,
}

impl UsageMeter {
    /// Starts with window `number`; moves to the next one when it is found sealed.
    pub fn new(me: Incarnation, shard: ShardId, number: u64, now: Time, seed: u64) -> UsageMeter {
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, seed);
        // 0.5 to 1 s of jitter, so that entries that start together do not flush at the same time.
        let jitter = backoff.next_delay() * 5;
        backoff.reset();
        UsageMeter {
            me,
            window: WindowId { shard, number },
            sheet: UsageSheet::default(),
            mirrored: 0,
            flushed: 0,
            version: None,
            version_known: true,
            superseded: false,
            pending: None,
            sealed: None,
            stopping: false,
            confirmed_state: None,
            flush_at: now + FLUSH_INTERVAL.saturating_sub(jitter),
            check_seal_at: now,
            mirror_at: now,
            retry_at: now,
            backoff,
        }
    }

    /// Continues from the last known sheet of another entry, to store its usage.
    pub(crate) fn resume(
        entry: Incarnation,
        window: WindowId,
        sheet: UsageSheet,
        now: Time,
        seed: u64,
    ) -> UsageMeter {
        let mut meter = UsageMeter::new(entry, window.shard.clone(), window.number, now, seed);
        meter.mirrored = sheet.state;
        meter.sheet = sheet;
        meter.flush_at = now;
        meter.version_known = false;
        meter
    }

    /// Whether all usage is sealed, or the store holds a later sheet of the
    /// entry itself.
    ///
    /// A flush alone is not enough, since the seal may have been made before it.
    pub(crate) fn is_done(&self) -> bool {
        self.superseded || self.sheet.tally.is_empty()
    }

    /// Adds usage of one organisation.
    pub fn add(&mut self, organisation: &str, used: Usage) {
        self.sheet.tally.add(organisation, used);
        self.sheet.state += 1;
    }

    /// The window in which usage is counted now.
    pub fn window(&self) -> &WindowId {
        &self.window
    }

    /// Whether all usage counted so far is stored.
    pub fn is_flushed(&self) -> bool {
        self.flushed == self.sheet.state
    }

    /// Flushes and mirrors as soon as possible, for a planned stop.
    ///
    /// Each flush is then followed by a check for the window's seal, since a
    /// seal made before the flush lacks its usage. [`UsageMeter::is_safely_stored`] says when
    /// the entry may stop.
    pub fn prepare_stop(&mut self, now: Time) {
        self.stopping = true;
        self.flush_at = now;
        self.check_seal_at = now;
        self.resend_to_mirror(now);
    }

    /// Sends the sheet to the mirror again, for example after a change of the mirror.
    pub fn resend_to_mirror(&mut self, now: Time) {
        self.mirrored = 0;
        self.mirror_at = now;
    }

    /// Whether no usage is left to seal, or all of it is stored in a window that was
    /// found open afterwards.
    ///
    /// A seal that is being made at the same moment may still lack it; the
    /// mirror then stores it in the next window.
    pub fn is_safely_stored(&self) -> bool {
        self.sheet.tally.is_empty()
            || (self.is_flushed() && self.confirmed_state == Some(self.flushed))
    }

    /// When [`UsageMeter::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        let mirror = if self.mirrored < self.sheet.state { self.mirror_at } else { Time::NEVER };
        if self.pending.is_some() {
            return mirror;
        }
        let flush = if self.is_flushed() { Time::NEVER } else { self.flush_at };
        let seal = if self.sealed.is_some() { self.retry_at } else { self.check_seal_at };
        mirror.min(flush.min(seal).max(self.retry_at))
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> UsageMeterActions {
        let mut actions = UsageMeterActions::new();
        if now >= self.mirror_at && self.mirrored < self.sheet.state {
            self.mirrored = self.sheet.state;
            self.mirror_at = now + MIRROR_INTERVAL;
            let (window, sheet) = (self.window.clone(), self.sheet.clone());
            let step = Step::new(Protocol::Window, "mirror sheet");
            actions.push(UsageMeterAction::Mirror { window, step, sheet });
        }
        if self.pending.is_some() || now < self.retry_at {
            return actions;
        }
        if let Some(seal) = &self.sealed {
            if let Some(part) = seal.sheets.get(&self.me) {
                let call = StoreCall::Get { key: blob_key(&part.sheet) };
                actions.push(self.issue_call(
                    ids,
                    PendingCall::SealedSheet,
                    "read sealed sheet",
                    call,
                ));
            }
        } else if now >= self.check_seal_at {
            self.check_seal_at = now + SEAL_CHECK_INTERVAL;
            let call = StoreCall::Get { key: seal_key(&self.window) };
            actions.push(self.issue_call(ids, PendingCall::Seal, "look for seal", call));
        } else if now >= self.flush_at && !self.is_flushed() {
            actions.push(self.flush(ids));
        }
        actions
    }

    /// Handles a store reply; `None` if its call is not pending here.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<UsageMeterActions> {
        let (_, kind) = self.pending.take_if(|(call_id, _)| *call_id == id)?;
        match (kind, reply) {
            (PendingCall::Seal, StoreReply::Found(object)) => {
                self.backoff.reset();
                let seal =
                    object.as_ref().and_then(|object| decode::<WindowSeal>(&object.value).ok());
                match seal {
                    Some(seal) => self.handle_seal(now, seal),
                    None => self.confirmed_state = Some(self.flushed),
                }
            }
            (PendingCall::SealedSheet, StoreReply::Found(Some(object))) => {
                self.carry_over(now, &object.value);
            }
            (PendingCall::Sheet, StoreReply::Found(object)) => {
                self.compare_stored(object.as_ref());
                self.version_known = true;
            }
            (PendingCall::Flush { state }, StoreReply::Written(version)) => {
                self.backoff.reset();
                self.flushed = state;
                self.version = Some(*version);
                self.flush_at = now + FLUSH_INTERVAL;
                // Check soon after the flush whether the window was sealed before it.
                let check_at = if self.stopping { now } else { now + FLUSH_INTERVAL / 2 };
                self.check_seal_at = self.check_seal_at.min(check_at);
            }
            (PendingCall::Flush { .. }, StoreReply::Conflict(object)) => {
                self.compare_stored(object.as_ref());
            }
            (kind, _) => {
                self.version_known =
                    self.version_known && !matches!(kind, PendingCall::Flush { .. });
                self.check_seal_at =
                    if kind == PendingCall::Seal { now } else { self.check_seal_at };
                self.retry_at = now + self.backoff.next_delay();
            }
        }
        Some(self.advance(now, ids))
    }

    fn compare_stored(&mut self, object: Option<&Object>) {
        self.version = object.map(|object| object.version);
        let stored = object.and_then(|object| decode::<UsageSheet>(&object.value).ok());
        self.superseded = stored.is_some_and(|stored| stored.state > self.sheet.state);
    }

    fn flush(&mut self, ids: &mut CallIds) -> UsageMeterAction {
        let key = sheet_key(&self.window, self.me);
        if !self.version_known {
            return self.issue_call(ids, PendingCall::Sheet, "read sheet", StoreCall::Get { key });
        }
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let call = StoreCall::Put { key, expect, value: encode(&self.sheet) };
        let state = self.sheet.state;
        self.issue_call(ids, PendingCall::Flush { state }, "write sheet", call)
    }

    /// Moves to the next window, and counts there what is missing from the seal.
    fn handle_seal(&mut self, now: Time, seal: WindowSeal) {
        match seal.sheets.get(&self.me) {
            Some(part) if part.state < self.sheet.state => self.sealed = Some(seal),
            Some(_) => self.next_window(now, UsageTotals::default()),
            None => {
                let unsealed = std::mem::take(&mut self.sheet.tally);
                self.next_window(now, unsealed);
            }
        }
    }

    fn carry_over(&mut self, now: Time, bytes: &[u8]) {
        let Ok(sealed) = decode::<UsageSheet>(bytes) else {
            log::error!(target: "window", window:% = self.window; "cannot decode the sealed sheet");
            self.retry_at = now + self.backoff.next_delay();
            return;
        };
        let unsealed = self.sheet.tally.since(&sealed.tally);
        self.next_window(now, unsealed);
    }

    fn next_window(&mut self, now: Time, unsealed: UsageTotals) {
        let empty = unsealed.is_empty();
        self.window = self.window.next();
        self.sheet = UsageSheet { state: self.sheet.state + u64::from(!empty), tally: unsealed };
        if empty {
            self.flushed = self.sheet.state;
            self.mirrored = self.sheet.state;
        }
        self.version = None;
        self.version_known = true;
        self.sealed = None;
        self.confirmed_state = None;
        if self.stopping {
            self.flush_at = now;
        }
        // After a long absence of this entry the next window may be sealed too.
        // Check at once, so that the carried usage does not miss every window.
        self.check_seal_at = now;
        if !empty {
            self.flush_at = self.flush_at.min(now + MIRROR_INTERVAL);
        }
    }

    fn issue_call(
        &mut self,
        ids: &mut CallIds,
        kind: PendingCall,
        name: &'static str,
        call: StoreCall,
    ) -> UsageMeterAction {
        let id = ids.next_id();
        self.pending = Some((id, kind));
        UsageMeterAction::Call { id, step: Step::new(Protocol::Window, name), call }
    }
}
