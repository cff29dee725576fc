//! Coordination parts for processes that keep nothing themselves.
//!
//! Everything that has to last lives in one versioned object store with
//! conditional updates. The parts are state machines without I/O and without
//! a clock: each takes the present time and an event, and returns actions.

pub mod budget;
pub mod claim;
mod codec;
mod document;
pub mod drain;
mod ident;
mod order;
pub mod publication;
mod step;
mod store;
pub mod view;
pub mod window;

pub use crate::{
    codec::{DecodeError, decode, encode},
    document::{Access, Document, EditId, Editor, EditorAction, EditorActions},
    ident::{Incarnation, Node, Zone},
    order::{Epoch, Fence, Order, OrderId, OrderReply, ProbeReply, ReceiverId, ShardId},
    step::{Protocol, Step},
    store::{CallId, CallIds, Change, Expect, Key, Object, StoreCall, StoreReply, Version},
};
