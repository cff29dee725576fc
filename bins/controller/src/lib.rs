//! The controller, a candidate for the ownership of shards; one runs on every entry host.
//!
//! The current owner of a shard issues its orders: orders to engines, orders for
//! targets and usage reports. Each order is sent under an intent of the
//! coordination library, and all state that must outlive a controller is kept in
//! the object store of the platform.

mod admin_api;
mod controller;
mod drains;
mod orders;
mod placements;
mod settings;
mod shards;
mod windows;
mod worker;

pub use crate::{
    controller::{Controller, StartError},
    settings::Settings,
};
