//! The commands of `chervilgate-load`.

mod bench;
mod capacity;
mod experiment;
mod http;

use bpaf::{OptionParser, Parser, construct};
use snafu::Snafu;

pub use crate::cmd::{
    bench::BenchOptions, capacity::CapacityOptions, experiment::ExperimentOptions,
    http::HttpOptions,
};

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs an experiment in virtual time.
    Experiment(ExperimentOptions),
    /// Drives a running system over HTTP.
    Http(HttpOptions),
    /// Compares requests through an entry with requests sent directly to the engines.
    Bench(BenchOptions),
    /// Measures growth with size, for docs/CAPACITY.md.
    Capacity(CapacityOptions),
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file or directory could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    Write {
        /// Path of the file or directory.
        path: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display("cannot draw {path}: {message}"))]
    Draw {
        /// Path of the plot.
        path: String,
        /// Description of the cause.
        message: String,
    },
    /// A run could not start, or found wrong answers.
    #[snafu(display("{message}"))]
    Failed {
        /// Description of the cause.
        message: String,
    },
}

/// Returns the parser of the command line.
pub fn command() -> OptionParser<Command> {
    let experiment = experiment::options().map(Command::Experiment);
    let experiment = experiment
        .to_options()
        .descr("Run the policy and its baselines in virtual time")
        .command("experiment");
    let http = http::options().map(Command::Http).to_options();
    let http = http.descr("Send load to a running system and check each answer").command("http");
    let bench = bench::options().map(Command::Bench).to_options();
    let bench =
        bench.descr("Compare an entry with direct requests to the engines").command("bench");
    let capacity = capacity::options().map(Command::Capacity).to_options();
    let capacity = capacity
        .descr("Measure growth with size and extrapolate it to the design size")
        .command("capacity");
    construct!([experiment, http, bench, capacity])
        .to_options()
        .descr("Run load tests and experiments")
}

/// Runs a command.
///
/// # Errors
///
/// The [`Error`] of the command.
pub fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Experiment(options) => experiment::run(&options),
        Command::Http(options) => http::run(options),
        Command::Bench(options) => bench::run(&options),
        Command::Capacity(options) => capacity::run(&options),
    }
}
