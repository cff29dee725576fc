//! Tests of the limits that targets name, without a network.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    LimitStatement, Prompt,
    fleet::{Build, Fleet, Hold, LimitNotice, Placement, TargetEntry, TargetQuery, TargetRole},
};

const SERVICE: &str = "plain";
const DRAIN: Duration = Duration::from_secs(2);

/// When the fleets of these tests start, and when their shares have become usable.
const START: Time = Time::from_secs(100);
const NOW: Time = Time::from_secs(110);

fn entry(id: &str, incarnation: u64) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role: TargetRole::Whole,
        build: Build::default(),
        incarnation,
        sequence: 0,
        reclaimable: false,
    }
}

/// The fleet of a host that knows these other hosts and targets.
fn fleet_beside(others: &[&str], targets: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("a", DRAIN);
    fleet.replace(START, targets.iter().map(|id| entry(id, 1)).collect());
    fleet.set_hosts(START, Some("own"), others.iter().copied());
    fleet
}

fn place(fleet: &Fleet, now: Time) -> Option<Placement> {
    let prompt = Prompt::default();
    let query = TargetQuery {
        service: SERVICE,
        prompt: &prompt,
        exclude: &[],
        build: None,
        max_pause: None,
        runs_once: false,
    };
    fleet.place(now, &query).map(|plan| plan.placement)
}

fn wait(fleet: &Fleet, now: Time) -> Option<Duration> {
    fleet.wait_for_target(now, SERVICE, None).map(|(_, wait)| wait)
}

/// Number of requests that the fleet places on its only target from `from` on for `span`.
fn placed_within(fleet: &mut Fleet, from: Time, span: Duration) -> usize {
    let mut placed = 0;
    for millis in (0..span.as_millis() as u64).step_by(10) {
        let now = from + Duration::from_millis(millis);
        if let Some(placement) = place(fleet, now) {
            assert!(fleet.clear_to_send(now, &placement).is_ok());
            placed += 1;
        }
    }
    placed
}

/// A fleet of one host whose only target named `rate` at `NOW`, and the placement before that.
fn limited_fleet(rate: f64) -> (Fleet, Placement) {
    let mut fleet = fleet_beside(&[], &["t"]);
    let placement = place(&fleet, NOW).unwrap();
    fleet.record_limit(NOW, &placement, NOW, LimitStatement::Rate(rate));
    (fleet, placement)
}

#[test]
fn a_limited_target_gets_no_more_than_its_limit() {
    let (mut fleet, _) = limited_fleet(2.0);

    let placed = placed_within(&mut fleet, NOW, Duration::from_secs(10));

    assert!((19..=20).contains(&placed), "{placed}");
}

#[test]
fn requests_go_to_others_without_waiting() {
    let mut fleet = fleet_beside(&[], &["t", "u"]);
    let first = place(&fleet, NOW).unwrap();

    fleet.record_limit(NOW, &first, NOW, LimitStatement::Rate(1.0));

    let second = place(&fleet, NOW).unwrap();
    assert_ne!(second.id, first.id);
    assert_eq!(wait(&fleet, NOW), None);
    fleet.record_limit(NOW, &second, NOW, LimitStatement::Rate(0.5));
    assert_eq!(wait(&fleet, NOW), Some(Duration::from_secs(1)));
}

#[test]
fn a_late_answer_from_before_the_limit_does_not_end_it() {
    let (mut fleet, placement) = limited_fleet(1.0);
    let read = NOW + Duration::from_millis(50);

    let is_news = fleet.record_limit(read, &placement, NOW, LimitStatement::Absent);

    assert!(!is_news && place(&fleet, read).is_none());
}

#[test]
fn an_answer_to_a_later_request_without_a_limit_ends_it() {
    let (mut fleet, placement) = limited_fleet(1.0);
    let (sent, read) = (NOW + Duration::from_millis(50), NOW + Duration::from_millis(90));

    let is_news = fleet.record_limit(read, &placement, sent, LimitStatement::Absent);

    assert!(is_news && place(&fleet, read).is_some());
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let (mut fleet, placement) = limited_fleet(1.0);
    let (sent, read) = (NOW + Duration::from_millis(50), NOW + Duration::from_millis(90));

    let is_news = fleet.record_limit(read, &placement, sent, LimitStatement::Unreadable);

    assert!(!is_news && place(&fleet, read).is_none());
}

#[test]
fn a_limit_ends_with_the_start_that_named_it() {
    let (mut fleet, _) = limited_fleet(0.0);

    fleet.upsert(NOW, entry("t", 2));

    assert!(place(&fleet, NOW).is_some());
}

#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let (mut fleet, _) = limited_fleet(0.0);

    let placed = placed_within(&mut fleet, NOW, Duration::from_secs(20));

    assert!((3..=5).contains(&placed), "{placed}");
}

#[test]
fn a_very_large_limit_limits_nothing() {
    let (mut fleet, _) = limited_fleet(1e300);

    let now = NOW + Duration::from_millis(1);
    let placed = placed_within(&mut fleet, now, Duration::from_secs(1));

    assert_eq!(placed, 100);
}

fn notice(fleet: &Fleet, now: Time) -> LimitNotice {
    let notices = fleet.limit_notices(now, true);
    assert_eq!(notices.len(), 1);
    notices[0]
}

