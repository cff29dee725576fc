//! A small language for scripted scenarios, and their runner.
//!
//! A script sets up entries and targets, does things at times, causes faults
//! and says what it expects. Its processes are made of the library's machines
//! and run in the test bed; the bed's checker judges every run as well.

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
