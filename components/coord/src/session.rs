//! A process's session: the root of its authority.
//!
//! Each incarnation keeps one object in the store and renews it by conditional
//! update. Every attempt carries a number of its own, so that reading back
//! tells whether an attempt without an answer took effect. Authority counts
//! from the *sending* of the attempt that took effect.
//!
//! Each attempt also names the shards that its holder acts for. A shard that a
//! later attempt no longer names is one for which nothing of the holder is
//! under way: a new owner need not wait for the end of a holder that lives on.
//!
//! A session ends in one of two ways. Its holder releases it, once nothing of
//! it is under way. Or a challenger seals it after the version has stood still
//! for the term and a guard; since sealing is conditional on that version, no
//! renewal can take effect afterwards. The holder of a sealed session still
//! writes its release when nothing of it is under way any more.

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
    terms::Terms,
};

/// Where sessions are kept.
pub const SESSION_PREFIX: &str = "sessions/";

const RENEW: Step = Step::new(Protocol::Session, "renew");
const READ_BACK: Step = Step::new(Protocol::Session, "read-back");
const RELEASE: Step = Step::new(Protocol::Session, "release");

/// The name of an incarnation's session object.
pub fn session_key(incarnation: Incarnation) -> Key {
    format!("{SESSION_PREFIX}{incarnation}")
}

/// Whether a session may be renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SessionState {
    /// Its holder renews it.
    Live,
    /// A challenger has ended it; orders of its holder may be under way.
    Sealed,
    /// It is over, and nothing of its holder is under way.
    Released,
}

/// A session as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SessionRecord {
    /// Whose session it is.
    pub node: Node,
    /// The number of the holder's attempt that wrote it.
    pub attempt: u64,
    /// Whether it may be renewed.
    pub state: SessionState,
    /// Whether the holder may own shards.
    pub candidate: bool,
    /// Shards that the holder owned, or had an order under way for, when it
    /// wrote this.
    pub acting: Vec<ShardId>,
}

/// Where a session stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first write has not been confirmed.
    Joining,
    /// Renewed as long as the store answers.
    Live,
    /// Ended by a challenger.
    Sealed,
    /// About to be released by its holder.
    Releasing,
    /// Released.
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
    terms: Terms,
    phase: Phase,
    version: Option<Version>,
    acting: Vec<ShardId>,
    attempt: u64,
    sent: Time,
    releases: bool,
    until: Time,
    next: Time,
    pending: Option<(CallId, Pending)>,
    unsure: bool,
    backoff: Backoff,
}

impl Session {
    /// A session that begins with the next wake-up.
    pub(crate) fn new(me: Node, candidate: bool, terms: Terms, seed: u64) -> Session {
        let (first, most) = terms.backoff;
        Session {
            me,
            candidate,
            terms,
            phase: Phase::Joining,
            version: None,
            acting: Vec::new(),
            attempt: 0,
            sent: Time::ZERO,
            releases: false,
            until: Time::ZERO,
            next: Time::ZERO,
            pending: None,
            unsure: false,
            backoff: Backoff::new(first, most, seed),
        }
    }

    /// The holder.
    pub(crate) fn me(&self) -> &Node {
        &self.me
    }

    /// Where the session stands.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// When authority ends unless renewed; in the past if there is none.
    pub(crate) fn until(&self) -> Time {
        match self.phase {
            Phase::Live => self.until,
            _ => Time::ZERO,
        }
    }

    /// Whether the holder has authority.
    pub(crate) fn holds(&self, now: Time) -> bool {
        now < self.until()
    }

    /// The number of the last attempt to write the session.
    pub(crate) fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Sets the shards that the next attempt names.
    pub(crate) fn set_acting(&mut self, acting: Vec<ShardId>) {
        self.acting = acting;
    }

    /// Ends authority now; the store is told with the next wake-up.
    pub(crate) fn release(&mut self, now: Time) {
        if self.phase != Phase::Released && self.phase != Phase::Releasing {
            self.phase = Phase::Releasing;
            self.next = now;
        }
    }

    /// When to wake up next.
    pub(crate) fn wake_at(&self) -> Time {
        let idle = matches!(self.phase, Phase::Sealed | Phase::Released);
        if self.pending.is_some() || idle { Time::NEVER } else { self.next }
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        if now < self.wake_at() {
            return;
        }
        if self.unsure {
            let key = session_key(self.me.incarnation);
            let id = out.call(READ_BACK, StoreCall::Get { key });
            self.pending = Some((id, Pending::ReadBack));
            return;
        }
        self.write(now, out);
    }

    /// Takes a reply; false if it belongs to another machine.
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
                self.compare(now, object.as_ref(), out);
            }
            StoreReply::Unknown => self.retry(now, true),
            _ => self.retry(now, kind == Pending::ReadBack),
        }
        true
    }

    fn write(&mut self, now: Time, out: &mut Outbox) {
        self.attempt += 1;
        self.sent = now;
        self.releases = self.phase == Phase::Releasing;
        let state = if self.releases { SessionState::Released } else { SessionState::Live };
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
        let step = if self.releases { RELEASE } else { RENEW };
        self.pending = Some((out.call(step, call), Pending::Write));
    }

    fn retry(&mut self, now: Time, unsure: bool) {
        self.unsure = unsure;
        self.next = now + self.backoff.fail();
    }

    fn confirm(&mut self, now: Time, version: Version, out: &mut Outbox) {
        self.version = Some(version);
        self.unsure = false;
        self.backoff.reset();
        if self.releases {
            self.phase = Phase::Released;
            return;
        }
        if self.phase == Phase::Releasing {
            self.next = now;
            return;
        }
        self.phase = Phase::Live;
        self.until = (self.sent + self.terms.term).before(self.terms.guard);
        self.next = (self.sent + self.terms.renew).max(now);
        out.note(Notice::Extended { until: self.until });
    }

    /// Learns from the stored object whether the last attempt took effect.
    fn compare(&mut self, now: Time, object: Option<&Object>, out: &mut Outbox) {
        self.unsure = false;
        let record = object.and_then(|object| decode::<SessionRecord>(&object.value).ok());
        let (Some(object), Some(record)) = (object, record) else {
            self.miss(now);
            return;
        };
        if record.state == SessionState::Sealed && self.phase != Phase::Releasing {
            log::warn!(target: "session", "sealed by a challenger; incarnation={}", self.me.incarnation);
            self.version = Some(object.version);
            self.phase = Phase::Sealed;
            return;
        }
        let mine = record.attempt == self.attempt && record.state != SessionState::Sealed;
        let released = record.state == SessionState::Released;
        if mine && released == (self.phase == Phase::Releasing) {
            self.confirm(now, object.version, out);
            return;
        }
        self.version = Some(object.version);
        self.next = now;
    }

    /// The object is missing: not written yet, or ended and cleared away.
    fn miss(&mut self, now: Time) {
        let existed = self.version.is_some();
        match self.phase {
            Phase::Live => self.phase = Phase::Sealed,
            Phase::Releasing if existed => self.phase = Phase::Released,
            _ => self.next = now,
        }
    }
}
