//! Routes, services and API keys from the operators' configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_policy::LatencyTargets;
use smallvec::SmallVec;

use crate::{fleet::EngineLimits, hash::stable_hash};

/// How the requests of a route may be retried and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Not idempotent: runs at most once.
    NonIdempotent,
    /// Answered by an event stream.
    Stream {
        /// Whether a broken stream may be resumed on another target.
        resumable: bool,
    },
}

impl Config {
    /// Whether streams of `service` may be taken up.
    pub fn resumes(&self, service: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| {
            route.kind == RouteKind::Stream { resumable: true }
                && route.services.iter().any(|(name, _)| &**name == service)
        })
    }
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Services with their traffic weights.
pub type WeightedServices = SmallVec<[(Arc<str>, u32); 2]>;

/// One route of one host name.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique among the routes.
    pub name: Arc<str>,
    /// Host name to match, in lowercase and without a port.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Retry rule and response type.
    pub kind: RouteKind,
    /// Time allowed for the complete response.
    pub timeout: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub latency_target: Duration,
    /// Longest pause within a stream with which it is on time; none if unspecified.
    pub max_pause: Option<Duration>,
    /// How many targets may run the same request, retries included.
    pub attempts: u32,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Services among which requests are split by weight.
    pub services: WeightedServices,
    /// Whether requests without a valid API key are accepted.
    pub allow_anonymous: bool,
}

/// A service that routes send requests to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Connections that a target accepts from all callers together; none if unlimited.
    pub max_connections: Option<u32>,
    /// Properties of the engines; none for plain services.
    pub engine: Option<EngineProfile>,
    /// Limits for ordering targets; none if they are not ordered.
    pub scaling: Option<Scaling>,
}

/// Properties shared by all engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests in a batch.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// Time after which an engine drops an exported KV cache.
    pub export_ttl: Duration,
    /// Time to switch between prefill and decode.
    pub role_change: Duration,
    /// How its engines import prompt prefixes from each other; none if they do not.
    pub imports: Option<ImportTerms>,
    /// Tokens in an event of a stream; none if unspecified.
    pub event_tokens: Option<u32>,
}

/// What a transfer of a prompt prefix between engines moves, and how fast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ImportTerms {
    /// Size of the KV cache of a token.
    pub kv_bytes: f64,
    /// Speed of an engine's link in Mbit/s.
    pub link_mbps: f64,
}

impl ImportTerms {
    /// Time to move the KV cache of one token, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.kv_bytes * 8.0 / (self.link_mbps * 1e3)
    }
}

/// Limits and prices for ordering the targets of a service, per zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Minimum number of targets in a zone.
    pub min_targets: u32,
    /// Maximum number of targets in a zone.
    pub max_targets: u32,
    /// Time from an order until the target serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable target relative to an on-demand one; none if there are
    /// none.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand target per second, by zone.
    pub zone_prices: HashMap<String, f64>,
}

/// What a request of an organisation counts as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and the tokens that it may generate.
    Tokens {
        /// What a request without token counts counts as.
        uncounted: u32,
    },
}

impl QuotaUnit {
    /// The name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            QuotaUnit::Requests => "requests",
            QuotaUnit::Tokens { .. } => "tokens",
        }
    }
}

/// What an organisation may have run on all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Amount per second.
    pub rate: f64,
    /// Amount that may be used at once.
    pub burst: f64,
    /// What a request counts as.
    pub unit: QuotaUnit,
}

impl Quota {
    /// What a request with these numbers of tokens counts as.
    pub fn count(&self, prompt_tokens: u32, max_output: u32) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { uncounted } => match (prompt_tokens, max_output) {
                (0, 0) => f64::from(uncounted),
                _ => f64::from(prompt_tokens) + f64::from(max_output),
            },
        }
    }
}

/// The organisation that an API key belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct Org {
    /// The organisation's name, as used in usage reports.
    pub name: Arc<str>,
    /// Scheduling priority that overrides the route's; none to use the route's.
    pub priority: Option<u8>,
    /// Its quota; none if it is not limited.
    pub quota: Option<Quota>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations by API key; none if requests need no key.
    pub keys: Option<HashMap<String, Org>>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Shortest of the pauses that the routes of a service allow, by service.
    max_pauses: HashMap<Arc<str>, Duration>,
    /// Shortest latency targets by priority, by service.
    latency_targets: HashMap<Arc<str>, Arc<LatencyTargets>>,
    /// Organisations with quotas, by hash of their names.
    quotas: HashMap<u64, (Arc<str>, Quota)>,
}

