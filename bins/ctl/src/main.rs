//! The operators' command.
//!
//! It must be usable on call from a phone: commands are short, output fits 60
//! columns, a risky change is described before it is made, and each error says
//! what to do next.

mod acceptance;
mod admin;
mod change;
mod cmd;
mod consent;
mod context;
mod note;
mod options;
mod output;
mod settings;
mod wrapped_text;

use std::process::ExitCode;

use crate::{options::command, output::Failure};

fn main() -> ExitCode {
    let command = command().run();
    env_logger::init();
    let json = command.common().json;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let failure = Failure::new(error.to_string(), "check this machine's resource limits");
            return failure.print(json);
        }
    };
    match runtime.block_on(cmd::run(&command)) {
        Ok(output) => output.print(json),
        Err(failure) => failure.print(json),
    }
}
