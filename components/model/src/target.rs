//! Statically configured targets, as opposed to those that placements create.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// A model engine or a service instance at a fixed address.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The target's id.
    pub name: Name,
    /// The availability zone that it runs in.
    pub zone: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The service that it runs.
    pub service: Name,
    /// Whether it is an engine or a plain service.
    pub kind: TargetKind,
    /// The engine's initial role; `Mixed` for a plain service.
    pub role: Role,
    /// Whether the platform may reclaim it.
    pub class: PricingClass,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// The kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// An engine that serves a model.
    Engine,
    /// An instance of a plain HTTP service.
    Service,
}

/// The phases of inference that an engine runs.
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

/// The pricing class of a target, which decides whether it may be reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PricingClass {
    /// The platform does not reclaim it.
    #[default]
    Steady,
    /// Cheaper, and may be reclaimed at any time.
    Cheap,
}
