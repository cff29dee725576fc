//! Index of the prompt prefixes cached on each engine.
//!
//! The index is built from cache events, which arrive late and with gaps, and from the
//! requests that this host sends. Its answers are hints: a wrong entry costs a recomputed
//! prefix but never affects the output. A gap in the events of an engine invalidates all its
//! entries in constant time, by assigning a new generation.
//!
//! Memory is bounded by two maps of half the limit each. New blocks go into the current map.
//! When it is full, it replaces the previous map, which is dropped. Blocks still in use are
//! added again by the next event or request.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{BlockHash, TargetId};

#[cfg(test)]
mod tests;

/// Maximum number of engines recorded per block.
const MAX_HOLDERS: usize = 6;

/// A change to the prefix cache of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CacheChange {
    /// Blocks were added.
    Stored(Arc<[BlockHash]>),
    /// Blocks were evicted.
    Removed(Arc<[BlockHash]>),
    /// All blocks were evicted.
    Cleared,
}

/// A numbered cache event of an engine; may arrive late.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetId,
    /// Sequence number, starting at zero when the engine starts.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}

/// An engine and the number of leading prompt blocks that it has cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Match {
    pub(crate) target: TargetId,
    pub(crate) blocks: u32,
}

/// Engines that have cached a prefix of one prompt.
pub(crate) type Matches = SmallVec<[Match; 8]>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    target: TargetId,
    generation: u32,
}

type Holders = SmallVec<[Holder; 2]>;

#[derive(Debug)]
struct EngineState {
    generation: u32,
    next_seq: u64,
}

/// Prefix blocks and the engines that have cached them, in bounded memory.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    max_blocks: usize,
    current: HashMap<BlockHash, Holders>,
    previous: HashMap<BlockHash, Holders>,
    engines: HashMap<TargetId, EngineState>,
    last_generation: u32,
}

impl PrefixIndex {
    /// Creates an empty index of at most `max_blocks` blocks.
    pub(crate) fn new(max_blocks: usize) -> PrefixIndex {
        PrefixIndex {
            max_blocks: max_blocks.max(2),
            current: HashMap::new(),
            previous: HashMap::new(),
            engines: HashMap::new(),
            last_generation: 0,
        }
    }

    /// Number of indexed blocks.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Applies an event. Duplicates are ignored; a gap invalidates the entries of the engine.
    pub(crate) fn apply(&mut self, event: &CacheEvent) {
        let next_seq = self.engine_mut(event.target).next_seq;
        let restarted = event.seq == 0 && next_seq > 0;
        if event.seq < next_seq && !restarted {
            return;
        }
        if event.seq != next_seq {
            self.invalidate(event.target);
        }
        self.engine_mut(event.target).next_seq = event.seq + 1;
        match &event.change {
            CacheChange::Stored(blocks) => self.insert_all(event.target, blocks),
            CacheChange::Removed(blocks) => self.remove(event.target, blocks),
            CacheChange::Cleared => self.invalidate(event.target),
        }
    }

    /// Records that `target` has cached `blocks`.
    pub(crate) fn insert_all(&mut self, target: TargetId, blocks: &[BlockHash]) {
        let generation = self.engine_mut(target).generation;
        for &block in blocks {
            self.insert(block, Holder { target, generation });
        }
    }

    /// Invalidates all entries of `target`.
    pub(crate) fn invalidate(&mut self, target: TargetId) {
        self.last_generation += 1;
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.generation = self.last_generation;
        }
    }

    /// Removes an engine that no longer exists.
    pub(crate) fn remove_engine(&mut self, target: TargetId) {
        self.engines.remove(&target);
    }

    /// Returns the engines that have cached a prefix of `chain`, with its length in blocks.
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
        let holders = self.current.get(block).into_iter().chain(self.previous.get(block)).flatten();
        for holder in holders.filter(|holder| self.is_valid(holder)) {
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

    fn engine_mut(&mut self, target: TargetId) -> &mut EngineState {
        if !self.engines.contains_key(&target) {
            self.last_generation += 1;
        }
        let generation = self.last_generation;
        self.engines.entry(target).or_insert(EngineState { generation, next_seq: 0 })
    }

    fn is_valid(&self, holder: &Holder) -> bool {
        let engine = self.engines.get(&holder.target);
        engine.is_some_and(|engine| engine.generation == holder.generation)
    }

    fn insert(&mut self, block: BlockHash, holder: Holder) {
        if let Some(holders) = self.current.get_mut(&block) {
            add_holder(holders, holder);
            return;
        }
        if self.current.len() >= self.max_blocks / 2 {
            self.previous = std::mem::take(&mut self.current);
        }
        let mut holders = self.previous.remove(&block).unwrap_or_default();
        add_holder(&mut holders, holder);
        self.current.insert(block, holders);
    }

    fn remove(&mut self, target: TargetId, blocks: &[BlockHash]) {
        for block in blocks {
            for map in [&mut self.current, &mut self.previous] {
                if let Some(holders) = map.get_mut(block) {
                    holders.retain(|holder| holder.target != target);
                }
            }
        }
    }
}

/// Adds a holder, replacing an earlier entry of its target or else, if full, the oldest one.
fn add_holder(holders: &mut Holders, holder: Holder) {
    holders.retain(|known| known.target != holder.target);
    if holders.len() == MAX_HOLDERS {
        holders.remove(0);
    }
    holders.push(holder);
}
