//! Sessions, shards, orders and takeover, one failure at a time.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Epoch, Expect, Incarnation, Protocol, ReceiverId, ShardId, Step, StoreCall, override_key,
};
use chervilgate_testbed::{
    Bed, Fact, Fault, HostId, HostState, Input, Promise, Strike, WorldSetting, build_world, check,
};

const SEND: Step = Step::new(Protocol::Order, "send");

fn world(setting: &WorldSetting) -> Bed {
    let mut bed = build_world(setting);
    bed.run_until(Time::from_secs(20));
    bed
}

fn shard() -> ShardId {
    ShardId("engines-0".to_owned())
}

fn plain() -> ReceiverId {
    ReceiverId { shard: shard(), name: "plain".to_owned() }
}

/// The last process that believed to own a shard, with the epoch and the time.
fn owner(bed: &Bed, shard: &ShardId) -> (HostId, Incarnation, Epoch, Time) {
    let holds = bed.history.entries.iter().rev().find_map(|entry| match &entry.fact {
        Fact::Holds { shard: held, epoch, .. } if held == shard => {
            Some((entry.host?, entry.process?, *epoch, entry.at))
        }
        _ => None,
    });
    holds.expect("the shard has had an owner")
}

fn gained(bed: &Bed, shard: &ShardId, epoch: Epoch) -> Time {
    let gained = bed.history.entries.iter().find_map(|entry| match &entry.fact {
        Fact::Holds { shard: held, epoch: now, .. } if held == shard && *now == epoch => {
            Some(entry.at)
        }
        _ => None,
    });
    gained.expect("the epoch has had an owner")
}

fn completed(bed: &Bed, receiver: &ReceiverId, after: Time) -> usize {
    let counts =
        |fact: &Fact| matches!(fact, Fact::Completed { order, .. } if order.receiver == *receiver);
    bed.history.entries.iter().filter(|entry| entry.at > after && counts(&entry.fact)).count()
}

fn last_seq(bed: &Bed, receiver: &ReceiverId) -> u64 {
    let seq = bed.history.entries.iter().rev().find_map(|entry| match &entry.fact {
        Fact::Received { order, .. } if order.id.receiver == *receiver => Some(order.id.seq),
        _ => None,
    });
    seq.unwrap_or(0)
}

/// Strikes the first order that is sent to the receiver from now on.
fn strike_send(bed: &mut Bed, host: HostId, fault: Fault) {
    let sent = bed
        .history
        .entries
        .iter()
        .filter(|entry| entry.host == Some(host) && entry.fact == Fact::Called(SEND));
    let nth = sent.count();
    bed.strike(Strike { step: SEND, nth, host: Some(host), fault });
}

fn assert_kept(bed: &Bed) {
    let report = check(&bed.history);

    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.kept(Promise::NoConflict));
    assert!(report.kept(Promise::NoStaleOrder));
    assert!(report.kept(Promise::OneOrderer));
}

#[test]
fn can_give_orders_without_faults() {
    let bed = world(&WorldSetting::default());

    assert!(completed(&bed, &plain(), Time::ZERO) >= 4);
    assert_kept(&bed);
}

#[test]
fn can_take_a_killed_owners_shard() {
    let mut bed = world(&WorldSetting::default());
    let (host, _, epoch, _) = owner(&bed, &shard());
    let killed = bed.now();

    bed.kill(host, None);
    bed.run_for(Duration::from_secs(20));

    let taken = gained(&bed, &shard(), Epoch(epoch.0 + 1));
    assert!(taken - killed <= Duration::from_secs(15), "taken after {:?}", taken - killed);
    assert!(completed(&bed, &plain(), taken) > 0);
    assert_kept(&bed);
}

#[test]
fn can_hand_over_on_a_planned_stop() {
    let mut bed = world(&WorldSetting::default());
    let (host, _, epoch, _) = owner(&bed, &shard());
    let stopped = bed.now();

    bed.set_restarts(host, false);
    bed.give(host, Input::Stop);
    bed.run_for(Duration::from_secs(10));

    let taken = gained(&bed, &shard(), Epoch(epoch.0 + 1));
    assert!(taken - stopped <= Duration::from_secs(3), "taken after {:?}", taken - stopped);
    assert_eq!(bed.state(host), HostState::Empty);
    assert_kept(&bed);
}

#[test]
fn a_paused_sender_freezes_a_receiver_until_it_is_out() {
    let mut bed = world(&WorldSetting::default());
    let (host, sender, _, _) = owner(&bed, &shard());
    bed.spans.pause = Duration::from_secs(60);

    for _ in 0..2 {
        strike_send(&mut bed, host, Fault::PausedBefore);
    }
    bed.run_for(Duration::from_secs(50));
    let before = last_seq(&bed, &plain());
    let (next, ..) = owner(&bed, &shard());
    let frozen = Fact::Frozen { receiver: plain(), sender };
    let froze = bed.history.entries.iter().any(|entry| entry.fact == frozen);
    bed.run_for(Duration::from_secs(40));

    assert_ne!(next, host);
    assert!(froze, "the receiver was not frozen");
    assert!(last_seq(&bed, &plain()) > before);
    assert_kept(&bed);
}

#[test]
fn an_operator_can_free_a_receiver() {
    let mut bed = world(&WorldSetting::default());
    let (host, sender, ..) = owner(&bed, &shard());

    strike_send(&mut bed, host, Fault::Vanished);
    bed.run_for(Duration::from_secs(60));
    let before = last_seq(&bed, &plain());
    let key = override_key(sender);
    let call = StoreCall::Put { key, expect: Expect::Absent, value: Vec::new() };
    bed.store.serve(&call);
    bed.run_for(Duration::from_secs(15));

    let (.., taken) = owner(&bed, &shard());
    assert!(taken > Time::from_secs(60));
    assert!(last_seq(&bed, &plain()) > before);
    assert_kept(&bed);
}

#[test]
fn a_long_outage_of_the_store_moves_no_shard() {
    let mut bed = world(&WorldSetting::default());
    let before = owner(&bed, &shard());

    bed.set_store(chervilgate_testbed::StoreMode::Down);
    bed.run_for(Duration::from_secs(120));
    bed.set_store(chervilgate_testbed::StoreMode::Normal);
    let mended = bed.now();
    bed.run_for(Duration::from_secs(20));

    let after = owner(&bed, &shard());
    assert_eq!((before.1, before.2), (after.1, after.2));
    assert!(completed(&bed, &plain(), mended) > 0);
    assert_kept(&bed);
}
