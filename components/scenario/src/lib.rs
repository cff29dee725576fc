//! A small language for scripted scenarios, and their runner.

mod names;
mod parse;
mod script;

pub use crate::{
    parse::{Finding, ParseError, parse},
    script::Script,
};
