//! Peers that have closed connections of a pool.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use tokio::sync::Notify;

/// Maximum number of peers that are remembered until somebody asks.
const MAX_PEERS: usize = 4_096;

/// Addresses at which peers have closed connections, until they are asked for.
#[derive(Debug, Default)]
pub struct ClosedPeers {
    addrs: Mutex<HashSet<SocketAddr>>,
    changed: Notify,
}

impl ClosedPeers {
    /// Waits until peers have closed connections, and returns their addresses.
    pub async fn next(&self) -> HashSet<SocketAddr> {
        loop {
            let changed = self.changed.notified();
            let addrs =
                std::mem::take(&mut *self.addrs.lock().unwrap_or_else(PoisonError::into_inner));
            if !addrs.is_empty() {
                return addrs;
            }
            changed.await;
        }
    }

    pub(super) fn add(&self, addr: SocketAddr) {
        let mut addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        if addrs.len() < MAX_PEERS {
            addrs.insert(addr);
        }
        self.changed.notify_one();
    }
}
