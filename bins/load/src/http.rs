//! Load tests of a running system over HTTP.

mod bench;
mod client;
mod drive;
mod usage;

pub use crate::http::{
    bench::{Bench, BenchRow, EntryCost, run_bench},
    client::{ChatClient, Failure, TokenTiming},
    drive::{LoadResults, LoadSpec, drive},
    usage::{Usage, read_usage},
};
