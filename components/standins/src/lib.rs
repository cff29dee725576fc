//! Fake HTTP servers for the platform, model engines and plain services.
//!
//! Each listens on loopback, records the calls it receives and can be switched to
//! behave faultily. For tests, the load tool and the demo only.

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
    engine::{EngineFaults, EngineRecord, EngineServer, EngineSpec},
    listen::FakeServer,
    platform::{PlatformFaults, PlatformFinding, PlatformRecord, PlatformServer},
    service::{ServiceFaults, ServiceServer},
    text::{answer_text, count_tokens, token_at},
};
