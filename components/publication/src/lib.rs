//! The published configuration in the platform's store.
//!
//! What is in force is the root of [`chervilgate_coord::view`]: a published
//! snapshot, the withdrawn keys and the draining targets. This crate joins it
//! with the aggregates of [`chervilgate_model`], for processes that talk to
//! the store directly.

mod published;
mod read;
mod write;

pub use crate::{
    published::{Published, from_snapshot, to_snapshot},
    read::{ReadError, read_config, read_published},
    write::{RootWriter, WriteError},
};
