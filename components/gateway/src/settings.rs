//! What one host is told at its start.

use std::{net::SocketAddr, time::Duration};

/// One host's place, addresses and bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The host's name; unique at any one time.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where callers' requests arrive.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where other hosts tell of their open work.
    pub gossip: SocketAddr,
    /// Where callers ask for addresses; none if this host does not tell.
    pub directory: Option<SocketAddr>,
    /// Where metrics are served; none if they are not.
    pub metrics: Option<SocketAddr>,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Where orders for targets and usage reports go; none if there are no duties.
    pub duties: Option<SocketAddr>,
    /// File descriptors that the process may have open.
    pub descriptors: usize,
    /// Time spans and limits that the operators set.
    pub bounds: Bounds,
}

/// Time spans and limits that the operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a withdrawn key must not start a request.
    pub revoke: Duration,
    /// Whether a host without a fresh view refuses requests with keys.
    pub refuse_stale: bool,
    /// Time after which a leaving target must get no new work.
    pub drain: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time within which two holders of a duty must not take turns.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after a window's end at which its report is due.
    pub report_due: Duration,
    /// Second attempts for each request, over all hosts.
    pub retry_ratio: f64,
    /// Second attempts besides, in each budget window, over all hosts.
    pub retry_slack: f64,
    /// Longest time for which callers keep the addresses that they are told.
    pub keep: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            revoke: Duration::from_secs(5),
            refuse_stale: true,
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            report_due: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            keep: Duration::from_secs(5),
        }
    }
}
