//! Targets that are listed by hand.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// An engine or a service instance at a fixed address.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Its id.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it runs.
    pub service: Name,
    /// What it is.
    pub kind: TargetKind,
    /// The role at its start, for an engine.
    pub role: Role,
    /// What it costs and risks.
    pub class: PayClass,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fencing: bool,
}

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Which work an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// What a target costs and risks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PayClass {
    /// The platform does not reclaim it.
    #[default]
    Steady,
    /// Cheaper, and may be reclaimed at any time.
    Cheap,
}
