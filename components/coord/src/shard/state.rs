//! The state of one shard as known to one process.

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

/// The store call whose reply a shard waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pending {
    Write(CallId),
    ReadBack(CallId),
}

#[derive(Debug, Clone)]
pub(super) struct ShardState {
    pub(super) id: ShardId,
    pub(super) digest: NameDigest,
    pub(super) record: ShardRecord,
    /// The store version of `record`; None if the object does not exist.
    pub(super) version: Option<Version>,
    pub(super) pending: Option<Pending>,
    /// The record of the last write, which may not have taken effect.
    pub(super) pending_record: ShardRecord,
    /// This process owns the shard and intends to give it up.
    pub(super) handing_over: bool,
    /// A write that gives the shard up may have taken effect, or may do so later.
    pub(super) releasing: bool,
    /// The epoch last reported as owned; None if last reported as not owned.
    pub(super) announced: Option<Epoch>,
    /// When this process first saw the shard without an owner whose session is live.
    pub(super) free_since: Option<Time>,
    pub(super) retry_at: Time,
    backoff: Backoff,
}

impl ShardState {
    pub(super) fn new(id: ShardId, backoff: Backoff) -> ShardState {
        ShardState {
            digest: NameDigest::of_shard(&id),
            id,
            record: ShardRecord::default(),
            version: None,
            pending: None,
            pending_record: ShardRecord::default(),
            handing_over: false,
            releasing: false,
            announced: None,
            free_since: None,
            retry_at: Time::ZERO,
            backoff,
        }
    }

    /// Whether the last read record names this process as the owner.
    pub(super) fn is_recorded_owner(&self, me: Incarnation) -> bool {
        self.record.owner.as_ref().is_some_and(|owner| owner.incarnation == me)
    }

    /// The epoch, if this process owns the shard at `now`.
    ///
    /// A record that is older than the store's does no harm: the store names
    /// this process until it gives the shard up or loses its session. From the
    /// first attempt to give the shard up it counts as not owned, until the
    /// outcome of that attempt is certain.
    pub(super) fn owned(&self, now: Time, session: &Session) -> Option<Epoch> {
        let owns = self.is_recorded_owner(session.me().incarnation)
            && session.is_valid(now)
            && !self.releasing;
        owns.then_some(self.record.epoch)
    }

    /// Whether the shard has been free for at least `delay`.
    pub(super) fn free_for(&mut self, now: Time, delay: Duration) -> bool {
        let since = *self.free_since.get_or_insert(now);
        now - since >= delay
    }

    pub(super) fn waits_for(&self, id: CallId) -> bool {
        matches!(self.pending, Some(Pending::Write(call) | Pending::ReadBack(call)) if call == id)
    }

    pub(super) fn write(&mut self, record: ShardRecord, step: Step, out: &mut Outbox) {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let value = encode(&record);
        let key = shard_key(&self.id);
        self.pending_record = record;
        let id = out.call(step, StoreCall::Put { key, expect, value });
        self.pending = Some(Pending::Write(id));
    }

    /// Writes the record that gives the shard up; called again until the outcome is certain.
    ///
    /// A write without an answer may take effect much later, so reading the
    /// record back proves nothing. Only a further write on the same version,
    /// or a conflict on it, rules the earlier write out.
    pub(super) fn release(&mut self, record: ShardRecord, step: Step, out: &mut Outbox) {
        self.releasing = true;
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
                let record = std::mem::take(&mut self.pending_record);
                self.update(now, record, Some(*version));
            }
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                self.backoff.reset();
                self.observe(now, object);
            }
            StoreReply::Found(None) | StoreReply::Conflict(None) => {
                self.retry_at = now + self.backoff.next_delay();
            }
            _ if self.releasing => self.retry_at = now + self.backoff.next_delay(),
            StoreReply::Refused if matches!(pending, Pending::Write(_)) => {
                self.retry_at = now + self.backoff.next_delay();
            }
            _ => {
                let key = shard_key(&self.id);
                let id = out.call(read_back, StoreCall::Get { key });
                self.pending = Some(Pending::ReadBack(id));
            }
        }
    }

    pub(super) fn observe(&mut self, now: Time, object: &Object) {
        match decode::<ShardRecord>(&object.value) {
            Ok(record) => self.update(now, record, Some(object.version)),
            Err(error) => {
                log::warn!(
                    target: "shard",
                    "cannot decode the shard's record; shard={} error={error}",
                    self.id
                );
            }
        }
    }

    /// Notes that the object did not exist at a store version.
    pub(super) fn record_absent(&mut self, now: Time, version: Version) {
        if self.version.is_some_and(|known| known <= version) {
            self.update(now, ShardRecord::default(), None);
        }
    }

    /// Adopts a newer record; no write on the older version can succeed any more.
    fn update(&mut self, now: Time, record: ShardRecord, version: Option<Version>) {
        if version.is_some() && version <= self.version {
            return;
        }
        self.releasing = false;
        if record.owner != self.record.owner {
            self.free_since = record.owner.is_none().then_some(now);
            self.handing_over = false;
        }
        self.record = record;
        self.version = version;
    }
}
