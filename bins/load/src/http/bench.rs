//! Compares requests through one entry with requests sent directly to the engines.
//!
//! The entry shares the process with the callers and engine stand-ins, but runs on threads
//! of its own, so its CPU time can be read by thread name. Runs with short and with long
//! answers separate the cost of a request from the cost of a token.

use std::{net::SocketAddr, time::Duration};

use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::CertificateAuthority;
use tokio::runtime::{Builder, Runtime};

use crate::http::{
    client::ChatClient,
    drive::{LoadResults, LoadSpec, drive},
    usage::read_usage,
};

/// Number of engine stand-ins behind the entry.
const ENGINES: usize = 60;

/// Name of the entry's worker threads.
const ENTRY_THREADS: &str = "entry-host";

/// Numbers of worker threads of the entry and of the callers.
const WORKERS: [usize; 2] = [2, 3];

/// Numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [1, 100, 2_000];

/// Length of a long answer, in tokens.
const LONG_ANSWER_TOKENS: u64 = 40;

/// Minimum number of answers from which the cost of one can be computed, as CPU time is counted in
/// ticks of 10 ms.
const MIN_ANSWERS: u64 = 100;

/// Maximum time for the entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests and tokens a second of one node at the design size.
const NODE_SHARE: [f64; 2] = [11.0, 2_900.0];

/// Number of nodes' shares of the load that one core should handle.
const SHARES_PER_CORE: f64 = 10.0;

/// Results of the benchmark.
#[derive(Debug)]
pub struct Bench {
    /// CPU time of the idle entry, in milliseconds a second.
    pub idle: f64,
    /// Results for each number of streams.
    pub rows: Vec<BenchRow>,
}

/// Results at one number of streams.
#[derive(Debug)]
pub struct BenchRow {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Requests sent directly to the engines.
    pub direct: LoadResults,
    /// Requests through the entry.
    pub entry: LoadResults,
    /// Cost at the entry; None if there were too few answers to compute it.
    pub cost: Option<EntryCost>,
}

/// CPU time and memory that the entry uses.
#[derive(Debug, Clone, Copy)]
pub struct EntryCost {
    /// CPU time per request without its tokens, in microseconds.
    pub request_us: f64,
    /// CPU time per streamed token, in microseconds.
    pub token_us: f64,
    /// Additional memory of the process per stream, in bytes.
    pub stream_bytes: f64,
}

impl EntryCost {
    /// Cores that ten nodes' shares of the load at the design size need.
    pub fn cores_for_ten_nodes(&self) -> f64 {
        let [requests, tokens] = NODE_SHARE;
        (requests * self.request_us + tokens * self.token_us) * SHARES_PER_CORE / 1e6
    }
}

/// A run and the entry's resource use during it.
struct CostedRun {
    results: LoadResults,
    /// CPU time of the entry less that of an idle one, in microseconds.
    cpu_us: f64,
    /// Resident memory of the process halfway through the run, in bytes.
    memory: u64,
}

/// Runs the benchmark; each measurement takes `span`.
///
/// # Errors
///
/// A message, if the entry or a stand-in cannot be set up.
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
        let idle = measure_idle(span).await;
        let key = Some(secret.expose().to_owned());
        let entry_clients = [client(entry.addr(), key)?];
        let engines = deployment.engines.iter().flatten();
        let direct_clients: Result<Vec<ChatClient>, String> =
            engines.map(|engine| client(engine.addr(), None)).collect();
        let direct_clients = direct_clients?;
        let mut rows = Vec::new();
        for streams in STREAM_COUNTS {
            rows.push(measure_row(&direct_clients, &entry_clients, streams, span, idle).await);
        }
        handle.spawn(entry.stop()).await.map_err(|error| error.to_string())?;
        Ok(Bench { idle: idle * 1e3, rows })
    })
}

async fn measure_row(
    direct_clients: &[ChatClient],
    entry_clients: &[ChatClient],
    streams: usize,
    span: Duration,
    idle: f64,
) -> BenchRow {
    let load = LoadSpec { streams, span, tokens: LONG_ANSWER_TOKENS };
    let direct = measure_run(direct_clients, load, idle).await;
    let long = measure_run(entry_clients, load, idle).await;
    let short = measure_run(entry_clients, LoadSpec { tokens: 1, ..load }, idle).await;
    let cpu_per_answer = |run: &CostedRun| run.cpu_us / run.results.answers.max(1) as f64;
    let token_us = ((cpu_per_answer(&long) - cpu_per_answer(&short))
        / (LONG_ANSWER_TOKENS - 1) as f64)
        .max(0.0);
    let cost = EntryCost {
        request_us: (cpu_per_answer(&short) - token_us).max(0.0),
        token_us,
        stream_bytes: (long.memory as f64 - direct.memory as f64) / streams as f64,
    };
    let has_enough_answers = long.results.answers >= MIN_ANSWERS;
    BenchRow {
        streams,
        cost: has_enough_answers.then_some(cost),
        direct: direct.results,
        entry: long.results,
    }
}

async fn measure_run(clients: &[ChatClient], load: LoadSpec, idle: f64) -> CostedRun {
    let before = read_usage(ENTRY_THREADS);
    let memory_halfway = tokio::spawn(async move {
        tokio::time::sleep(load.span / 2).await;
        read_usage(ENTRY_THREADS).memory
    });
    let results = drive(clients, load).await;
    let cpu = read_usage(ENTRY_THREADS).cpu.saturating_sub(before.cpu).as_secs_f64();
    let entry_cpu = (cpu - idle * results.elapsed.as_secs_f64()).max(0.0);
    CostedRun { results, cpu_us: entry_cpu * 1e6, memory: memory_halfway.await.unwrap_or(0) }
}

/// CPU time of the entry without callers, in seconds a second.
async fn measure_idle(span: Duration) -> f64 {
    let before = read_usage(ENTRY_THREADS);
    tokio::time::sleep(span).await;
    let cpu = read_usage(ENTRY_THREADS).cpu.saturating_sub(before.cpu);
    cpu.as_secs_f64() / span.as_secs_f64()
}

fn settings(deployment: &Deployment) -> Result<Settings, String> {
    let authority = CertificateAuthority::generate().map_err(|error| error.to_string())?;
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
    let waited = tokio::time::timeout(READY_TIMEOUT, ready).await;
    waited.map_err(|_| "the entry did not become ready in time".to_owned())
}

fn client(addr: SocketAddr, key: Option<String>) -> Result<ChatClient, String> {
    ChatClient::new(&format!("http://{addr}"), key, "m1").map_err(|error| error.to_string())
}

fn runtime(name: &str, workers: usize) -> Result<Runtime, String> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(workers).thread_name(name).enable_all();
    builder.build().map_err(|error| error.to_string())
}
