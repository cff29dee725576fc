//! Runs every experiment with a short time span.

use chervilgate_load::experiment::{self, Name, Options, Report};

fn run_short(name: Name, seed: u64) -> Report {
    experiment::run(name, &Options { seeds: vec![seed], scale: 0.05, trace: false })
}

fn to_json(report: &Report) -> String {
    serde_json::to_string(&report.figures()).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = run_short(Name::Shift, 7);
    let again = run_short(Name::Shift, 7);
    let other = run_short(Name::Shift, 8);

    assert_eq!(to_json(&first), to_json(&again));
    assert_ne!(to_json(&first), to_json(&other));
}

#[test]
fn no_scheme_exceeds_the_bound_or_returns_wrong_answers() {
    for (_, name) in Name::ALL {
        let report = run_short(name, 3);

        for row in &report.rows {
            assert!(row.good.most <= 100.0, "{} {row:?}", report.name);
            assert_eq!(row.faults[0], 0, "{} {row:?}", report.name);
            assert_eq!(row.faults[1], 0, "{} {row:?}", report.name);
        }
    }
}

#[test]
fn every_experiment_name_can_be_parsed() {
    for (text, name) in Name::ALL {
        assert_eq!(text.parse(), Ok(name));
    }
    assert!("nothing".parse::<Name>().is_err());
}
