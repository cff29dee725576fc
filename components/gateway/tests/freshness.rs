//! Tests of when a watch is given up, and of what hosts tell each other about what they have read.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::freshness::{Freshness, Progress};

/// Time within which a change must be known.
const LIMIT: Duration = Duration::from_secs(2);

const START: Time = Time::from_secs(100);

fn at(revision: u64) -> Version {
    Version::first_era(revision)
}

/// What a host knows that listed at `START`, at revision 50, and whose newest object is of 40.
fn listed() -> Freshness {
    let mut freshness = Freshness::new(LIMIT);
    freshness.record_list(START, at(50), Some(at(40)), false);
    freshness
}

fn confirmation(latest: u64, listed: u64) -> Progress {
    Progress { latest: at(latest), listed: at(listed), age: 0 }
}

/// A host whose view a poller confirmed at `START`, with the wait of its present watch.
fn confirmed() -> (Freshness, Duration) {
    let mut freshness = listed();
    freshness.apply_progress(START, START, &confirmation(40, 30));
    let wait = freshness.watch_wait(START, false);
    (freshness, wait)
}

#[test]
fn a_watch_that_misses_a_change_known_to_another_host_is_given_up() {
    let (mut freshness, wait) = confirmed();
    let heard_at = START + Duration::from_millis(500);

    freshness.hear(heard_at, at(60));
    freshness.hear(heard_at + Duration::from_millis(100), at(60));

    assert!(freshness.is_behind());
    assert_eq!(freshness.watch_due(wait), Some(heard_at + LIMIT.mul_f64(0.15)));
    assert!(freshness.watch_wait(heard_at, false) <= Duration::from_millis(200));
}

#[test]
fn a_watch_that_brings_the_change_goes_on() {
    let (mut freshness, wait) = confirmed();
    let heard_at = START + Duration::from_millis(500);
    freshness.hear(heard_at, at(60));

    let is_later = freshness.record_changes(START, START, at(61), Some(at(60)));

    assert!(!is_later && !freshness.is_behind());
    assert_eq!(freshness.watch_due(wait), Some(START + LIMIT.mul_f64(1.5)));
}

// Guards against calls that grow with other writes: the revision rises with each write of any kind.
#[test]
fn a_change_of_an_earlier_revision_than_was_read_makes_no_host_ask_again() {
    let (mut freshness, wait) = confirmed();

    let is_later = freshness.hear(START, at(45));

    assert!(is_later && !freshness.is_behind());
    assert_eq!(freshness.watch_wait(START, false), wait);
}

#[test]
fn pollers_and_hosts_that_none_confirms_poll() {
    let (mut confirmed, wait) = confirmed();
    let mut alone = listed();

    assert!(wait >= 5 * LIMIT);
    assert_eq!(alone.watch_wait(START, false), LIMIT / 2);
    assert_eq!(confirmed.watch_wait(START, true), LIMIT / 2);
    assert_eq!(confirmed.watch_wait(START + 2 * LIMIT, false), LIMIT / 2);
}

#[test]
fn a_silent_watch_and_the_word_of_a_poller_take_less_than_a_change_may() {
    let mut poller = listed();
    let mut host = confirmed().0;

    let found = poller.watch_wait(START, true) + poller.answer_time();
    let told = START + found;
    host.hear(told, at(60));
    let wait = Duration::from_secs(20);
    let given_up = host.watch_due(wait).unwrap();

    assert!(given_up < START + LIMIT.mul_f64(0.95), "{given_up:?}");
}

#[test]
fn a_poller_that_has_read_less_confirms_nothing() {
    for (name, progress) in
        [("a later change", confirmation(60, 30)), ("a later list", confirmation(40, 51))]
    {
        let mut freshness = listed();
        let asked = START + LIMIT;

        freshness.apply_progress(asked, asked, &progress);

        assert_eq!(freshness.age(asked), Some(LIMIT), "{name}");
    }
}

#[test]
fn a_list_that_lacks_what_was_known_counts_as_a_change() {
    let mut freshness = listed();

    let is_later = freshness.record_list(START, at(70), Some(at(40)), true);

    assert!(is_later);
    assert_eq!(freshness.latest(), at(70));
}

#[test]
fn a_late_confirmation_counts_from_when_it_was_asked_for() {
    let mut freshness = listed();
    let progress = Progress { age: 1_000_000, ..confirmation(40, 30) };

    freshness.apply_progress(START + 50 * LIMIT, START + LIMIT, &progress);

    assert_eq!(freshness.age(START + 50 * LIMIT), Some(49 * LIMIT + Duration::from_secs(1)));
}

// Guards against a host that asks the store without end for a change that it does not have.
#[test]
fn a_change_that_the_store_does_not_show_is_forgotten() {
    let (mut freshness, _) = confirmed();
    freshness.hear(START, at(9_000));

    let sent = START + Duration::from_secs(1);
    freshness.record_changes(sent, sent, at(62), None);

    assert!(!freshness.is_behind());
}

#[test]
fn a_change_of_an_earlier_era_makes_no_host_ask_again() {
    let mut freshness = Freshness::new(LIMIT);
    freshness.record_list(START, Version { era: 1, revision: 8 }, None, false);

    freshness.hear(START, at(9_000));

    assert!(!freshness.is_behind());
}

// Guards against a host that never reads a long list of changes, as it starts again while it arrives.
#[test]
fn a_call_that_is_answered_soon_is_not_given_up() {
    let (mut freshness, _) = confirmed();
    freshness.hear(START, at(60));

    let wait = freshness.watch_wait(START, false);
    freshness.hear(START, at(70));

    assert_eq!(freshness.watch_due(wait), None);
}

// Guards against streams that go on at another version at a host that was out of step.
#[test]
fn a_list_is_current_for_a_request_only_if_it_was_read_since() {
    let mut freshness = listed();
    let since = START + Duration::from_millis(1);
    let before = freshness.is_read_since(since);

    freshness.confirm(since, at(50));
    let after = freshness.is_read_since(since);
    freshness.hear(since, at(60));

    assert!(!before && after && !freshness.is_read_since(since));
}

#[test]
fn a_call_that_asked_for_changes_after_more_than_is_known_confirms_nothing() {
    let mut freshness = listed();
    let since = START + Duration::from_millis(1);

    freshness.confirm(since, at(51));

    assert!(!freshness.is_read_since(since));
}
