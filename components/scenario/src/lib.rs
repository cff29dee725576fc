//! A small language for scripted scenarios, and their runner.
//!
//! A script sets up entries and targets, does things at times, causes faults
//! and says what it expects. Its processes are made of the library's machines
//! and run in the test bed; the bed's checker judges every run as well.

mod names;
mod node;
mod parse;
mod runner;
mod scene;
mod script;
mod target;
mod told;
mod traffic;

pub use crate::{
    parse::{Finding, ParseError, parse},
    runner::{Run, run},
    scene::ScriptScene,
    script::Script,
    told::{Ledger, Told},
    traffic::{Spent, Traffic},
};
