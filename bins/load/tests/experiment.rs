//! Runs every experiment with a short time span.

use chervilgate_load::experiment::{self, Name, Options, Report};

fn short(name: Name, seed: u64) -> Report {
    experiment::run(name, &Options { seeds: vec![seed], scale: 0.05, trace: false })
}

fn text(report: &Report) -> String {
    serde_json::to_string(&report.figures()).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = short(Name::Shift, 7);
    let again = short(Name::Shift, 7);
    let other = short(Name::Shift, 8);

    assert_eq!(text(&first), text(&again));
    assert_ne!(text(&first), text(&other));
}

#[test]
fn no_scheme_beats_the_bound_or_spoils_an_answer() {
    for (_, name) in Name::ALL {
        let report = short(name, 3);

        for row in &report.rows {
            assert!(row.good.most <= 100.0, "{} {row:?}", report.name);
            assert_eq!(row.faults[0], 0, "{} {row:?}", report.name);
            assert_eq!(row.faults[1], 0, "{} {row:?}", report.name);
        }
    }
}

#[test]
fn every_name_can_be_parsed() {
    for (text, name) in Name::ALL {
        assert_eq!(text.parse(), Ok(name));
    }
    assert!("nothing".parse::<Name>().is_err());
}
