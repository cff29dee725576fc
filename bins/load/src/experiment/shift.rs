//! `shift`: the prefill share of the work alternates between 20% and 70%, with ramps of one
//! minute.

use std::time::Duration;

use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{base_scenario, eight_org_shares, mix, rate_for_load, trapezoid_wave},
        seed_inputs,
    },
    scenario::Scenario,
    scheme::Scheme,
    workload::Workload,
};

/// Number of engines in the fleet.
const ENGINES: usize = 16;

/// Load of the fleet.
const LOAD: f64 = 0.8;

/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;

/// Minimum and maximum prefill share of the work.
const PREFILL_SHARES: (f64, f64) = (0.2, 0.7);

/// Period of the prefill share and length of each ramp, in seconds.
const PERIOD: (f64, f64) = (300.0, 60.0);

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 900.0;

/// The scenario, with its time span multiplied by `scale`.
pub(super) fn scenario(scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, LOAD, REQUEST_WORK);
    let engine_profile = profile.clone();
    let workload = Workload {
        span: Duration::from_secs_f64(SPAN * scale),
        entries: 9,
        mix: Box::new(move |now| {
            let share = trapezoid_wave(now, PREFILL_SHARES.0, PREFILL_SHARES.1, PERIOD.0, PERIOD.1);
            mix(&engine_profile, rate, REQUEST_WORK, share)
        }),
        peak: rate,
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.0,
    };
    Scenario {
        prefill_share: PREFILL_SHARES.0,
        ..base_scenario("shift", profile, ENGINES, workload)
    }
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let scenario = scenario(scale);
    let about = format!(
        "{ENGINES} engines, 9 entries, prefill share {} to {} and back every {} s, load {LOAD}",
        PREFILL_SHARES.0, PREFILL_SHARES.1, PERIOD.0
    );
    let mut report = Report::new("shift", about, options);
    report.compare(&scenario, &Scheme::ALL, &seed_inputs(&scenario, options));
    let Some((policy, _)) = report.policy_and_best_baseline() else { return report };
    let (good, changes) = (policy.good.mean, policy.changes.mean);
    let greedy = report.row(Scheme::GreedyRoles.name()).map_or(0.0, |row| row.changes.mean);
    report.add_verdict("goodput at least 90% of the bound", format!("{good:.1}%"), good >= 90.0);
    report.add_goodput_verdict();
    report.add_verdict(
        "role changes at most a quarter of greedy's",
        format!("{changes:.1} against {greedy:.1}"),
        changes <= greedy / 4.0,
    );
    report
}
