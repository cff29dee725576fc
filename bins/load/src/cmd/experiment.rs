//! `chervilgate-load experiment NAME`

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use bpaf::{Parser, construct, long, positional};
use snafu::ResultExt;

use crate::{
    cmd::{Error, WriteSnafu},
    experiment::{self, Name, Options},
    plot,
    stats::Trace,
    table,
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    seed: u64,
    seeds: u64,
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
    trace: Option<PathBuf>,
    name: Name,
}

pub(super) fn options() -> impl Parser<ExperimentOptions> {
    let seed = long("seed").help("First seed").argument("N").fallback(1);
    let seeds = long("seeds").help("Number of seeds").argument("N").fallback(3);
    let json = long("json").help("Write the report as JSON").argument("FILE").optional();
    let plot = long("plot").help("Write plots as SVG").argument("DIR").optional();
    let trace = long("trace")
        .help("Write a trace of the first seed's requests as JSON")
        .argument("FILE")
        .optional();
    let name = positional("NAME").help("Experiment to run");
    construct!(ExperimentOptions { seed, seeds, json, plot, trace, name })
}

pub(super) fn run(options: &ExperimentOptions) -> Result<(), Error> {
    let report = experiment::run(
        options.name,
        &Options {
            seeds: (options.seed..options.seed + options.seeds.max(1)).collect(),
            scale: 1.0,
            trace: options.trace.is_some(),
        },
    );
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&report.figures()).unwrap_or_default();
        write_file(path, &text)?;
    }
    if let Some(dir) = &options.plot {
        std::fs::create_dir_all(dir).context(WriteSnafu { path: dir.display().to_string() })?;
        plot::draw(&report, dir)?;
    }
    if let Some(path) = &options.trace {
        let runs = report.rows.iter().zip(&report.runs);
        let traces: BTreeMap<&str, &[Trace]> = runs
            .filter_map(|(row, runs)| Some((row.name.as_str(), &*runs.run_stats.first()?.traces)))
            .collect();
        write_file(path, &serde_json::to_string(&traces).unwrap_or_default())?;
    }
    print!("{}", table::render(&report));
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).context(WriteSnafu { path: path.display().to_string() })
}
