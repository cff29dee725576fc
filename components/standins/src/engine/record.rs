//! The calls that a fake engine has received.

use std::collections::BTreeMap;

use chervilgate_clients::OrderRequest;

/// Requests and orders that an engine has received.
#[derive(Debug, Clone, Default)]
pub struct EngineRecord {
    /// How often each request ran, by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that contained a caller's key, which targets must never see.
    pub keys_seen: u64,
    /// Requests running now.
    pub running: u32,
    /// Tokens generated for answers.
    pub tokens: u64,
    /// Requests that ended before their answer was complete.
    pub cancelled: u64,
    /// Orders that took effect, in the order of arrival.
    pub orders: Vec<OrderRequest>,
    /// Orders refused because of an old epoch.
    pub fenced: u64,
}
