//! Each guard of views, windows and claims, switched off, is noticed.

use std::{path::Path, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Epoch, Expect, Guards, Incarnation, ShardId, StoreCall, StoreReply, encode,
    window::{Sealer, SealerAction, SealerActions, Sheet, Tally, Usage, WindowId, sheet_key},
};
use chervilgate_scenario::{Run, parse, run};
use chervilgate_testbed::{Fact, FakeStore, History, Promise, Served, check};

fn play(name: &str, guards: Guards) -> Run {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios").join(name);
    let text = std::fs::read_to_string(&path).expect("the script is there");
    let script = parse(name, &text).expect("the script follows the language");
    run(&script, guards)
}

fn breaks(run: &Run, promise: Promise) -> bool {
    run.breaches.iter().any(|breach| breach.promise == promise)
}

/// Two processes that both believe to own the windows, and usage that comes
/// between their lists.
fn seal_twice(guards: Guards) -> History {
    let mut store = FakeStore::default();
    let mut history = History::default();
    let shard = || ShardId("usage-0".to_owned());
    let owner = |first| (CallIds::from(first), Sealer::new(shard(), 0, SPAN, first));
    let (mut ids, slow) = owner(1);
    let (mut other_ids, quick) = owner(1_000);
    let (mut slow, mut quick) = (slow.with_guards(guards), quick.with_guards(guards));
    let start = Time::from_secs(1);
    let open = serve(&mut store, slow.advance(start, &mut ids));
    let open_other = serve(&mut store, quick.advance(start, &mut other_ids));
    feed(&mut slow, start, &mut ids, open);
    feed(&mut quick, start, &mut other_ids, open_other);

    let now = start + SPAN;
    write_usage(&mut store, 1, 10);
    let listed = serve(&mut store, slow.advance(now, &mut ids));
    seal_fully(&mut quick, now, &mut other_ids, &mut store, &mut history);
    write_usage(&mut store, 2, 5);
    let replies = feed(&mut slow, now, &mut ids, listed);
    record(&replies, 1, &mut history);
    let mut calls = serve(&mut store, replies);
    while !calls.is_empty() {
        let actions = feed(&mut slow, now, &mut ids, calls);
        record(&actions, 1, &mut history);
        calls = serve(&mut store, actions);
    }
    history
}

const SPAN: Duration = Duration::from_secs(60);

type Replies = Vec<(CallId, StoreReply)>;

fn seal_fully(
    sealer: &mut Sealer,
    now: Time,
    ids: &mut CallIds,
    store: &mut FakeStore,
    history: &mut History,
) {
    let mut calls = serve(store, sealer.advance(now, ids));
    while !calls.is_empty() {
        let actions = feed(sealer, now, ids, calls);
        record(&actions, 2, history);
        calls = serve(store, actions);
    }
}

fn feed(sealer: &mut Sealer, now: Time, ids: &mut CallIds, replies: Replies) -> SealerActions {
    let mut actions = SealerActions::new();
    for (id, reply) in replies {
        actions.extend(sealer.reply(now, ids, id, &reply).unwrap_or_default());
    }
    actions
}

fn serve(store: &mut FakeStore, actions: SealerActions) -> Replies {
    let mut replies = Vec::new();
    for action in actions {
        if let SealerAction::Call { id, call, .. } = action
            && let Served::Reply(reply) = store.serve(&call)
        {
            replies.push((id, reply));
        }
    }
    replies
}

fn record(actions: &SealerActions, sender: u64, history: &mut History) {
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
    let mut tally = Tally::default();
    tally.add("office", Usage { requests, prompt: 0, generated: 0 });
    let value = encode(&Sheet { state: 1, tally });
    let key = sheet_key(&window, Incarnation(entry));
    store.serve(&StoreCall::Put { key, expect: Expect::Absent, value });
}

#[test]
fn notices_that_stale_views_are_served_from() {
    let guards = Guards { freshness: false, ..Guards::default() };

    let open = play("minority-refuses.scn", guards);
    let kept = play("minority-refuses.scn", Guards::default());

    assert!(breaks(&open, Promise::Keys), "{:?}", open.failures);
    assert!(kept.breaches.is_empty());
}

#[test]
fn notices_that_changes_are_accepted_without_a_majority() {
    let guards = Guards { acceptance: false, ..Guards::default() };

    let open = play("majority-cut-off.scn", guards);
    let kept = play("majority-cut-off.scn", Guards::default());

    assert!(breaks(&open, Promise::Keys), "{:?}", open.failures);
    assert!(kept.breaches.is_empty());
}

#[test]
fn notices_that_a_seal_is_replaced() {
    let guards = Guards { seal: false, ..Guards::default() };

    let open = check(&seal_twice(guards));
    let kept = check(&seal_twice(Guards::default()));

    assert!(!open.kept(Promise::UsageOnce), "{:?}", open.breaches);
    assert!(kept.kept(Promise::UsageOnce), "{:?}", kept.breaches);
}

#[test]
fn notices_that_requests_are_not_claimed() {
    let guards = Guards { claim: false, ..Guards::default() };

    let open = play("claim-race.scn", guards);
    let kept = play("claim-race.scn", Guards::default());

    assert!(breaks(&open, Promise::AtMostOnce), "{:?}", open.failures);
    assert!(kept.breaches.is_empty());
}
