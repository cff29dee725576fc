//! One receiver as its owner sees it.

use chervilgate_clock::Time;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    ident::Incarnation,
    intent::{OpenIntent, Owner, ReceiverRecord, Standing, Wish, note_frozen, receiver_key},
    order::{Fence, Order, OrderId, OrderReply, ReceiverId},
    outbox::{Notice, Outbox},
    step::{Protocol, Step},
    store::{CallId, Expect, Object, StoreCall, StoreReply},
    takeover::Proofs,
};

const OPEN: Step = Step::new(Protocol::Order, "open");
const ADOPT: Step = Step::new(Protocol::Takeover, "adopt");
const SEND: Step = Step::new(Protocol::Order, "send");
const RESEND: Step = Step::new(Protocol::Takeover, "resend");
const CLOSE: Step = Step::new(Protocol::Order, "close");
const READ_BACK: Step = Step::new(Protocol::Order, "read-back");

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Write(CallId),
    ReadBack(CallId),
    Send(CallId),
}

/// How far the open order has come in this process's hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Unsent,
    Answered(OrderReply),
}

#[derive(Debug, Clone)]
pub(super) struct Receiver {
    pub(super) id: ReceiverId,
    pub(super) record: ReceiverRecord,
    pub(super) wish: Option<Wish>,
    pub(super) frozen: bool,
    version: Standing,
    pending: Option<Pending>,
    written: ReceiverRecord,
    progress: Progress,
    adopted: bool,
    retry: Time,
    backoff: Backoff,
}

impl Receiver {
    pub(super) fn new(id: ReceiverId, backoff: Backoff) -> Receiver {
        Receiver {
            id,
            record: ReceiverRecord::default(),
            wish: None,
            frozen: false,
            version: None,
            pending: None,
            written: ReceiverRecord::default(),
            progress: Progress::Unsent,
            adopted: false,
            retry: Time::ZERO,
            backoff,
        }
    }

    pub(super) fn busy(&self, me: Incarnation) -> bool {
        let mine = |open: &OpenIntent| open.sender.incarnation == me;
        self.pending.is_some()
            || self.wish.is_some() && !self.frozen
            || self.record.open.as_ref().is_some_and(mine)
    }

    pub(super) fn waits_for(&self, id: CallId) -> bool {
        let pending = self.pending;
        pending == Some(Pending::Write(id)) || pending == Some(Pending::ReadBack(id))
    }

    pub(super) fn sending(&self, id: CallId) -> bool {
        self.pending == Some(Pending::Send(id))
    }

    pub(super) fn wake_at(&self) -> Time {
        let idle = self.wish.is_none() && self.record.open.is_none();
        if self.pending.is_some() || idle || self.frozen { Time::NEVER } else { self.retry }
    }

    pub(super) fn see(&mut self, object: &Object) {
        match decode::<ReceiverRecord>(&object.value) {
            Ok(record) => {
                if record.seq != self.record.seq {
                    self.progress = Progress::Unsent;
                }
                self.record = record;
                self.version = Some(object.version);
            }
            Err(error) => {
                log::warn!(target: "intent", "a record does not decode; receiver={} error={error}", self.id);
            }
        }
    }

    /// Takes the next step; the call's number if it is a send.
    pub(super) fn drive(
        &mut self,
        now: Time,
        owner: &Owner<'_>,
        proofs: &mut Proofs,
        out: &mut Outbox,
    ) -> Option<CallId> {
        if self.pending.is_some() || now < self.retry {
            return None;
        }
        if self.record.epoch > owner.epoch {
            self.retry = now + self.backoff.fail();
            return None;
        }
        let Some(open) = &self.record.open else {
            return self.begin(now, owner, out);
        };
        let mine = open.sender.incarnation == owner.me.incarnation;
        if mine && self.record.epoch == owner.epoch {
            return self.proceed(now, owner, out);
        }
        if !mine && !open.fencing {
            let Some(proof) = proofs.find(now, &self.id.shard, open) else {
                if !self.frozen {
                    self.frozen = true;
                    note_frozen(&self.id, open.sender.incarnation, out);
                }
                return None;
            };
            if self.frozen {
                out.note(Notice::Thawed { receiver: self.id.clone(), proof });
            }
            self.frozen = false;
        }
        let taken = OpenIntent { sender: owner.me.clone(), attempt: owner.attempt, ..open.clone() };
        self.adopted = true;
        self.progress = Progress::Unsent;
        self.write(self.record.with(owner.epoch, taken), ADOPT, out);
        None
    }

