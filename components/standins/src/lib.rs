//! Small stand-ins for the platform, engines and plain services.
//!
//! Each speaks HTTP on loopback, keeps a record of what reached it, and has
//! switches for the faults that the real thing shows. For tests and the demo
//! only.

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
    platform::{PlatformFaults, PlatformRecord, PlatformStandin, UsageFinding},
    service::{ServiceFaults, ServiceStandin},
    text::{answer_text, count_tokens, token_at},
};
