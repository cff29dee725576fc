//! A process's session: a lease in the store on which all its shards depend.
//!
//! Each incarnation keeps one object in the store and renews it by conditional
//! update. Every write carries its own attempt number, so that a process can
//! read the object back to learn whether a write without an answer took effect.
//! The lease runs from the time when the successful write was *sent*.
//!
//! Each write also lists the shards that the holder acts for. If a later write
//! no longer lists a shard, the holder has no order for it in flight, so a new
//! owner need not wait until the holder's session ends.
//!
//! A session ends in one of two ways. The holder releases it, once nothing that
//! it sent is in flight. Or another candidate seals it after its version has not
//! changed for the lease duration plus the margin; sealing is conditional on that
//! version, so no renewal can take effect afterwards. The holder of a sealed session
//! still writes its release once nothing that it sent is in flight.

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    ident::{Incarnation, Node},
    order::ShardId,
    outbox::{Notice, Outbox},
    step::{Protocol, Step},
    store::{CallId, Expect, Key, Object, StoreCall, StoreReply, Version},
    terms::Timings,
};

/// Key prefix of sessions in the store.
pub const SESSION_PREFIX: &str = "sessions/";

const RENEW: Step = Step::new(Protocol::Session, "renew");
const READ_BACK: Step = Step::new(Protocol::Session, "read-back");
const RELEASE: Step = Step::new(Protocol::Session, "release");

/// The store key of an incarnation's session.
pub fn session_key(incarnation: Incarnation) -> Key {
    format!("{SESSION_PREFIX}{incarnation}")
}

/// Whether a process has its session under this key.
pub(crate) fn is_session_key(key: &str) -> bool {
    let name = key.strip_prefix(SESSION_PREFIX).unwrap_or_default();
    u64::from_str_radix(name, 16).is_ok_and(|number| session_key(Incarnation(number)) == key)
}

/// Whether a session may be renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SessionState {
    /// The holder renews it.
    Live,
    /// Another candidate has ended it; orders of its holder may still be in flight.
    Sealed,
    /// It is over, and nothing that its holder sent is in flight.
    Released,
}

/// A session's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SessionRecord {
    /// The holder of the session.
    pub node: Node,
    /// Number of the holder's write attempt that stored this record.
    pub attempt: u64,
    /// Whether it may be renewed.
    pub state: SessionState,
    /// Whether the holder may become the owner of shards.
    pub candidate: bool,
    /// Shards that the holder owned, or had an order in flight for, when it
    /// wrote this record.
    pub acting: Vec<ShardId>,
}

/// State of a session as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first write is not confirmed yet.
    Joining,
    /// Confirmed, and renewed as long as the store answers.
    Live,
    /// Ended by another candidate.
    Sealed,
    /// The holder is writing its release.
    Releasing,
    /// The release is confirmed.
    Released,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Write,
    ReadBack,
}

/// The holder's side of a session.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    me: Node,
    candidate: bool,
    terms: Timings,
    phase: Phase,
    version: Option<Version>,
    acting: Vec<ShardId>,
    attempt: u64,
    /// When the last attempt was sent.
    sent_at: Time,
    /// Whether the last attempt was a release.
    is_release: bool,
    expires_at: Time,
    next_call_at: Time,
    pending: Option<(CallId, Pending)>,
    /// The last attempt may or may not have taken effect: read the object back first.
    uncertain: bool,
    backoff: Backoff,
}

impl Session {
    /// A session that is first written with the next wake-up.
    pub(crate) fn new(me: Node, candidate: bool, terms: Timings, seed: u64) -> Session {
        let (first, max) = terms.backoff;
        Session {
            me,
            candidate,
            terms,
            phase: Phase::Joining,
            version: None,
            acting: Vec::new(),
            attempt: 0,
            sent_at: Time::ZERO,
            is_release: false,
            expires_at: Time::ZERO,
            next_call_at: Time::ZERO,
            pending: None,
            uncertain: false,
            backoff: Backoff::new(first, max, seed),
        }
    }

    /// The holder of the session.
    pub(crate) fn me(&self) -> &Node {
        &self.me
    }

    /// The holder's view of the session's state.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// When the lease expires unless renewed; [`Time::ZERO`] if there is none.
    pub(crate) fn expires_at(&self) -> Time {
        match self.phase {
            Phase::Live => self.expires_at,
            _ => Time::ZERO,
        }
    }

