//! Sessions, shards, orders and takeover under single failures.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Epoch, Expect, Incarnation, Protocol, ReceiverId, ShardId, Step, StoreCall, override_key,
};
use chervilgate_testbed::{
    Fact, Fault, FaultInjection, HostId, HostState, Input, OwnersSetting, Promise, Testbed,
    build_owners, check,
};

const SEND: Step = Step::new(Protocol::Order, "send");

fn start_owners(setting: &OwnersSetting) -> Testbed {
    let mut bed = build_owners(setting);
    bed.run_until(Time::from_secs(20));
    bed
}

fn shard() -> ShardId {
    ShardId("engines-0".to_owned())
}

fn plain() -> ReceiverId {
    ReceiverId { shard: shard(), name: "plain".to_owned() }
}

/// The last process that considered itself the owner of a shard, with its epoch and the time.
fn owner(bed: &Testbed, shard: &ShardId) -> (HostId, Incarnation, Epoch, Time) {
    let holds = bed.history.entries.iter().rev().find_map(|entry| match &entry.fact {
        Fact::Holds { shard: held, epoch, .. } if held == shard => {
            Some((entry.host?, entry.process?, *epoch, entry.at))
        }
        _ => None,
    });
    holds.expect("the shard has had an owner")
}

/// When a shard was first owned under an epoch.
fn gained_at(bed: &Testbed, shard: &ShardId, epoch: Epoch) -> Time {
    let gained_at = bed.history.entries.iter().find_map(|entry| match &entry.fact {
        Fact::Holds { shard: held, epoch: now, .. } if held == shard && *now == epoch => {
            Some(entry.at)
        }
        _ => None,
    });
    gained_at.expect("the epoch has had an owner")
}

/// Number of the receiver's orders that completed after a time.
fn completed(bed: &Testbed, receiver: &ReceiverId, after: Time) -> usize {
    let counts =
        |fact: &Fact| matches!(fact, Fact::Completed { order, .. } if order.receiver == *receiver);
    bed.history.entries.iter().filter(|entry| entry.at > after && counts(&entry.fact)).count()
}

/// Number of the last order that the receiver received; 0 if there is none.
fn last_seq(bed: &Testbed, receiver: &ReceiverId) -> u64 {
    let seq = bed.history.entries.iter().rev().find_map(|entry| match &entry.fact {
        Fact::Received { order, .. } if order.id.receiver == *receiver => Some(order.id.seq),
        _ => None,
    });
    seq.unwrap_or(0)
}

/// Injects a fault at the host's next send of an order.
fn inject_at_send(bed: &mut Testbed, host: HostId, fault: Fault) {
    let sent = bed
        .history
        .entries
        .iter()
        .filter(|entry| entry.host == Some(host) && entry.fact == Fact::Called(SEND));
    let nth = sent.count();
    bed.inject_fault(FaultInjection { step: SEND, nth, host: Some(host), fault });
}

fn assert_no_violation(bed: &Testbed) {
    let report = check(&bed.history);

    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.kept(Promise::NoConflict));
    assert!(report.kept(Promise::NoStaleOrder));
    assert!(report.kept(Promise::OneOrderer));
}

#[test]
fn can_give_orders_without_faults() {
    let bed = start_owners(&OwnersSetting::default());

    assert!(completed(&bed, &plain(), Time::ZERO) >= 4);
    assert_no_violation(&bed);
}

#[test]
fn can_take_a_killed_owners_shard() {
    let mut bed = start_owners(&OwnersSetting::default());
    let (host, _, epoch, _) = owner(&bed, &shard());
    let killed_at = bed.now();

    bed.kill(host, None);
    bed.run_for(Duration::from_secs(20));

    let taken_at = gained_at(&bed, &shard(), Epoch(epoch.0 + 1));
    assert!(
        taken_at - killed_at <= Duration::from_secs(15),
        "shard taken after {:?}",
        taken_at - killed_at
    );
    assert!(completed(&bed, &plain(), taken_at) > 0);
    assert_no_violation(&bed);
}

#[test]
fn can_hand_over_on_a_planned_stop() {
    let mut bed = start_owners(&OwnersSetting::default());
    let (host, _, epoch, _) = owner(&bed, &shard());
    let stopped_at = bed.now();

    bed.set_restarts(host, false);
    bed.send_input(host, Input::Stop);
    bed.run_for(Duration::from_secs(10));

    let taken_at = gained_at(&bed, &shard(), Epoch(epoch.0 + 1));
    assert!(
        taken_at - stopped_at <= Duration::from_secs(3),
        "shard taken after {:?}",
        taken_at - stopped_at
    );
    assert_eq!(bed.state(host), HostState::NoProcess);
    assert_no_violation(&bed);
}

#[test]
fn a_paused_sender_freezes_a_receiver_until_its_end_is_proved() {
    let mut bed = start_owners(&OwnersSetting::default());
    let (host, sender, _, _) = owner(&bed, &shard());
    bed.fault_durations.pause = Duration::from_secs(60);

    for _ in 0..2 {
        inject_at_send(&mut bed, host, Fault::PausedBefore);
    }
    bed.run_for(Duration::from_secs(50));
    let before = last_seq(&bed, &plain());
    let (next, ..) = owner(&bed, &shard());
    let frozen = Fact::Frozen { receiver: plain(), sender };
    let was_frozen = bed.history.entries.iter().any(|entry| entry.fact == frozen);
    bed.run_for(Duration::from_secs(40));

    assert_ne!(next, host);
    assert!(was_frozen, "the receiver was not frozen");
    assert!(last_seq(&bed, &plain()) > before);
    assert_no_violation(&bed);
}

#[test]
fn an_operator_override_unfreezes_a_receiver() {
    let mut bed = start_owners(&OwnersSetting::default());
    let (host, sender, ..) = owner(&bed, &shard());

    inject_at_send(&mut bed, host, Fault::Vanished);
    bed.run_for(Duration::from_secs(60));
    let before = last_seq(&bed, &plain());
    let key = override_key(sender);
    let call = StoreCall::Put { key, expect: Expect::Absent, value: Vec::new() };
    bed.store.serve(&call);
    bed.run_for(Duration::from_secs(15));

    let (.., taken_at) = owner(&bed, &shard());
    assert!(taken_at > Time::from_secs(60));
    assert!(last_seq(&bed, &plain()) > before);
    assert_no_violation(&bed);
}

#[test]
fn a_long_outage_of_the_store_moves_no_shard() {
    let mut bed = start_owners(&OwnersSetting::default());
    let before = owner(&bed, &shard());

    bed.set_store(chervilgate_testbed::StoreMode::Down);
    bed.run_for(Duration::from_secs(120));
    bed.set_store(chervilgate_testbed::StoreMode::Normal);
    let restored_at = bed.now();
    bed.run_for(Duration::from_secs(20));

    let after = owner(&bed, &shard());
    assert_eq!((before.1, before.2), (after.1, after.2));
    assert!(completed(&bed, &plain(), restored_at) > 0);
    assert_no_violation(&bed);
}
