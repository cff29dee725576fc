//! A receiver's record in the store.

use serde::{Deserialize, Serialize};

use crate::{ident::Node, order::Epoch};

/// A stored order that is not known to be finished.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenIntent {
    /// The only process that may send the order.
    pub sender: Node,
    /// Number of the sender's last attempt to write its session before it stored
    /// the intent.
    pub attempt: u64,
    /// Whether the receiver checks fencing tokens.
    pub fencing: bool,
    /// The content, in the receiver's own format.
    pub body: Vec<u8>,
}

/// The state of the orders to a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReceiverRecord {
    /// The epoch of the last writer.
    pub epoch: Epoch,
    /// Number of the last intent in this epoch, from 0; the low bits of the fencing token.
    pub count: u32,
    /// The number of the last order.
    pub seq: u64,
    /// The number of the last event for which an order was given.
    pub cause: u64,
    /// The last order; None once it is finished.
    pub open: Option<OpenIntent>,
    /// The content of the last finished order.
    pub last: Vec<u8>,
}

impl ReceiverRecord {
    /// The record with a new or adopted intent of the owner.
    pub(super) fn with_intent(&self, epoch: Epoch, open: OpenIntent) -> ReceiverRecord {
        let count = if epoch == self.epoch { self.count + 1 } else { 0 };
        ReceiverRecord { epoch, count, open: Some(open), ..self.clone() }
    }

    /// The record with the open order finished.
    pub(super) fn closed(&self) -> ReceiverRecord {
        let last = self.open.as_ref().map(|open| open.body.clone()).unwrap_or_default();
        ReceiverRecord { open: None, last, ..self.clone() }
    }
}
