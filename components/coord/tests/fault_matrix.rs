//! Injects every fault at every step, singly and in pairs, and checks all promises.

use chervilgate_clock::Time;
use chervilgate_coord::{Protocol, Step};
use chervilgate_testbed::{
    AuthorityScene, Fault, FaultInjection, HostId, MatrixReport, OwnersSetting, Scene, pair_cells,
    run_cells, single_cells,
};

const SEND: Step = Step::new(Protocol::Order, "send");

/// Faults injected as the second of a pair.
const SECOND_FAULTS: [Fault; 6] = [
    Fault::KilledAfter,
    Fault::PausedBefore,
    Fault::Partitioned,
    Fault::CallLost,
    Fault::AnswerLost,
    Fault::StoreDown,
];

/// Number of failed cells that are printed in full.
const MAX_DETAILED_FAILURES: usize = 3;

fn scene(name: &'static str, faults: Vec<FaultInjection>) -> AuthorityScene {
    AuthorityScene { name, world: OwnersSetting::default(), faults, stop: None }
}

fn fault_at_send(nth: usize, fault: Fault) -> FaultInjection {
    FaultInjection { step: SEND, nth, host: None, fault }
}

fn scenes() -> Vec<AuthorityScene> {
    let mut stop = scene("planned stop", Vec::new());
    stop.stop = Some((Time::from_secs(12), HostId(0)));
    vec![
        stop,
        scene("killed sender", vec![fault_at_send(4, Fault::KilledAfter)]),
        scene("paused sender", vec![fault_at_send(4, Fault::PausedBefore)]),
        scene("vanished sender", vec![fault_at_send(4, Fault::Vanished)]),
    ]
}

fn print_report(report: &MatrixReport) {
    println!("{report}");
    println!("steps with faults: {}, receivers frozen: {}", report.steps.len(), report.frozen);
    for (promise, count) in &report.observed {
        println!("  {promise:?}: {count} observations");
    }
    for failure in report.failures.iter().take(MAX_DETAILED_FAILURES) {
        println!("{failure}");
    }
    for failure in report.failures.iter().skip(MAX_DETAILED_FAILURES) {
        println!("also failed: {} {:?} {:?}", failure.scene, failure.cell.faults, failure.findings);
    }
}

#[test]
fn promises_hold_under_every_fault_at_every_step() {
    let scenes = scenes();
    let scenes: Vec<&dyn Scene> = scenes.iter().map(|scene| scene as &dyn Scene).collect();
    let singles = single_cells(&scenes);
    let pairs = pair_cells(&scenes, &singles, &SECOND_FAULTS);

    let cells = [singles, pairs].concat();
    let report = run_cells(&scenes, &cells);

    print_report(&report);
    assert!(report.failures.is_empty(), "{} cells failed", report.failures.len());
}
