//! Limits that keep one caller from holding a host.

use std::time::Duration;

/// What one listener allows.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections open at once; further ones wait to be accepted.
    pub connections: usize,
    /// Time allowed for a request's head.
    pub head_timeout: Duration,
    /// Time allowed for a TLS handshake.
    pub tls_timeout: Duration,
    /// Bytes allowed for a request's head.
    pub head_size: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 8_192,
            head_timeout: Duration::from_secs(10),
            tls_timeout: Duration::from_secs(5),
            head_size: 64 << 10,
        }
    }
}
