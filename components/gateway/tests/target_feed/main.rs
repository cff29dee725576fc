//! Tests of how changes of the targets are passed on.

mod world;

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::{
    freshness::Freshness,
    target_feed::{FeedAnswer, FeedConditions, FeedRequest, PassedChanges, ReadReason, TargetFeed},
};
use proptest::prelude::*;

use crate::world::{Faults, HOSTS, LIMIT, POLLERS, START, TICK, World};

fn at(revision: u64) -> Version {
    Version::first_era(revision)
}

prop_compose! {
    fn faults()(
        (loss, repeated, late, large) in (0.0..0.5, 0.0..0.3, 0.0..0.3, 0.0..0.05),
        frozen in prop::collection::vec((0..HOSTS, 0u32..2_000, 1u32..600), 0..5),
        restarts in prop::collection::vec((0..HOSTS, 0u32..2_000), 0..3),
        restored in prop::option::of(150u32..2_000),
        old in prop::collection::vec(0..HOSTS, 0..3),
        cut_off in prop::collection::vec(0..HOSTS, 0..2),
    ) -> Faults {
        Faults { loss, repeated, late, frozen, restarts, restored, old, cut_off, large }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    // Guards against requests to targets that left longer than `drain_ms` ago, against lists that go back
    // to an earlier state, and against lists that differ from the store's for good.
    #[test]
    fn no_host_misses_a_removal_or_goes_back(
        seed in any::<u64>(), faults in faults(), chance in 0.001..0.05,
    ) {
        let mut world = World::new(seed, faults);
        world.run_for(2_500, chance);
        world.faults = Faults::default();
        world.run_for(400, 0.0);
        for (index, host) in world.hosts.iter().enumerate() {
            prop_assert_eq!(&host.list, &world.store.list, "host {}", index);
        }
    }
}

/// A host that follows the pollers since `START`, at version 50, confirmed by the store then.
fn follower() -> (TargetFeed, Freshness) {
    let (mut feed, mut freshness) = (TargetFeed::new(LIMIT), Freshness::new(LIMIT));
    feed.record_list(START, at(50));
    freshness.record_list(START, at(50), Some(at(40)), false);
    feed.set_following(true);
    (feed, freshness)
}

/// What a poller answers at version 50 to the question of `host`, `age` after the store confirmed it.
fn answer(request: FeedRequest, age: Duration) -> PassedChanges {
    let age = age.as_micros() as u64;
    let answer = Some(FeedAnswer { request: request.request, is_complete: true, age });
    PassedChanges { before: at(50), after: at(50), changes: Vec::new(), answer }
}

fn reason_of(feed: &TargetFeed, freshness: &Freshness, now: Time) -> Option<ReadReason> {
    let conditions = FeedConditions { is_poller: false, pollers: 2, is_store_down: false, era: 0 };
    feed.read_reason(now, freshness, &conditions)
}

// Guards against a late answer that counts from when it came: the poller may have stood still meanwhile.
#[test]
fn an_answer_counts_from_when_it_was_asked_for() {
    let (mut feed, mut freshness) = follower();
    let asked = START + LIMIT.mul_f64(0.1);
    let request = feed.next_request(asked, 7, &freshness).expect("a question");

    let received = START + LIMIT.mul_f64(0.35);
    feed.apply(received, 7, 0, answer(request, Duration::ZERO), &mut freshness);

    assert_eq!(reason_of(&feed, &freshness, received), None);
    let later = asked + LIMIT.mul_f64(0.3);
    assert_eq!(reason_of(&feed, &freshness, later), Some(ReadReason::Unheard));
}

// Guards against hosts that trust pollers which the store no longer answers.
#[test]
fn answers_of_pollers_without_the_store_do_not_keep_a_host_from_reading() {
    let (mut feed, mut freshness) = follower();
    let mut now = START;
    while reason_of(&feed, &freshness, now).is_none() && now < START + 2 * LIMIT {
        now += TICK;
        if let Some(request) = feed.next_request(now, 7, &freshness) {
            feed.apply(now, 7, 0, answer(request, now.since(START)), &mut freshness);
        }
    }

    assert_eq!(reason_of(&feed, &freshness, now), Some(ReadReason::Unconfirmed));
    assert!(now <= START + LIMIT.mul_f64(0.9), "{now:?}");
}

// Guards against a change that all messages with it were lost of, though others tell that it exists.
#[test]
fn a_missing_change_is_asked_for_once_and_then_read() {
    let (mut feed, mut freshness) = follower();
    feed.next_request(START, 7, &freshness);
    let heard = START + TICK;
    freshness.hear(heard, at(60));

    let first = feed.next_request(heard, 7, &freshness);
    let second = feed.next_request(heard, 7, &freshness);
    let late = heard + LIMIT.mul_f64(0.3);
    feed.apply(late, 7, 0, answer(first.expect("a question"), Duration::ZERO), &mut freshness);

    assert_eq!(second, None);
    assert_eq!(reason_of(&feed, &freshness, late), Some(ReadReason::Gap));
}

// Guards against calls of each host for each batch of changes.
#[test]
fn calls_of_followers_do_not_grow_with_the_changes() {
    for (chance, loss) in [(0.01, 0.0), (0.05, 0.0), (0.05, 0.01)] {
        let mut world = World::new(1, Faults { loss, ..Faults::default() });

        world.run_for(6_000, chance);

        let calls: Vec<u32> = world.hosts[POLLERS..].iter().map(|host| host.calls).collect();
        // A list, the first watch, and one in 20 s.
        assert!(calls.iter().all(|calls| *calls <= 2 + 60 / 20), "{calls:?} with {chance}, {loss}");
    }
}
