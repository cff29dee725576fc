//! Tests of targets that were seen to have ended, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{
        Build, BuildId, Fleet, Hold, Placement, STREAM_LIFE, TargetEntry, TargetQuery, TargetRole,
    },
};

const SERVICE: &str = "llm";
const NOW: Time = Time::from_secs(100);
const BEFORE: Time = Time::from_secs(99);

/// Time in which the entry of a new start is awaited.
const ENTRY_TIME: Duration = Duration::from_secs(10);

fn entry(incarnation: u64, build: &str) -> TargetEntry {
    TargetEntry {
        id: "t".into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role: TargetRole::Decode,
        build: Build::new(build),
        incarnation,
        sequence: 1,
        reclaimable: false,
    }
}

fn place(fleet: &Fleet, now: Time, build: Option<BuildId>) -> Option<Placement> {
    let prompt = Prompt::default();
    let query = TargetQuery {
        service: SERVICE,
        prompt: &prompt,
        exclude: &[],
        build,
        max_pause: None,
        runs_once: false,
    };
    fleet.place(now, &query).map(|plan| plan.placement)
}

/// A fleet whose only target, of version `v1`, ended at `NOW`, and a placement from before that.
fn ended() -> (Fleet, Placement) {
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(BEFORE, vec![entry(1, "v1")]);
    let placement = place(&fleet, BEFORE, None).unwrap();
    fleet.record_end(NOW, &placement);
    (fleet, placement)
}

#[test]
fn nothing_is_placed_on_or_sent_to_a_target_that_has_ended() {
    let (mut fleet, placement) = ended();

    assert_eq!(place(&fleet, NOW, None), None);
    assert_eq!(fleet.clear_to_send(NOW, &placement), Err(Hold::Left));
}

#[test]
fn its_own_entry_listed_again_names_no_later_start() {
    let (mut fleet, _) = ended();

    fleet.replace(NOW, vec![entry(1, "v1")]);

    assert_eq!(place(&fleet, NOW, None), None);
}

#[test]
fn the_entry_of_a_later_start_says_what_it_is() {
    let (mut fleet, _) = ended();

    fleet.upsert(NOW, entry(2, "v2"));

    assert_eq!(place(&fleet, NOW, None).unwrap().build, Build::new("v2"));
    assert_eq!(place(&fleet, NOW, Some(Build::new("v1").id)), None);
}

#[test]
fn an_answer_to_an_earlier_request_shows_that_it_goes_on() {
    let (mut fleet, placement) = ended();

    let is_shown = [fleet.record_life(&placement, NOW), fleet.record_life(&placement, BEFORE)];

    let (now, later) = (place(&fleet, NOW, None).unwrap(), place(&fleet, NOW + STREAM_LIFE, None));
    assert_eq!(is_shown, [false, true]);
    // It may have been read late, from the earlier start.
    assert_ne!(now.build, Build::new("v1"));
    assert_eq!(place(&fleet, NOW, Some(Build::new("v1").id)), None);
    assert_eq!(later.unwrap().build, Build::new("v1"));
}

#[test]
fn a_target_without_a_later_entry_gets_requests_again_but_is_of_no_known_version() {
    let (mut fleet, _) = ended();
    let later = NOW + ENTRY_TIME;
    let again = place(&fleet, later, None).unwrap();

    assert_eq!(fleet.clear_to_send(later, &again), Ok(()));
    assert_eq!(place(&fleet, later, Some(Build::new("v1").id)), None);
    assert!(!fleet.serves_build(later, SERVICE, Build::new("v1").id));
}

#[test]
fn the_version_of_an_ended_start_does_not_return_with_time() {
    let (fleet, _) = ended();

    assert_eq!(place(&fleet, NOW + STREAM_LIFE * 2, Some(Build::new("v1").id)), None);
}

#[test]
fn each_end_makes_a_version_of_its_own() {
    let (mut fleet, placement) = ended();
    let first = place(&fleet, NOW + ENTRY_TIME, None).unwrap();

    fleet.record_end(NOW + ENTRY_TIME, &placement);
    let second = place(&fleet, NOW + ENTRY_TIME * 2, None).unwrap();

    assert_ne!(first.build, second.build);
}

#[test]
fn an_end_that_is_seen_late_says_nothing_of_a_later_start() {
    let (mut fleet, placement) = ended();
    fleet.upsert(NOW, entry(2, "v2"));

    fleet.record_end(NOW, &placement);

    assert!(place(&fleet, NOW, None).is_some());
}

#[test]
fn a_host_tells_once_of_an_end_and_another_one_adopts_it() {
    let (mut fleet, placement) = ended();
    let mut other = Fleet::new("a", Duration::from_secs(2));
    other.replace(BEFORE, vec![entry(1, "v1")]);

    let told = fleet.take_untold_ends();
    other.apply_ends(NOW, &told);

    assert!(!fleet.record_end(NOW, &placement));
    assert!(fleet.take_untold_ends().is_empty() && other.take_untold_ends().is_empty());
    assert_eq!(place(&other, NOW, Some(Build::new("v1").id)), None);
    assert_ne!(place(&other, NOW, None).unwrap().build, Build::new("v1"));
}

#[test]
fn an_end_that_is_told_late_says_nothing_of_a_later_start() {
    let (mut fleet, _) = ended();
    let told = fleet.take_untold_ends();
    fleet.upsert(NOW, entry(2, "v2"));

    fleet.apply_ends(NOW, &told);

    assert!(place(&fleet, NOW, None).is_some());
}

#[test]
fn a_host_that_starts_later_is_told_of_an_end_while_an_entry_may_be_on_its_way() {
    let (fleet, _) = ended();
    let mut other = Fleet::new("a", Duration::from_secs(2));
    other.replace(NOW, vec![entry(1, "v1")]);

    other.apply_past_ends(NOW, &fleet.past_ends(NOW));

    assert_eq!(place(&other, NOW, Some(Build::new("v1").id)), None);
    assert_ne!(place(&other, NOW, None).unwrap().build, Build::new("v1"));
    assert_eq!(fleet.past_ends(NOW + ENTRY_TIME), []);
    // Hosts that pass it on to each other do not keep it alive.
    assert_eq!(other.past_ends(NOW + ENTRY_TIME), []);
}

#[test]
fn a_past_end_does_not_replace_what_a_host_has_found_of_the_same_start() {
    let (fleet, _) = ended();
    let (mut other, placement) = ended();
    other.record_life(&placement, BEFORE);
    let later = NOW + Duration::from_secs(60 * 60);

    other.apply_past_ends(NOW, &fleet.past_ends(NOW));

    assert_eq!(place(&other, later, None).unwrap().build, Build::new("v1"));
}
