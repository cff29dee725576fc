//! The experiments: each compares schemes in a scenario and checks the results against goals.

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
    runs::{Runs, SeedInput, run_all, seed_inputs, seed_inputs_with},
};

/// Identifies an experiment on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Name {
    /// The prefill share of the work alternates between 20% and 70%.
    Shift,
    /// Demand rises to three times the capacity.
    Surge,
    /// One organisation sends ten times its share.
    Tenant,
    /// All cheap targets of a zone are reclaimed.
    Reclaim,
    /// Load reports are delayed, then stop.
    Stale,
    /// Some requests crash every engine that runs them.
    Poison,
    /// Demand bursts are shorter than a cold start.
    Cold,
    /// A deployment as large as Mtatsminda's.
    Mtatsminda,
    /// A deployment as large as Jadranska's.
    Jadranska,
    /// The design size.
    DesignSize,
}

impl Name {
    /// Every experiment with its command-line name.
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
        ("letter", Name::DesignSize),
    ];
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Name, String> {
        let found = Name::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, name)| *name).ok_or_else(|| {
            let names: Vec<&str> = Name::ALL.iter().map(|(name, _)| *name).collect();
            format!("unknown experiment; expected one of: {}", names.join(", "))
        })
    }
}

/// Options of an experiment run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seeds of the workload; each scheme runs once with each.
    pub seeds: Vec<u64>,
    /// Factor on the time spans; 1 for the full length.
    pub scale: f64,
    /// Whether to record a trace of each request.
    pub trace: bool,
}

/// Runs an experiment with each of its schemes and each seed.
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
        Name::DesignSize => sites::design_size(options),
    }
}
