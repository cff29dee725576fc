//! Which engines hold which prompt prefixes.
//!
//! The index is fed by engines' cache events, which come late and with gaps, and
//! by what this host sent itself. It is a hint: a wrong entry costs a recomputed
//! prefix and never an answer. A gap in an engine's events voids what is known of
//! that engine by raising its generation, in constant time.
//!
//! Memory is bounded by two maps of half the limit each. New blocks go into the
//! young map; when that is full it becomes the old one, and the former old one is
//! dropped. Blocks still in use come back with the next event or request.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{BlockHash, TargetId};

#[cfg(test)]
mod tests;

/// Engines remembered a block.
const HOLDERS: usize = 6;

/// What changed in an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Arc<[BlockHash]>),
    /// Blocks were dropped.
    Removed(Arc<[BlockHash]>),
    /// The whole cache was dropped.
    Cleared,
}

/// One event of an engine's numbered cache event stream; may come late.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetId,
    /// Counts up by one an event, from zero when the engine starts.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
}

/// An engine and the number of leading blocks of a prompt that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Match {
    pub(crate) target: TargetId,
    pub(crate) blocks: u32,
}

/// Engines that hold a prefix of one prompt.
pub(crate) type Matches = SmallVec<[Match; 8]>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    target: TargetId,
    generation: u32,
}

type Holders = SmallVec<[Holder; 2]>;

#[derive(Debug)]
struct Source {
    generation: u32,
    next: u64,
}

/// Prefix blocks by engine, in bounded memory.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    limit: usize,
    young: HashMap<BlockHash, Holders>,
    old: HashMap<BlockHash, Holders>,
    sources: HashMap<TargetId, Source>,
    generations: u32,
}

impl PrefixIndex {
    /// An empty index of at most `limit` blocks.
    pub(crate) fn new(limit: usize) -> PrefixIndex {
        PrefixIndex {
            limit: limit.max(2),
            young: HashMap::new(),
            old: HashMap::new(),
            sources: HashMap::new(),
            generations: 0,
        }
    }

    /// Blocks remembered, at most the limit.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Takes in an event; one seen before is ignored, a gap voids the engine.
    pub(crate) fn apply(&mut self, event: &CacheEvent) {
        let next = self.source(event.target).next;
        let restarted = event.seq == 0 && next > 0;
        if event.seq < next && !restarted {
            return;
        }
        if event.seq != next {
            self.void(event.target);
        }
        self.source(event.target).next = event.seq + 1;
        match &event.change {
            CacheChange::Stored(blocks) => self.store(event.target, blocks),
            CacheChange::Removed(blocks) => self.remove(event.target, blocks),
            CacheChange::Cleared => self.void(event.target),
        }
    }

    /// Remembers that `target` holds `blocks`.
    pub(crate) fn store(&mut self, target: TargetId, blocks: &[BlockHash]) {
        let generation = self.source(target).generation;
        for &block in blocks {
            self.insert(block, Holder { target, generation });
        }
    }

    /// Forgets all that `target` holds.
    pub(crate) fn void(&mut self, target: TargetId) {
        self.generations += 1;
        if let Some(source) = self.sources.get_mut(&target) {
            source.generation = self.generations;
        }
    }

    /// Forgets a target that is gone.
    pub(crate) fn forget(&mut self, target: TargetId) {
        self.sources.remove(&target);
    }

    /// Engines that hold a prefix of `chain`, with its length in blocks.
    pub(crate) fn matches(&self, chain: &[BlockHash]) -> Matches {
        let mut found = Matches::new();
        for (index, block) in (0u32..).zip(chain) {
            if !self.extend(&mut found, index, block) {
                break;
            }
        }
        found
    }

    fn extend(&self, found: &mut Matches, index: u32, block: &BlockHash) -> bool {
        let mut extended = false;
        let holders = self.young.get(block).into_iter().chain(self.old.get(block)).flatten();
        for holder in holders.filter(|holder| self.is_live(holder)) {
            let known = found.iter_mut().find(|known| known.target == holder.target);
            match known {
                Some(known) if known.blocks == index => known.blocks += 1,
                None if index == 0 => found.push(Match { target: holder.target, blocks: 1 }),
                _ => continue,
            }
            extended = true;
        }
        extended
    }

    fn source(&mut self, target: TargetId) -> &mut Source {
        if !self.sources.contains_key(&target) {
            self.generations += 1;
        }
        let generation = self.generations;
        self.sources.entry(target).or_insert(Source { generation, next: 0 })
    }

    fn is_live(&self, holder: &Holder) -> bool {
        let source = self.sources.get(&holder.target);
        source.is_some_and(|source| source.generation == holder.generation)
    }

    fn insert(&mut self, block: BlockHash, holder: Holder) {
        if let Some(holders) = self.young.get_mut(&block) {
            add(holders, holder);
            return;
        }
        if self.young.len() >= self.limit / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let mut holders = self.old.remove(&block).unwrap_or_default();
        add(&mut holders, holder);
        self.young.insert(block, holders);
    }

    fn remove(&mut self, target: TargetId, blocks: &[BlockHash]) {
        for block in blocks {
            for map in [&mut self.young, &mut self.old] {
                if let Some(holders) = map.get_mut(block) {
                    holders.retain(|holder| holder.target != target);
                }
            }
        }
    }
}

/// Adds a holder in place of an earlier entry of its target, or of the first one.
fn add(holders: &mut Holders, holder: Holder) {
    holders.retain(|known| known.target != holder.target);
    if holders.len() == HOLDERS {
        holders.remove(0);
    }
    holders.push(holder);
}
