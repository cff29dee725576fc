//! Injects every fault at every step of views, drains, claims and windows.

use chervilgate_clock::Time;
use chervilgate_coord::Protocol;
use chervilgate_scenario::{ScriptScene, parse};
use chervilgate_testbed::{
    Fault, MatrixCell, MatrixReport, Scene, pair_cells, run_cells, single_cells,
};

/// Faults that are injected second in a pair.
const SECOND_FAULTS: [Fault; 2] = [Fault::KilledAfter, Fault::AnswerLost];

/// Runs one of this many pairs.
const PAIR_STRIDE: usize = 23;

/// Protocols whose steps get faults here; `fault_matrix` covers the others.
const PROTOCOLS: [Protocol; 7] = [
    Protocol::Publication,
    Protocol::Withdrawal,
    Protocol::View,
    Protocol::Membership,
    Protocol::Drain,
    Protocol::Claim,
    Protocol::Window,
];

/// Number of failed cells that are printed in full.
const MAX_DETAILED_FAILURES: usize = 3;

const SCENARIO: &str = "
scenario \"views, drains, claims and windows\"
entries e1 e2 in a
entries e3 e4 in b
entries e5 in c
service p1 in a
service p2 in b
key office of office
key desk of desk
at 12s publish c1 through e1 setting portal=1
at 16s traffic with office on p1 p2 every 1s for 70s
at 16s traffic with desk on p1 p2 every 1s for 70s
at 18s request unscoped with desk through e2 on p2 taking 1s once unscoped
at 19s request scoped with desk through e3 on p2 taking 1s once scoped
at 20s publish c2 from c1 through e4 setting portal=2
at 21s withdraw office through e5
at 22s resend scoped through e1
at 23s drain p1 through e2
at 24s resend unscoped through e4
at 25s stop e3
at 75s publish c3 from c2 through e4 setting portal=3
expect config c3 in force
end at 100s
";

fn faults_in_listed_protocols(cell: &MatrixCell) -> bool {
    cell.faults.iter().all(|injection| PROTOCOLS.contains(&injection.step.protocol))
}

fn print_report(report: &MatrixReport) {
    println!("{report}");
    println!("steps with faults: {}", report.steps.len());
    for (promise, count) in &report.observed {
        println!("  {promise:?}: {count} observations");
    }
    for failure in report.failures.iter().take(MAX_DETAILED_FAILURES) {
        println!("{failure}");
    }
    for failure in report.failures.iter().skip(MAX_DETAILED_FAILURES) {
        println!("also failed: {:?} {:?}", failure.cell.faults, failure.findings);
    }
}

#[test]
fn promises_hold_under_every_fault_at_every_step_of_views() {
    let script = parse("matrix", SCENARIO).expect("scenario parses");
    let scene = ScriptScene::new(script, Time::from_secs(45));
    let scenes: Vec<&dyn Scene> = vec![&scene];
    let mut singles = single_cells(&scenes);
    singles.retain(faults_in_listed_protocols);

    let pairs = pair_cells(&scenes, &first_occurrences(&singles), &SECOND_FAULTS);
    let pairs = pairs.into_iter().filter(faults_in_listed_protocols).step_by(PAIR_STRIDE);
    let cells: Vec<MatrixCell> = singles.into_iter().chain(pairs).collect();
    let report = run_cells(&scenes, &cells);

    print_report(&report);
    assert!(report.failures.is_empty(), "{} cells failed", report.failures.len());
}

/// Keeps the first cell of each pair of step and fault.
fn first_occurrences(cells: &[MatrixCell]) -> Vec<MatrixCell> {
    let mut seen = std::collections::BTreeSet::new();
    let first = |cell: &&MatrixCell| {
        cell.faults.first().is_some_and(|injection| seen.insert((injection.step, injection.fault)))
    };
    cells.iter().filter(first).cloned().collect()
}
