//! A candidate owner of shards; one runs on every entry host.
//!
//! Whichever controllers own the shards at a time give the orders: changes of
//! engines' roles, orders for targets, reports of usage. Everything goes out
//! under an intent of the coordination library, and whatever has to outlast a
//! controller is kept in the platform's store.

mod admin_api;
mod controller;
mod drains;
mod duty;
mod orders;
mod placements;
mod settings;
mod shards;
mod windows;

pub use crate::{
    controller::{Controller, StartError},
    settings::Settings,
};
