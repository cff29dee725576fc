//! Orders to receivers: each is stored as an intent before it is sent.
//!
//! A receiver has one record in the store. The shard's owner stores the exact
//! order there by conditional update, checks that its session is still valid,
//! sends the order, and closes the intent after the answer. A receiver has at
//! most one open intent, so a new owner sees the only order that its
//! predecessor may have sent or may still send.
//!
//! A new owner that finds an open intent adopts it and sends the same order
//! again. If the receiver checks fencing tokens, it does so at once under its
//! higher token; otherwise only after the former sender is proved unable to
//! send.
//!
//! An order without an answer may still arrive until the last byte of its
//! connection is dropped. If the receiver does not check tokens, the intent
//! stays open for that time, so that no delayed copy arrives after a later
//! order.

mod receiver;
mod record;

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use snafu::Snafu;

use self::receiver::Receiver;
pub use self::record::{OpenIntent, ReceiverRecord};
use crate::{
    budget::Backoff,
    guards::Guards,
    ident::{Incarnation, Node},
    order::{Epoch, OrderReply, ReceiverId, ShardId},
    outbox::{Notice, Outbox},
    session::Session,
    step::{Protocol, Step},
    store::{CallId, Key, StoreCall, StoreReply, Version},
    takeover::Proofs,
    terms::Timings,
};

/// Key prefix of receivers' records in the store.
pub const RECEIVER_PREFIX: &str = "receivers/";

const LIST: Step = Step::new(Protocol::Order, "list");

/// The store key of a receiver's record.
pub fn receiver_key(receiver: &ReceiverId) -> Key {
    format!("{RECEIVER_PREFIX}{receiver}")
}

/// An order that the driver asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewOrder {
    /// The receiver of the order.
    pub receiver: ReceiverId,
    /// Whether the receiver checks fencing tokens.
    pub fencing: bool,
    /// The content, in the receiver's own format.
    pub body: Vec<u8>,
    /// Number of the event that causes the order; at most one order is given per event.
    ///
    /// An order is refused if its number is not higher than the last one stored.
    pub cause: Option<u64>,
}

/// Reason why an order is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum OrderError {
    /// This process does not own the receiver's shard, or is handing it over.
    #[snafu(display("this process does not own the receiver's shard"))]
    NotOwner,
    /// The shard's records have not been read yet.
    #[snafu(display("the receiver's record has not been read yet"))]
    NotRead,
    /// An earlier order to the receiver is not finished.
    #[snafu(display("an earlier order to the receiver is not finished"))]
    Busy,
    /// An order for this event, or a later one, has been stored before.
    #[snafu(display("an order for this event or a later one has already been given"))]
    Stale,
}

/// Context of the owner that [`Receiver::advance`] needs.
pub(super) struct OwnerContext<'a> {
    pub(super) me: &'a Node,
    pub(super) attempt: u64,
    pub(super) epoch: Epoch,
    /// An order must be sent before this time.
    pub(super) deadline: Time,
    pub(super) terms: &'a Timings,
    pub(super) guards: &'a Guards,
    /// Until when an earlier copy of the receiver's order may still arrive.
    pub(super) in_flight_until: Time,
}

/// The initial read of the receivers' records of an owned shard.
#[derive(Debug, Clone)]
struct ShardRead {
    epoch: Epoch,
    call: Option<CallId>,
    next_read_at: Time,
    done: bool,
    backoff: Backoff,
}

/// The receivers of all owned shards, and the sends in flight.
#[derive(Debug, Clone)]
pub(crate) struct Orders {
    terms: Timings,
    guards: Guards,
    seed: u64,
    reads: BTreeMap<ShardId, ShardRead>,
    receivers: BTreeMap<ReceiverId, Receiver>,
    /// Sends without a reply; also of shards that are no longer owned.
    pending_sends: BTreeMap<CallId, ReceiverId>,
    /// Until when unanswered copies of orders may still arrive.
    in_flight_until: BTreeMap<ReceiverId, Time>,
}

