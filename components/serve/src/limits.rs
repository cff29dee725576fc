//! Per-listener limits, so that one caller cannot exhaust a host.

use std::time::Duration;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Concurrent connections; further ones wait in the listen backlog.
    pub connections: usize,
    /// Time limit for reading a request's head.
    pub head_timeout: Duration,
    /// Time limit for a TLS handshake.
    pub tls_timeout: Duration,
    /// Size limit of a request's head, in bytes.
    pub head_size: usize,
    /// Time after which a connection is closed of which the caller has taken no byte, although some
    /// were ready; none if unlimited.
    pub stall_timeout: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 8_192,
            head_timeout: Duration::from_secs(10),
            tls_timeout: Duration::from_secs(5),
            head_size: 64 << 10,
            stall_timeout: None,
        }
    }
}
