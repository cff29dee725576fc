//! With each protection switched off in turn, a named cell goes red.

use std::time::Duration;

use chervilgate_coord::{Guards, Protocol, Step};
use chervilgate_testbed::{
    AuthorityScene, Fault, HostId, Promise, Scene, Strike, WorldSetting, check,
};

const SEND: Step = Step::new(Protocol::Order, "send");
const RENEW: Step = Step::new(Protocol::Session, "renew");
const WATCH: Step = Step::new(Protocol::Shard, "watch");

/// Past every lease, and past the takeover that follows.
const LONG_PAUSE: Duration = Duration::from_secs(30);

/// Just past the lease: the holder is back before its loss is told.
const SHORT_PAUSE: Duration = Duration::from_secs(13);

/// A run that a protection is needed for.
struct GuardedCell {
    name: &'static str,
    promise: Promise,
    strikes: Vec<Strike>,
    pause: Duration,
}

fn run(cell: &GuardedCell, guards: Guards) -> Vec<Promise> {
    let world = WorldSetting { guards, ..WorldSetting::default() };
    let scene =
        AuthorityScene { name: cell.name, world, strikes: cell.strikes.clone(), stop: None };
    let mut bed = scene.build(7);
    bed.spans.pause = cell.pause;
    scene.drive(&mut bed);
    let report = check(&bed.history);
    assert!(bed.pending_strikes().is_empty(), "{}: a strike did not come", cell.name);
    assert!(report.observed.contains_key(&cell.promise), "{}: nothing observed", cell.name);
    report.breaches.iter().map(|breach| breach.promise).collect()
}

/// The cell is green with all protections on, and red without this one.
fn assert_guards(cell: &GuardedCell, without: Guards) {
    let with = run(cell, Guards::default());
    let broken = run(cell, without);

    assert!(with.is_empty(), "{}: broken with all guards on: {with:?}", cell.name);
    assert!(broken.contains(&cell.promise), "{}: stayed green without its guard", cell.name);
    println!("guard cell '{}' goes red: {:?}", cell.name, cell.promise);
}

fn sent(nth: usize, fault: Fault) -> Strike {
    Strike { step: SEND, nth, host: None, fault }
}

fn on(host: usize, step: Step, nth: usize, fault: Fault) -> Strike {
    Strike { step, nth, host: Some(HostId(host)), fault }
}

#[test]
fn the_epoch_shuts_out_a_paused_sender() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, the engine checks tokens",
        promise: Promise::NoConflict,
        strikes: vec![sent(3, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { epoch: false, ..Guards::default() });
}

#[test]
fn the_intent_tells_of_a_paused_sender() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, nothing written down",
        promise: Promise::NoConflict,
        strikes: vec![sent(4, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { intent: false, ..Guards::default() });
}

#[test]
fn proof_keeps_a_new_owner_from_a_plain_engine() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, the engine checks nothing",
        promise: Promise::NoConflict,
        strikes: vec![sent(4, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { proof: false, ..Guards::default() });
}

#[test]
fn proof_keeps_target_orders_from_two_owners_apart() {
    let cell = GuardedCell {
        name: "a target order paused between check and send",
        promise: Promise::OneOrderer,
        strikes: vec![sent(1, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { proof: false, ..Guards::default() });
}

#[test]
fn an_unanswered_order_is_given_time_to_arrive() {
    let cell = GuardedCell {
        name: "an order that arrives after its sender gave it up",
        promise: Promise::NoConflict,
        strikes: vec![sent(4, Fault::CallLate)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { flight: false, ..Guards::default() });
}

#[test]
fn the_seal_stops_a_renewal_during_a_takeover() {
    let cell = GuardedCell {
        name: "a holder back from a pause that renews before it hears of its loss",
        promise: Promise::NoConflict,
        strikes: vec![on(1, WATCH, 1, Fault::AnswerLost), on(1, RENEW, 1, Fault::PausedAfter)],
        pause: SHORT_PAUSE,
    };

    assert_guards(&cell, Guards { session_seal: false, ..Guards::default() });
}
