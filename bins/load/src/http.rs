//! Load tests of a running system over HTTP.

mod bench;
mod client;
mod drive;
mod usage;

pub use crate::http::{
    bench::{Bench, Line, Spent, run_bench},
    client::{ChatClient, Failure, Timing},
    drive::{Load, Measured, drive},
    usage::{Usage, read_usage},
};