    /// Whether the holder's lease is valid at `now`.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at()
    }

    /// Number of the last attempt to write the session.
    pub(crate) fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Sets the shards that the next write lists as acted for.
    pub(crate) fn set_acting(&mut self, acting: Vec<ShardId>) {
        self.acting = acting;
    }

    /// Gives up the lease at once; the release is written with the next wake-up.
    pub(crate) fn release(&mut self, now: Time) {
        if self.phase != Phase::Released && self.phase != Phase::Releasing {
            self.phase = Phase::Releasing;
            self.next_call_at = now;
        }
    }

    /// When [`Session::wake`] is due next.
    pub(crate) fn wake_at(&self) -> Time {
        let idle = matches!(self.phase, Phase::Sealed | Phase::Released);
        if self.pending.is_some() || idle { Time::NEVER } else { self.next_call_at }
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now < self.wake_at() {
            return;
        }
        if self.uncertain {
            let key = session_key(self.me.incarnation);
            let id = out.call(READ_BACK, StoreCall::Get { key });
            self.pending = Some((id, Pending::ReadBack));
            return;
        }
        self.write(now, out);
    }

    /// Handles a store reply; false if the call is not one of this type's.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        let Some((pending, kind)) = self.pending else {
            return false;
        };
        if pending != id {
            return false;
        }
        self.pending = None;
        match reply {
            StoreReply::Written(version) => self.confirm(now, *version, out),
            StoreReply::Conflict(object) | StoreReply::Found(object) => {
                self.reconcile(now, object.as_ref(), out);
            }
            StoreReply::Unknown => self.retry(now, true),
            _ => self.retry(now, kind == Pending::ReadBack),
        }
        true
    }

    fn write(&mut self, now: Time, out: &mut Outbox) {
        self.attempt += 1;
        self.sent_at = now;
        self.is_release = self.phase == Phase::Releasing;
        let state = if self.is_release { SessionState::Released } else { SessionState::Live };
        let record = SessionRecord {
            node: self.me.clone(),
            attempt: self.attempt,
            state,
            candidate: self.candidate,
            acting: self.acting.clone(),
        };
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let key = session_key(self.me.incarnation);
        let call = StoreCall::Put { key, expect, value: encode(&record) };
        let step = if self.is_release { RELEASE } else { RENEW };
        self.pending = Some((out.call(step, call), Pending::Write));
    }

    fn retry(&mut self, now: Time, uncertain: bool) {
        self.uncertain = uncertain;
        self.next_call_at = now + self.backoff.next_delay();
    }

    fn confirm(&mut self, now: Time, version: Version, out: &mut Outbox) {
        self.version = Some(version);
        self.uncertain = false;
        self.backoff.reset();
        if self.is_release {
            self.phase = Phase::Released;
            return;
        }
        if self.phase == Phase::Releasing {
            self.next_call_at = now;
            return;
        }
        self.phase = Phase::Live;
        self.expires_at =
            (self.sent_at + self.terms.lease_duration).saturating_sub(self.terms.margin);
        self.next_call_at = (self.sent_at + self.terms.renew_interval).max(now);
        out.notify(Notice::Renewed { until: self.expires_at });
    }

    /// Checks in the stored object whether the last attempt took effect.
    fn reconcile(&mut self, now: Time, object: Option<&Object>, out: &mut Outbox) {
        self.uncertain = false;
        let record = object.and_then(|object| decode::<SessionRecord>(&object.value).ok());
        let (Some(object), Some(record)) = (object, record) else {
            self.handle_missing(now);
            return;
        };
        if record.state == SessionState::Sealed && self.phase != Phase::Releasing {
            log::warn!(
                target: "session",
                "another process has ended this session; incarnation={}",
                self.me.incarnation
            );
            self.version = Some(object.version);
            self.phase = Phase::Sealed;
            return;
        }
        let is_last = record.attempt == self.attempt && record.state != SessionState::Sealed;
        let released = record.state == SessionState::Released;
        if is_last && released == (self.phase == Phase::Releasing) {
            self.confirm(now, object.version, out);
            return;
        }
        self.version = Some(object.version);
        self.next_call_at = now;
    }

    /// Handles a missing object: never written, or deleted after its end.
    fn handle_missing(&mut self, now: Time) {
        let existed = self.version.is_some();
        match self.phase {
            Phase::Live => self.phase = Phase::Sealed,
            Phase::Releasing if existed => self.phase = Phase::Released,
            _ => self.next_call_at = now,
        }
    }
}
