//! Identifiers of processes and availability zones.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Identifies one run of a process; drawn at random at each start, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An availability zone's name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Zone(pub String);

/// A running process and its address.
///
/// A restarted process can have the same address; only the incarnation
/// identifies it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Node {
    /// The identity of the process.
    pub incarnation: Incarnation,
    /// The address at which its peers connect to it.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}
