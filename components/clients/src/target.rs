//! Control API of engines: load reports and orders.

mod http;

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use self::http::HttpEngine;

/// Why a call to an engine failed.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The engine rejected the call, which had no effect.
    #[snafu(display("engine {addr} rejected the call: {reason}"))]
    Refused {
        /// The engine's address.
        addr: SocketAddr,
        /// The response status and body, or why no request could be built.
        reason: String,
    },
    /// The request could not be sent, so it had no effect.
    #[snafu(display("cannot reach engine {addr}: {reason}"))]
    Unreachable {
        /// The engine's address.
        addr: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// No usable response came; the call may have taken effect.
    #[snafu(display("no usable response from engine {addr}: {reason}"))]
    Unknown {
        /// The engine's address.
        addr: SocketAddr,
        /// The cause.
        reason: String,
    },
}

/// An engine's load. It may be slightly out of date.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's role: `prefill`, `decode` or `mixed`.
    pub role: String,
    /// Number of requests being executed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub prompt_tokens: u64,
    /// Output tokens not yet generated.
    pub output_tokens: u64,
    /// KV cache in use, in tokens.
    pub kv_tokens: u64,
    /// The loaded model version.
    pub model: String,
    /// The highest fencing token the engine has seen; zero if it does not check tokens.
    pub epoch: u64,
}

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum EngineOrder {
    /// Load a model version.
    LoadModel {
        /// The model version.
        model: String,
    },
    /// Change role.
    ChangeRole {
        /// The new role: `prefill`, `decode` or `mixed`.
        role: String,
    },
    /// Stop once no request is running.
    Stop,
}

/// An order with its idempotency key and fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// The idempotency key: the engine executes an order with the same id once.
    pub id: String,
    /// The fencing token.
    pub epoch: u64,
    /// The order.
    pub order: EngineOrder,
}

/// The engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The order was executed.
    Done,
    /// An order with this id was executed before.
    Repeated,
    /// Rejected: the engine has seen a higher fencing token.
    Fenced,
}

/// A client of engines, addressed per call.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Reads an engine's load.
    async fn load(&self, addr: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Sends an order, without retrying.
    async fn order(
        &self,
        addr: SocketAddr,
        order: &OrderRequest,
    ) -> Result<OrderOutcome, EngineError>;
}
