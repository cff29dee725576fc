//! Clients of the platform and of engines, behind traits.
//!
//! The rest of the workspace uses trait objects only, so that another platform's or
//! engine's API can be supported by changes in this crate alone.

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
