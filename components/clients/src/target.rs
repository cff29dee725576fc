//! What engines understand besides requests: load reports and orders.

mod http;

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use self::http::HttpEngine;

/// Why an engine gave no usable answer.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call had no effect.
    #[snafu(display("engine {addr} refused: {reason}"))]
    Refused {
        /// The engine.
        addr: SocketAddr,
        /// What it said.
        reason: String,
    },
    /// Nothing listens there any more.
    #[snafu(display("engine {addr} could not be reached: {reason}"))]
    Unreachable {
        /// The engine.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display("engine {addr} did not answer: {reason}"))]
    Unknown {
        /// The engine.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

/// An engine's load as it was a little while ago.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The role it plays: `prefill`, `decode` or `mixed`.
    pub role: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub prompt_tokens: u64,
    /// Output tokens not yet generated.
    pub output_tokens: u64,
    /// KV cache in use, in tokens.
    pub kv_tokens: u64,
    /// The model version it has loaded.
    pub model: String,
    /// The highest fencing token it has seen; zero if it checks none.
    pub epoch: u64,
}

/// What an engine can be told to do.
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
        /// `prefill`, `decode` or `mixed`.
        role: String,
    },
    /// Stop once nothing runs.
    Stop,
}

/// An order with its identity and authority.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// Makes the order idempotent.
    pub id: String,
    /// The fencing token.
    pub epoch: u64,
    /// The order.
    pub order: EngineOrder,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// It took effect now.
    Done,
    /// It had taken effect before.
    Repeated,
    /// The engine has seen a higher fencing token.
    Fenced,
}

/// Talks to one engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Reads the engine's load.
    async fn load(&self, addr: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Sends one order once.
    async fn order(
        &self,
        addr: SocketAddr,
        order: &OrderRequest,
    ) -> Result<OrderOutcome, EngineError>;
}
