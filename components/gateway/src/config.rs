//! The operators' configuration as requests meet it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use smallvec::SmallVec;

/// What may be done with a request on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events; may be continued elsewhere if `resumable`.
    Stream {
        /// Whether a broken stream may go on at another target.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Services with their weights.
pub type Split = SmallVec<[(Arc<str>, u32); 2]>;

/// One route of one host name.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host name that it belongs to, in lowercase.
    pub host: String,
    /// The start of the paths that it covers; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Time by which a request has its final answer.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub goal: Duration,
    /// Targets that may run one request.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services with the weights by which requests are split.
    pub services: Split,
    /// Whether requests without a key are served.
    pub open: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Connections that one of its targets takes from all callers together.
    pub connections: Option<u32>,
    /// What its targets are as engines; none for plain services.
    pub engine: Option<EngineKind>,
    /// How its targets are ordered; none if they are not.
    pub scaling: Option<Scaling>,
}

/// What the engines of one service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineKind {
    /// Requests in one batch.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv_tokens: u64,
    /// Time for which an engine keeps an exported KV cache.
    pub export_kept: Duration,
    /// Time that a change of role takes.
    pub role_change: Duration,
}

/// How targets of one service are ordered, in each zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Fewest targets in a zone.
    pub min: u32,
    /// Most targets in a zone.
    pub max: u32,
    /// Time from the order until a target serves.
    pub boot: Duration,
    /// Price of a reclaimable target against a steady one; none if there are none.
    pub cheap_price: Option<f64>,
    /// Price of a second of a steady target by zone.
    pub zone_prices: HashMap<String, f64>,
}

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Org {
    /// The organisation's name.
    pub name: Arc<str>,
    /// Its rank, if it goes before the route's.
    pub priority: Option<u8>,
}

/// What one caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits { head: 16 << 10, body: 4 << 20, idle: Duration::from_secs(15) }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Grows with each version.
    pub version: u64,
    /// Routes by host name, those with longer prefixes first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations by key; none if requests need no keys.
    pub keys: Option<HashMap<String, Org>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Config {
    /// A configuration of these parts.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, Service>,
        keys: Option<HashMap<String, Org>>,
        limits: CallerLimits,
    ) -> Config {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Config { version, routes: by_host, services, keys, limits }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// The service that a request goes to, by weight; `draw` is from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (name, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        self.services.first().map(|(name, _)| name)
    }
}
