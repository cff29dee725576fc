//! The commands of `chervilgate-load`.

mod experiment;

use bpaf::{OptionParser, Parser, construct};
use snafu::Snafu;

pub use crate::cmd::experiment::Experiment;

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs an experiment in virtual time.
    Experiment(Experiment),
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file could not be written.
    #[snafu(display("cannot write {path}: {source}"))]
    Write {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display("cannot draw {path}: {message}"))]
    Draw {
        /// The file.
        path: String,
        /// The cause.
        message: String,
    },
}

/// The parser of the command line.
pub fn command() -> OptionParser<Command> {
    let experiment = experiment::options().map(Command::Experiment);
    let experiment = experiment
        .to_options()
        .descr("Run the policy and its baselines in virtual time")
        .command("experiment");
    construct!([experiment]).to_options().descr("Load and experiments")
}

/// Runs a command.
///
/// # Errors
///
/// Any [`Error`] of the command.
pub fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Experiment(options) => experiment::run(&options),
    }
}
