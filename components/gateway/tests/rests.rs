//! Tests of the rests that targets ask for, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{Build, Fleet, Hold, Placement, TargetEntry, TargetQuery, TargetRole},
};

const SERVICE: &str = "plain";
const DRAIN: Duration = Duration::from_secs(2);
const NOW: Time = Time::from_secs(100);
const REST: Duration = Duration::from_secs(4);

fn entry(id: &str, incarnation: u64, role: TargetRole) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role,
        build: Build::default(),
        incarnation,
        sequence: 0,
        reclaimable: false,
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("a", DRAIN);
    fleet.replace(NOW, ids.iter().map(|id| entry(id, 1, TargetRole::Whole)).collect());
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

/// A fleet whose only target asked for a rest at `NOW`, and the placement before that.
fn resting_fleet() -> (Fleet, Placement) {
    let mut fleet = fleet(&["t"]);
    let placement = place(&fleet, NOW).unwrap();
    fleet.record_rest(NOW, &placement, REST);
    (fleet, placement)
}

#[test]
fn nothing_is_placed_on_or_sent_to_a_target_until_its_rest_is_over() {
    let (mut fleet, placement) = resting_fleet();
    let last = NOW + (REST - Duration::from_millis(1));

    assert_eq!(place(&fleet, last), None);
    assert_eq!(fleet.clear_to_send(last, &placement), Err(Hold::Resting));
    assert_eq!(fleet.clear_to_send(NOW + REST, &placement), Ok(()));
    assert_eq!(place(&fleet, NOW + REST).unwrap().id, placement.id);
}

#[test]
fn requests_go_to_others_meanwhile() {
    let mut fleet = fleet(&["t", "u"]);
    let first = place(&fleet, NOW).unwrap();

    fleet.record_rest(NOW, &first, REST);

    assert_ne!(place(&fleet, NOW).unwrap().id, first.id);
    assert_eq!(fleet.wait_for_target(NOW, SERVICE, None), None);
}

#[test]
fn callers_wait_for_the_first_rest_to_end() {
    let mut fleet = fleet(&["t", "u"]);
    let first = place(&fleet, NOW).unwrap();
    fleet.record_rest(NOW, &first, REST);
    let second = place(&fleet, NOW).unwrap();
    fleet.record_rest(NOW, &second, REST / 2);

    assert_eq!(fleet.wait_for_target(NOW, SERVICE, None), Some((Hold::Resting, REST / 2)));
}

#[test]
fn a_prefill_target_that_does_not_rest_helps_no_caller() {
    let (mut fleet, _) = resting_fleet();

    fleet.upsert(NOW, entry("p", 1, TargetRole::Prefill));

    assert_eq!(fleet.wait_for_target(NOW, SERVICE, None), Some((Hold::Resting, REST)));
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let (mut fleet, placement) = resting_fleet();

    fleet.record_rest(NOW, &placement, REST / 2);
    fleet.record_rest(NOW, &placement, Duration::ZERO);

    assert_eq!(fleet.wait_for_target(NOW, SERVICE, None), Some((Hold::Resting, REST)));
}

#[test]
fn a_rest_is_kept_while_the_entry_of_its_target_is_away() {
    let (mut fleet, placement) = resting_fleet();

    fleet.remove(NOW, "t");
    fleet.set_hosts(NOW, Some("own"), [].into_iter());
    fleet.upsert(NOW, entry("t", 1, TargetRole::Whole));

    assert_eq!(fleet.clear_to_send(NOW, &placement), Err(Hold::Resting));
}

#[test]
fn a_new_start_of_a_resting_target_is_free() {
    let (mut fleet, _) = resting_fleet();

    fleet.upsert(NOW, entry("t", 2, TargetRole::Whole));

    assert_eq!(place(&fleet, NOW).unwrap().incarnation, 2);
}

#[test]
fn the_longest_rest_ends_no_process() {
    let (mut fleet, placement) = resting_fleet();

    fleet.record_rest(NOW, &placement, Duration::from_secs(24 * 60 * 60));

    assert_eq!(fleet.clear_to_send(NOW + REST, &placement), Err(Hold::Resting));
    assert_eq!(fleet.target_counts(NOW).resting, 1);
}
