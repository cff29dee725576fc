//! State machine of one receiver at the owner of its shard.

use chervilgate_clock::Time;

use crate::{
    budget::Backoff,
    codec::{decode, encode},
    ident::Incarnation,
    intent::{
        NewOrder, OpenIntent, OwnerContext, ReceiverRecord, RecordVersion, receiver_key,
        report_frozen,
    },
    order::{FencingToken, Order, OrderId, OrderReply, ReceiverId},
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

/// Progress of the open order in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Not sent, or sent without a final answer.
    Unanswered,
    Answered(OrderReply),
}

#[derive(Debug, Clone)]
pub(super) struct Receiver {
    pub(super) id: ReceiverId,
    pub(super) record: ReceiverRecord,
    pub(super) request: Option<NewOrder>,
    pub(super) frozen: bool,
    version: RecordVersion,
    pending: Option<Pending>,
    /// The record of the last write, which may not have taken effect.
    pending_record: ReceiverRecord,
    progress: Progress,
    /// Whether the open intent was taken over from a former owner or epoch.
    adopted: bool,
    retry_at: Time,
    backoff: Backoff,
}

impl Receiver {
    pub(super) fn new(id: ReceiverId, backoff: Backoff) -> Receiver {
        Receiver {
            id,
            record: ReceiverRecord::default(),
            request: None,
            frozen: false,
            version: None,
            pending: None,
            pending_record: ReceiverRecord::default(),
            progress: Progress::Unanswered,
            adopted: false,
            retry_at: Time::ZERO,
            backoff,
        }
    }

    pub(super) fn has_open_order(&self, me: Incarnation) -> bool {
        let is_mine = |open: &OpenIntent| open.sender.incarnation == me;
        self.pending.is_some()
            || self.request.is_some() && !self.frozen
            || self.record.open.as_ref().is_some_and(is_mine)
    }

    pub(super) fn waits_for(&self, id: CallId) -> bool {
        let pending = self.pending;
        pending == Some(Pending::Write(id)) || pending == Some(Pending::ReadBack(id))
    }

    pub(super) fn is_sending(&self, id: CallId) -> bool {
        self.pending == Some(Pending::Send(id))
    }

    pub(super) fn wake_at(&self) -> Time {
        let idle = self.request.is_none() && self.record.open.is_none();
        if self.pending.is_some() || idle || self.frozen { Time::NEVER } else { self.retry_at }
    }

    pub(super) fn observe(&mut self, object: &Object) {
        match decode::<ReceiverRecord>(&object.value) {
            Ok(record) => {
                if record.seq != self.record.seq {
                    self.progress = Progress::Unanswered;
                }
                self.record = record;
                self.version = Some(object.version);
            }
            Err(error) => {
                log::warn!(
                    target: "intent",
                    "cannot decode the receiver's record; receiver={} error={error}",
                    self.id
                );
            }
        }
    }

