//! Serving HTTP: the accept loop, its limits and its graceful stop.

mod accept;
mod framing;
mod limits;

pub use crate::{
    accept::{Handler, serve},
    limits::Limits,
};
