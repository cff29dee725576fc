//! Command-line tool for load tests and experiments.

use std::process::ExitCode;

use chervilgate_load::cmd;

fn main() -> ExitCode {
    env_logger::init();
    let command = cmd::command().run();
    match cmd::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chervilgate-load: {error}");
            ExitCode::FAILURE
        }
    }
}
