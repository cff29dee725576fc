//! Clients of the platform and of engines, behind traits.
//!
//! The binaries choose the implementations; other code uses the traits, so that another
//! platform's or engine's API needs few changes outside this crate.

pub mod body;
pub mod encoding;
pub mod http;
mod no_effect;
pub mod platform;
pub mod target;

pub use crate::{
    body::{Body, BodyError},
    http::{
        ClosedPeers, ConnectionHandle, HttpPool, HttpSender, SendError, SentOver, SharedStream,
        StreamPeeker,
    },
    platform::{
        HostEntry, HostList, HttpPlatform, ObjectStore, OrderReceipt, PlatformError, TargetOrder,
        TargetOrders, UsageReport, UsageReports, WindowReport, WindowReports,
    },
    target::{
        Engine, EngineError, EngineOrder, HttpEngine, LoadReport, OrderOutcome, OrderRequest,
    },
};
