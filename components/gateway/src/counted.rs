//! Counts the calls to the store, since each call is billed, and tells of its era.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::ObjectStore;
use chervilgate_coord::{StoreCall, StoreReply, Version};
use tokio::sync::watch;

use crate::metrics::Metrics;

/// A store wrapper that counts calls by kind and reply.
pub(crate) struct CountedStore {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) metrics: Arc<Metrics>,
    /// Latest era of the store that this host has seen or heard of.
    pub(crate) era: watch::Sender<u64>,
}

/// Raises the latest known era of the store; an earlier one has no effect.
pub(crate) fn raise_era(latest: &watch::Sender<u64>, era: u64) {
    latest.send_if_modified(|known| {
        let is_newer = era > *known;
        *known = era.max(*known);
        is_newer
    });
}

impl CountedStore {
    fn count(&self, call: &'static str, reply: StoreReply) -> StoreReply {
        raise_era(&self.era, self.store.era());
        let name = match &reply {
            StoreReply::Refused => "refused",
            StoreReply::Unknown => "unknown",
            StoreReply::Conflict(_) => "conflict",
            StoreReply::Compacted => "compacted",
            _ => "answered",
        };
        self.metrics.count_store_call(call, name);
        reply
    }
}

#[async_trait]
impl ObjectStore for CountedStore {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        let name = match call {
            StoreCall::Get { .. } => "get",
            StoreCall::Put { .. } => "put",
            StoreCall::Delete { .. } => "delete",
            StoreCall::List { .. } => "list",
            StoreCall::Watch { .. } => "watch",
        };
        self.count(name, self.store.call(call).await)
    }

    fn watch_hold_time(&self, wait: Duration) -> Duration {
        self.store.watch_hold_time(wait)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
        answer_time: Duration,
    ) -> StoreReply {
        self.count("watch", self.store.watch(prefix, after, wait, answer_time).await)
    }

    fn distrust_connections(&self) {
        self.store.distrust_connections();
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    async fn get_stale(&self, key: &str) -> StoreReply {
        self.count("lagging-get", self.store.get_stale(key).await)
    }

    async fn list_stale(&self, prefix: &str) -> StoreReply {
        self.count("lagging-list", self.store.list_stale(prefix).await)
    }
}
