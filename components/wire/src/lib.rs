//! Messages between the processes of a deployment, over QUIC.
//!
//! Each message has its own QUIC stream, so a lost packet delays no other message.
//! Both ends authenticate with certificates of the deployment's own certificate
//! authority. A message may be lost; senders repeat it or tolerate the loss.

mod identity;
mod message;
mod peers;

pub use crate::{
    identity::{CertificateAuthority, Identity, IdentityError, PemFiles},
    message::{MAX_MESSAGE_SIZE, Message, MessageError, PeerRequest, Reply, WIRE_VERSION},
    peers::{Incoming, MessageCounts, Peers, WireError},
};
