//! Messages between our own processes.
//!
//! Each message travels on a QUIC stream of its own, so none waits behind a
//! lost one, and both ends show certificates of the deployment's own authority.
//! A message may be lost; whoever sends it repeats it or does without.

mod identity;
mod message;
mod peers;

pub use crate::{
    identity::{Authority, Identity, IdentityError, PemFiles},
    message::{Ask, MESSAGE_LIMIT, Message, MessageError, Reply, WIRE_VERSION},
    peers::{Incoming, PeerCounts, Peers, WireError},
};
