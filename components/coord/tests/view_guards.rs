//! Checks that switching off a protection of views, windows or claims causes a detected violation.

use std::{path::Path, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Epoch, Expect, Guards, Incarnation, ShardId, StoreCall, StoreReply, encode,
    window::{
        SealerAction, SealerActions, Usage, UsageSheet, UsageTotals, WindowId, WindowSealer,
        sheet_key,
    },
};
use chervilgate_scenario::{Run, parse, run};
use chervilgate_testbed::{Fact, FakeStore, History, Promise, StoreOutcome, check};

fn run_scenario(name: &str, guards: Guards) -> Run {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios").join(name);
    let text = std::fs::read_to_string(&path).expect("scenario file exists");
    let script = parse(name, &text).expect("scenario parses");
    run(&script, guards)
}

fn violates(run: &Run, promise: Promise) -> bool {
    run.violations.iter().any(|violation| violation.promise == promise)
}

/// Seals a window by two processes that both act as its owner, with usage written between
/// their lists.
fn seal_by_two_owners(guards: Guards) -> History {
    let mut store = FakeStore::default();
    let mut history = History::default();
    let shard = || ShardId("usage-0".to_owned());
    let new_sealer =
        |first| (CallIds::from(first), WindowSealer::new(shard(), 0, WINDOW_DURATION, first));
    let (mut ids, slow) = new_sealer(1);
    let (mut other_ids, fast) = new_sealer(1_000);
    let (mut slow, mut fast) = (slow.with_guards(guards), fast.with_guards(guards));
    let start = Time::from_secs(1);
    let slow_replies = make_calls(&mut store, slow.advance(start, &mut ids));
    let fast_replies = make_calls(&mut store, fast.advance(start, &mut other_ids));
    handle_replies(&mut slow, start, &mut ids, slow_replies);
    handle_replies(&mut fast, start, &mut other_ids, fast_replies);

    let now = start + WINDOW_DURATION;
    write_usage(&mut store, 1, 10);
    let listed = make_calls(&mut store, slow.advance(now, &mut ids));
    finish_seal(&mut fast, now, &mut other_ids, &mut store, &mut history);
    write_usage(&mut store, 2, 5);
    let replies = handle_replies(&mut slow, now, &mut ids, listed);
    record_reports(&replies, 1, &mut history);
    let mut calls = make_calls(&mut store, replies);
    while !calls.is_empty() {
        let actions = handle_replies(&mut slow, now, &mut ids, calls);
        record_reports(&actions, 1, &mut history);
        calls = make_calls(&mut store, actions);
    }
    history
}

const WINDOW_DURATION: Duration = Duration::from_secs(60);

type Replies = Vec<(CallId, StoreReply)>;

fn finish_seal(
    sealer: &mut WindowSealer,
    now: Time,
    ids: &mut CallIds,
    store: &mut FakeStore,
    history: &mut History,
) {
    let mut calls = make_calls(store, sealer.advance(now, ids));
    while !calls.is_empty() {
        let actions = handle_replies(sealer, now, ids, calls);
        record_reports(&actions, 2, history);
        calls = make_calls(store, actions);
    }
}

fn handle_replies(
    sealer: &mut WindowSealer,
    now: Time,
    ids: &mut CallIds,
    replies: Replies,
) -> SealerActions {
    let mut actions = SealerActions::new();
    for (id, reply) in replies {
        actions.extend(sealer.reply(now, ids, id, &reply).unwrap_or_default());
    }
    actions
}

fn make_calls(store: &mut FakeStore, actions: SealerActions) -> Replies {
    let mut replies = Vec::new();
    for action in actions {
        if let SealerAction::Call { id, call, .. } = action
            && let StoreOutcome::Reply(reply) = store.serve(&call)
        {
            replies.push((id, reply));
        }
    }
    replies
}

fn record_reports(actions: &SealerActions, sender: u64, history: &mut History) {
    for action in actions {
        if let SealerAction::Report { window, seal } = action {
            history.add(
                Time::from_secs(1),
                Fact::Reported {
                    window: window.to_string(),
                    figures: encode(&seal.total),
                    sender: Incarnation(sender),
                    epoch: Epoch(1),
                },
            );
        }
    }
}

fn write_usage(store: &mut FakeStore, entry: u64, requests: u64) {
    let window = WindowId { shard: ShardId("usage-0".to_owned()), number: 1 };
    let mut totals = UsageTotals::default();
    totals.add("office", Usage { requests, prompt: 0, generated: 0 });
    let value = encode(&UsageSheet { state: 1, tally: totals });
    let key = sheet_key(&window, Incarnation(entry));
    store.serve(&StoreCall::Put { key, expect: Expect::Absent, value });
}

#[test]
fn notices_that_stale_views_are_served_from() {
    let guards = Guards { freshness: false, ..Guards::default() };

    let unguarded = run_scenario("minority-refuses.scn", guards);
    let guarded = run_scenario("minority-refuses.scn", Guards::default());

    assert!(violates(&unguarded, Promise::Keys), "{:?}", unguarded.failures);
    assert!(guarded.violations.is_empty());
}

#[test]
fn notices_that_changes_are_accepted_without_a_majority() {
    let guards = Guards { acceptance: false, ..Guards::default() };

    let unguarded = run_scenario("majority-cut-off.scn", guards);
    let guarded = run_scenario("majority-cut-off.scn", Guards::default());

    assert!(violates(&unguarded, Promise::Keys), "{:?}", unguarded.failures);
    assert!(guarded.violations.is_empty());
}

#[test]
fn notices_that_a_seal_is_replaced() {
    let guards = Guards { window_seal: false, ..Guards::default() };

    let unguarded = check(&seal_by_two_owners(guards));
    let guarded = check(&seal_by_two_owners(Guards::default()));

    assert!(!unguarded.kept(Promise::UsageOnce), "{:?}", unguarded.violations);
    assert!(guarded.kept(Promise::UsageOnce), "{:?}", guarded.violations);
}

#[test]
fn notices_that_requests_are_not_claimed() {
    let guards = Guards { claim: false, ..Guards::default() };

    let unguarded = run_scenario("claim-race.scn", guards);
    let guarded = run_scenario("claim-race.scn", Guards::default());

    assert!(violates(&unguarded, Promise::AtMostOnce), "{:?}", unguarded.failures);
    assert!(guarded.violations.is_empty());
}
