//! Timestamps and the system clock.
//!
//! State machines take the current time as an argument and never read a clock, so
//! that tests can run them in virtual time. Daemons read [`BootClock`], which keeps
//! counting while the host is suspended: a lease held across a suspension must
//! expire.

mod boottime;
mod time;

pub use crate::{
    boottime::{BootClock, Clock},
    time::Time,
};
