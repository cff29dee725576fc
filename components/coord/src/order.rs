//! Orders to receivers outside: engines, the platform's target orders, usage.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ident::Incarnation;

/// Names a piece of duty that one process holds at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ShardId(pub String);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Counts the owners of a shard; the high part of a fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Names a receiver of orders within its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReceiverId {
    /// The shard whose owner gives the orders.
    pub shard: ShardId,
    /// The receiver's name.
    pub name: String,
}

impl fmt::Display for ReceiverId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.shard, self.name)
    }
}

/// Names an order; a repeated order keeps its id.
///
/// The number grows by one with each new order to the receiver, whoever gives
/// it, so an id is never used for two different orders.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId {
    /// Whom the order is for.
    pub receiver: ReceiverId,
    /// Its number among the receiver's orders, from 1.
    pub seq: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.receiver, self.seq)
    }
}

/// A fencing token: a receiver that checks refuses any lower than its highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Fence(pub u64);

/// Bits of a [`Fence`] that count one owner's orders to a receiver.
const COUNT_BITS: u32 = 24;

impl Fence {
    /// The token of the owner's `count`-th order in this epoch.
    ///
    /// None if the epoch has given as many orders as a token can count.
    pub fn new(epoch: Epoch, count: u32) -> Option<Fence> {
        if count >= 1 << COUNT_BITS || epoch.0 >= 1 << (u64::BITS - COUNT_BITS) {
            return None;
        }
        Some(Fence(epoch.0 << COUNT_BITS | u64::from(count)))
    }

    /// The epoch within the token.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }
}

/// An order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Its name, the same however often it is sent.
    pub id: OrderId,
    /// The fencing token it is sent under.
    pub fence: Fence,
    /// The process that sends it.
    pub sender: Incarnation,
    /// What the receiver is to do, in the receiver's own terms.
    pub body: Vec<u8>,
}

/// What became of a sent order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderReply {
    /// The receiver has carried it out.
    Done,
    /// The receiver has refused it for what it asks; nothing was done.
    Rejected,
    /// The receiver has met a higher fencing token; nothing was done.
    Fenced,
    /// The deadline had passed at the last check; nothing was sent.
    NotSent,
    /// No answer came: the order may be carried out, now or shortly.
    Unknown,
}

/// What a connection to a process's address has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ProbeReply {
    /// This incarnation answers there.
    Answers(Incarnation),
    /// The host answers, and nothing listens there.
    Refused,
    /// Nothing came back.
    Silent,
}
