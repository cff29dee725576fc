//! Tests of hosts that follow the pollers while the store's connections or datagrams fail.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, Version};
use chervilgate_gateway::{
    freshness::Freshness,
    target_feed::{FeedAnswer, FeedConditions, FeedRequest, PassedChanges, ReadReason, TargetFeed},
    view::ConfirmationRequest,
};

/// Time within which a removal must be known, as the operators set it.
const LIMIT: Duration = Duration::from_secs(2);

const TICK: Duration = Duration::from_millis(10);

/// Time between two looks of a host at whether it must read the store.
const LOOK: Duration = Duration::from_millis(100);

const START: Time = Time::from_secs(100);

fn at(revision: u64) -> Version {
    Version::first_era(revision)
}

fn put(revision: u64) -> Change {
    let key = format!("targets/{revision}");
    Change::Put(Object { key, version: at(revision), value: vec![0; 300] })
}

/// A host that has read version 50 at `START` and follows the pollers.
fn follower() -> (TargetFeed, Freshness) {
    let (mut feed, mut freshness) = (TargetFeed::new(LIMIT), Freshness::new(LIMIT));
    feed.record_list(START, at(50));
    freshness.record_list(START, at(50), Some(at(40)), false);
    feed.set_following(true);
    (feed, freshness)
}

/// A message with the change `revision`, after `before`.
fn passed(before: u64, revision: u64) -> PassedChanges {
    let changes = vec![put(revision)];
    PassedChanges { before: at(before), after: at(revision), changes, answer: None }
}

fn end(request: FeedRequest, is_complete: bool, age: Duration) -> Option<FeedAnswer> {
    let age = age.as_micros() as u64;
    Some(FeedAnswer { request: request.request, is_complete, age })
}

fn reason_of(feed: &TargetFeed, freshness: &Freshness, now: Time) -> Option<ReadReason> {
    let conditions = FeedConditions { is_poller: false, pollers: 2, is_store_down: false, era: 0 };
    feed.read_reason(now, freshness, &conditions)
}

/// When a follower first reads the store if the watch of each poller takes `call` longer than its wait,
/// and the pollers' connections to the store fall silent at `silent`; and when the last of their replies
/// was confirmed. Pollers go on answering questions.
fn read_of_follower(call: Duration, silent: Time, limit: Time) -> (Option<Time>, Time) {
    let (mut feed, mut freshness) = follower();
    let (poller, mut read) = follower();
    let (mut sent, mut now, mut confirmed) = (START, START, START);
    let mut wait = poller.poller_wait(START, &read).min(LIMIT / 2);
    while now < limit {
        now += TICK;
        let held_until = sent + wait;
        if now >= held_until + call && now < silent {
            read.record_changes(sent, held_until, at(50), None);
            confirmed = held_until;
            sent = now;
            wait = poller.poller_wait(now, &read).min(LIMIT / 2);
        }
        if let Some(request) = feed.next_request(now, 7, &freshness) {
            let answer = end(request, true, read.age(now).expect("a reply"));
            let message =
                PassedChanges { before: at(50), after: at(50), changes: Vec::new(), answer };
            feed.apply(now, 7, 0, message, &mut freshness);
        }
        let is_look = now.since(START).as_millis().is_multiple_of(LOOK.as_millis());
        if is_look && reason_of(&feed, &freshness, now).is_some() {
            return (Some(now), confirmed);
        }
    }
    (None, confirmed)
}

// Guards against followers that leave too little time for their own call: the pollers still answer, but a
// target that drains just after their last confirmation is unknown until the followers have read.
#[test]
fn a_drain_is_read_in_time_while_pollers_connections_are_silent() {
    for call in [100, 200, 300].map(Duration::from_millis) {
        for offset in (0..30).map(|tenths| Duration::from_millis(100 * tenths)) {
            let silent = START + LIMIT + offset;

            let (read, confirmed) =
                read_of_follower(call.min(LIMIT / 20), silent, silent + 2 * LIMIT);

            let known = read.expect("a read") + call;
            assert!(known <= confirmed + LIMIT, "{:?}, {offset:?}", known.since(confirmed));
        }
    }
}

// Guards against followers that read the store in calm times because pollers confirm too rarely.
#[test]
fn calm_pollers_confirm_often_enough() {
    let limit = START + Duration::from_secs(15);

    let (read, _) = read_of_follower(Duration::from_millis(50), limit, limit);

    assert_eq!(read, None);
}

// Guards against answers that grow too old when a change ends a poller's watch late: its reply counts from
// when the watch was sent, and a full pause and a long wait would follow.
#[test]
fn a_poller_reads_again_soon_after_a_late_change() {
    let (feed, mut freshness) = follower();
    let reply = START + LIMIT / 2;
    freshness.record_changes(START, START, at(60), Some(at(60)));

    let next = reply + feed.poller_pause(reply, &freshness);
    let held = next + feed.poller_wait(next, &freshness);

    assert!(held.since(START) <= LIMIT.mul_f64(0.55), "{:?}", held.since(START));
}