    pub(super) fn reply(&mut self, now: Time, reply: &StoreReply, out: &mut Outbox) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match reply {
            StoreReply::Written(version) => {
                self.version = Some(*version);
                self.settle(out);
            }
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                let ours = object.value == encode(&self.written);
                self.see(object);
                if ours {
                    self.settle(out);
                }
            }
            StoreReply::Found(None) | StoreReply::Conflict(None) => {
                self.version = None;
                self.record = ReceiverRecord::default();
            }
            StoreReply::Refused if matches!(pending, Pending::Write(_)) => {
                self.retry = now + self.backoff.fail();
            }
            _ => {
                let key = receiver_key(&self.id);
                let id = out.call(READ_BACK, StoreCall::Get { key });
                self.pending = Some(Pending::ReadBack(id));
            }
        }
    }

    pub(super) fn answered(&mut self, now: Time, reply: OrderReply) {
        self.pending = None;
        match reply {
            OrderReply::Done | OrderReply::Rejected => {
                self.progress = Progress::Answered(reply);
                self.backoff.reset();
            }
            OrderReply::Unknown | OrderReply::NotSent | OrderReply::Fenced => {
                self.retry = now + self.backoff.fail()
            }
        }
    }

    /// Writes the wished order down.
    fn begin(&mut self, now: Time, owner: &Owner<'_>, out: &mut Outbox) -> Option<CallId> {
        let wish = self.wish.as_ref()?;
        if now >= owner.deadline {
            self.retry = now + self.backoff.fail();
            return None;
        }
        let open = OpenIntent {
            sender: owner.me.clone(),
            attempt: owner.attempt,
            fencing: wish.fencing,
            body: wish.body.clone(),
        };
        let mut record = self.record.with(owner.epoch, open);
        record.seq += 1;
        record.cause = wish.cause.unwrap_or(record.cause);
        self.adopted = false;
        self.progress = Progress::Unsent;
        if !owner.guards.intent {
            self.record = record;
            self.wish = None;
            return self.proceed(now, owner, out);
        }
        self.write(record, OPEN, out);
        None
    }

    /// Sends the order that this process has written down, or closes it.
    fn proceed(&mut self, now: Time, owner: &Owner<'_>, out: &mut Outbox) -> Option<CallId> {
        let open = self.record.open.as_ref()?;
        if let Progress::Answered(_) = self.progress {
            let waits = owner.guards.flight && !open.fencing && now < owner.quiet;
            if waits {
                self.retry = owner.quiet.min(now + owner.terms.flight);
                return None;
            }
            self.close(owner, out);
            return None;
        }
        if now >= owner.deadline {
            self.retry = now + self.backoff.fail();
            return None;
        }
        let Some(fence) = Fence::new(owner.epoch, self.record.count) else {
            self.retry = now + self.backoff.fail();
            return None;
        };
        let fence = if owner.guards.epoch { fence } else { Fence::default() };
        let order = Order {
            id: OrderId { receiver: self.id.clone(), seq: self.record.seq },
            fence,
            sender: owner.me.incarnation,
            body: open.body.clone(),
        };
        let step = if self.adopted { RESEND } else { SEND };
        let id = out.send(step, order, owner.deadline);
        self.pending = Some(Pending::Send(id));
        Some(id)
    }

    fn close(&mut self, owner: &Owner<'_>, out: &mut Outbox) {
        let record = self.record.closed();
        if owner.guards.intent {
            self.write(record, CLOSE, out);
            return;
        }
        self.written = record;
        self.settle(out);
    }

    fn write(&mut self, record: ReceiverRecord, step: Step, out: &mut Outbox) {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let key = receiver_key(&self.id);
        let value = encode(&record);
        self.written = record;
        self.pending = Some(Pending::Write(out.call(step, StoreCall::Put { key, expect, value })));
    }

    /// The written record is in force.
    fn settle(&mut self, out: &mut Outbox) {
        self.record = std::mem::take(&mut self.written);
        self.backoff.reset();
        self.retry = Time::ZERO;
        if self.record.open.is_some() {
            if !self.adopted {
                self.wish = None;
            }
            return;
        }
        let Progress::Answered(reply) = self.progress else {
            return;
        };
        let order = OrderId { receiver: self.id.clone(), seq: self.record.seq };
        out.note(Notice::Completed { order, reply });
    }
}
