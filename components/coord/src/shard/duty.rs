//! One shard as one process sees it.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    ident::Incarnation,
    order::{Epoch, ShardId},
    outbox::Outbox,
    rank::NameDigest,
    session::Session,
    shard::{ShardRecord, shard_key},
    step::Step,
    store::{CallId, Expect, Object, StoreCall, StoreReply, Version},
};

/// The call that a shard waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pending {
    Write(CallId),
    ReadBack(CallId),
}

#[derive(Debug, Clone)]
pub(super) struct Duty {
    pub(super) id: ShardId,
    pub(super) digest: NameDigest,
    pub(super) record: ShardRecord,
    /// The version of `record`; none if there is no such object.
    pub(super) version: Option<Version>,
    pub(super) pending: Option<Pending>,
    /// The record that the pending write would store.
    pub(super) written: ShardRecord,
    pub(super) leaving: bool,
    /// A write that gives the shard up may have taken effect, or may yet.
    pub(super) giving: bool,
    pub(super) announced: Option<Epoch>,
    /// Since when nobody is seen to own it.
    pub(super) free: Option<Time>,
    pub(super) retry: Time,
    backoff: Backoff,
}

impl Duty {
    pub(super) fn new(id: ShardId, backoff: Backoff) -> Duty {
        Duty {
            digest: NameDigest::of_shard(&id),
            id,
            record: ShardRecord::default(),
            version: None,
            pending: None,
            written: ShardRecord::default(),
            leaving: false,
            giving: false,
            announced: None,
            free: None,
            retry: Time::ZERO,
            backoff,
        }
    }

    /// Whether the record names this process as the owner.
    pub(super) fn names(&self, me: Incarnation) -> bool {
        self.record.owner.as_ref().is_some_and(|owner| owner.incarnation == me)
    }

    /// The epoch, if this process owns the shard now.
    ///
    /// The record may be behind the store, but not in a way that matters: it
    /// names this process until this process gives the shard up or loses its
    /// session. From the first attempt to give it up it is not owned, until
    /// the store has said for certain what became of that attempt.
    pub(super) fn owned(&self, now: Time, session: &Session) -> Option<Epoch> {
        let owns = self.names(session.me().incarnation) && session.holds(now) && !self.giving;
        owns.then_some(self.record.epoch)
    }

    /// Whether `turn` has passed since the shard was first seen free.
    pub(super) fn waited(&mut self, now: Time, turn: Duration) -> bool {
        let free = *self.free.get_or_insert(now);
        now - free >= turn
    }

    pub(super) fn waits_for(&self, id: CallId) -> bool {
        matches!(self.pending, Some(Pending::Write(call) | Pending::ReadBack(call)) if call == id)
    }

    pub(super) fn write(&mut self, record: ShardRecord, step: Step, out: &mut Outbox) {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let value = encode(&record);
        let key = shard_key(&self.id);
        self.written = record;
        let id = out.call(step, StoreCall::Put { key, expect, value });
        self.pending = Some(Pending::Write(id));
    }

    /// Writes the record that gives the shard up, again and again if need be.
    ///
    /// An attempt without an answer may take effect much later. Only another
    /// write on the same version, or its refusal, settles it; reading back does
    /// not.
    pub(super) fn give(&mut self, record: ShardRecord, step: Step, out: &mut Outbox) {
        self.giving = true;
        self.write(record, step, out);
    }

    pub(super) fn reply(
        &mut self,
        now: Time,
        reply: &StoreReply,
        out: &mut Outbox,
        read_back: Step,
    ) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match reply {
            StoreReply::Written(version) => {
                self.backoff.reset();
                let record = std::mem::take(&mut self.written);
                self.set(now, record, Some(*version));
            }
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                self.backoff.reset();
                self.see(now, object);
            }
            StoreReply::Found(None) | StoreReply::Conflict(None) => {
                self.retry = now + self.backoff.fail();
            }
            _ if self.giving => self.retry = now + self.backoff.fail(),
            StoreReply::Refused if matches!(pending, Pending::Write(_)) => {
                self.retry = now + self.backoff.fail();
            }
            _ => {
                let key = shard_key(&self.id);
                let id = out.call(read_back, StoreCall::Get { key });
                self.pending = Some(Pending::ReadBack(id));
            }
        }
    }

    pub(super) fn see(&mut self, now: Time, object: &Object) {
        match decode::<ShardRecord>(&object.value) {
            Ok(record) => self.set(now, record, Some(object.version)),
            Err(error) => {
                log::warn!(target: "shard", "a record does not decode; shard={} error={error}", self.id);
            }
        }
    }

    pub(super) fn miss(&mut self, now: Time, version: Version) {
        if self.version.is_some_and(|known| known <= version) {
            self.set(now, ShardRecord::default(), None);
        }
    }

    /// Takes a newer state, after which no write on the older one can succeed.
    fn set(&mut self, now: Time, record: ShardRecord, version: Option<Version>) {
        if version.is_some() && version <= self.version {
            return;
        }
        self.giving = false;
        if record.owner != self.record.owner {
            self.free = record.owner.is_none().then_some(now);
            self.leaving = false;
        }
        self.record = record;
        self.version = version;
    }
}
