//! Runs a whole deployment in one process against stand-ins, injects faults and
//! prints which guarantees held.

mod cluster;
mod guarantees;
mod load;
mod steps;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match steps::run().await {
        Ok(ledger) => {
            println!("{ledger}");
            if ledger.all_hold() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("the demo could not be run: {error}");
            ExitCode::FAILURE
        }
    }
}
