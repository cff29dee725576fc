//! Prometheus metrics of a host.

use std::{fs, sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

mod feed;
mod labels;
#[cfg(test)]
mod tests;

pub(crate) use self::feed::{ChangeSource, FeedMetrics};
use self::labels::{
    BuildLabel, DemandLabels, EndLabel, KindLabel, LevelLabel, OrgLabel, PriorityLabel,
    RepeatLabels, ServiceLabel, StateLabel, StoreCallLabels, WantedLabels, YieldLabels,
};
use crate::{fleet::TargetCounts, planner::ZoneGoal};

/// Metrics of one organisation's quota.
#[derive(Debug, Clone)]
pub(crate) struct OrgQuotaMetrics {
    label: OrgLabel,
    held: FloatGauge,
    used: Counter,
    refused: Counter,
}

type FloatGauge = Gauge<f64, AtomicU64>;

impl OrgQuotaMetrics {
    /// Name of the organisation.
    pub(crate) fn org(&self) -> &str {
        self.label.org.as_str()
    }

    pub(crate) fn set_held(&self, amount: f64) {
        self.held.set(amount);
    }

    /// Counts an admitted request.
    pub(crate) fn count_used(&self, count: f64) {
        self.used.inc_by(count as u64);
    }

    /// Counts a refused request.
    pub(crate) fn count_refused(&self) {
        self.refused.inc();
    }
}

/// Upper bound of the first histogram bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.005;

/// Upper bound of the first bucket of the waits for capacity.
const FIRST_WAIT_BUCKET_MS: f64 = 5.0;

/// Number of histogram buckets, each upper bound twice the one before.
const BUCKET_COUNT: u16 = 12;

/// File in which Linux reports this process's memory.
const STATUS_PATH: &str = "/proc/self/status";

/// Numbers of log lines dropped since the process started, by what dropped them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LostLines {
    /// By the rate limit of ordinary lines.
    pub info: u64,
    /// By the rate limit of warnings.
    pub warn: u64,
    /// By the rate limit of warnings about requests that were already sent.
    pub sent: u64,
    /// Of any level, because the queue to the writer was full.
    pub queue: u64,
}

/// Metrics of one host.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<EndLabel, Counter>,
    retries: Family<KindLabel, Counter>,
    service_requests: Family<ServiceLabel, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    delay: Gauge,
    broadcasts: Family<KindLabel, Counter>,
    imports: Family<KindLabel, Counter>,
    target_answers: Family<KindLabel, Counter>,
    response_times: Histogram,
    first_event_times: Histogram,
    queue_times: Histogram,
    pause_times: Histogram,
    prediction_errors: Histogram,
    waiting: Family<ServiceLabel, Gauge>,
    waits: Family<PriorityLabel, Histogram, fn() -> Histogram>,
    yielded: Family<YieldLabels, Counter>,
    stream_breaks: Counter,
    stalled_streams: Gauge,
    held_bytes: Family<KindLabel, Gauge>,
    memory_refused: Family<KindLabel, Counter>,
    store_calls: Family<StoreCallLabels, Counter>,
    store_losses: Counter,
    /// How changes of the targets reach this host.
    pub(crate) feed: FeedMetrics,
    windows: Counter,
    orders: Family<EndLabel, Counter>,
    targets: Family<StateLabel, Gauge>,
    targets_wanted: Family<WantedLabels, Gauge>,
    demand: Family<DemandLabels, Gauge<f64, AtomicU64>>,
    quota_rate: Family<OrgLabel, FloatGauge>,
    quota_held: Family<OrgLabel, FloatGauge>,
    quota_used: Family<OrgLabel, Counter>,
    quota_refused: Family<OrgLabel, Counter>,
    memory: Gauge,
    lines_lost: Gauge,
    level_losses: Family<LevelLabel, Gauge>,
    /// Age of the configuration view in milliseconds; -1 if there is none.
    pub(crate) view_age: Gauge,
    /// Age of what is known of the targets in milliseconds; -1 if nothing is.
    pub(crate) targets_age: Gauge,
    /// Latest era of the store that this host has seen or heard of.
    pub(crate) store_era: Gauge,
    /// Hosts that may be serving callers, this one included.
    pub(crate) hosts: Gauge,
    /// 1 if this host is ready, otherwise 0.
    pub(crate) ready: Gauge,
    build: Family<BuildLabel, Gauge>,
}

