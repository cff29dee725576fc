//! Fake HTTP servers for the platform, model engines and plain services.
//!
//! Each listens on loopback, records the calls it receives and can be switched to
//! behave faultily. For tests, benchmarks and the demo only.

mod caller;
mod deployment;
mod engine;
mod listen;
mod platform;
mod service;
mod text;

pub use crate::{
    caller::{Answer, Caller},
    deployment::{Deployment, ZONES, name},
    engine::{EngineFaults, EngineRecord, EngineSpec, EngineStandin},
    listen::Standin,
    platform::{PlatformFaults, PlatformFinding, PlatformRecord, PlatformStandin},
    service::{ServiceFaults, ServiceStandin},
    text::{answer_text, count_tokens, token_at},
};
