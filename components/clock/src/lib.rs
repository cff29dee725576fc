//! Time as a value.
//!
//! Code that decides takes the present time as an argument and never reads a
//! clock, so that tests run it in virtual time. Daemons read [`Clock`], which
//! goes on counting while the machine is suspended: a lease held across a
//! suspension must be seen to have lapsed.

mod boottime;
mod time;

pub use crate::{
    boottime::{BootClock, Clock},
    time::Time,
};
