//! The deployments of Mtatsminda and Jadranska, and one of the design size.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{
            base_scenario, constant_workload, decreasing_org_shares, eight_org_shares, mix,
            rate_for_load, trapezoid_wave,
        },
        seed_inputs,
    },
    scenario::{Fault, Scenario},
    scheme::Scheme,
    workload::Workload,
};

/// `mtatsminda`: 20 engines in three zones, 1 ms apart; one engine crashes.
pub(super) fn mtatsminda(options: &Options) -> Report {
    let scale = options.scale;
    let scenario = mtatsminda_scenario(scale);
    let about = "20 engines in 3 zones, 9 entries, prefill share 0.25 to 0.5, one crash".to_owned();
    let mut report = compare("mtatsminda", about, &scenario, &Scheme::ALL, options);
    let Some((policy, best)) = report.policy_and_best_baseline() else { return report };
    let (worst, other) = (policy.worst.mean, best.worst.mean);
    let measured = format!("{worst:.1}% against {other:.1}% ({})", best.name);
    report.add_verdict(
        "worst-served organisation no worse off than with the best baseline",
        measured,
        worst >= other,
    );
    report
}

/// `jadranska`: 12 engines in three zones, 1.5 ms apart; the prefill share changes within 40 s.
pub(super) fn jadranska(options: &Options) -> Report {
    let scale = options.scale;
    let scenario = jadranska_scenario(scale);
    let about = "12 engines in 3 zones, 8 entries, prefill share 0.2 to 0.7 within 40 s".to_owned();
    compare("jadranska", about, &scenario, &Scheme::ALL, options)
}

/// `letter`: 330 entries and 610 engines under peak load.
pub(super) fn design_size(options: &Options) -> Report {
    let scale = options.scale;
    let scenario = design_size_scenario(scale);
    let about = format!(
        "610 engines in 6 zones, 330 entries, 1200 organisations, {} s at 3700 requests/s",
        DESIGN_SPAN * scale
    );
    compare("letter", about, &scenario, &DESIGN_SCHEMES, options)
}

/// Schemes that are run at the design size.
const DESIGN_SCHEMES: [Scheme; 5] = [
    Scheme::Policy,
    Scheme::StaticSplit,
    Scheme::GreedyRoles,
    Scheme::LeastLoaded,
    Scheme::RoundRobin,
];

/// Time span of the arrivals of `letter`, in seconds.
const DESIGN_SPAN: f64 = 8.0;

fn compare(
    name: &'static str,
    about: String,
    scenario: &Scenario,
    schemes: &[Scheme],
    options: &Options,
) -> Report {
    let mut report = Report::new(name, about, options);
    report.compare(scenario, schemes, &seed_inputs(scenario, options));
    report.add_goodput_verdict();
    report
}

fn alternating_workload(
    profile: &Profile,
    rate: f64,
    shares: (f64, f64),
    period: f64,
    ramp: f64,
) -> Workload {
    const REQUEST_WORK: f64 = 0.102;

    let engine_profile = profile.clone();
    Workload {
        span: Duration::from_secs(600),
        entries: 9,
        mix: Box::new(move |now| {
            mix(
                &engine_profile,
                rate,
                REQUEST_WORK,
                trapezoid_wave(now, shares.0, shares.1, period, ramp),
            )
        }),
        peak: rate,
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.05,
    }
}

fn mtatsminda_scenario(scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, 20, 0.75, 0.102);
    let workload = alternating_workload(&profile, rate, (0.25, 0.5), 240.0, 60.0);
    let span = workload.span.mul_f64(scale);
    let crash = (Time::ZERO + span.mul_f64(0.4), Fault::Crash(7));
    let workload = Workload { span, ..workload };
    Scenario {
        remote_delay: Duration::from_millis(1),
        faults: vec![crash],
        ..base_scenario("mtatsminda", profile, 20, workload)
    }
}

fn jadranska_scenario(scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, 12, 0.75, 0.102);
    let workload = alternating_workload(&profile, rate, (0.2, 0.7), 200.0, 40.0);
    let span = workload.span.mul_f64(scale);
    let workload = Workload { span, entries: 8, ..workload };
    Scenario { prefill_share: 0.2, ..base_scenario("jadranska", profile, 12, workload) }
}

fn design_size_scenario(scale: f64) -> Scenario {
    const REQUESTS: f64 = 3_700.0;
    const TOKENS: f64 = 950_000.0;
    const PREFILL_SHARE: f64 = 0.31;

    let profile = Profile::large();
    let output = TOKENS / REQUESTS;
    let decode = output * profile.decode_ns as f64 / 1e9;
    let mix = mix(&profile, REQUESTS, decode / (1.0 - PREFILL_SHARE), PREFILL_SHARE);
    let workload = Workload {
        entries: 330,
        org_shares: decreasing_org_shares(1_200),
        ..constant_workload(mix, DESIGN_SPAN * scale)
    };
    Scenario {
        fleet: crate::scenario::steady_fleet(610, 6),
        zones: 6,
        remote_delay: Duration::from_millis(1),
        report_interval: Duration::from_secs(1),
        ..base_scenario("letter", profile, 610, workload)
    }
}
