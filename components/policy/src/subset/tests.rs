use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

fn fleet(count: u32) -> Vec<TargetLocation> {
    (0..count).map(|id| TargetLocation { id: TargetId(id), zone: Zone((id % 6) as u8) }).collect()
}

#[test]
fn gives_each_target_to_many_hosts() {
    let targets = fleet(610);
    let mut followers = BTreeMap::<TargetId, u32>::new();

    for host in 0..330 {
        for id in choose_subset(HostId(host), Zone((host % 6) as u8), &targets, 48) {
            *followers.entry(id).or_default() += 1;
        }
    }

    assert_eq!(followers.len(), 610);
    assert!(followers.values().all(|count| (8..=50).contains(count)), "{followers:?}");
}

#[test]
fn takes_all_of_a_small_fleet() {
    assert_eq!(choose_subset(HostId(1), Zone(0), &fleet(15), 48).len(), 15);
}

proptest! {
    #[test]
    fn changes_little_when_a_target_goes(host: u32, gone in 0usize..100) {
        let mut targets = fleet(100);
        let before = choose_subset(HostId(host), Zone(0), &targets, 20);

        targets.remove(gone);
        let after = choose_subset(HostId(host), Zone(0), &targets, 20);

        let kept = after.iter().filter(|id| before.contains(id)).count();
        prop_assert_eq!(after.len(), 20);
        prop_assert!(kept >= 18);
    }
}
