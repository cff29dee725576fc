//! Tests of single state machines: budget, heartbeats, freshness, voters, idempotency keys and
//! overlay.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Incarnation, Node, Zone,
    budget::{BreakerState, Budget, CallKind, Permit, SingleFlight, Urgency},
    claim::{Admission, IdempotencyKeys, RequestState, SCOPE_LIFETIME, SCOPE_RETENTION, ScopedKey},
    view::{Echo, Freshness, Gossip, Heartbeat, Overlay, Seq, ViewStatus, Voters, select_voters},
};

fn node(number: u64, zone: &str) -> Node {
    let [high, low] = (number as u16).to_be_bytes();
    Node {
        incarnation: Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        addr: SocketAddr::from(([10, 0, high, low], 7000)),
        zone: Zone(zone.to_owned()),
    }
}

fn fleet(count: u64) -> Vec<Node> {
    (1..=count).map(|number| node(number, ["a", "b", "c"][number as usize % 3])).collect()
}

fn key(memory: &mut IdempotencyKeys, now: Time, name: &str) -> ScopedKey {
    let scope = memory.scope(now).expect("the memory is open");
    ScopedKey { scope, organisation: "office".to_owned(), key: name.to_owned() }
}

fn heartbeat(from: &Node, echo: Option<Echo>) -> Heartbeat {
    Heartbeat {
        from: from.incarnation,
        follows: false,
        stamp: 1,
        echo,
        seq: Seq(1),
        platform: None,
        voters: Vec::new(),
        pending: 0,
    }
}

#[test]
fn can_spend_no_more_than_a_nodes_share() {
    let start = Time::from_secs(1);
    let mut budget = Budget::new(start, 330);

    let mut permits = 0;
    for millis in 0..60_000 {
        let now = start + Duration::from_millis(millis);
        if budget.acquire(now, CallKind::Write, Urgency::Ordinary) == Permit::Now {
            permits += 1;
        }
    }

    let fleet_rate = f64::from(permits - 10) / 60.0 * 330.0;
    assert!((200.0..=300.0).contains(&fleet_rate), "{fleet_rate} writes a second");
}

#[test]
fn can_renew_although_the_budget_is_spent() {
    let now = Time::from_secs(1);
    let mut budget = Budget::new(now, 330);
    while budget.acquire(now, CallKind::Write, Urgency::Ordinary) == Permit::Now {}

    let renewal = budget.acquire(now, CallKind::Write, Urgency::Renewal);

    assert_eq!(renewal, Permit::Now);
}

#[test]
fn can_try_one_call_after_failures() {
    let now = Time::from_secs(1);
    let mut budget = Budget::new(now, 9);
    (0..4).for_each(|_| budget.record_failure(now));
    let BreakerState::Open(until) = budget.state() else {
        panic!("the breaker is open");
    };

    let early = budget.acquire(now, CallKind::Read, Urgency::Renewal);
    let trial = budget.acquire(until, CallKind::Read, Urgency::Ordinary);
    let second = budget.acquire(until, CallKind::Read, Urgency::Ordinary);
    budget.record_success();

    assert_eq!(early, Permit::NotBefore(until));
    assert_eq!(trial, Permit::Now);
    assert!(matches!(second, Permit::NotBefore(_)));
    assert_eq!(budget.state(), BreakerState::Closed);
}

#[test]
fn can_share_a_call_that_has_not_started() {
    let mut calls = SingleFlight::new();
    calls.join("root", 1);
    calls.join("root", 2);
    let first = calls.start_next();
    calls.join("root", 3);

    let early = calls.start_next();
    let served = calls.finish(&"root");
    let next = calls.start_next();

    assert_eq!(first, Some("root"));
    assert_eq!(early, None);
    assert_eq!(served, [1, 2]);
    assert_eq!(next, Some("root"));
}

