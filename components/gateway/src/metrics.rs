//! Counters and histograms, served as text.

use std::{fs, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::fleet::Census;

/// Shortest time told apart by a histogram, in seconds.
const FIRST_BUCKET: f64 = 0.005;

/// Buckets of a histogram, each twice as long as the one before.
const BUCKETS: u16 = 12;

/// Where the system tells of this process's memory.
const STATUS: &str = "/proc/self/status";

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct End {
    /// How the request ended.
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Called {
    call: &'static str,
    reply: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct InState {
    state: &'static str,
}

/// Counters and histograms of one host.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<End, Counter>,
    retries: Family<Kind, Counter>,
    answers: Histogram,
    first: Histogram,
    queue: Histogram,
    pauses: Histogram,
    breaks: Counter,
    store_calls: Family<Called, Counter>,
    store_losses: Counter,
    windows: Counter,
    orders: Family<End, Counter>,
    targets: Family<InState, Gauge>,
    memory: Gauge,
    lines_lost: Gauge,
    /// Age of the view in milliseconds; -1 if there is none.
    pub(crate) view_age: Gauge,
    /// Hosts that serve callers, this one included.
    pub(crate) hosts: Gauge,
    /// Whether this host is ready.
    pub(crate) ready: Gauge,
}

impl Metrics {
    /// All at zero.
    pub(crate) fn new() -> Metrics {
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("chervilgate"),
            requests: Family::default(),
            retries: Family::default(),
            answers: times(),
            first: times(),
            queue: times(),
            pauses: times(),
            breaks: Counter::default(),
            store_calls: Family::default(),
            store_losses: Counter::default(),
            windows: Counter::default(),
            orders: Family::default(),
            targets: Family::default(),
            memory: Gauge::default(),
            lines_lost: Gauge::default(),
            view_age: Gauge::default(),
            hosts: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("retries", "Further attempts by kind", self.retries.clone());
        registry.register("answer_seconds", "Time to a whole answer", self.answers.clone());
        registry.register("first_event_seconds", "Time to a first event", self.first.clone());
        registry.register("queue_seconds", "Predicted wait at the target", self.queue.clone());
        registry.register("pause_seconds", "Pauses within streams", self.pauses.clone());
        registry.register("stream_breaks", "Streams broken off by targets", self.breaks.clone());
        registry.register("store_calls", "Calls to the store by reply", self.store_calls.clone());
        registry.register("store_losses", "Times the store was lost", self.store_losses.clone());
        registry.register("windows_reported", "Usage windows reported", self.windows.clone());
        registry.register("orders", "Orders for targets by outcome", self.orders.clone());
        registry.register("targets", "Targets by state", self.targets.clone());
        registry.register("memory_bytes", "Resident memory", self.memory.clone());
        registry.register("log_lines_lost", "Log lines left out", self.lines_lost.clone());
        registry.register("view_age_ms", "Age of the view", self.view_age.clone());
        registry.register("hosts", "Hosts that serve callers", self.hosts.clone());
        registry.register("ready", "Whether this host is ready", self.ready.clone());
    }

    /// Counts a request that ended.
    pub(crate) fn count_end(&self, end: &'static str) {
        self.requests.get_or_create(&End { end }).inc();
    }

    /// Counts a further attempt.
    pub(crate) fn count_retry(&self, kind: &'static str) {
        self.retries.get_or_create(&Kind { kind }).inc();
    }

    /// Times a whole answer, or a stream's first event.
    pub(crate) fn time(&self, is_stream: bool, span: Duration) {
        let times = if is_stream { &self.first } else { &self.answers };
        times.observe(span.as_secs_f64());
    }

    /// Takes in the wait that was predicted for a request, in milliseconds.
    pub(crate) fn time_queue(&self, wait: f64) {
        self.queue.observe(wait / 1e3);
    }

    /// Takes in the time between two events of a stream.
    pub(crate) fn time_pause(&self, span: Duration) {
        self.pauses.observe(span.as_secs_f64());
    }

    /// Counts a stream that its target broke off.
    pub(crate) fn count_break(&self) {
        self.breaks.inc();
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, call: &'static str, reply: &'static str) {
        self.store_calls.get_or_create(&Called { call, reply }).inc();
    }

    /// Counts a loss of the store.
    pub(crate) fn count_store_loss(&self) {
        self.store_losses.inc();
    }

    /// Counts a usage window that was reported.
    pub(crate) fn count_window(&self) {
        self.windows.inc();
    }

    /// Counts an order for targets.
    pub(crate) fn count_order(&self, accepted: bool) {
        let end = if accepted { "accepted" } else { "refused" };
        self.orders.get_or_create(&End { end }).inc();
    }

    /// Takes over how many targets are in which state.
    pub(crate) fn set_targets(&self, census: Census) {
        let states = [
            ("serving", census.serving),
            ("draining", census.draining),
            ("failing", census.failing),
        ];
        for (state, count) in states {
            self.targets.get_or_create(&InState { state }).set(count.into());
        }
    }

    /// All of them as text; `lines_lost` are the log lines left out so far.
    pub(crate) fn text(&self, lines_lost: u64) -> String {
        self.lines_lost.set(i64::try_from(lines_lost).unwrap_or(i64::MAX));
        match resident() {
            Some(bytes) => {
                self.memory.set(bytes);
            }
            None => log::info!(target: "metrics", file = STATUS; "memory not known"),
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(target: "metrics", error:%; "metrics not written");
        }
        text
    }
}

/// Memory of this process in bytes.
fn resident() -> Option<i64> {
    let status = fs::read_to_string(STATUS).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
