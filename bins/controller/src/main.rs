//! Runs the controller of one host.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use chervilgate_controller::{Controller, Settings, StartError};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Maximum attempts to start, including the first.
const MAX_START_ATTEMPTS: u32 = 10;
/// Delay between two attempts to start.
const START_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Runs the controller of one host.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Check the settings and exit
    check: bool,
    /// Settings file in JSON
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
            log::error!(target: "controller", error:%; "the controller failed to start");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        let mut controller = start(&settings).await?;
        tokio::select! {
            _ = terminate.recv() => break controller.stop().await,
            _ = interrupt.recv() => break controller.stop().await,
            () = controller.wait_ended() => controller.kill(),
        }
        log::warn!(target: "controller", "this incarnation has ended; starting a new one");
    }
    Ok(())
}

/// Starts a controller, with retries because the ports of the previous incarnation may not
/// be free yet.
async fn start(settings: &Settings) -> Result<Controller, StartError> {
    let mut attempts = MAX_START_ATTEMPTS;
    loop {
        attempts -= 1;
        match Controller::start(settings.clone()).await {
            Err(error) if attempts > 0 => {
                log::warn!(target: "controller", error:%; "start failed; retrying");
                sleep(START_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
