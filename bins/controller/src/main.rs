//! Stands as a candidate for the shards on one host.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use chervilgate_controller::{Controller, Settings, StartError};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Attempts to start, the first one counted.
const START_ATTEMPTS: u32 = 10;
/// Pause between two of them.
const START_PAUSE: Duration = Duration::from_millis(300);

/// Stands as a candidate for the shards on one host.
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
    let settings = match chervilgate_settings::start(&options.settings, options.check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "controller", error:%; "cannot run");
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
        log::warn!(target: "controller", "this incarnation is over; starting anew");
    }
    Ok(())
}

/// Starts a controller; its port may take a moment to become free again.
async fn start(settings: &Settings) -> Result<Controller, StartError> {
    let mut attempts = START_ATTEMPTS;
    loop {
        attempts -= 1;
        match Controller::start(settings.clone()).await {
            Err(error) if attempts > 0 => {
                log::warn!(target: "controller", error:%; "not started; trying again");
                sleep(START_PAUSE).await;
            }
            result => return result,
        }
    }
}
