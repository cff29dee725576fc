//! Orders to receivers, each written down before it is sent.
//!
//! A receiver has one record in the store. The shard's owner writes the exact
//! order there by conditional update, checks that its authority lasts, sends,
//! and closes the intent after the answer. There is one open intent a receiver
//! at most, so a new owner sees what its predecessor may have sent or may yet
//! send, and nothing else can be on its way.
//!
//! A new owner that finds an open intent takes it over and sends the same
//! order again: at once under its higher fencing token where the receiver
//! checks tokens, and elsewhere only after the former sender is proved out.
//!
//! An order without an answer may still arrive until its connection's last
//! byte is gone. Where the receiver does not check tokens, the intent stays
//! open for that span, lest a delayed copy arrive after a later order.

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
    terms::Terms,
};

/// Where receivers' records are kept.
pub const RECEIVER_PREFIX: &str = "receivers/";

const LIST: Step = Step::new(Protocol::Order, "list");

/// The name of a receiver's record.
pub fn receiver_key(receiver: &ReceiverId) -> Key {
    format!("{RECEIVER_PREFIX}{receiver}")
}

/// What a program asks a receiver to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// Whom it is for.
    pub receiver: ReceiverId,
    /// Whether the receiver refuses old fencing tokens.
    pub fencing: bool,
    /// What it is to do, in the receiver's own terms.
    pub body: Vec<u8>,
    /// The number of the event that causes it; each is acted on at most once.
    ///
    /// Numbers at or below one already acted on are dropped.
    pub cause: Option<u64>,
}

/// Why an order is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum WishError {
    /// This process does not own the receiver's shard, or is giving it up.
    #[snafu(display("this process does not own the receiver's shard"))]
    NotOwner,
    /// The shard's records have not been read yet.
    #[snafu(display("the receiver's record has not been read yet"))]
    NotRead,
    /// An earlier order to the receiver is not finished.
    #[snafu(display("an earlier order to the receiver is not finished"))]
    Busy,
    /// The event that causes it has been acted on.
    #[snafu(display("the event has been acted on already"))]
    Stale,
}

/// What a receiver's machine needs to know of its owner.
pub(super) struct Owner<'a> {
    pub(super) me: &'a Node,
    pub(super) attempt: u64,
    pub(super) epoch: Epoch,
    /// An order must have left before this time.
    pub(super) deadline: Time,
    pub(super) terms: &'a Terms,
    pub(super) guards: &'a Guards,
    /// An earlier copy of the receiver's order may arrive until then.
    pub(super) quiet: Time,
}

#[derive(Debug, Clone)]
struct ShardRead {
    epoch: Epoch,
    call: Option<CallId>,
    next: Time,
    done: bool,
    backoff: Backoff,
}

/// Looks after the receivers of all owned shards.
#[derive(Debug, Clone)]
pub(crate) struct Orders {
    terms: Terms,
    guards: Guards,
    seed: u64,
    reads: BTreeMap<ShardId, ShardRead>,
    receivers: BTreeMap<ReceiverId, Receiver>,
    sends: BTreeMap<CallId, ReceiverId>,
    quiet: BTreeMap<ReceiverId, Time>,
}

impl Orders {
    /// No shard owned yet.
    pub(crate) fn new(terms: Terms, guards: Guards, seed: u64) -> Orders {
        Orders {
            terms,
            guards,
            seed,
            reads: BTreeMap::new(),
            receivers: BTreeMap::new(),
            sends: BTreeMap::new(),
            quiet: BTreeMap::new(),
        }
    }

