//! Identifiers of orders, fencing tokens and replies.
//!
//! Receivers are outside the controllers: the engines, the platform's target
//! pools and the platform's usage reporting.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ident::Incarnation;

/// Name of a shard: a set of receivers that one process at a time may send orders to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ShardId(pub String);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Number of ownership changes of a shard; the high bits of a fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Identifies a receiver of orders within its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReceiverId {
    /// The shard whose owner sends the orders.
    pub shard: ShardId,
    /// The receiver's name, unique in the shard.
    pub name: String,
}

impl fmt::Display for ReceiverId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.shard, self.name)
    }
}

/// Identifies an order; a resent order keeps its id.
///
/// The number increases by one with each new order to the receiver, whichever
/// process sends it, so an id is never used for two different orders.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId {
    /// The receiver of the order.
    pub receiver: ReceiverId,
    /// Its number among the receiver's orders, from 1.
    pub seq: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.receiver, self.seq)
    }
}

/// A fencing token: a receiver that checks tokens refuses one lower than the highest it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Bits of a [`FencingToken`] that count one owner's orders to a receiver.
const ORDER_COUNT_BITS: u32 = 24;

impl FencingToken {
    /// The token of the owner's order number `count` in this epoch, from 0.
    ///
    /// None if `count` or the epoch does not fit into the token.
    pub fn new(epoch: Epoch, count: u32) -> Option<FencingToken> {
        if count >= 1 << ORDER_COUNT_BITS || epoch.0 >= 1 << (u64::BITS - ORDER_COUNT_BITS) {
            return None;
        }
        Some(FencingToken(epoch.0 << ORDER_COUNT_BITS | u64::from(count)))
    }

    /// The epoch in the token's high bits.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> ORDER_COUNT_BITS)
    }
}

/// An order as sent to its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Its id, the same each time the order is sent.
    pub id: OrderId,
    /// The fencing token of the sender.
    pub fence: FencingToken,
    /// The process that sends it.
    pub sender: Incarnation,
    /// The content, in the receiver's own format.
    pub body: Vec<u8>,
}

/// Outcome of a sent order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderReply {
    /// The receiver has executed it.
    Done,
    /// The receiver has refused its content; nothing was done.
    Rejected,
    /// The receiver has seen a higher fencing token; nothing was done.
    Fenced,
    /// The deadline had passed before the send; nothing was sent.
    NotSent,
    /// No answer came: the order may have been executed, or may be shortly.
    Unknown,
}

/// Result of a probe of a process's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ProbeReply {
    /// A process with this incarnation answered.
    Answers(Incarnation),
    /// The host refused the connection: nothing listens at the address.
    Refused,
    /// No response.
    Silent,
}
