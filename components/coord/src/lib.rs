//! Coordination protocols for processes without persistent state of their own.
//!
//! All persistent state is kept in one versioned object store with conditional
//! updates. The protocols are state machines without I/O and without a clock:
//! each takes the current time and an event, and returns actions. A driver carries
//! out the actions and passes the results back.

mod authority;
pub mod budget;
pub mod claim;
mod codec;
mod document;
pub mod drain;
mod guards;
mod ident;
pub mod intent;
pub mod membership;
mod observer;
mod order;
mod outbox;
pub mod publication;
mod rank;
pub mod session;
pub mod shard;
mod step;
mod store;
mod takeover;
pub mod target_order;
mod terms;
pub mod view;
pub mod window;

pub use crate::{
    authority::{Authority, AuthorityConfig, Event},
    codec::{DecodeError, decode, encode},
    document::{Access, Document, EditId, Editor, EditorAction, EditorActions},
    guards::Guards,
    ident::{Incarnation, Node, Zone},
    order::{Epoch, FencingToken, Order, OrderId, OrderReply, ProbeReply, ReceiverId, ShardId},
    outbox::{Action, Actions, Notice},
    step::{Protocol, Step},
    store::{CallId, CallIds, Change, Expect, Key, Object, StoreCall, StoreReply, Version},
    takeover::{OVERRIDE_PREFIX, Proof, override_key},
    terms::Timings,
};
