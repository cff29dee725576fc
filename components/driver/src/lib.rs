//! Running the coordination machines in a process.
//!
//! The machines do no I/O; the actors here hand them events, carry their
//! actions out against the traits of the clients, and wake them in time.

mod alarm;
mod authority;
mod gate;
mod identity;
mod probe;
mod view;

pub use crate::{
    alarm::Alarm,
    authority::{
        AuthorityActor, AuthorityArgs, AuthorityMessage, AuthorityStatus, OrderSender, OwnedShard,
    },
    gate::Gate,
    identity::IdentitySource,
    probe::{Prober, TcpProber, answer_probes},
    view::{EditOutcome, ViewActor, ViewArgs, ViewMessage, ViewUpdate},
};
