//! Tests of what failed calls show of the store, and of the targets kept after an outage, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{Build, Fleet, TargetEntry, TargetQuery, TargetRole},
    outage::{AfterFailure, FailedCall, Outage, RETRY_BACKOFF, StoreContact},
};
use rand_pcg::{Pcg64Mcg, rand_core::Rng};

const DRAIN: Duration = Duration::from_secs(2);

/// Histories that each property is checked for.
const HISTORIES: u64 = 5_000;

/// Calls of a history.
const CALLS: u64 = 40;

fn pick(random: &mut Pcg64Mcg, count: u64) -> u64 {
    random.next_u64() % count
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A watch that was sent at `sent` and cut off.
fn cut(sent: Time) -> FailedCall {
    FailedCall { sent, waits: true, is_refused: false }
}

/// A call that is answered at once, sent at `sent`, without an answer.
fn unanswered(sent: Time) -> FailedCall {
    FailedCall { sent, waits: false, is_refused: false }
}

/// The same, or refused.
fn failed_list(random: &mut Pcg64Mcg, sent: Time) -> FailedCall {
    FailedCall { is_refused: pick(random, 2) == 0, ..unanswered(sent) }
}

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "plain".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role: TargetRole::Whole,
        build: Build::new(""),
        incarnation: 1,
        sequence: 1,
        reclaimable: false,
    }
}

fn is_served(fleet: &Fleet, now: Time) -> bool {
    let prompt = Prompt::default();
    let query = TargetQuery {
        service: "plain",
        prompt: &prompt,
        exclude: &[],
        build: None,
        max_pause: None,
        runs_once: false,
    };
    fleet.place(now, &query).is_some()
}

// Guards against a watch that was cut off within a second counting as a lost store.
#[test]
fn watches_that_are_cut_off_never_show_a_lost_store() {
    for seed in 0..HISTORIES {
        let mut random = Pcg64Mcg::new(u128::from(seed) + 1);
        let (mut contact, mut now) = (StoreContact::default(), Time::from_secs(100));
        for _ in 0..CALLS {
            let sent = now;
            now += millis(pick(&mut random, 2_500));
            let after = contact.record_failure(now, cut(sent));
            assert!(matches!(after, AfterFailure::List(_)), "seed {seed}");
            now += millis(pick(&mut random, 100));
            assert_eq!(contact.record_answer(now), None, "seed {seed}");
        }
    }
}

// Guards against lists without end, which are billed, at a store that cuts off each watch at once.
#[test]
fn lists_after_cuts_are_at_most_a_few_a_second() {
    let (mut contact, mut now) = (StoreContact::default(), Time::from_secs(100));
    let (until, mut lists) = (Time::from_secs(110), 0);

    while now < until {
        let AfterFailure::List(pause) = contact.record_failure(now, cut(now)) else {
            panic!("lost after cuts alone");
        };
        now += pause + millis(1);
        contact.record_answer(now);
        lists += 1;
    }

    assert!(lists <= 13, "{lists} lists in 10 s");
}

#[test]
fn a_pause_is_forgotten_once_cuts_are_apart() {
    let (mut contact, now) = (StoreContact::default(), Time::from_secs(100));

    let pauses = [0, 500, 900, 2_500].map(|at| {
        let at = now + millis(at);
        contact.record_failure(at, cut(at))
    });

    let list = AfterFailure::List;
    let first = RETRY_BACKOFF.0;
    assert_eq!(pauses, [list(Duration::ZERO), list(first), list(first * 2), list(Duration::ZERO)]);
}

#[test]
fn a_list_without_an_answer_after_a_cut_shows_an_outage_since_the_cut() {
    let (mut contact, now) = (StoreContact::default(), Time::from_secs(100));

    contact.record_failure(now, cut(now.saturating_sub(millis(1_000))));
    let after = contact.record_failure(now + millis(900), unanswered(now + millis(10)));
    let outage = contact.record_answer(now + millis(3_000));

    assert_eq!(after, AfterFailure::Lost { is_new: true, pause: RETRY_BACKOFF.0 });
    assert_eq!(outage, Some(Outage { from: now, until: now + millis(3_000) }));
}

