//! Runs one host of the gateway on the users' platform.

use std::{env, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc};

use bpaf::Bpaf;
use chervilgate_gateway::{DutyCalls, Host, HostSettings, Outside};
use chervilgate_platform::{
    PlatformDecoder, PlatformDuties, PlatformProtocol, PlatformStore, SETTINGS_VAR, read_settings,
};
use chervilgate_telemetry::{finish_logs, lines_lost, start_logs};
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};

/// Serves callers on one host, and stands for the duties of one host at a time.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Only checks the settings
    check: bool,
    /// Port on which metrics are served under /metrics
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Settings as the platform writes them; by default the file that the
    /// environment names
    #[bpaf(positional("SETTINGS"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    start_logs();
    let code = start(options);
    finish_logs();
    code
}

fn start(options: Options) -> ExitCode {
    let path = options.settings.or_else(|| env::var_os(SETTINGS_VAR).map(PathBuf::from));
    let Some(path) = path else {
        log::error!(target: "host", variable = SETTINGS_VAR; "no settings file is named");
        return ExitCode::FAILURE;
    };
    let mut settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(target: "host", error:%; "cannot use the settings");
            return ExitCode::FAILURE;
        }
    };
    settings.metrics = options.metrics.map(|port| SocketAddr::new(settings.callers.ip(), port));
    if options.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "host", error:%; "cannot run");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: HostSettings) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: HostSettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let duties = settings.duties.map(|addr| PlatformDuties::new(addr, &settings.name));
    let outside = Outside {
        protocol: Arc::new(PlatformProtocol),
        decoder: Arc::new(PlatformDecoder),
        store: Arc::new(PlatformStore::new(settings.store)),
        lines_lost,
        duties: duties.map(|duties| DutyCalls {
            reports: Arc::new(duties.clone()),
            orders: Arc::new(duties),
        }),
    };
    let host = Host::start(settings, outside).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!(target: "host", "reload: nothing to change"),
        }
    }
    host.stop().await;
    Ok(())
}