#[test]
fn other_hosts_hear_of_a_limit_and_of_its_end() {
    let (mut teller, placement) = limited_fleet(1.0);
    let mut other = fleet_beside(&[], &["t"]);
    let later = NOW + Duration::from_millis(300);

    let heard = other.apply_limit_notices(later, &[notice(&teller, later)]);
    let limited = place(&other, later).is_none();
    teller.record_limit(later, &placement, later, LimitStatement::Absent);
    let ended = other.apply_limit_notices(later, &[notice(&teller, later)]);

    assert!(heard && limited && ended && place(&other, later).is_some());
}

#[test]
fn an_older_statement_that_another_host_tells_does_not_replace_a_later_one() {
    let (mut teller, placement) = limited_fleet(1.0);
    let end = NOW + Duration::from_millis(50);
    teller.record_limit(end, &placement, end, LimitStatement::Absent);
    let mut other = fleet_beside(&[], &["t"]);
    let now = NOW + Duration::from_millis(500);
    other.record_limit(now, &placement, now, LimitStatement::Rate(1.0));

    let is_new = other.apply_limit_notices(now, &[notice(&teller, now)]);

    assert!(!is_new && place(&other, now).is_none());
}

#[test]
fn the_end_of_a_limit_that_is_not_known_is_nothing_new() {
    let (mut teller, placement) = limited_fleet(1.0);
    let end = NOW + Duration::from_millis(50);
    teller.record_limit(end, &placement, end, LimitStatement::Absent);
    let mut other = fleet_beside(&[], &["t"]);

    assert!(!other.apply_limit_notices(end, &[notice(&teller, end)]));
}

#[test]
fn a_few_of_many_hosts_hold_a_small_limit() {
    let names: Vec<String> = (0..9).map(|host| format!("host-{host}")).collect();
    let mut holders = 0;
    for own in &names {
        let mut fleet = Fleet::new("a", DRAIN);
        fleet.replace(START, vec![entry("t", 1)]);
        let others = names.iter().filter(|name| *name != own).map(|name| &**name);
        fleet.set_hosts(START, Some(own), others);
        let placement = place(&fleet, NOW).unwrap();
        fleet.record_limit(NOW, &placement, NOW, LimitStatement::Rate(1.4));
        holders += usize::from(place(&fleet, NOW + Duration::from_secs(5)).is_some());
    }

    assert_eq!(holders, 3);
}

#[test]
fn a_host_that_has_just_started_uses_no_share_yet() {
    let mut fleet = fleet_beside(&[], &["t"]);
    let placement = place(&fleet, START).unwrap();

    fleet.record_limit(START, &placement, START, LimitStatement::Rate(5.0));

    assert!(place(&fleet, START + Duration::from_secs(2)).is_none());
    assert!(place(&fleet, START + Duration::from_secs(4)).is_some());
}

#[test]
fn a_host_that_stops_uses_no_share() {
    let (mut fleet, _) = limited_fleet(5.0);

    fleet.set_hosts(NOW, None, ["host-1"].into_iter());

    assert!(place(&fleet, NOW + Duration::from_secs(20)).is_none());
    assert!(wait(&fleet, NOW).is_some());
}

#[test]
fn limits_of_targets_that_are_gone_are_forgotten() {
    let (mut fleet, placement) = limited_fleet(5.0);
    let gone: Arc<str> = placement.id;

    fleet.remove(NOW, &gone);
    fleet.set_hosts(NOW, Some("own"), [].into_iter());
    let later = NOW + Duration::from_secs(60);
    fleet.set_hosts(later, Some("own"), [].into_iter());

    assert_eq!(fleet.target_counts(NOW).limited, 0);
    assert!(fleet.limit_notices(later, false).is_empty());
}

// Guards against a target that has recovered and gets nothing, as no host asks it any more.
#[test]
fn a_limit_that_was_not_restated_for_a_while_draws_a_request() {
    let mut fleet = fleet_beside(&[], &["near"]);
    let far = TargetEntry { zone: "b".into(), ..entry("far", 1) };
    fleet.upsert(START, far);
    let near = place(&fleet, NOW).unwrap();
    let far = Placement { id: "far".into(), ..near.clone() };
    fleet.record_limit(NOW, &far, NOW, LimitStatement::Rate(5.0));

    let (soon, later) = (NOW + Duration::from_secs(1), NOW + Duration::from_secs(4));
    let first = place(&fleet, soon).unwrap();
    let asked = place(&fleet, later).unwrap();
    fleet.record_limit(later, &far, later, LimitStatement::Rate(5.0));
    let next = place(&fleet, later).unwrap();

    assert_eq!([first.id, asked.id, next.id], [near.id.clone(), far.id, near.id]);
}

#[test]
fn a_limit_is_kept_while_the_entry_of_its_target_is_away() {
    let (mut fleet, placement) = limited_fleet(1.0);

    fleet.remove(NOW, "t");
    fleet.set_hosts(NOW, Some("own"), [].into_iter());
    fleet.upsert(NOW, entry("t", 1));
    fleet.set_hosts(NOW, Some("own"), [].into_iter());

    assert_eq!(fleet.clear_to_send(NOW, &placement), Err(Hold::Limited));
    assert_eq!(fleet.target_counts(NOW).limited, 1);
}
