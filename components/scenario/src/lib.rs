//! Parser and runner for scenario scripts.
//!
//! A script declares entry hosts, targets and keys, schedules requests,
//! operator commands and faults, and lists expectations. Its processes combine
//! the state machines of `chervilgate-coord` and run in the test bed, whose
//! invariant checker also examines every run.

mod names;
mod node;
mod operator_log;
mod parse;
mod runner;
mod scene;
mod script;
mod target;
mod traffic;

pub use crate::{
    operator_log::{OperatorEvent, OperatorLog},
    parse::{Finding, ParseError, parse},
    runner::{Run, run},
    scene::ScriptScene,
    script::Script,
    traffic::{ControlTraffic, TrafficTotals},
};
