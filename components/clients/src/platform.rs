//! Platform API: object store, host list, target orders and usage reports.

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

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The platform rejected the call or was not reached; the call had no effect.
    #[snafu(display("the platform call was not executed: {reason}"))]
    Refused {
        /// The cause.
        reason: String,
    },
    /// No usable response came; the call may have taken effect.
    #[snafu(display("no usable response from the platform: {reason}"))]
    Unknown {
        /// The cause.
        reason: String,
    },
}

/// The platform's versioned object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Makes one call, without retrying. Failures are part of the reply.
    async fn call(&self, call: &StoreCall) -> StoreReply;

    /// How long the store holds a watch without changes before it responds, if asked to
    /// hold it for the given time; zero if unknown.
    fn watch_hold_time(&self, _wait: Duration) -> Duration {
        Duration::ZERO
    }

    /// Waits for changes after a version, at most for `wait` if the store supports a limit. The
    /// response must begin within `answer_time` after that.
    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        _wait: Duration,
        _answer_time: Duration,
    ) -> StoreReply {
        self.call(&StoreCall::Watch { prefix: prefix.to_owned(), after }).await
    }

    /// The latest era of any answer so far. Versions of earlier eras name nothing any more.
    fn era(&self) -> u64 {
        0
    }

    /// Puts the idle connections in doubt, after a call was given up unanswered.
    fn distrust_connections(&self) {}

    /// Reads one object. The result may be seconds old if the store offers cheaper stale reads.
    async fn get_stale(&self, key: &str) -> StoreReply {
        self.call(&StoreCall::Get { key: key.to_owned() }).await
    }

    /// Lists objects. The result may be seconds old if the store offers cheaper stale reads.
    async fn list_stale(&self, prefix: &str) -> StoreReply {
        self.call(&StoreCall::List { prefix: prefix.to_owned() }).await
    }
}

/// A host in the platform's list. The list is eventually consistent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The name by which the platform lists the host.
    pub name: String,
    /// The host's IP address.
    pub addr: IpAddr,
    /// The availability zone of the host.
    pub zone: String,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// The platform's eventually consistent list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}

/// Sets the number of targets of a service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetOrder {
    /// The idempotency key.
    pub id: String,
    /// The fencing token of the sender.
    pub epoch: u64,
    /// The availability zone.
    pub zone: String,
    /// The service that the targets are for.
    pub service: String,
    /// Desired number of running targets, not the number to add.
    pub count: u32,
    /// Whether to use cheaper targets that the platform may reclaim.
    pub cheap: bool,
}

/// The platform's response to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderReceipt {
    /// The order's id.
    pub id: String,
    /// Number of targets that the platform could provide.
    pub granted: u32,
}

/// Places orders for targets.
#[async_trait]
pub trait TargetOrders: Send + Sync {
    /// Places one order, without retrying.
    async fn order(&self, order: &TargetOrder) -> Result<OrderReceipt, PlatformError>;
}

/// Usage of one organisation in one window. The platform bills each organisation once per
/// window.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: String,
    /// The window's number.
    pub window: u64,
    /// The fencing token of the reporter.
    pub epoch: u64,
    /// Number of executed requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

/// Submits usage reports of single organisations to the platform.
#[async_trait]
pub trait UsageReports: Send + Sync {
    /// Submits the report of one window, without retrying.
    async fn report(&self, report: &UsageReport) -> Result<(), PlatformError>;
}

/// Requests started in one window by all organisations. The platform bills each window once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowReport {
    /// The window's number.
    pub window: u64,
    /// The fencing token of the reporter.
    pub epoch: u64,
    /// Number of started requests by organisation.
    pub counts: BTreeMap<String, u64>,
}

/// Submits usage reports of whole windows to the platform.
#[async_trait]
pub trait WindowReports: Send + Sync {
    /// Submits the report of one window, without retrying.
    async fn report(&self, report: &WindowReport) -> Result<(), PlatformError>;
}