impl Metrics {
    /// Registers all metrics, with zero values.
    pub(crate) fn new() -> Metrics {
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("chervilgate"),
            requests: Family::default(),
            retries: Family::default(),
            service_requests: Family::default(),
            repeats: Family::default(),
            delay: Gauge::default(),
            broadcasts: Family::default(),
            imports: Family::default(),
            target_answers: Family::default(),
            response_times: times(),
            first_event_times: times(),
            queue_times: times(),
            pause_times: times(),
            prediction_errors: times(),
            waiting: Family::default(),
            waits: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(FIRST_WAIT_BUCKET_MS, 2.0, BUCKET_COUNT))
            }),
            yielded: Family::default(),
            stream_breaks: Counter::default(),
            stalled_streams: Gauge::default(),
            held_bytes: Family::default(),
            memory_refused: Family::default(),
            store_calls: Family::default(),
            store_losses: Counter::default(),
            feed: FeedMetrics::default(),
            windows: Counter::default(),
            orders: Family::default(),
            targets: Family::default(),
            targets_wanted: Family::default(),
            demand: Family::default(),
            quota_rate: Family::default(),
            quota_held: Family::default(),
            quota_used: Family::default(),
            quota_refused: Family::default(),
            memory: Gauge::default(),
            lines_lost: Gauge::default(),
            level_losses: Family::default(),
            view_age: Gauge::default(),
            targets_age: Gauge::default(),
            store_era: Gauge::default(),
            hosts: Gauge::default(),
            ready: Gauge::default(),
            build: Family::default(),
        };
        metrics.register();
        metrics
    }

    /// Names the version and revision of this program.
    pub(crate) fn set_build(&self, build: &str) {
        self.build.get_or_create(&BuildLabel { build: build.into() }).set(1);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        self.feed.register(registry);
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("retries", "Further attempts by kind", self.retries.clone());
        registry.register(
            "service_requests",
            "Requests of callers by service, which allow repeats",
            self.service_requests.clone(),
        );
        registry.register(
            "repeats",
            "Arrivals at targets beyond the first of a request, by service and cause: sent, or not as beyond the budget",
            self.repeats.clone(),
        );
        registry.register("delay_ms", "Delay of this host's timers", self.delay.clone());
        registry.register(
            "broadcasts",
            "News for all hosts: sent to all at once, or deferred to the usual rounds",
            self.broadcasts.clone(),
        );
        registry.register("imports", "Imports of prompt prefixes by kind", self.imports.clone());
        registry.register(
            "target_answers",
            "Targets' answers by kind",
            self.target_answers.clone(),
        );
        registry.register("answer_seconds", "Time to a whole answer", self.response_times.clone());
        registry.register(
            "first_event_seconds",
            "Time to a first event",
            self.first_event_times.clone(),
        );
        registry.register(
            "queue_seconds",
            "Predicted wait at the target",
            self.queue_times.clone(),
        );
        registry.register("pause_seconds", "Pauses within streams", self.pause_times.clone());
        registry.register(
            "prediction_error_seconds",
            "Difference of the time to the first event from its prediction",
            self.prediction_errors.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait for capacity by service",
            self.waiting.clone(),
        );
        registry.register(
            "wait_ms",
            "Time that requests waited for capacity, by priority",
            self.waits.clone(),
        );
        registry.register(
            "yielded",
            "Requests refused for lack of capacity, by priority and reason",
            self.yielded.clone(),
        );
        registry.register(
            "stream_breaks",
            "Streams broken off by targets",
            self.stream_breaks.clone(),
        );
        registry.register(
            "streams_stalled",
            "Streams ended because their callers did not read",
            self.stalled_streams.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes held for callers and targets by kind",
            self.held_bytes.clone(),
        );
        registry.register(
            "memory_refused",
            "What was refused because the host holds as many bytes as it may, by kind",
            self.memory_refused.clone(),
        );
        registry.register("store_calls", "Calls to the store by reply", self.store_calls.clone());
        registry.register("store_losses", "Times the store was lost", self.store_losses.clone());
        registry.register("windows_reported", "Usage windows reported", self.windows.clone());
        registry.register("orders", "Orders for targets by outcome", self.orders.clone());
        registry.register("targets", "Targets by state", self.targets.clone());
        registry.register(
            "targets_wanted",
            "Targets that the lease holder wants, by service, zone and kind",
            self.targets_wanted.clone(),
        );
        registry.register(
            "demand",
            "Number of busy engines that the demand of the last seconds takes, by stage",
            self.demand.clone(),
        );
        registry.register("quota_rate", "Rate of a quota", self.quota_rate.clone());
        registry.register("quota_held", "Granted part of a quota", self.quota_held.clone());
        registry.register("quota_used", "Used of a quota", self.quota_used.clone());
        registry.register("quota_refused", "Refused by a quota", self.quota_refused.clone());
        registry.register("memory_bytes", "Resident memory", self.memory.clone());
        registry.register("log_lines_lost", "Log lines left out", self.lines_lost.clone());
        registry.register(
            "log_level_lines_lost",
            "Log lines left out by level",
            self.level_losses.clone(),
        );
        registry.register("view_age_ms", "Age of the view", self.view_age.clone());
        registry.register("targets_age_ms", "Age of the targets", self.targets_age.clone());
        registry.register("store_era", "Latest era of the store", self.store_era.clone());
        registry.register("hosts", "Hosts that serve callers", self.hosts.clone());
        registry.register("ready", "Whether this host is ready", self.ready.clone());
        registry.register("build", "Version and revision of this program", self.build.clone());
    }

    /// Counts a finished request by how it ended.
    pub(crate) fn count_end(&self, end: &'static str) {
        self.requests.get_or_create(&EndLabel { end }).inc();
    }

    /// Counts a failed attempt by its reason.
    pub(crate) fn count_retry(&self, kind: &'static str) {
        self.retries.get_or_create(&KindLabel { kind }).inc();
    }

    /// Sets the delay of this host's timers.
    pub(crate) fn set_delay(&self, ms: u64) {
        self.delay.set(ms.try_into().unwrap_or(i64::MAX));
    }

    /// Counts news for all hosts, which were sent it at once or which hear of it by and by.
    pub(crate) fn count_broadcast(&self, is_sent: bool) {
        let kind = if is_sent { "sent" } else { "deferred" };
        self.broadcasts.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request of a caller for `service`.
    pub(crate) fn count_service_request(&self, service: &str) {
        self.service_requests.get_or_create(&ServiceLabel { service: service.into() }).inc();
    }

    /// Counts an arrival at a target of `service` beyond the first of its request, by what became of the
    /// one before, or that it was not sent for lack of budget.
    pub(crate) fn count_repeat(&self, service: &str, cause: &'static str, is_sent: bool) {
        let result = if is_sent { "sent" } else { "over-budget" };
        self.repeats.get_or_create(&RepeatLabels { service: service.into(), cause, result }).inc();
    }

    /// Counts an import of a prompt prefix: sent, or dropped since its source may not be used.
    pub(crate) fn count_import(&self, kind: &'static str) {
        self.imports.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a target's answer by its kind.
    pub(crate) fn count_answer(&self, kind: &'static str) {
        self.target_answers.get_or_create(&KindLabel { kind }).inc();
    }

    /// Records the time to a complete response, or to a stream's first event.
    pub(crate) fn observe_response(&self, is_stream: bool, span: Duration) {
        let times = if is_stream { &self.first_event_times } else { &self.response_times };
        times.observe(span.as_secs_f64());
    }

    /// Records the predicted wait of a request, in milliseconds.
    pub(crate) fn observe_queue(&self, wait: f64) {
        self.queue_times.observe(wait / 1e3);
    }

    /// Records the time between two events of a stream.
    pub(crate) fn observe_pause(&self, span: Duration) {
        self.pause_times.observe(span.as_secs_f64());
    }

    /// Observes by how much the time to a first event differed from its prediction.
    pub(crate) fn observe_prediction(&self, error: Duration) {
        self.prediction_errors.observe(error.as_secs_f64());
    }

    /// Sets the number of requests that wait for capacity.
    pub(crate) fn set_waiting(&self, service: &str, waiting: usize) {
        let label = ServiceLabel { service: service.into() };
        self.waiting.get_or_create(&label).set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Records how long a request waited for capacity.
    pub(crate) fn observe_wait(&self, priority: u8, waited: Duration) {
        self.waits.get_or_create(&PriorityLabel { priority }).observe(waited.as_secs_f64() * 1e3);
    }

    /// Counts a request refused for lack of capacity.
    pub(crate) fn count_yielded(&self, priority: u8, reason: &'static str) {
        self.yielded.get_or_create(&YieldLabels { priority, reason }).inc();
    }

    /// Counts a stream from a target that ended early.
    pub(crate) fn count_stream_break(&self) {
        self.stream_breaks.inc();
    }

    /// Sets the number of streams that ended because their callers did not read.
    pub(crate) fn set_stalled_streams(&self, count: usize) {
        self.stalled_streams.set(i64::try_from(count).unwrap_or(i64::MAX));
        // Each of them was refused the memory for its next events.
        let refused = self.memory_refused.get_or_create(&KindLabel { kind: "streams" });
        refused.inc_by((count as u64).saturating_sub(refused.get()));
    }

    /// Sets the number of bytes held for callers and targets.
    pub(crate) fn set_held_bytes(&self, kind: &'static str, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held_bytes.get_or_create(&KindLabel { kind }).set(bytes);
    }

    /// Counts what was refused because the host holds as many bytes of this kind as it may.
    pub(crate) fn count_memory_refused(&self, kind: &'static str) {
        self.memory_refused.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a store call by kind and reply.
    pub(crate) fn count_store_call(&self, call: &'static str, reply: &'static str) {
        self.store_calls.get_or_create(&StoreCallLabels { call, reply }).inc();
    }

    /// Counts the start of a store outage.
    pub(crate) fn count_store_outage(&self) {
        self.store_losses.inc();
    }

    /// Counts a reported usage window.
    pub(crate) fn count_window(&self) {
        self.windows.inc();
    }

    /// Counts a target order by its result.
    pub(crate) fn count_order(&self, accepted: bool) {
        let end = if accepted { "accepted" } else { "refused" };
        self.orders.get_or_create(&EndLabel { end }).inc();
    }

    /// The metrics of the quota of `org`, with its rate.
    pub(crate) fn org_quota(&self, org: &str, rate: f64) -> OrgQuotaMetrics {
        let label = OrgLabel { org: org.into() };
        self.quota_rate.get_or_create(&label).set(rate);
        OrgQuotaMetrics {
            held: self.quota_held.get_or_create(&label).clone(),
            used: self.quota_used.get_or_create(&label).clone(),
            refused: self.quota_refused.get_or_create(&label).clone(),
            label,
        }
    }

    /// Removes the gauges of an organisation without a quota.
    pub(crate) fn remove_org_quota(&self, org: &str) {
        let label = OrgLabel { org: org.into() };
        self.quota_rate.remove(&label);
        self.quota_held.remove(&label);
    }

    /// Sets the number of targets by state.
    pub(crate) fn set_targets(&self, counts: TargetCounts) {
        let states = [
            ("serving", counts.serving),
            ("draining", counts.draining),
            ("failing", counts.failing),
            ("limited", counts.limited),
            ("resting", counts.resting),
        ];
        for (state, count) in states {
            self.targets.get_or_create(&StateLabel { state }).set(count.into());
        }
    }

    /// Sets the number of targets that the lease holder wants, by service and zone.
    pub(crate) fn set_targets_wanted<'a>(
        &self,
        goals: impl Iterator<Item = (&'a str, &'a str, ZoneGoal)>,
    ) {
        self.targets_wanted.clear();
        for (service, zone, goal) in goals {
            let kinds = [("on_demand", goal.on_demand), ("reclaimable", goal.reclaimable)];
            for (kind, count) in kinds {
                let labels = WantedLabels { service: service.into(), zone: zone.into(), kind };
                self.targets_wanted.get_or_create(&labels).set(count.into());
            }
        }
    }

    /// Sets the number of busy engines that the demand for a service takes.
    pub(crate) fn set_demand(&self, service: &str, prefill: f64, decode: f64) {
        for (stage, busy) in [("prefill", prefill), ("decode", decode)] {
            let labels = DemandLabels { service: service.into(), stage };
            self.demand.get_or_create(&labels).set(busy);
        }
    }

    /// Drops what is known of the demand for a service.
    pub(crate) fn remove_demand(&self, service: &str) {
        for stage in ["prefill", "decode"] {
            self.demand.remove(&DemandLabels { service: service.into(), stage });
        }
    }

    /// Drops what only the lease holder knows.
    pub(crate) fn clear_demand(&self) {
        self.targets_wanted.clear();
        self.demand.clear();
    }

    fn set_lines_lost(&self, lost: LostLines) {
        let levels =
            [("info", lost.info), ("warn", lost.warn), ("sent", lost.sent), ("queue", lost.queue)];
        let mut total = 0;
        for (level, count) in levels {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.level_losses.get_or_create(&LevelLabel { level }).set(count);
            total += count;
        }
        self.lines_lost.set(total);
    }

    /// Encodes all metrics as text, with the log lines dropped so far.
    pub(crate) fn render(&self, lines_lost: LostLines) -> String {
        self.set_lines_lost(lines_lost);
        match resident_bytes() {
            Some(bytes) => {
                self.memory.set(bytes);
            }
            None => {
                log::info!(target: "metrics", file = STATUS_PATH; "resident memory not readable")
            }
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(target: "metrics", error:%; "metrics not encoded");
        }
        text
    }
}

/// Resident memory of this process in bytes; none if it cannot be read.
fn resident_bytes() -> Option<i64> {
    let status = fs::read_to_string(STATUS_PATH).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
