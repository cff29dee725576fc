//! The experiments: a scenario, the schemes it compares, and its targets.

mod fleets;
mod orders;
mod poison;
mod report;
mod runs;
mod shift;
mod sites;
mod stale;
mod surge;
mod tenant;

use std::str::FromStr;

pub use crate::experiment::{
    report::{Figures, Report, Row, Spread, Verdict},
    runs::{Draw, Runs, draw, draw_with, run_all},
};

/// An experiment's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Name {
    /// The prompt share swings by half within minutes.
    Shift,
    /// Demand at three times the capacity.
    Surge,
    /// One organisation at ten times its share.
    Tenant,
    /// A zone of cheap targets vanishes.
    Reclaim,
    /// Load reports lag and stop.
    Stale,
    /// Requests that crash the engines that run them.
    Poison,
    /// Swings shorter than a cold start.
    Cold,
    /// Mtatsminda's deployment.
    Mtatsminda,
    /// Jadranska's deployment.
    Jadranska,
    /// The size to design for.
    Letter,
}

impl Name {
    /// Every experiment.
    pub const ALL: [(&'static str, Name); 10] = [
        ("shift", Name::Shift),
        ("surge", Name::Surge),
        ("tenant", Name::Tenant),
        ("reclaim", Name::Reclaim),
        ("stale", Name::Stale),
        ("poison", Name::Poison),
        ("cold", Name::Cold),
        ("mtatsminda", Name::Mtatsminda),
        ("jadranska", Name::Jadranska),
        ("letter", Name::Letter),
    ];
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

/// How an experiment is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Factor on the spans of time; 1 for the whole.
    pub scale: f64,
    /// Whether each request is traced.
    pub trace: bool,
}

/// Runs an experiment.
pub fn run(name: Name, options: &Options) -> Report {
    match name {
        Name::Shift => shift::run(options),
        Name::Surge => surge::run(options),
        Name::Tenant => tenant::run(options),
        Name::Reclaim => orders::reclaim(options),
        Name::Stale => stale::run(options),
        Name::Poison => poison::run(options),
        Name::Cold => orders::cold(options),
        Name::Mtatsminda => sites::mtatsminda(options),
        Name::Jadranska => sites::jadranska(options),
        Name::Letter => sites::letter(options),
    }
}
