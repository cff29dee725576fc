//! Clients of the systems around us, behind traits.
//!
//! The rest of the workspace sees trait objects only, so that one platform's
//! or engine's interface can be exchanged for another's in one small place.

pub mod body;
pub mod http;
pub mod platform;
pub mod target;

pub use crate::{
    body::{Body, BodyError},
    http::{HttpPool, HttpSender, SendError},
    platform::{
        HostEntry, HostList, HttpPlatform, ObjectStore, OrderReceipt, PlatformError, TargetOrder,
        TargetOrders, UsageReport, UsageReports, WindowReport, WindowReports,
    },
    target::{
        Engine, EngineError, EngineOrder, HttpEngine, LoadReport, OrderOutcome, OrderRequest,
    },
};
