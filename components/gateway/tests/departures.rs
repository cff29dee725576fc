//! Tests of targets that leave or have left, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{Build, Fleet, Hold, Placement, TargetEntry, TargetQuery, TargetRole},
};

const SERVICE: &str = "llm";
const DRAIN: Duration = Duration::from_secs(2);

/// An entry of the engine `d0`, the `sequence`th of its start `incarnation`.
fn write(incarnation: u64, sequence: u64) -> TargetEntry {
    TargetEntry {
        id: "d0".into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 64,
        draining: false,
        role: TargetRole::Decode,
        build: Build::default(),
        incarnation,
        sequence,
        reclaimable: false,
    }
}

fn fleet(entries: &[TargetEntry]) -> Fleet {
    let mut fleet = Fleet::new("a", DRAIN);
    fleet.replace(Time::from_secs(1), entries.to_vec());
    fleet
}

fn placement(fleet: &Fleet, now: Time) -> Option<Placement> {
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

fn serves(fleet: &Fleet, now: Time) -> bool {
    placement(fleet, now).is_some()
}

#[test]
fn a_target_that_drains_never_serves_again_in_the_same_start() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 1)]);
    fleet.upsert(now, TargetEntry { draining: true, ..write(7, 3) });

    fleet.upsert(now, write(7, 4));
    let same = serves(&fleet, now);
    fleet.replace(now, vec![write(7, 1)]);
    let listed = serves(&fleet, now);
    fleet.upsert(now, write(8, 1));

    assert!(!same && !listed);
    assert!(serves(&fleet, now));
}

#[test]
fn a_removed_target_is_back_only_once_it_has_written_again() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 4)]);
    fleet.remove(now, "d0");

    fleet.replace(now, vec![write(7, 3)]);
    let older = serves(&fleet, now);
    fleet.replace(now, vec![write(7, 4)]);
    let same = serves(&fleet, now);
    fleet.replace(now, vec![write(7, 5)]);

    assert!(!older && !same);
    assert!(serves(&fleet, now));
}

#[test]
fn an_earlier_start_of_a_target_does_not_replace_a_later_one() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 4)]);
    fleet.upsert(now, write(8, 1));

    fleet.replace(now, vec![TargetEntry { draining: true, ..write(7, 9) }]);

    assert!(serves(&fleet, now));
}

#[test]
fn an_older_entry_does_not_replace_a_later_one() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 4)]);

    fleet.upsert(now, TargetEntry { role: TargetRole::Prefill, ..write(7, 3) });

    assert!(serves(&fleet, now));
}

#[test]
fn a_request_is_not_sent_to_a_target_that_left_after_it_was_chosen() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 1)]);
    let placement = placement(&fleet, now).unwrap();
    let before = fleet.clear_to_send(now, &placement);

    fleet.upsert(now, TargetEntry { draining: true, ..write(7, 2) });

    assert_eq!(before, Ok(()));
    assert_eq!(fleet.clear_to_send(now, &placement), Err(Hold::Left));
}

#[test]
fn a_target_that_says_in_an_answer_that_it_leaves_stays_left_in_that_start_only() {
    let now = Time::from_secs(2);
    let mut fleet = fleet(&[write(7, 1)]);
    let placement = placement(&fleet, now).unwrap();

    let first = fleet.announce_departure(now, &placement);
    let second = fleet.announce_departure(now, &placement);
    fleet.upsert(now, write(7, 2));
    let same = serves(&fleet, now);
    fleet.upsert(now, write(8, 1));
    // The answer of the earlier start arrives late.
    fleet.announce_departure(now, &placement);

    assert!(first && !second && !same);
    assert!(serves(&fleet, now));
}
