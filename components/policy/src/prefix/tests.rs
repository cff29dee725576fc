use std::sync::Arc;

use proptest::{collection::vec, prelude::*};

use super::*;

fn chain(seed: u64, blocks: u64) -> Vec<BlockHash> {
    (0..blocks).map(|block| BlockHash(seed * 1_000 + block)).collect()
}

fn stored(target: u32, seq: u64, blocks: &[BlockHash]) -> CacheEvent {
    event(target, seq, CacheChange::Stored(Arc::from(blocks)))
}

fn event(target: u32, seq: u64, change: CacheChange) -> CacheEvent {
    CacheEvent { target: TargetId(target), seq, change }
}

fn held(index: &PrefixIndex, target: u32, chain: &[BlockHash]) -> u32 {
    let matches = index.matches(chain);
    let found = matches.iter().find(|found| found.target == TargetId(target));
    found.map_or(0, |found| found.blocks)
}

#[test]
fn finds_the_common_prefix_of_each_engine() {
    let mut index = PrefixIndex::new(100);
    let prompt = chain(1, 8);

    index.apply(&stored(1, 0, &prompt[..3]));
    index.apply(&stored(2, 0, &prompt[..6]));

    assert_eq!(held(&index, 1, &prompt), 3);
    assert_eq!(held(&index, 2, &prompt), 6);
    assert!(index.matches(&chain(2, 8)).is_empty());
}

#[test]
fn invalidates_only_the_engine_whose_events_have_a_gap() {
    let mut index = PrefixIndex::new(100);
    let prompt = chain(1, 4);
    index.apply(&stored(1, 0, &prompt));
    index.apply(&stored(2, 0, &prompt));

    index.apply(&stored(1, 5, &chain(2, 2)));

    assert_eq!(held(&index, 1, &prompt), 0);
    assert_eq!(held(&index, 1, &chain(2, 2)), 2);
    assert_eq!(held(&index, 2, &prompt), 4);
}

#[test]
fn ignores_events_seen_before() {
    let mut index = PrefixIndex::new(100);
    let prompt = chain(1, 4);
    index.apply(&stored(1, 0, &prompt));
    index.apply(&event(1, 1, CacheChange::Removed(Arc::from(&prompt[2..]))));

    index.apply(&stored(1, 1, &prompt));

    assert_eq!(held(&index, 1, &prompt), 2);
}

#[test]
fn invalidates_a_restarted_engine() {
    let mut index = PrefixIndex::new(100);
    let prompt = chain(1, 4);
    index.apply(&stored(1, 0, &prompt));
    index.apply(&stored(1, 1, &prompt));

    index.apply(&stored(1, 0, &chain(2, 1)));

    assert_eq!(held(&index, 1, &prompt), 0);
}

#[test]
fn does_not_restore_entries_of_a_removed_engine() {
    let mut index = PrefixIndex::new(100);
    let prompt = chain(1, 4);
    index.apply(&stored(1, 0, &prompt));

    index.remove_engine(TargetId(1));
    index.insert_all(TargetId(1), &chain(2, 1));

    assert_eq!(held(&index, 1, &prompt), 0);
}

proptest! {
    #[test]
    fn stays_within_its_limit(limit in 2usize..64, seeds in vec((0u64..50, 0u32..9), 1..200)) {
        let mut index = PrefixIndex::new(limit);

        for (seed, target) in seeds {
            index.insert_all(TargetId(target), &chain(seed, 5));

            prop_assert!(index.len() <= limit);
        }
    }

    #[test]
    fn never_reports_more_blocks_than_were_stored(
        stores in vec((0u32..4, 0u64..4, 1usize..8), 1..60),
        asked in 0u64..4,
    ) {
        let mut index = PrefixIndex::new(1_000);
        let mut most = [0; 4];

        for (target, seed, blocks) in stores {
            index.insert_all(TargetId(target), &chain(seed, 8)[..blocks]);
            if seed == asked {
                let most = &mut most[target as usize];
                *most = blocks.max(*most);
            }
        }

        for found in index.matches(&chain(asked, 8)) {
            prop_assert_eq!(found.blocks as usize, most[found.target.0 as usize]);
        }
    }
}
