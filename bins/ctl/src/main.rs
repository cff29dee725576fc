//! The operators' command.
//!
//! Made for someone on call with a phone: short commands, output that fits 60
//! columns, a statement of what will change before anything risky, and errors
//! that say what to do next.

mod accept;
mod answer;
mod change;
mod cmd;
mod consent;
mod entries;
mod note;
mod options;
mod screen;
mod session;
mod settings;

use std::process::ExitCode;

use crate::{answer::Failure, options::command};

fn main() -> ExitCode {
    let command = command().run();
    env_logger::init();
    let json = command.common().json;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let failure = Failure::new(error.to_string(), "look at this machine's limits");
            return failure.print(json);
        }
    };
    match runtime.block_on(cmd::run(&command)) {
        Ok(answer) => answer.print(json),
        Err(failure) => failure.print(json),
    }
}
