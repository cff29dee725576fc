//! Coordination parts for processes that keep nothing themselves.
//!
//! Everything that has to last lives in one versioned object store with
//! conditional updates. The parts are state machines without I/O and without
//! a clock: each takes the present time and an event, and returns actions.

pub mod budget;
mod codec;
mod ident;
mod order;
mod step;
mod store;
pub mod view;

pub use crate::{
    codec::{DecodeError, decode, encode},
    ident::{Incarnation, Node, Zone},
    order::{Epoch, Fence, Order, OrderId, OrderReply, ProbeReply, ReceiverId, ShardId},
    step::{Protocol, Step},
    store::{CallId, CallIds, Change, Expect, Key, Object, StoreCall, StoreReply, Version},
};
