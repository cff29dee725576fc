//! The `chervilgate-entry` program: serves callers on one host.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use chervilgate_entry::{Entry, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Serves callers on one host.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Only checks the settings
    check: bool,
    /// Settings in JSON
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    env_logger::init();
    let settings = match chervilgate_settings::load_or_exit(&options.settings, options.check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "entry", error:%; "entry failed");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let entry = Entry::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    entry.stop().await;
    Ok(())
}
