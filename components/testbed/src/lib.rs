//! Deterministic tests for state machines without I/O: virtual time, fake services,
//! fault injection and a checker of the recorded history.
//!
//! State machines run behind [`Process`]; engines, the platform and services that
//! they call are fakes behind [`Endpoint`]. Only these interfaces are simulated, not
//! a whole cluster. A seed reproduces its run exactly.

mod bed;
mod check;
mod fault;
mod history;
mod matrix;
mod network;
mod owner;
mod process;
mod queue;
mod receiver;
mod scene;
mod store;
mod world;

pub use crate::{
    bed::{
        Bed, Counts, Recorder, StoreMode,
        hosts::{HostState, addr_of},
    },
    check::{Breach, Promise, Report, check},
    fault::{Fault, Spans, Strike},
    history::{CutCause, Entry, Fact, History, Outcome, RequestId},
    matrix::{
        Cell, Failure, MATRIX_SEED, MatrixReport, Scene, pair_cells, run_cell, run_cells,
        single_cells,
    },
    network::{HostId, Network, Place},
    owner::{
        Owner, OwnerSetting, REPLACEMENT_LIMIT, ReceiverSetting, ReclaimNews, order_reply,
        record_receivers, translate,
    },
    process::{Answer, Birth, Endpoint, Factory, Input, Output, Process, Request},
    receiver::{FakeEngine, FakePlatform},
    scene::{AuthorityScene, override_vanished},
    store::{FakeStore, Served},
    world::{WorldSetting, build_world},
};