#[test]
fn an_outage_is_told_once_and_lies_between_two_answers() {
    for seed in 0..HISTORIES {
        let mut random = Pcg64Mcg::new(u128::from(seed) + 1);
        let (mut contact, mut now) = (StoreContact::default(), Time::from_secs(100));
        let (mut answered_at, mut is_lost) = (now, false);
        for _ in 0..CALLS {
            let sent = now;
            now += millis(pick(&mut random, 1_500));
            let call = match pick(&mut random, 3) {
                0 => cut(sent),
                1 => failed_list(&mut random, sent),
                _ => {
                    let outage = contact.record_answer(now);
                    assert_eq!(outage.is_some(), is_lost, "seed {seed}");
                    assert!(outage.is_none_or(|it| it.from >= answered_at && it.until == now));
                    (answered_at, is_lost) = (now, false);
                    continue;
                }
            };
            let after = contact.record_failure(now, call);
            let pause = match after {
                AfterFailure::List(pause) => {
                    assert!(call.waits && !is_lost, "seed {seed}");
                    pause
                }
                AfterFailure::Lost { is_new, pause } => {
                    assert_eq!(is_new, !is_lost, "seed {seed}");
                    is_lost = true;
                    pause
                }
            };
            assert!(contact.is_lost() == is_lost && pause <= RETRY_BACKOFF.1, "seed {seed}");
        }
    }
}

// Guards against requests later than the drain time after a removal that was acknowledged: whatever calls
// fail in less than that time, a target is not kept for longer that was removed in a pause before them.
#[test]
fn a_target_removed_before_calls_fail_is_not_kept_beyond_the_drain_time() {
    for seed in 0..HISTORIES {
        let mut random = Pcg64Mcg::new(u128::from(seed) + 1);
        let (mut contact, answered_at) = (StoreContact::default(), Time::from_secs(100));
        let mut fleet = Fleet::new("a", DRAIN);
        fleet.replace(answered_at, vec![entry("t")]);
        contact.record_answer(answered_at);
        let removed_at = answered_at + millis(pick(&mut random, 500));
        let mut now = removed_at + millis(pick(&mut random, 100));
        if pick(&mut random, 2) == 0 {
            // A watch that is cut off so early has not brought it.
            let sent = now;
            now += millis(pick(&mut random, 100));
            contact.record_failure(now, cut(sent));
        }
        for _ in 0..pick(&mut random, 4) {
            let sent = now;
            now += millis(pick(&mut random, 300));
            contact.record_failure(now, failed_list(&mut random, sent));
        }
        if let Some(outage) = contact.record_answer(now) {
            fleet.store_recovered(outage.entries_missing_since(DRAIN));
        }
        for _ in 0..pick(&mut random, 3) {
            fleet.replace(now, Vec::new());
            now += millis(pick(&mut random, 200));
        }
        fleet.replace(now, Vec::new());

        assert!(!is_served(&fleet, removed_at + DRAIN), "seed {seed}");
    }
}

#[test]
fn targets_whose_entries_expired_in_a_long_outage_are_kept() {
    let (mut contact, lost_at) = (StoreContact::default(), Time::from_secs(100));
    let mut fleet = Fleet::new("a", DRAIN);
    fleet.replace(lost_at, vec![entry("t")]);
    contact.record_failure(lost_at, unanswered(lost_at));
    let now = lost_at + millis(8_000);

    let outage = contact.record_answer(now).unwrap();
    fleet.store_recovered(outage.entries_missing_since(DRAIN));
    fleet.replace(now, Vec::new());

    assert!(is_served(&fleet, now + millis(1_500)));
    assert!(!is_served(&fleet, now + DRAIN));
}

// Guards against keeping what a later list lacks: it was there after the outage, and was removed since.
#[test]
fn a_target_that_was_listed_after_an_outage_is_gone_once_a_list_lacks_it() {
    let (now, mut fleet) = (Time::from_secs(100), Fleet::new("a", DRAIN));
    fleet.store_recovered(now);
    fleet.replace(now, vec![entry("t")]);

    fleet.replace(now + millis(100), Vec::new());

    assert!(!is_served(&fleet, now + millis(100)));
}
