//! Tests of targets that were seen to have ended, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{
        Build, BuildId, EndNotice, Fleet, Hold, Placement, STREAM_LIFE, TargetEntry, TargetQuery,
        TargetRole,
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

/// A fleet that was told at `NOW` that the start of its only target, of version `v1`, has ended, and a
/// placement from before that.
fn told() -> (Fleet, Placement) {
    let (mut other, placement) = ended();
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(BEFORE, vec![entry(1, "v1")]);
    fleet.apply_ends(NOW, &other.take_untold_ends());
    (fleet, placement)
}

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

fn serves_v1(fleet: &Fleet, now: Time) -> bool {
    fleet.serves_build(now, SERVICE, Build::new("v1").id)
}

// Guards against a version that no host takes streams up at, as one host could not reach its targets.
#[test]
fn an_answer_over_a_connection_from_before_disproves_an_end_that_was_told() {
    let (mut fleet, placement) = told();
    let doubted = place(&fleet, NOW, None).unwrap().build.id;

    // What was sent before the end may have been answered before it.
    assert_eq!(fleet.record_answer(after(20), &placement, BEFORE, BEFORE), None);
    // The target may have started again since.
    assert_eq!(fleet.record_answer(after(20), &placement, after(10), after(5)), None);
    assert!(!serves_v1(&fleet, after(20)));
    let settled = fleet.record_answer(after(20), &placement, after(10), BEFORE).unwrap();

    assert!(serves_v1(&fleet, after(20)));
    assert_eq!((settled.taken_for, settled.build), (vec![doubted], Build::new("v1").id));
    assert_eq!(fleet.record_answer(after(30), &placement, after(25), BEFORE), None);
}

#[test]
fn events_that_arrive_over_some_time_disprove_an_end_that_was_told() {
    let (mut fleet, placement) = told();
    let mut record = |now, sent, awaited| {
        fleet.record_events(after(now), &placement, sent, after(awaited)).is_some()
    };

    // Read late, sent after the end, the first, too early, read without a wait.
    assert!(!record(1_000, BEFORE, 1_000));
    assert!(!record(1_000, after(10), 900));
    assert!(!record(1_000, BEFORE, 900));
    assert!(!record(1_400, BEFORE, 1_300));
    assert!(!record(1_600, BEFORE, 1_599));
    assert!(record(1_600, BEFORE, 1_500));

    assert!(serves_v1(&fleet, after(1_600)));
}

#[test]
fn hosts_tell_of_a_start_that_goes_on_and_heed_no_older_notice_of_its_end() {
    let (ended, _) = ended();
    let (mut fleet, placement) = told();
    let (mut other, _) = told();
    let past_ends = ended.past_ends(after(1_100));
    fleet.record_answer(after(1_000), &placement, after(900), BEFORE).unwrap();
    let lives = fleet.take_untold_lives();

    let settled = other.apply_lives(after(1_000), &lives);

    assert_eq!((lives.len(), settled.len()), (1, 1));
    assert!(serves_v1(&other, after(1_000)));
    for fleet in [&mut fleet, &mut other] {
        fleet.apply_past_ends(after(1_100), &past_ends);
        assert!(serves_v1(fleet, after(1_100)));
        assert_eq!(fleet.past_ends(after(1_100)), []);
        assert_eq!(fleet.past_lives(after(1_100)).len(), 1);
        assert_eq!(fleet.past_lives(NOW + ENTRY_TIME * 2), []);
    }
    let told_again = [ended.past_ends(NOW)[0].notice];
    other.apply_ends(after(1_200), &told_again);
    assert!(!serves_v1(&other, after(1_200)));
}

#[test]
fn a_start_that_was_seen_to_go_on_before_may_have_ended_since() {
    let (mut fleet, placement) = ended();
    let (mut other, _) = told();
    let settled = fleet.record_answer(after(300), &placement, after(200), BEFORE);
    assert!(settled.is_some());
    let lives = fleet.take_untold_lives();

    // The notice may have been on its way when the target ended.
    other.apply_lives(after(300), &lives);
    assert!(!serves_v1(&other, after(300)));

    // A later one disproves it.
    fleet.apply_ends(after(400), &[ended_start()]);
    fleet.record_answer(after(2_000), &placement, after(1_900), BEFORE).unwrap();
    other.apply_lives(after(2_000), &fleet.take_untold_lives());
    assert!(serves_v1(&other, after(2_000)));
}

/// The start that the notices of these tests are of.
fn ended_start() -> EndNotice {
    ended().0.past_ends(NOW)[0].notice
}

// Guards against streams of two versions, where a target started again and is then taken for ended
// falsely.
#[test]
fn a_connection_disproves_no_end_from_before_it() {
    let (mut fleet, placement) = told();
    fleet.apply_ends(after(5_000), &[ended_start()]);

    let opened = after(1_000);
    let settled = fleet.record_answer(after(6_000), &placement, after(5_900), opened).unwrap();

    assert_eq!(settled.taken_for.len(), 1);
    assert_ne!(settled.build, Build::new("v1").id);
    assert!(!serves_v1(&fleet, after(6_000)));
    // Nor does what another host has seen of that connection.
    let (mut other, _) = told();
    other.apply_ends(after(5_000), &[ended_start()]);
    other.apply_lives(after(6_000), &fleet.take_untold_lives());
    assert!(!serves_v1(&other, after(6_000)));
}

#[test]
fn a_host_that_a_target_refuses_sends_it_nothing_though_it_goes_on() {
    let (mut fleet, placement) = ended();

    fleet.record_answer(after(1_000), &placement, after(900), BEFORE).unwrap();

    assert_eq!(place(&fleet, after(1_000), None), None);
    assert!(place(&fleet, NOW + ENTRY_TIME, Some(Build::new("v1").id)).is_some());
}

// Guards against streams of two versions at a host that starts after a true end and a false one of a target.
#[test]
fn a_host_that_starts_later_is_told_of_an_end_that_is_not_the_last_one_found() {
    let (mut fleet, placement) = told();
    fleet.record_end(after(3_000), &placement);
    // The connection is younger than the first end.
    fleet.record_answer(after(4_000), &placement, after(3_900), after(1_000)).unwrap();
    let mut other = Fleet::new("a", Duration::from_secs(2));
    other.replace(after(4_000), vec![entry(1, "v1")]);

    other.apply_past_ends(after(4_000), &fleet.past_ends(after(4_000)));

    assert!(!serves_v1(&other, after(4_000)));
}
