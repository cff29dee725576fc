//! Switches off each protection in turn and expects that a named run breaks a promise.
//!
//! This shows that each protection is needed, and that the checker notices its absence.

use std::time::Duration;

use chervilgate_coord::{Guards, Protocol, Step};
use chervilgate_testbed::{
    AuthorityScene, Fault, FaultInjection, HostId, OwnersSetting, Promise, Scene, check,
};

const SEND: Step = Step::new(Protocol::Order, "send");
const RENEW: Step = Step::new(Protocol::Session, "renew");
const WATCH: Step = Step::new(Protocol::Shard, "watch");

/// Longer than any lease plus the takeover that follows.
const LONG_PAUSE: Duration = Duration::from_secs(30);

/// Longer than the 9.5 s after which the session may be sealed: the holder resumes during the
/// takeover, before it learns that the lease is lost.
const SHORT_PAUSE: Duration = Duration::from_secs(13);

/// A run with faults that breaks a promise unless a protection is on.
struct GuardedCell {
    name: &'static str,
    promise: Promise,
    faults: Vec<FaultInjection>,
    pause: Duration,
}

fn run(cell: &GuardedCell, guards: Guards) -> Vec<Promise> {
    let world = OwnersSetting { guards, ..OwnersSetting::default() };
    let scene = AuthorityScene { name: cell.name, world, faults: cell.faults.clone(), stop: None };
    let mut bed = scene.build(7);
    bed.fault_durations.pause = cell.pause;
    scene.run(&mut bed);
    let report = check(&bed.history);
    assert!(bed.pending_faults().is_empty(), "{}: a fault was not injected", cell.name);
    assert!(
        report.observations.contains_key(&cell.promise),
        "{}: the promise was not observed",
        cell.name
    );
    report.violations.iter().map(|violation| violation.promise).collect()
}

/// Expects no violation with all protections on, and one of the cell's promise without this one.
fn assert_guards(cell: &GuardedCell, without: Guards) {
    let with = run(cell, Guards::default());
    let broken = run(cell, without);

    assert!(with.is_empty(), "{}: promises broken with all guards on: {with:?}", cell.name);
    assert!(broken.contains(&cell.promise), "{}: promise not broken without its guard", cell.name);
    println!("guard cell '{}' breaks its promise without the guard: {:?}", cell.name, cell.promise);
}

fn fault_at_send(nth: usize, fault: Fault) -> FaultInjection {
    FaultInjection { step: SEND, nth, host: None, fault }
}

fn fault_on_host(host: usize, step: Step, nth: usize, fault: Fault) -> FaultInjection {
    FaultInjection { step, nth, host: Some(HostId(host)), fault }
}

#[test]
fn the_epoch_shuts_out_a_paused_sender() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, the engine checks tokens",
        promise: Promise::NoConflict,
        faults: vec![fault_at_send(3, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { fencing_token: false, ..Guards::default() });
}

#[test]
fn the_intent_tells_of_a_paused_sender() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, no intent stored",
        promise: Promise::NoConflict,
        faults: vec![fault_at_send(4, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { intent: false, ..Guards::default() });
}

#[test]
fn proof_keeps_a_new_owner_from_a_plain_engine() {
    let cell = GuardedCell {
        name: "a sender paused between check and send, the engine does not check tokens",
        promise: Promise::NoConflict,
        faults: vec![fault_at_send(4, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { stop_proof: false, ..Guards::default() });
}

#[test]
fn proof_keeps_target_orders_from_two_owners_apart() {
    let cell = GuardedCell {
        name: "a target order paused between check and send",
        promise: Promise::OneOrderer,
        faults: vec![fault_at_send(1, Fault::PausedBefore)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { stop_proof: false, ..Guards::default() });
}

#[test]
fn an_unanswered_order_is_given_time_to_arrive() {
    let cell = GuardedCell {
        name: "an order that arrives after its sender stopped waiting for the answer",
        promise: Promise::NoConflict,
        faults: vec![fault_at_send(4, Fault::CallLate)],
        pause: LONG_PAUSE,
    };

    assert_guards(&cell, Guards { transit_wait: false, ..Guards::default() });
}

#[test]
fn the_seal_stops_a_renewal_during_a_takeover() {
    let cell = GuardedCell {
        name: "a holder that resumes after a pause and renews before it learns of its loss",
        promise: Promise::NoConflict,
        faults: vec![
            fault_on_host(1, WATCH, 1, Fault::AnswerLost),
            fault_on_host(1, RENEW, 1, Fault::PausedAfter),
        ],
        pause: SHORT_PAUSE,
    };

    assert_guards(&cell, Guards { session_seal: false, ..Guards::default() });
}