impl Orders {
    /// Creates the orders of a process that owns no shard yet.
    pub(crate) fn new(terms: Timings, guards: Guards, seed: u64) -> Orders {
        Orders {
            terms,
            guards,
            seed,
            reads: BTreeMap::new(),
            receivers: BTreeMap::new(),
            pending_sends: BTreeMap::new(),
            in_flight_until: BTreeMap::new(),
        }
    }

    /// The records of a shard's receivers; empty until they have been read.
    pub(crate) fn records<'a>(
        &'a self,
        shard: &'a ShardId,
    ) -> impl Iterator<Item = (&'a ReceiverId, &'a ReceiverRecord)> {
        self.receivers
            .iter()
            .filter(move |(id, _)| id.shard == *shard)
            .map(|(id, receiver)| (id, &receiver.record))
    }

    /// Receivers that get no orders until a former sender is proved unable to send.
    pub(crate) fn frozen(&self) -> impl Iterator<Item = &ReceiverId> {
        self.receivers.iter().filter(|(_, receiver)| receiver.frozen).map(|(id, _)| id)
    }

    /// Whether nothing that this process sent can still arrive.
    pub(crate) fn nothing_in_flight(&self, now: Time) -> bool {
        self.pending_sends.is_empty() && now >= self.nothing_in_flight_at()
    }

    /// The earliest time at which [`Orders::nothing_in_flight`] becomes true if no send is pending.
    pub(crate) fn nothing_in_flight_at(&self) -> Time {
        self.in_flight_until.values().copied().fold(Time::ZERO, Time::max)
    }

    /// The epoch under which a shard was added.
    pub(crate) fn epoch(&self, shard: &ShardId) -> Option<Epoch> {
        self.reads.get(shard).map(|read| read.epoch)
    }

    /// Shards that have been added and not removed.
    pub(crate) fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.reads.keys()
    }

    /// Shards for which an order of this process may still be in flight.
    pub(crate) fn shards_in_flight(&self, now: Time) -> impl Iterator<Item = &ShardId> {
        let in_flight =
            self.in_flight_until.iter().filter(move |(_, until)| now < **until).map(|(id, _)| id);
        self.pending_sends.values().chain(in_flight).map(|id| &id.shard)
    }

    /// Whether this process has an open order to a receiver of the shard; true
    /// as well until the shard's records have been read.
    pub(crate) fn has_open_order(&self, shard: &ShardId, me: Incarnation) -> bool {
        if self.reads.get(shard).is_some_and(|read| !read.done) {
            return true;
        }
        self.receivers
            .iter()
            .any(|(id, receiver)| id.shard == *shard && receiver.has_open_order(me))
    }

    /// Accepts an order, to be stored and sent with the next wake-up.
    pub(crate) fn accept(&mut self, request: NewOrder) -> Result<(), OrderError> {
        let Some(read) = self.reads.get(&request.receiver.shard) else {
            return Err(OrderError::NotOwner);
        };
        if !read.done {
            return Err(OrderError::NotRead);
        }
        let receiver = self.receiver(&request.receiver);
        if receiver.request.is_some() || receiver.record.open.is_some() {
            return Err(OrderError::Busy);
        }
        if request.cause.is_some_and(|cause| cause <= receiver.record.cause) {
            return Err(OrderError::Stale);
        }
        receiver.request = Some(request);
        Ok(())
    }

    /// Starts to handle a shard that this process has come to own.
    pub(crate) fn add_shard(&mut self, now: Time, shard: &ShardId, epoch: Epoch) {
        let (first, max) = self.terms.backoff;
        let read = ShardRead {
            epoch,
            call: None,
            next_read_at: now,
            done: false,
            backoff: Backoff::new(first, max, self.seed),
        };
        self.reads.insert(shard.clone(), read);
    }

    /// Stops handling a shard.
    ///
    /// Replies to its pending store calls are ignored; replies to sends still count.
    pub(crate) fn remove_shard(&mut self, shard: &ShardId) {
        self.reads.remove(shard);
        self.receivers.retain(|id, _| id.shard != *shard);
    }

    /// When [`Orders::wake`] is due next.
    pub(crate) fn wake_at(&self) -> Time {
        let reads = self
            .reads
            .values()
            .filter(|read| !read.done && read.call.is_none())
            .map(|read| read.next_read_at);
        let receivers = self.receivers.values().map(Receiver::wake_at);
        reads.chain(receivers).fold(Time::NEVER, Time::min)
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        session: &Session,
        proofs: &mut Proofs,
        out: &mut Outbox,
    ) {
        for (shard, read) in &mut self.reads {
            if read.done || read.call.is_some() || now < read.next_read_at {
                continue;
            }
            let prefix = format!("{RECEIVER_PREFIX}{shard}/");
            read.call = Some(out.call(LIST, StoreCall::List { prefix }));
        }
        self.in_flight_until.retain(|_, until| now < *until);
        let deadline = session.expires_at().saturating_sub(self.terms.send_margin);
        for (id, receiver) in &mut self.receivers {
            let Some(read) = self.reads.get(&id.shard).filter(|read| read.done) else {
                continue;
            };
            let sending = self.pending_sends.values().any(|receiver| receiver == id);
            let in_flight_until = match sending {
                true => Time::NEVER,
                false => self.in_flight_until.get(id).copied().unwrap_or(Time::ZERO),
            };
            let context = OwnerContext {
                me: session.me(),
                attempt: session.attempt(),
                epoch: read.epoch,
                deadline,
                terms: &self.terms,
                guards: &self.guards,
                in_flight_until,
            };
            if let Some(send) = receiver.advance(now, &context, proofs, out) {
                self.pending_sends.insert(send, id.clone());
            }
        }
        let senders: BTreeSet<Incarnation> = self
            .receivers
            .values()
            .filter_map(|receiver| receiver.record.open.as_ref())
            .map(|open| open.sender.incarnation)
            .collect();
        proofs.retain(&senders);
    }

    /// Handles a store reply; false if the call is not one of this type's.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        let read = self.reads.iter_mut().find(|(_, read)| read.call == Some(id));
        if let Some((shard, read)) = read {
            read.call = None;
            let shard = shard.clone();
            self.handle_list(now, &shard, reply);
            return true;
        }
        let found = self.receivers.values_mut().find(|receiver| receiver.waits_for(id));
        let Some(receiver) = found else {
            return false;
        };
        receiver.reply(now, reply, out);
        true
    }

    /// Handles the outcome of a sent order.
    pub(crate) fn handle_answer(&mut self, now: Time, id: CallId, reply: OrderReply) {
        let Some(receiver) = self.pending_sends.remove(&id) else {
            return;
        };
        if let Some(receiver) = self.receivers.get_mut(&receiver).filter(|r| r.is_sending(id)) {
            receiver.handle_answer(now, reply);
        }
        if reply == OrderReply::Unknown {
            self.in_flight_until.insert(receiver, now + self.terms.delivery_time);
        }
    }

    fn handle_list(&mut self, now: Time, shard: &ShardId, reply: &StoreReply) {
        let Some(read) = self.reads.get_mut(shard) else {
            return;
        };
        let StoreReply::Listed { objects, .. } = reply else {
            read.next_read_at = now + read.backoff.next_delay();
            return;
        };
        read.done = true;
        let prefix = format!("{RECEIVER_PREFIX}{shard}/");
        for object in objects {
            let Some(name) = object.key.strip_prefix(&prefix) else {
                continue;
            };
            let id = ReceiverId { shard: shard.clone(), name: name.to_owned() };
            self.receiver(&id).observe(object);
        }
    }

    fn receiver(&mut self, id: &ReceiverId) -> &mut Receiver {
        let (first, max) = self.terms.backoff;
        let seed = self.seed.wrapping_add(self.receivers.len() as u64);
        self.receivers
            .entry(id.clone())
            .or_insert_with(|| Receiver::new(id.clone(), Backoff::new(first, max, seed)))
    }
}

/// Reports that a receiver gets no orders until a former sender is proved unable to send.
fn report_frozen(receiver: &ReceiverId, sender: Incarnation, out: &mut Outbox) {
    log::warn!(
        target: "intent",
        "receiver frozen: a former sender may still send; receiver={receiver} sender={sender}"
    );
    out.notify(Notice::Frozen { receiver: receiver.clone(), sender });
}

/// Version of a receiver's record in the store; None if the object does not exist.
type RecordVersion = Option<Version>;