// Guards against a host that keeps so many messages for later that it drops the one which fills the gap.
#[test]
fn the_message_before_many_early_ones_is_applied() {
    let (mut feed, mut freshness) = follower();
    for before in 60..92 {
        let early = passed(before, before + 1);
        assert!(feed.apply(START, 7, 0, early, &mut freshness).changes.is_empty());
    }

    let applied = feed.apply(START, 7, 0, passed(50, 60), &mut freshness);

    assert_eq!(applied.changes.len(), 33);
    assert_eq!(feed.position(), Some(at(92)));
}

// Guards against answers without changes that take the places of messages with changes.
#[test]
fn messages_without_changes_are_not_kept() {
    let (mut feed, mut freshness) = follower();
    for revision in 60..92 {
        let at = at(revision);
        let empty = PassedChanges { before: at, after: at, changes: Vec::new(), answer: None };
        assert!(!feed.apply(START, 7, 0, empty, &mut freshness).has_gap);
    }
    feed.apply(START, 7, 0, passed(55, 60), &mut freshness);

    let applied = feed.apply(START, 7, 0, passed(50, 55), &mut freshness);

    assert_eq!(applied.changes.len(), 2);
}

// Guards against a read over a pooled connection that has fallen silent with those of the pollers.
#[test]
fn reads_after_silence_doubt_the_connections() {
    let doubtful =
        [ReadReason::Gap, ReadReason::NotKept, ReadReason::Unheard, ReadReason::Unconfirmed];
    assert!(doubtful.into_iter().all(ReadReason::doubts_connections));
    let ordinary = [ReadReason::Interval, ReadReason::Poller, ReadReason::Wanted];
    assert!(!ordinary.into_iter().any(ReadReason::doubts_connections));
}

// Guards against a request that waits for the pollers although its change is known to be missing, and
// against a call for a request that has been served meanwhile.
#[test]
fn a_request_has_the_store_read_only_while_a_change_is_missing() {
    let (_, mut freshness) = follower();
    assert_eq!(ReadReason::of_request(true, &freshness), None);

    freshness.hear(START, at(60));

    assert_eq!(ReadReason::of_request(true, &freshness), Some(ReadReason::Wanted));
    assert_eq!(ReadReason::of_request(false, &freshness), None);
}

// Guards against an answer that counts for nothing because its last message overtook another one.
#[test]
fn an_answer_counts_although_its_messages_arrive_out_of_order() {
    let (mut feed, mut freshness) = follower();
    let asked = START + LIMIT.mul_f64(0.2);
    let request = feed.next_request(asked, 7, &freshness).expect("a question");
    let last = PassedChanges { answer: end(request, true, Duration::ZERO), ..passed(60, 61) };

    feed.apply(asked + TICK, 7, 0, last, &mut freshness);
    assert_eq!(freshness.confirmed_at(), Some(START));
    feed.apply(asked + 2 * TICK, 7, 0, passed(50, 60), &mut freshness);

    assert_eq!(freshness.confirmed_at(), Some(asked));
    assert_eq!(reason_of(&feed, &freshness, START + LIMIT.mul_f64(0.35)), None);
}

// Guards against megabytes of answers within one gossip round, after a batch that was too large to send
// unasked; hosts that get none read the store.
#[test]
fn answers_of_all_hosts_are_limited() {
    let (mut feed, mut freshness) = follower();
    let changes: Vec<Change> = (51..81).map(put).collect();
    feed.record_read(START, &changes, at(80));
    freshness.record_changes(START, START, at(80), Some(at(80)));
    let mut ask = |now: Time, after: u64| -> Vec<PassedChanges> {
        let questions = (0..330).map(|host| FeedRequest {
            request: ConfirmationRequest { host, sent: now.as_micros() },
            after: at(after),
        });
        questions.flat_map(|question| feed.answer(now, 0, &question, &freshness)).collect()
    };
    let bytes = |answers: &[PassedChanges]| -> usize {
        answers.iter().filter(|passed| !passed.changes.is_empty()).count() * 1_400
    };

    let first = ask(START, 50);
    let current = ask(START, 80);
    let later = ask(START + Duration::from_secs(1), 50);

    assert!((200 << 10..=256 << 10).contains(&bytes(&first)), "{}", bytes(&first));
    let is_complete = |passed: &PassedChanges| passed.answer.is_some_and(|end| end.is_complete);
    assert!(first.iter().any(|passed| passed.answer.is_some() && !is_complete(passed)));
    assert_eq!(current.iter().filter(|passed| is_complete(passed)).count(), 330);
    assert_eq!(bytes(&later), bytes(&first));
}
