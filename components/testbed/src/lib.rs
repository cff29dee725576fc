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
        Recorder, StoreMode, Testbed, TrafficCounts,
        hosts::{HostState, addr_of},
    },
    check::{Promise, Report, Violation, check},
    fault::{Fault, FaultDurations, FaultInjection},
    history::{CutCause, Entry, Fact, History, Outcome, RequestId},
    matrix::{
        Failure, MATRIX_SEED, MatrixCell, MatrixReport, Scene, pair_cells, run_cell, run_cells,
        single_cells,
    },
    network::{HostId, Network, Place},
    owner::{
        Owner, OwnerSetting, REPLACEMENT_LIMIT, ReceiverSetting, ReclaimNotice, append_outputs,
        order_reply, receiver_fact,
    },
    process::{Answer, Endpoint, Factory, Input, Output, Process, ProcessContext, Request},
    receiver::{FakeEngine, FakePlatform},
    scene::{AuthorityScene, override_lost_hosts},
    store::{FakeStore, StoreOutcome},
    world::{OwnersSetting, build_owners},
};
