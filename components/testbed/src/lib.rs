//! A bed for machines without I/O: virtual time, fakes, faults and a checker.
//!
//! Machines take part through [`Process`]; what stands outside the system
//! through [`Endpoint`]. The fakes are small and sit at the interfaces; the
//! bed is no simulator of a cluster. Every run repeats itself from its seed.

mod bed;
mod fault;
mod history;
mod network;
mod process;
mod queue;
mod store;

pub use crate::{
    bed::{Bed, Counts, Recorder, StoreMode, hosts::HostState},
    fault::{Fault, Spans, Strike},
    history::{CutCause, Entry, Fact, History, Outcome, RequestId},
    network::{HostId, Network, Place},
    process::{Answer, Birth, Endpoint, Factory, Input, Output, Process, Request},
    store::{FakeStore, Served},
};
