//! What has reached an engine.

use std::collections::BTreeMap;

use chervilgate_clients::OrderRequest;

/// Everything that has reached an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineRecord {
    /// Runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that carried a caller's key; there should be none.
    pub keys_seen: u64,
    /// Requests that run now.
    pub running: u32,
    /// Tokens sent.
    pub tokens: u64,
    /// Streams that their reader left.
    pub cancelled: u64,
    /// Orders that took effect, in order.
    pub orders: Vec<OrderRequest>,
    /// Orders refused for an old fencing token.
    pub fenced: u64,
}
