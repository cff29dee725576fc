//! Settings that a host is started with.

use std::{net::SocketAddr, time::Duration};

use chervilgate_policy::QuotaBounds;

/// Name, location, addresses and limits of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Host name; unique among the running hosts.
    pub name: String,
    /// The host's availability zone.
    pub zone: String,
    /// The host's region.
    pub region: String,
    /// Listen address for callers' requests.
    pub caller_addr: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// UDP listen address for other hosts' gossip.
    pub gossip_addr: SocketAddr,
    /// Listen address for host address lookups; none to disable them.
    pub directory_addr: Option<SocketAddr>,
    /// Listen address for metrics; none to disable them.
    pub metrics_addr: Option<SocketAddr>,
    /// Address of the platform's object store.
    pub store_addr: SocketAddr,
    /// Address for target orders and usage reports; none if there are no duties.
    pub duties_addr: Option<SocketAddr>,
    /// Memory that the process may use, in bytes; it is killed above that.
    pub memory: usize,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Durations and limits that the operators set.
    pub bounds: HostLimits,
}

/// Durations and limits that the operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostLimits {
    /// Time after which a revoked API key must not start a request.
    pub revocation_time: Duration,
    /// Whether a host without a fresh configuration refuses requests with API keys.
    pub refuse_stale: bool,
    /// Time within which a change of the configuration must be in force.
    pub apply_time: Duration,
    /// Time after which a draining target must get no new requests.
    pub drain_time: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace_period: Duration,
    /// Duration of the lease, within which two holders must not act alternately.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub report_due: Duration,
    /// Window in which retries are limited.
    pub retry_window: Duration,
    /// Retries allowed per request in a window, over all hosts.
    pub retry_ratio: f64,
    /// Further retries allowed per service in a window, over all hosts.
    pub retry_burst: f64,
    /// Maximum time for which callers may cache host addresses.
    pub address_ttl: Duration,
    /// How far quotas may be exceeded; none if they are not enforced.
    pub quota: Option<QuotaBounds>,
}

impl Default for HostLimits {
    fn default() -> HostLimits {
        HostLimits {
            revocation_time: Duration::from_secs(5),
            refuse_stale: true,
            apply_time: Duration::from_secs(2),
            drain_time: Duration::from_secs(2),
            grace_period: Duration::from_secs(8),
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            report_due: Duration::from_secs(10),
            retry_window: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_burst: 10.0,
            address_ttl: Duration::from_secs(5),
            quota: None,
        }
    }
}
