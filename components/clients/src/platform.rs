//! What the platform gives: objects, hosts, target orders, usage reports.

mod http;
mod objects;

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use async_trait::async_trait;
use chervilgate_coord::{StoreCall, StoreReply, Version};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use self::{
    http::HttpPlatform,
    objects::{ObjectJson, ObjectsJson, WatchJson},
};

/// Why the platform gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The call had no effect.
    #[snafu(display("the platform refused the call: {reason}"))]
    Refused {
        /// What it said.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display("the platform did not answer: {reason}"))]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// The versioned object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Makes one call; failures are part of the reply.
    async fn call(&self, call: &StoreCall) -> StoreReply;

    /// Time for which a watch without changes waits at the store before it is answered,
    /// if it is to wait for `wished`; zero if that is not known.
    fn watch_wait(&self, _wished: Duration) -> Duration {
        Duration::ZERO
    }

    /// Watches for changes, and waits for `wished` where the store can be told.
    async fn watch(&self, prefix: &str, after: Version, _wished: Duration) -> StoreReply {
        self.call(&StoreCall::Watch { prefix: prefix.to_owned(), after }).await
    }

    /// Reads one object, possibly as it was seconds ago, where that costs less.
    async fn get_lagging(&self, key: &str) -> StoreReply {
        self.call(&StoreCall::Get { key: key.to_owned() }).await
    }

    /// Lists objects, possibly as they were seconds ago, where that costs less.
    async fn list_lagging(&self, prefix: &str) -> StoreReply {
        self.call(&StoreCall::List { prefix: prefix.to_owned() }).await
    }
}

/// A host as the platform lists it; the list lags.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// Its address.
    pub addr: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// The lagging list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}

/// An order for targets in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetOrder {
    /// Makes the order idempotent.
    pub id: String,
    /// The fencing token of the orderer.
    pub epoch: u64,
    /// The availability zone.
    pub zone: String,
    /// The service that the targets are for.
    pub service: String,
    /// How many are to run there from now on.
    pub count: u32,
    /// Whether cheaper, reclaimable targets will do.
    pub cheap: bool,
}

/// What the platform answered to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReceipt {
    /// The order's id.
    pub id: String,
    /// How many targets it could give.
    pub granted: u32,
}

/// Orders targets availability zone by availability zone.
#[async_trait]
pub trait TargetOrders: Send + Sync {
    /// Places one order.
    async fn order(&self, order: &TargetOrder) -> Result<OrderReceipt, PlatformError>;
}

/// The usage of one organisation in one window; billed once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: String,
    /// The window's number.
    pub window: u64,
    /// The fencing token of the reporter.
    pub epoch: u64,
    /// Requests that ran.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

/// Accepts usage reports.
#[async_trait]
pub trait UsageReports: Send + Sync {
    /// Hands in one window's report.
    async fn report(&self, report: &UsageReport) -> Result<(), PlatformError>;
}

/// Requests begun in one window, for all organisations together; billed once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowReport {
    /// The window's number.
    pub window: u64,
    /// The epoch of the reporter.
    pub epoch: u64,
    /// Requests begun by organisation.
    pub counts: BTreeMap<String, u64>,
}

/// Accepts reports of whole windows.
#[async_trait]
pub trait WindowReports: Send + Sync {
    /// Hands in one window's report.
    async fn report(&self, report: &WindowReport) -> Result<(), PlatformError>;
}
