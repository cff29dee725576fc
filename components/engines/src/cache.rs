//! The prefix cache of one engine.

use std::collections::BTreeMap;

/// A block that entered or left the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is cached now.
    Stored(u64),
    /// The block was evicted.
    Evicted(u64),
}

/// Block hashes in order of use, bounded by a number of blocks.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    used: BTreeMap<u64, u64>,
    oldest: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, tick: 0, used: BTreeMap::new(), oldest: BTreeMap::new() }
    }

    /// Number of leading `blocks` that are cached.
    pub fn count(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|hash| self.used.contains_key(hash)).count()
    }

    /// Number of leading `blocks` that are cached; marks them as used.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let hit = self.count(blocks);
        for &hash in blocks[..hit].iter().rev() {
            self.mark(hash);
        }
        hit
    }

    /// Caches `blocks`, evicts the least recently used, and tells what changed.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for &hash in blocks.iter().take(self.capacity).rev() {
            if !self.used.contains_key(&hash) {
                changes.push(CacheChange::Stored(hash));
            }
            self.mark(hash);
        }
        while self.used.len() > self.capacity {
            let Some((_, hash)) = self.oldest.pop_first() else { break };
            self.used.remove(&hash);
            changes.push(CacheChange::Evicted(hash));
        }
        changes
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Drops every block.
    pub fn clear(&mut self) {
        self.used.clear();
        self.oldest.clear();
    }

    fn mark(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(tick) = self.used.insert(hash, self.tick) {
            self.oldest.remove(&tick);
        }
        self.oldest.insert(self.tick, hash);
    }
}
