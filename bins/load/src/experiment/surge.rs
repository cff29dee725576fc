//! `surge`: demand rises to three times the load at which the policy has its highest goodput.

use std::time::Duration;

use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{base_scenario, constant_workload, eight_org_shares, mix, rate_for_load},
        report::Spread,
        seed_inputs,
    },
    scenario::Scenario,
    scheme::Scheme,
    stats::{RunStats, SLICE_LENGTH},
    workload::Workload,
};

/// Number of engines in the fleet.
const ENGINES: usize = 15;
/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;
/// Prefill share of the work.
const PREFILL_SHARE: f64 = 0.31;

/// Candidate loads; the one with the highest goodput counts as capacity.
const LOADS: [f64; 5] = [0.7, 0.8, 0.9, 1.0, 1.1];

/// Demand during the surge, as a multiple of the capacity.
const SURGE_FACTOR: f64 = 3.0;

/// Time spans before, during and after the surge, in seconds.
const SPANS: [f64; 3] = [30.0, 90.0, 30.0];

fn steady_scenario(load: f64, scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, load, REQUEST_WORK);
    let workload =
        constant_workload(mix(&profile, rate, REQUEST_WORK, PREFILL_SHARE), SPANS[1] * scale);
    base_scenario("surge", profile, ENGINES, workload)
}

fn surge_scenario(load: f64, scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, load, REQUEST_WORK);
    let engine_profile = profile.clone();
    let [before, during, after] = SPANS.map(|span| span * scale);
    let workload = Workload {
        span: Duration::from_secs_f64(before + during + after),
        entries: 9,
        mix: Box::new(move |now| {
            let secs = now.as_secs_f64();
            let surge = secs >= before && secs < before + during;
            mix(
                &engine_profile,
                if surge { rate * SURGE_FACTOR } else { rate },
                REQUEST_WORK,
                PREFILL_SHARE,
            )
        }),
        peak: rate * SURGE_FACTOR,
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.0,
    };
    base_scenario("surge", profile, ENGINES, workload)
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let about = format!("{ENGINES} engines, {SURGE_FACTOR} times capacity for {} s", SPANS[1]);
    let mut report = Report::new("surge", about, options);
    for load in LOADS {
        let scenario = steady_scenario(load, scale);
        report.add_row(
            &format!("policy, load {load}"),
            Scheme::Policy,
            &scenario,
            &seed_inputs(&scenario, options),
        );
    }
    let best = LOADS.into_iter().zip(&report.rows).max_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
    let Some((load, capacity)) = best.map(|(load, row)| (load, row.rate)) else { return report };
    let scenario = surge_scenario(load, scale);
    report.compare(&scenario, &Scheme::ALL, &seed_inputs(&scenario, options));
    let during = |scheme: Scheme| {
        let rates = report.run_stats(scheme.name()).iter().map(|stats| rate_during(stats, scale));
        Spread::of(rates).mean / capacity * 100.0
    };
    let policy = during(Scheme::Policy);
    let others = Scheme::ALL.into_iter().skip(1).map(|scheme| (during(scheme), scheme));
    let Some((best, scheme)) = others.max_by(|a, b| a.0.total_cmp(&b.0)) else { return report };
    let Some((policy_row, _)) = report.policy_and_best_baseline() else { return report };
    let (bound, changes) = (policy_row.good.mean, policy_row.changes.mean);
    let greedy = report.row(Scheme::GreedyRoles.name()).map_or(0.0, |row| row.changes.mean);
    report.add_verdict(
        "goodput in the surge at least 90% of that at capacity",
        format!("{policy:.1}% of {capacity:.1}/s (load {load})"),
        policy >= 90.0,
    );
    report.add_verdict(
        "goodput in the surge above each baseline",
        format!("{policy:.1}% against {best:.1}% ({})", scheme.name()),
        policy > best,
    );
    report.line = format!(
        "surge: goodput {bound:.1}% of bound, {policy:.1}% of that at capacity, \
         best baseline {best:.1}% of it, role changes {changes:.1} vs greedy {greedy:.1}"
    );
    report
}

/// Good requests a second among those that arrived during the surge.
fn rate_during(stats: &RunStats, scale: f64) -> f64 {
    let length = SLICE_LENGTH.as_secs_f64();
    let first = (SPANS[0] * scale / length).ceil() as usize;
    let last = ((SPANS[0] + SPANS[1]) * scale / length) as usize;
    let slices = stats.slices.iter().take(last).skip(first);
    slices.map(|counts| counts.good as f64).sum::<f64>()
        / (last.saturating_sub(first) as f64 * length)
}
