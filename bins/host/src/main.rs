//! Runs one gateway host on the users' platform.

use std::{
    env,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bpaf::Bpaf;
use chervilgate_gateway::{Dependencies, DutyClients, Host, HostSettings, LostLines};
use chervilgate_platform::{
    PlatformDecoder, PlatformDutyClient, PlatformProtocol, PlatformStore, SETTINGS_VAR,
    read_settings,
};
use chervilgate_telemetry::{DroppedLines, dropped_lines, flush_logs, init_logging};
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};

/// Version of the program, and the revision of the sources that it was built from.
const BUILD: &str = concat!(env!("CARGO_PKG_VERSION"), "+", env!("CHERVILGATE_REVISION"));

/// Serves callers on one host, and reports usage and orders targets while this host holds the
/// duty lease.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version(BUILD))]
struct Options {
    /// Checks the settings and exits
    check: bool,
    /// Port on which metrics are served at /metrics
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Error of the time of day at the start, in milliseconds; for tests only
    #[bpaf(argument("MS"), fallback(0))]
    clock_error_ms: i64,
    /// Settings file, as written by the platform; defaults to the path in CHERVILGATE_NODE_FILE
    #[bpaf(positional("SETTINGS"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    init_logging();
    let code = start(options);
    flush_logs();
    code
}

fn start(options: Options) -> ExitCode {
    let path = options.settings.or_else(|| env::var_os(SETTINGS_VAR).map(PathBuf::from));
    let Some(path) = path else {
        log::error!(target: "host", variable = SETTINGS_VAR; "no settings file given");
        return ExitCode::FAILURE;
    };
    let mut settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(target: "host", error:%; "cannot load the settings");
            return ExitCode::FAILURE;
        }
    };
    settings.metrics_addr =
        options.metrics.map(|port| SocketAddr::new(settings.caller_addr.ip(), port));
    if options.check {
        return ExitCode::SUCCESS;
    }
    match run(settings, time_of_day(options.clock_error_ms)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "host", error:%; "cannot run the host");
            ExitCode::FAILURE
        }
    }
}

/// Time since 1970 by this machine's clock, plus `error` milliseconds.
fn time_of_day(error: i64) -> Duration {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH);
    let clock = clock.unwrap_or_else(|error| {
        log::error!(target: "host", error:%; "the clock is before 1970; it counts as 1970");
        Duration::ZERO
    });
    let error_span = Duration::from_millis(error.unsigned_abs());
    if error < 0 { clock.saturating_sub(error_span) } else { clock + error_span }
}

fn run(settings: HostSettings, time_of_day: Duration) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(serve(settings, time_of_day));
    let ended = Instant::now();
    drop(runtime);
    // What is still open closes here, which counts towards the grace period.
    log::info!(target: "host", ms = ended.elapsed().as_millis() as u64; "connections and tasks dropped");
    result
}

fn lines_lost() -> LostLines {
    let DroppedLines { info, warn, sent, queue } = dropped_lines();
    LostLines { info, warn, sent, queue }
}

async fn serve(
    settings: HostSettings,
    time_of_day: Duration,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let duty_client =
        settings.duties_addr.map(|addr| PlatformDutyClient::new(addr, &settings.name));
    let dependencies = Dependencies {
        protocol: Arc::new(PlatformProtocol),
        decoder: Arc::new(PlatformDecoder),
        store: Arc::new(PlatformStore::new(settings.store_addr)),
        lines_lost,
        build: BUILD,
        time_of_day,
        duties: duty_client.map(|client| DutyClients {
            reports: Arc::new(client.clone()),
            orders: Arc::new(client),
        }),
    };
    let host = Host::start(settings, dependencies).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!(target: "host", "SIGHUP ignored: settings not reloaded"),
        }
    }
    host.stop().await;
    Ok(())
}
