//! Reads and writes the published configuration in the platform's store.
//!
//! The store's root object ([`chervilgate_coord::view::Root`]) refers to a
//! published snapshot and lists the withdrawn keys and the draining targets.
//! This crate converts it to and from [`chervilgate_model::Config`], for
//! processes that access the store directly.

mod published;
mod read;
mod write;

pub use crate::{
    published::{PublishedState, from_snapshot, to_snapshot},
    read::{ReadError, read_config, read_published},
    write::{RootWriter, WriteError},
};
