//! Shares one call among all callers that wait for the same result.

use std::collections::BTreeMap;

/// Groups waiters by the key of the call they wait for.
///
/// A waiter joins only a call that has not started yet, so that the result is never older than
/// its request.
#[derive(Debug, Clone)]
pub struct SingleFlight<K, W> {
    waiting: BTreeMap<K, Vec<W>>,
    in_flight: BTreeMap<K, Vec<W>>,
}

impl<K: Ord + Clone, W> SingleFlight<K, W> {
    /// Creates a group without waiters.
    pub fn new() -> SingleFlight<K, W> {
        SingleFlight { waiting: BTreeMap::new(), in_flight: BTreeMap::new() }
    }

    /// Adds a waiter for the next call of `key`.
    pub fn join(&mut self, key: K, waiter: W) {
        self.waiting.entry(key).or_default().push(waiter);
    }

    /// Marks the next queued call as started and returns its key.
    ///
    /// Skips keys that already have a call in flight; returns `None` if nothing else is queued.
    pub fn start_next(&mut self) -> Option<K> {
        let key = self.waiting.keys().find(|queued| !self.in_flight.contains_key(queued))?.clone();
        let waiters = self.waiting.remove(&key)?;
        self.in_flight.insert(key.clone(), waiters);
        Some(key)
    }

    /// Ends the call of `key` and returns the waiters that its result is for.
    pub fn finish(&mut self, key: &K) -> Vec<W> {
        self.in_flight.remove(key).unwrap_or_default()
    }
}

impl<K: Ord + Clone, W> Default for SingleFlight<K, W> {
    fn default() -> SingleFlight<K, W> {
        SingleFlight::new()
    }
}
