//! Least-recently-used cache of prompt-prefix blocks of one engine.

use std::collections::BTreeMap;

/// A change to the set of cached blocks; the value is the block hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was added.
    Stored(u64),
    /// The block was evicted.
    Evicted(u64),
}

/// Least-recently-used set of block hashes.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    /// In blocks.
    capacity: usize,
    /// Incremented with each use of a block.
    tick: u64,
    /// Tick of the last use, by block hash.
    last_used: BTreeMap<u64, u64>,
    /// Block hash by tick of the last use; the first is evicted next.
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache that holds up to `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, tick: 0, last_used: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// Returns how many leading `blocks` are cached.
    pub fn prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|hash| self.last_used.contains_key(hash)).count()
    }

    /// Marks the leading cached `blocks` as used and returns how many they are.
    ///
    /// Later blocks are marked first, so that a prefix is evicted from its end.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let cached = self.prefix_len(blocks);
        for &hash in blocks[..cached].iter().rev() {
            self.mark_used(hash);
        }
        cached
    }

    /// Caches `blocks`, evicts the least recently used, and returns the changes.
    ///
    /// Blocks beyond the capacity are not cached.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for &hash in blocks.iter().take(self.capacity).rev() {
            if !self.last_used.contains_key(&hash) {
                changes.push(CacheChange::Stored(hash));
            }
            self.mark_used(hash);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else { break };
            self.last_used.remove(&hash);
            changes.push(CacheChange::Evicted(hash));
        }
        changes
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Removes all blocks without reporting them as evicted.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    fn mark_used(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(tick) = self.last_used.insert(hash, self.tick) {
            self.by_use.remove(&tick);
        }
        self.by_use.insert(self.tick, hash);
    }
}
