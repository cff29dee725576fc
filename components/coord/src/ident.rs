//! Names of processes and places.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// One run of a process; drawn at random at each start, never reused.
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

/// A running process as others know it.
///
/// Two processes that follow one another at an address differ in their
/// incarnation, and only the incarnation counts as identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Node {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}