    /// Takes the next step, and returns the id of the call if it is a send.
    pub(super) fn advance(
        &mut self,
        now: Time,
        context: &OwnerContext<'_>,
        proofs: &mut Proofs,
        out: &mut Outbox,
    ) -> Option<CallId> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        if self.record.epoch > context.epoch {
            self.retry_at = now + self.backoff.next_delay();
            return None;
        }
        let Some(open) = &self.record.open else {
            return self.open_intent(now, context, out);
        };
        let is_mine = open.sender.incarnation == context.me.incarnation;
        if is_mine && self.record.epoch == context.epoch {
            return self.send_or_close(now, context, out);
        }
        if !is_mine && !open.fencing {
            let Some(proof) = proofs.find(now, &self.id.shard, open) else {
                if !self.frozen {
                    self.frozen = true;
                    report_frozen(&self.id, open.sender.incarnation, out);
                }
                return None;
            };
            if self.frozen {
                out.notify(Notice::Unfrozen { receiver: self.id.clone(), proof });
            }
            self.frozen = false;
        }
        let taken =
            OpenIntent { sender: context.me.clone(), attempt: context.attempt, ..open.clone() };
        self.adopted = true;
        self.progress = Progress::Unanswered;
        self.write(self.record.with_intent(context.epoch, taken), ADOPT, out);
        None
    }

    pub(super) fn reply(&mut self, now: Time, reply: &StoreReply, out: &mut Outbox) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match reply {
            StoreReply::Written(version) => {
                self.version = Some(*version);
                self.apply_written(out);
            }
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                let is_written = object.value == encode(&self.pending_record);
                self.observe(object);
                if is_written {
                    self.apply_written(out);
                }
            }
            StoreReply::Found(None) | StoreReply::Conflict(None) => {
                self.version = None;
                self.record = ReceiverRecord::default();
            }
            StoreReply::Refused if matches!(pending, Pending::Write(_)) => {
                self.retry_at = now + self.backoff.next_delay();
            }
            _ => {
                let key = receiver_key(&self.id);
                let id = out.call(READ_BACK, StoreCall::Get { key });
                self.pending = Some(Pending::ReadBack(id));
            }
        }
    }

    pub(super) fn handle_answer(&mut self, now: Time, reply: OrderReply) {
        self.pending = None;
        match reply {
            OrderReply::Done | OrderReply::Rejected => {
                self.progress = Progress::Answered(reply);
                self.backoff.reset();
            }
            OrderReply::Unknown | OrderReply::NotSent | OrderReply::Fenced => {
                self.retry_at = now + self.backoff.next_delay()
            }
        }
    }

    /// Stores the requested order as an open intent.
    fn open_intent(
        &mut self,
        now: Time,
        context: &OwnerContext<'_>,
        out: &mut Outbox,
    ) -> Option<CallId> {
        let request = self.request.as_ref()?;
        if now >= context.deadline {
            self.retry_at = now + self.backoff.next_delay();
            return None;
        }
        let open = OpenIntent {
            sender: context.me.clone(),
            attempt: context.attempt,
            fencing: request.fencing,
            body: request.body.clone(),
        };
        let mut record = self.record.with_intent(context.epoch, open);
        record.seq += 1;
        record.cause = request.cause.unwrap_or(record.cause);
        self.adopted = false;
        self.progress = Progress::Unanswered;
        if !context.guards.intent {
            self.record = record;
            self.request = None;
            return self.send_or_close(now, context, out);
        }
        self.write(record, OPEN, out);
        None
    }

    /// Sends the open order, or closes it if it has been answered.
    fn send_or_close(
        &mut self,
        now: Time,
        context: &OwnerContext<'_>,
        out: &mut Outbox,
    ) -> Option<CallId> {
        let open = self.record.open.as_ref()?;
        if let Progress::Answered(_) = self.progress {
            let waits =
                context.guards.transit_wait && !open.fencing && now < context.in_flight_until;
            if waits {
                self.retry_at = context.in_flight_until.min(now + context.terms.delivery_time);
                return None;
            }
            self.close(context, out);
            return None;
        }
        if now >= context.deadline {
            self.retry_at = now + self.backoff.next_delay();
            return None;
        }
        let Some(fence) = FencingToken::new(context.epoch, self.record.count) else {
            self.retry_at = now + self.backoff.next_delay();
            return None;
        };
        let fence = if context.guards.fencing_token { fence } else { FencingToken::default() };
        let order = Order {
            id: OrderId { receiver: self.id.clone(), seq: self.record.seq },
            fence,
            sender: context.me.incarnation,
            body: open.body.clone(),
        };
        let step = if self.adopted { RESEND } else { SEND };
        let id = out.send(step, order, context.deadline);
        self.pending = Some(Pending::Send(id));
        Some(id)
    }

    fn close(&mut self, context: &OwnerContext<'_>, out: &mut Outbox) {
        let record = self.record.closed();
        if context.guards.intent {
            self.write(record, CLOSE, out);
            return;
        }
        self.pending_record = record;
        self.apply_written(out);
    }

    fn write(&mut self, record: ReceiverRecord, step: Step, out: &mut Outbox) {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let key = receiver_key(&self.id);
        let value = encode(&record);
        self.pending_record = record;
        self.pending = Some(Pending::Write(out.call(step, StoreCall::Put { key, expect, value })));
    }

    /// Adopts the pending record, whose write has taken effect.
    fn apply_written(&mut self, out: &mut Outbox) {
        self.record = std::mem::take(&mut self.pending_record);
        self.backoff.reset();
        self.retry_at = Time::ZERO;
        if self.record.open.is_some() {
            if !self.adopted {
                self.request = None;
            }
            return;
        }
        let Progress::Answered(reply) = self.progress else {
            return;
        };
        let order = OrderId { receiver: self.id.clone(), seq: self.record.seq };
        out.notify(Notice::Completed { order, reply });
    }
}
