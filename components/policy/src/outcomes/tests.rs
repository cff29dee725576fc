use std::time::Duration;

use chervilgate_clock::Time;

use super::{MAX_PEERS, OutcomeReport, TargetOutcomes};

const NOW: Time = Time::from_secs(10);

fn report(answers: u16, failures: u16) -> OutcomeReport {
    OutcomeReport { answers: answers * 10, failures: failures * 10 }
}

fn outcomes(reports: &[OutcomeReport]) -> TargetOutcomes {
    let mut outcomes = TargetOutcomes::new(NOW);
    for (host, report) in (1..).zip(reports) {
        outcomes.apply_report(NOW, host, *report);
    }
    outcomes
}

// Guards against faults that no host sees twice: with 89 hosts of 4 requests a second and 90
// engines, none met a target that lost 40% of its answers again within the 4 s of the fault.
#[test]
fn single_failures_on_several_hosts_make_a_high_rate() {
    assert_eq!(outcomes(&[]).rate(NOW), 0.0);
    assert!(outcomes(&[report(0, 1); 2]).rate(NOW) >= 0.5);
    assert!(outcomes(&[report(0, 1); 4]).rate(NOW) > outcomes(&[report(0, 1); 2]).rate(NOW));
}

// Guards against a fault between one host and a target that turns all hosts away from it.
#[test]
fn one_host_alone_never_makes_a_high_rate() {
    let alone = outcomes(&[report(0, 1_000)]);
    let contradicted = outcomes(&[report(0, 1_000), report(6, 0), report(5, 0)]);
    let mut own = TargetOutcomes::new(NOW);
    (0..1_000).for_each(|_| own.record(NOW, true));

    assert!(alone.rate(NOW) <= 0.2 && own.rate(NOW) <= 0.2);
    assert!(contradicted.rate(NOW) < 0.05);
}

#[test]
fn one_host_counts_for_at_most_half_of_the_failures() {
    let agreeing = outcomes(&[report(4, 2), report(4, 2)]);
    let outweighed = outcomes(&[report(4, 2), report(4, 1_000)]);

    assert_eq!(outweighed.rate(NOW), agreeing.rate(NOW));
}

#[test]
fn failures_decay() {
    let outcomes = outcomes(&[report(0, 2); 2]);

    let rates = [0, 2, 4, 8].map(|after| outcomes.rate(NOW + Duration::from_secs(after)));

    assert!(rates.is_sorted_by(|earlier, later| earlier > later));
    assert!((rates[1] - 0.5).abs() < 1e-9 && rates[3] < 0.12);
    assert!(!outcomes.is_over(NOW) && outcomes.is_over(NOW + Duration::from_secs(20)));
}

#[test]
fn a_later_report_replaces_the_earlier_one() {
    let mut twice = outcomes(&[report(1, 1), report(0, 1)]);

    twice.apply_report(NOW, 1, report(1, 1));

    assert_eq!(twice.rate(NOW), outcomes(&[report(1, 1), report(0, 1)]).rate(NOW));
}

#[test]
fn own_outcomes_reach_other_hosts() {
    let mut own = TargetOutcomes::new(NOW);
    own.record(NOW, true);
    own.record(NOW, false);

    assert_eq!(own.report(NOW), Some(report(1, 1)));
    assert_eq!(outcomes(&[report(9, 9)]).report(NOW), None);
}

#[test]
fn memory_does_not_grow_with_the_hosts() {
    assert!(outcomes(&[report(1, 1); 330]).peers.len() <= MAX_PEERS);
}
