//! `stale`: load reports are delayed by seconds, then stop for a while.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{base_scenario, eight_org_shares, mix, rate_for_load, trapezoid_wave},
        seed_inputs,
    },
    scenario::{Fault, Scenario},
    scheme::Scheme,
    workload::Workload,
};

/// Number of engines in the fleet.
const ENGINES: usize = 15;
/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;
/// Load of the fleet.
const LOAD: f64 = 0.75;

/// Minimum and maximum prefill share of the work.
const PREFILL_SHARES: (f64, f64) = (0.25, 0.5);

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 400.0;

/// Start of the delays, start of the outage of reports, and its length, as fractions of the span.
const FAULT_TIMES: [f64; 3] = [0.2, 0.5, 0.25];

/// Delay of the load reports after the first fault.
const REPORT_DELAY: Duration = Duration::from_secs(3);

fn scenario(scale: f64, faulty: bool) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, LOAD, REQUEST_WORK);
    let engine_profile = profile.clone();
    let span = SPAN * scale;
    let workload = Workload {
        span: Duration::from_secs_f64(span),
        entries: 9,
        mix: Box::new(move |now| {
            let share = trapezoid_wave(now, PREFILL_SHARES.0, PREFILL_SHARES.1, SPAN / 2.0, 30.0);
            mix(&engine_profile, rate, REQUEST_WORK, share)
        }),
        peak: rate,
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.0,
    };
    let mut scenario = base_scenario("stale", profile, ENGINES, workload);
    if faulty {
        let at = |fraction: f64| Time::ZERO + Duration::from_secs_f64(span * fraction);
        let outage = Duration::from_secs_f64(span * FAULT_TIMES[2]);
        scenario.faults = vec![
            (at(FAULT_TIMES[0]), Fault::ReportDelay(REPORT_DELAY)),
            (at(FAULT_TIMES[1]), Fault::ReportOutage(outage)),
        ];
    }
    scenario
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let about = format!(
        "{ENGINES} engines, load {LOAD}, reports {} s late from {} s on, none for {} s from {} s on",
        REPORT_DELAY.as_secs(),
        SPAN * FAULT_TIMES[0],
        SPAN * FAULT_TIMES[2],
        SPAN * FAULT_TIMES[1]
    );
    let mut report = Report::new("stale", about, options);
    let without_faults = scenario(scale, false);
    report.add_row(
        "policy, fresh reports",
        Scheme::Policy,
        &without_faults,
        &seed_inputs(&without_faults, options),
    );
    let scenario = scenario(scale, true);
    report.compare(&scenario, &Scheme::ALL, &seed_inputs(&scenario, options));
    report.add_goodput_verdict();
    report
}
