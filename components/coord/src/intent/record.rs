//! A receiver's record as stored.

use serde::{Deserialize, Serialize};

use crate::{ident::Node, order::Epoch};

/// An order written down and not known to be finished.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenIntent {
    /// The only process that may be sending it.
    pub sender: Node,
    /// The sender's last attempt to write its session before this.
    pub attempt: u64,
    /// Whether the receiver refuses old fencing tokens.
    pub fencing: bool,
    /// The order's content.
    pub body: Vec<u8>,
}

/// What has been ordered of a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReceiverRecord {
    /// The epoch of the last writer.
    pub epoch: Epoch,
    /// Intents written in this epoch; the low part of the fencing token.
    pub count: u32,
    /// The number of the last order.
    pub seq: u64,
    /// The number of the last event acted on.
    pub cause: u64,
    /// The last order, unless it is finished.
    pub open: Option<OpenIntent>,
    /// The content of the last finished order.
    pub last: Vec<u8>,
}

impl ReceiverRecord {
    /// The record after one more intent of the owner.
    pub(super) fn with(&self, epoch: Epoch, open: OpenIntent) -> ReceiverRecord {
        let count = if epoch == self.epoch { self.count + 1 } else { 0 };
        ReceiverRecord { epoch, count, open: Some(open), ..self.clone() }
    }

    /// The record after the order is finished.
    pub(super) fn closed(&self) -> ReceiverRecord {
        let last = self.open.as_ref().map(|open| open.body.clone()).unwrap_or_default();
        ReceiverRecord { open: None, last, ..self.clone() }
    }
}
