//! The experiments: a scenario, the schemes it compares, and its targets.

mod fleets;
mod report;
mod runs;
mod shift;

use std::str::FromStr;

pub use crate::experiment::{
    report::{Figures, Report, Row, Spread, Verdict},
    runs::{Runs, run_all},
};

/// An experiment's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Name {
    /// The prompt share swings by half within minutes.
    Shift,
}

impl Name {
    /// Every experiment.
    pub const ALL: [(&'static str, Name); 1] = [("shift", Name::Shift)];
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Name, String> {
        let found = Name::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, name)| *name).ok_or_else(|| {
            let names: Vec<&str> = Name::ALL.iter().map(|(name, _)| *name).collect();
            format!("no such experiment; there are: {}", names.join(", "))
        })
    }
}

/// Runs an experiment; `scale` shortens its span, 1 for the whole.
pub fn run(name: Name, seeds: &[u64], scale: f64) -> Report {
    match name {
        Name::Shift => shift::run(seeds, scale),
    }
}
