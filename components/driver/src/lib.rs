//! Actors that run the coordination state machines of a process.
//!
//! The state machines do no I/O. The actors pass events to them, execute the actions
//! that they return through the client traits, and wake them at the times they ask for.

mod alarm;
mod authority;
mod gate;
mod identity;
mod probe;
mod view;

pub use crate::{
    alarm::WakeTimer,
    authority::{
        AuthorityActor, AuthorityArgs, AuthorityMessage, AuthorityStatus, OrderSender, OwnedShard,
    },
    gate::PeerListener,
    identity::IdentitySource,
    probe::{Prober, TcpProber, answer_probes},
    view::{EditOutcome, ViewActor, ViewArgs, ViewMessage, ViewUpdate},
};