#[test]
fn can_ignore_a_restarted_voter_in_a_majority() {
    let nodes = fleet(3);
    let mut freshness = Freshness::new(nodes[2].incarnation);
    freshness.adopt_voters(&Voters { current: nodes.clone(), prior: Vec::new(), since: Seq(1) });
    let now = Time::from_secs(100);
    let restarted = Incarnation(77);

    freshness.confirm_voter(restarted, now);
    let without_voters = freshness.check(now);
    freshness.confirm_voter(nodes[0].incarnation, now);
    let with_one_voter = freshness.check(now);
    let later = freshness.check(now + Duration::from_secs(5));

    assert_eq!(without_voters, ViewStatus::Stale);
    assert!(matches!(with_one_voter, ViewStatus::Majority(_)));
    assert_eq!(later, ViewStatus::Stale);
}

#[test]
fn can_date_a_message_by_its_echo_alone() {
    let nodes = fleet(2);
    let mut gossip = Gossip::new(nodes[0].clone(), Vec::new());
    let now = Time::from_secs(100);
    let echo = |of| Echo { of, stamp: 90_000_000, held: 4_000_000 };
    let own = heartbeat(&nodes[1], Some(echo(nodes[0].incarnation)));
    let other = heartbeat(&nodes[1], Some(echo(Incarnation(5))));

    let dated = gossip.receive(now, nodes[1].addr, &own);
    let foreign = gossip.receive(now, nodes[1].addr, &other);

    assert_eq!(dated, Some(Time::from_secs(94)));
    assert_eq!(foreign, None);
}

#[test]
fn can_keep_the_other_voters_when_one_leaves() {
    let nodes = fleet(60);
    let first = select_voters(&Voters::default(), &nodes);
    let in_force = Voters { current: first.clone(), prior: Vec::new(), since: Seq(1) };
    let remaining: Vec<Node> = nodes.iter().filter(|node| **node != first[0]).cloned().collect();

    let second = select_voters(&in_force, &remaining);

    assert_eq!(first.len(), 9);
    assert_eq!(second.len(), 9);
    assert_eq!(second.iter().filter(|node| first.contains(node)).count(), 8);
}

#[test]
fn can_follow_two_parents_below_two_relays_a_zone() {
    let nodes = fleet(90);

    let plans: Vec<Overlay> = nodes.iter().map(|node| Overlay::plan(node, &nodes)).collect();

    assert_eq!(plans.iter().filter(|plan| plan.relay).count(), 6);
    assert_eq!(plans.iter().filter(|plan| plan.manages_voters).count(), 1);
    assert!(plans.iter().all(|plan| plan.relay || plan.parents.len() >= 2));
}

#[test]
fn can_refuse_an_unseen_key_after_a_handover() {
    let now = Time::from_secs(1);
    let mut former = IdempotencyKeys::new(Incarnation(1), now);
    let (ran, unseen) = (key(&mut former, now, "ran"), key(&mut former, now, "unseen"));
    assert_eq!(former.admit(now, &ran), Ok(Admission::Run));
    former.finish(&ran, RequestState::Ran(None));
    former.seal();
    let mut successor = IdempotencyKeys::new(Incarnation(2), now);
    former.export_keys().into_iter().for_each(|transfer| successor.import_keys(now, transfer));

    let seen = successor.admit(now, &ran);
    let refused = successor.admit(now, &unseen);

    assert_eq!(seen, Ok(Admission::Duplicate(RequestState::Ran(None))));
    assert_eq!(refused, Ok(Admission::NotRun));
}

#[test]
fn can_expire_a_key_after_its_retention() {
    let start = Time::from_secs(1);
    let mut memory = IdempotencyKeys::new(Incarnation(1), start);
    let old = key(&mut memory, start, "old");
    assert_eq!(memory.admit(start, &old), Ok(Admission::Run));
    let rotated = start + SCOPE_LIFETIME;
    memory.scope(rotated);

    let remembered = memory.admit(rotated + (SCOPE_RETENTION - Duration::from_secs(1)), &old);
    let forgotten = memory.admit(rotated + SCOPE_RETENTION, &old);

    assert_eq!(remembered, Ok(Admission::Duplicate(RequestState::Running)));
    assert_eq!(forgotten, Ok(Admission::Expired));
}