    /// The records of a shard's receivers, once they have been read.
    pub(crate) fn records<'a>(
        &'a self,
        shard: &'a ShardId,
    ) -> impl Iterator<Item = (&'a ReceiverId, &'a ReceiverRecord)> {
        self.receivers
            .iter()
            .filter(move |(id, _)| id.shard == *shard)
            .map(|(id, receiver)| (id, &receiver.record))
    }

    /// Receivers that wait for proof about a former sender.
    pub(crate) fn frozen(&self) -> impl Iterator<Item = &ReceiverId> {
        self.receivers.iter().filter(|(_, receiver)| receiver.frozen).map(|(id, _)| id)
    }

    /// Whether nothing that this process sent can still be under way.
    pub(crate) fn settled(&self, now: Time) -> bool {
        self.sends.is_empty() && now >= self.quiet_at()
    }

    /// When [`Orders::settled`] may become true by the passing of time.
    pub(crate) fn quiet_at(&self) -> Time {
        self.quiet.values().copied().fold(Time::ZERO, Time::max)
    }

    /// The epoch under which a shard is looked after.
    pub(crate) fn epoch(&self, shard: &ShardId) -> Option<Epoch> {
        self.reads.get(shard).map(|read| read.epoch)
    }

    /// Shards that are looked after.
    pub(crate) fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.reads.keys()
    }

    /// Shards for which something that this process sent may be under way.
    pub(crate) fn unsettled(&self, now: Time) -> impl Iterator<Item = &ShardId> {
        let quiet = self.quiet.iter().filter(move |(_, quiet)| now < **quiet).map(|(id, _)| id);
        self.sends.values().chain(quiet).map(|id| &id.shard)
    }

    /// Whether an order of this process to a receiver of the shard is open, or
    /// may be for all that has been read.
    pub(crate) fn busy(&self, shard: &ShardId, me: Incarnation) -> bool {
        if self.reads.get(shard).is_some_and(|read| !read.done) {
            return true;
        }
        self.receivers.iter().any(|(id, receiver)| id.shard == *shard && receiver.busy(me))
    }

    /// Accepts an order for sending.
    pub(crate) fn accept(&mut self, wish: Wish) -> Result<(), WishError> {
        let Some(read) = self.reads.get(&wish.receiver.shard) else {
            return Err(WishError::NotOwner);
        };
        if !read.done {
            return Err(WishError::NotRead);
        }
        let receiver = self.receiver(&wish.receiver);
        if receiver.wish.is_some() || receiver.record.open.is_some() {
            return Err(WishError::Busy);
        }
        if wish.cause.is_some_and(|cause| cause <= receiver.record.cause) {
            return Err(WishError::Stale);
        }
        receiver.wish = Some(wish);
        Ok(())
    }

    /// Begins to look after a shard's receivers.
    pub(crate) fn gain(&mut self, now: Time, shard: &ShardId, epoch: Epoch) {
        let (first, most) = self.terms.backoff;
        let read = ShardRead {
            epoch,
            call: None,
            next: now,
            done: false,
            backoff: Backoff::new(first, most, self.seed),
        };
        self.reads.insert(shard.clone(), read);
    }

    /// Stops looking after a shard's receivers.
    ///
    /// Calls under way are forgotten; only sends are waited for.
    pub(crate) fn lose(&mut self, shard: &ShardId) {
        self.reads.remove(shard);
        self.receivers.retain(|id, _| id.shard != *shard);
    }

    /// When to wake up next.
    pub(crate) fn wake_at(&self) -> Time {
        let reads = self
            .reads
            .values()
            .filter(|read| !read.done && read.call.is_none())
            .map(|read| read.next);
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
            if read.done || read.call.is_some() || now < read.next {
                continue;
            }
            let prefix = format!("{RECEIVER_PREFIX}{shard}/");
            read.call = Some(out.call(LIST, StoreCall::List { prefix }));
        }
        self.quiet.retain(|_, quiet| now < *quiet);
        let deadline = session.until().before(self.terms.send_budget);
        for (id, receiver) in &mut self.receivers {
            let Some(read) = self.reads.get(&id.shard).filter(|read| read.done) else {
                continue;
            };
            let sending = self.sends.values().any(|receiver| receiver == id);
            let quiet = match sending {
                true => Time::NEVER,
                false => self.quiet.get(id).copied().unwrap_or(Time::ZERO),
            };
            let owner = Owner {
                me: session.me(),
                attempt: session.attempt(),
                epoch: read.epoch,
                deadline,
                terms: &self.terms,
                guards: &self.guards,
                quiet,
            };
            if let Some(send) = receiver.drive(now, &owner, proofs, out) {
                self.sends.insert(send, id.clone());
            }
        }
        let suspects: BTreeSet<Incarnation> = self
            .receivers
            .values()
            .filter_map(|receiver| receiver.record.open.as_ref())
            .map(|open| open.sender.incarnation)
            .collect();
        proofs.retain(&suspects);
    }

    /// Takes a reply of the store; false if it belongs to another machine.
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
            self.take_list(now, &shard, reply);
            return true;
        }
        let found = self.receivers.values_mut().find(|receiver| receiver.waits_for(id));
        let Some(receiver) = found else {
            return false;
        };
        receiver.reply(now, reply, out);
        true
    }

    /// Takes what became of a sent order.
    pub(crate) fn answered(&mut self, now: Time, id: CallId, reply: OrderReply) {
        let Some(receiver) = self.sends.remove(&id) else {
            return;
        };
        if let Some(receiver) = self.receivers.get_mut(&receiver).filter(|r| r.sending(id)) {
            receiver.answered(now, reply);
        }
        if reply == OrderReply::Unknown {
            self.quiet.insert(receiver, now + self.terms.flight);
        }
    }

    fn take_list(&mut self, now: Time, shard: &ShardId, reply: &StoreReply) {
        let Some(read) = self.reads.get_mut(shard) else {
            return;
        };
        let StoreReply::Listed { objects, .. } = reply else {
            read.next = now + read.backoff.fail();
            return;
        };
        read.done = true;
        let prefix = format!("{RECEIVER_PREFIX}{shard}/");
        for object in objects {
            let Some(name) = object.key.strip_prefix(&prefix) else {
                continue;
            };
            let id = ReceiverId { shard: shard.clone(), name: name.to_owned() };
            self.receiver(&id).see(object);
        }
    }

    fn receiver(&mut self, id: &ReceiverId) -> &mut Receiver {
        let (first, most) = self.terms.backoff;
        let seed = self.seed.wrapping_add(self.receivers.len() as u64);
        self.receivers
            .entry(id.clone())
            .or_insert_with(|| Receiver::new(id.clone(), Backoff::new(first, most, seed)))
    }
}

/// Says that a receiver waits for proof about a former sender.
fn note_frozen(receiver: &ReceiverId, sender: Incarnation, out: &mut Outbox) {
    log::warn!(target: "intent", "frozen; receiver={receiver} sender={sender}");
    out.note(Notice::Frozen { receiver: receiver.clone(), sender });
}

/// Where a record stands in the store: none if there is no such object.
type Standing = Option<Version>;