/// Identifies an organisation between hosts.
pub(crate) fn org_hash(name: &str) -> u64 {
    stable_hash(&name)
}

impl Config {
    /// Builds a configuration and indexes its routes by host name and prefix length.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, Service>,
        keys: Option<HashMap<String, Org>>,
        limits: CallerLimits,
    ) -> Config {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut max_pauses: HashMap<Arc<str>, Duration> = HashMap::new();
        let mut latency_targets: HashMap<Arc<str>, LatencyTargets> = HashMap::new();
        for route in routes {
            for (service, _) in &route.services {
                if route.has_latency_target() {
                    let targets = latency_targets.entry(service.clone()).or_default();
                    targets.add(route.priority, route.latency_target);
                }
                let Some(pause) = route.max_pause else { continue };
                let known = max_pauses.entry(service.clone()).or_insert(pause);
                *known = pause.min(*known);
            }
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let latency_targets = latency_targets.into_iter();
        let latency_targets =
            latency_targets.map(|(service, targets)| (service, Arc::new(targets))).collect();
        let orgs = keys.iter().flat_map(HashMap::values);
        let quotas =
            orgs.filter_map(|org| Some((org_hash(&org.name), (org.name.clone(), org.quota?))));
        let quotas = quotas.collect();
        Config {
            version,
            routes: by_host,
            services,
            keys,
            limits,
            max_pauses,
            latency_targets,
            quotas,
        }
    }

    /// The services whose engines import prompt prefixes from each other.
    pub fn import_terms(&self) -> HashMap<Arc<str>, ImportTerms> {
        let services = self.services.iter();
        let terms = services
            .filter_map(|(name, service)| Some((name.clone(), service.engine.as_ref()?.imports?)));
        terms.collect()
    }

    /// Organisations with quotas, by hash of their names.
    pub(crate) fn quotas(&self) -> &HashMap<u64, (Arc<str>, Quota)> {
        &self.quotas
    }

    /// Latency targets of the routes of `service`; none if no route has any.
    pub fn latency_targets(&self, service: &str) -> Option<&Arc<LatencyTargets>> {
        self.latency_targets.get(service)
    }

    /// Tokens in an event of a stream, by service that states it.
    pub fn event_tokens(&self) -> HashMap<Arc<str>, u32> {
        let services = self.services.iter();
        let stated = services.filter_map(|(name, service)| {
            Some((name.clone(), service.engine.as_ref()?.event_tokens?))
        });
        stated.collect()
    }

    /// What the engines of each service hold at most.
    pub fn engine_limits(&self) -> HashMap<Arc<str>, EngineLimits> {
        let services = self.services.iter();
        let limits = services.filter_map(|(name, service)| {
            let EngineProfile { slots, kv_tokens, .. } = *service.engine.as_ref()?;
            Some((name.clone(), EngineLimits { slots, kv_tokens }))
        });
        limits.collect()
    }

    /// Longest pause with which any stream of `service` is on time; none if unspecified.
    pub fn max_pause(&self, service: &str) -> Option<Duration> {
        self.max_pauses.get(service).copied()
    }

    /// Shortest latency target of the routes of `service`; none if no route leads to it.
    pub fn latency_target(&self, service: &str) -> Option<Duration> {
        self.latency_targets.get(service).map(|targets| targets.shortest())
    }

    /// All routes, in no order.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// The organisation of this name.
    pub(crate) fn org(&self, name: &str) -> Option<&Org> {
        self.keys.iter().flat_map(HashMap::values).find(|org| *org.name == *name)
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// Whether it has a latency target; without one, the timeout stands in its place.
    pub fn has_latency_target(&self) -> bool {
        self.latency_target < self.timeout
    }

    /// Whether a request that ran `runs` times may run only once more.
    pub fn is_last_run(&self, runs: u32) -> bool {
        !self.kind.is_retryable() || runs + 1 >= self.attempts
    }

    /// Picks a service by weight; `draw` is a random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (name, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(name);
            }
        }
        self.services.first().map(|(name, _)| name)
    }
}
