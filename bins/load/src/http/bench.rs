//! One entry against going straight to the engines, in one run.
//!
//! Entry, callers and engine stand-ins share the process, on threads of their own,
//! so that the entry's processor time is told from theirs by the threads' name.
//! Short answers and long ones tell the cost of a request from that of a token.

use std::{net::SocketAddr, time::Duration};

use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::Authority;
use tokio::runtime::{Builder, Runtime};

use crate::http::{
    client::ChatClient,
    drive::{Load, Measured, drive},
    usage::read_usage,
};

/// Engine stand-ins behind the entry.
const ENGINES: usize = 60;

/// Name of the entry's threads.
const ENTRY_THREADS: &str = "entry-host";

/// Worker threads of the entry, and of the callers.
const WORKERS: [usize; 2] = [2, 3];

/// Streams that run side by side.
const STREAMS: [usize; 3] = [1, 100, 2_000];

/// Tokens of a long answer.
const TOKENS: u64 = 40;

/// Answers that tell the cost of one: processor time is counted in ticks of 10 ms.
const ENOUGH: u64 = 100;

/// Time for the entry to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Requests and tokens a second of a node's share at the design size.
const NODE_SHARE: [f64; 2] = [11.0, 2_900.0];

/// Shares of a node that one core should carry.
const SHARES: f64 = 10.0;

/// The benchmark's figures.
#[derive(Debug)]
pub struct Bench {
    /// Processor time of the idle entry, in milliseconds a second.
    pub idle: f64,
    /// One line for each number of streams.
    pub lines: Vec<Line>,
}

/// The figures at one number of streams.
#[derive(Debug)]
pub struct Line {
    /// Streams side by side.
    pub streams: usize,
    /// Straight to the engines.
    pub direct: Measured,
    /// Through the entry.
    pub entry: Measured,
    /// What the entry spends, where enough answers came to tell.
    pub spent: Option<Spent>,
}

/// What an entry spends.
#[derive(Debug, Clone, Copy)]
pub struct Spent {
    /// Processor time a request, without its tokens, in microseconds.
    pub request_us: f64,
    /// Processor time a streamed token, in microseconds.
    pub token_us: f64,
    /// Memory of the process added a stream, in bytes.
    pub stream_bytes: f64,
}

impl Spent {
    /// Share of a core that ten node's shares at the design size take.
    pub fn core_share(&self) -> f64 {
        let [requests, tokens] = NODE_SHARE;
        (requests * self.request_us + tokens * self.token_us) * SHARES / 1e6
    }
}

/// A run through the entry, with what it cost.
struct Costed {
    measured: Measured,
    /// Processor time, less that of the idle entry, in microseconds.
    cpu_us: f64,
    memory: u64,
}

/// Runs the benchmark, `span` for each of its parts.
///
/// # Errors
///
/// What failed, as text.
pub fn run_bench(span: Duration) -> Result<Bench, String> {
    let entry_runtime = runtime(ENTRY_THREADS, WORKERS[0])?;
    let load_runtime = runtime("callers", WORKERS[1])?;
    let handle = entry_runtime.handle().clone();
    load_runtime.block_on(async {
        let spec = EngineSpec {
            prefill_time: Duration::from_millis(20),
            token_time: Duration::from_millis(50),
            ..EngineSpec::default()
        };
        let mut deployment =
            Deployment::start(ENGINES, 1, &spec).map_err(|error| error.to_string())?;
        let (secret, _) = deployment.add_organisation("mtatsminda");
        deployment.publish().await.map_err(|error| error.to_string())?;
        let settings = settings(&deployment)?;
        let start = handle.spawn(Entry::start(settings)).await;
        let entry = start.map_err(|error| error.to_string())?.map_err(|error| error.to_string())?;
        wait_ready(entry.addr()).await?;
        let idle = idle_share(span).await;
        let key = Some(secret.expose().to_owned());
        let through = [client(entry.addr(), key)?];
        let engines = deployment.engines.iter().flatten();
        let straight: Result<Vec<ChatClient>, String> =
            engines.map(|engine| client(engine.addr(), None)).collect();
        let straight = straight?;
        let mut lines = Vec::new();
        for streams in STREAMS {
            lines.push(measure(&straight, &through, streams, span, idle).await);
        }
        handle.spawn(entry.stop()).await.map_err(|error| error.to_string())?;
        Ok(Bench { idle: idle * 1e3, lines })
    })
}

async fn measure(
    straight: &[ChatClient],
    through: &[ChatClient],
    streams: usize,
    span: Duration,
    idle: f64,
) -> Line {
    let load = Load { streams, span, tokens: TOKENS };
    let direct = costed(straight, load, idle).await;
    let long = costed(through, load, idle).await;
    let short = costed(through, Load { tokens: 1, ..load }, idle).await;
    let each = |run: &Costed| run.cpu_us / run.measured.answers.max(1) as f64;
    let token_us = ((each(&long) - each(&short)) / (TOKENS - 1) as f64).max(0.0);
    let spent = Spent {
        request_us: (each(&short) - token_us).max(0.0),
        token_us,
        stream_bytes: (long.memory as f64 - direct.memory as f64) / streams as f64,
    };
    let enough = long.measured.answers >= ENOUGH;
    Line { streams, spent: enough.then_some(spent), direct: direct.measured, entry: long.measured }
}

async fn costed(clients: &[ChatClient], load: Load, idle: f64) -> Costed {
    let before = read_usage(ENTRY_THREADS);
    let midway = tokio::spawn(async move {
        tokio::time::sleep(load.span / 2).await;
        read_usage(ENTRY_THREADS).memory
    });
    let measured = drive(clients, load).await;
    let cpu = read_usage(ENTRY_THREADS).cpu.saturating_sub(before.cpu).as_secs_f64();
    let own = (cpu - idle * measured.elapsed.as_secs_f64()).max(0.0);
    Costed { measured, cpu_us: own * 1e6, memory: midway.await.unwrap_or(0) }
}

/// Processor time of the entry without callers, a second.
async fn idle_share(span: Duration) -> f64 {
    let before = read_usage(ENTRY_THREADS);
    tokio::time::sleep(span).await;
    let cpu = read_usage(ENTRY_THREADS).cpu.saturating_sub(before.cpu);
    cpu.as_secs_f64() / span.as_secs_f64()
}

fn settings(deployment: &Deployment) -> Result<Settings, String> {
    let authority = Authority::generate().map_err(|error| error.to_string())?;
    let identity = authority.issue("h1").map_err(|error| error.to_string())?;
    Ok(Settings::new("h1", "a", deployment.platform.addr(), identity))
}

async fn wait_ready(entry: SocketAddr) -> Result<(), String> {
    let caller = Caller::without_key();
    let ready = async {
        loop {
            let answer = caller.get(entry, "/readyz").await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(READY_LIMIT, ready).await;
    waited.map_err(|_| "the entry was not ready in time".to_owned())
}

fn client(addr: SocketAddr, key: Option<String>) -> Result<ChatClient, String> {
    ChatClient::new(&format!("http://{addr}"), key, "m1").map_err(|error| error.to_string())
}

fn runtime(name: &str, workers: usize) -> Result<Runtime, String> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(workers).thread_name(name).enable_all();
    builder.build().map_err(|error| error.to_string())
}
