//! Target orders and their cost, weight loading, prefix cache, delayed reports and event queue.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{
    DelayQueue, EventQueue, NoCapacity, PrefixCache, PriceList, PricingTier, Profile,
    TargetProvider, WeightStore,
};

fn supply() -> TargetProvider {
    TargetProvider::new(PriceList { steady: 3_600, cheap: 360 }, WeightStore::new(1_000_000_000))
}

#[test]
fn loads_share_the_weight_store() {
    let mut store = WeightStore::new(1_000);

    let first = store.load(Time::from_secs(1), 2_000);
    let second = store.load(Time::from_secs(1), 1_000);

    assert_eq!((first, second), (Time::from_secs(3), Time::from_secs(4)));
}

#[test]
fn a_reclaimed_zone_loses_only_its_cheap_targets() {
    let mut supply = supply();
    supply.add_running(Time::ZERO, 0, PricingTier::Steady);
    let cheap = supply.add_running(Time::ZERO, 0, PricingTier::Cheap);
    supply.add_running(Time::ZERO, 1, PricingTier::Cheap);

    let reclaimed = supply.reclaim(Time::from_secs(10), 0, Duration::from_secs(60));
    let order = |supply: &mut TargetProvider, zone, secs| {
        supply.order(Time::from_secs(secs), zone, PricingTier::Cheap, &Profile::small())
    };

    assert_eq!(reclaimed, [cheap]);
    assert_eq!(order(&mut supply, 0, 20), Err(NoCapacity));
    assert!(order(&mut supply, 1, 20).is_ok());
    assert!(order(&mut supply, 0, 70).is_ok());
}

#[test]
fn a_target_costs_until_it_is_returned() {
    let mut supply = supply();
    let steady = supply.add_running(Time::ZERO, 0, PricingTier::Steady);
    supply.add_running(Time::ZERO, 0, PricingTier::Cheap);

    supply.return_target(Time::from_secs(10), steady);

    assert_eq!(supply.total_cost(Time::from_secs(100)).round(), 10.0 + 10.0);
}

#[test]
fn the_least_recently_used_block_is_evicted() {
    let mut cache = PrefixCache::new(3);
    cache.insert(&[1, 2, 3]);
    cache.touch(&[1]);

    cache.insert(&[4]);

    assert_eq!(cache.len(), 3);
    assert_eq!(cache.touch(&[1, 2, 3]), 2);
}

#[test]
fn reports_arrive_late_and_stop() {
    let mut reports = DelayQueue::new(Duration::from_secs(2));
    reports.push(Time::from_secs(1), 'a');
    reports.set_stopped(true);
    reports.push(Time::from_secs(2), 'b');

    assert_eq!(reports.pop(Time::from_millis(2_999)), None);
    assert_eq!(reports.pop(Time::from_secs(3)), Some('a'));
    assert_eq!(reports.next_arrival(), None);
}

#[test]
fn events_of_one_time_keep_their_order() {
    let mut queue = EventQueue::default();
    queue.push(Time::from_secs(2), 'c');
    queue.push(Time::from_secs(1), 'a');
    queue.push(Time::from_secs(1), 'b');

    let order: String = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event).collect();

    assert_eq!(order, "abc");
}
