//! Counters and histograms, served as text.

use std::time::Duration;

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

/// Shortest time told apart by a histogram, in seconds.
const FIRST_BUCKET: f64 = 0.005;

/// Buckets of a histogram, each twice as long as the one before.
const BUCKETS: u16 = 12;

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

/// Counters and histograms of one host.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<End, Counter>,
    retries: Family<Kind, Counter>,
    answers: Histogram,
    first: Histogram,
    breaks: Counter,
    store_losses: Counter,
    windows: Counter,
    /// Age of the view in milliseconds; -1 if there is none.
    pub(crate) view_age: Gauge,
    /// Targets that may get requests.
    pub(crate) targets: Gauge,
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
            breaks: Counter::default(),
            store_losses: Counter::default(),
            windows: Counter::default(),
            view_age: Gauge::default(),
            targets: Gauge::default(),
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
        registry.register("stream_breaks", "Streams broken off by targets", self.breaks.clone());
        registry.register("store_losses", "Times the store was lost", self.store_losses.clone());
        registry.register("windows_reported", "Usage windows reported", self.windows.clone());
        registry.register("view_age_ms", "Age of the view", self.view_age.clone());
        registry.register("targets", "Targets that may get requests", self.targets.clone());
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

    /// Counts a stream that its target broke off.
    pub(crate) fn count_break(&self) {
        self.breaks.inc();
    }

    /// Counts a loss of the store.
    pub(crate) fn count_store_loss(&self) {
        self.store_losses.inc();
    }

    /// Counts a usage window that was reported.
    pub(crate) fn count_window(&self) {
        self.windows.inc();
    }

    /// All of them as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(target: "metrics", error:%; "metrics not written");
        }
        text
    }
}
