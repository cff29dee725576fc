//! An HTTP/1.1 server: accept loop, connection limits and graceful shutdown.

mod accept;
mod caller;
mod framing;
mod limits;
mod writes;

pub use crate::{
    accept::{Handler, serve},
    caller::CallerConnection,
    limits::Limits,
    writes::{Cutoff, HeldBytes},
};
