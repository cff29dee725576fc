//! The whole path in one process, against the stand-ins.

mod act;
mod cast;
mod ledger;
mod load;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match act::run().await {
        Ok(ledger) => {
            println!("{ledger}");
            if ledger.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("the demo could not be run: {error}");
            ExitCode::FAILURE
        }
    }
}
