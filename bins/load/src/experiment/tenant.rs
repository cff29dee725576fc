//! `tenant`: one organisation sends ten times its share.

use std::time::Duration;

use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{base_scenario, eight_org_shares, mix, rate_for_load},
        seed_inputs_with,
    },
    scenario::Scenario,
    scheme::Scheme,
    stats::{RequestCounts, RunStats},
    workload::{Arrival, OrgShare, Workload},
};

/// Number of engines in the fleet.
const ENGINES: usize = 15;
/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;
/// Prefill share of the work.
const PREFILL_SHARE: f64 = 0.31;

/// Load of the fleet while every organisation keeps to its share.
const LOAD: f64 = 0.8;

/// Organisation that exceeds its share.
const AGGRESSOR: u32 = 4;

/// Requests of the aggressor, as a multiple of its share.
const AGGRESSOR_FACTOR: f64 = 10.0;

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 300.0;

/// The workload of the organisations that `wanted` selects, at `factor` times their usual rate.
fn org_workload(wanted: fn(&OrgShare) -> bool, factor: f64, scale: f64) -> Workload {
    let profile = Profile::large();
    let all: f64 = eight_org_shares().iter().map(|org_share| org_share.share).sum();
    let org_shares: Vec<OrgShare> = eight_org_shares().into_iter().filter(wanted).collect();
    let share = org_shares.iter().map(|org_share| org_share.share).sum::<f64>() / all;
    let rate = rate_for_load(&profile, ENGINES, LOAD, REQUEST_WORK) * share * factor;
    Workload {
        span: Duration::from_secs_f64(SPAN * scale),
        entries: 9,
        mix: Box::new(move |_| mix(&profile, rate, REQUEST_WORK, PREFILL_SHARE)),
        peak: rate,
        org_shares: Box::new(move |_| org_shares.clone()),
        nonrepeatable_share: 0.0,
    }
}

fn other_orgs_workload(scale: f64) -> Workload {
    org_workload(|org_share| org_share.org != AGGRESSOR, 1.0, scale)
}

fn scenario(scale: f64) -> Scenario {
    base_scenario("tenant", Profile::large(), ENGINES, other_orgs_workload(scale))
}

/// The arrivals of all organisations, the aggressor's included, in order of time.
fn arrivals_with_aggressor(seed: u64, scale: f64) -> Vec<Arrival> {
    let mut arrivals = other_orgs_workload(scale).generate(seed);
    arrivals.extend(
        org_workload(|org_share| org_share.org == AGGRESSOR, AGGRESSOR_FACTOR, scale)
            .generate(seed ^ 0xa66),
    );
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let about = format!(
        "{ENGINES} engines, organisation {AGGRESSOR} at {AGGRESSOR_FACTOR} times its share"
    );
    let mut report = Report::new("tenant", about, options);
    let scenario = scenario(scale);
    let inputs_without =
        seed_inputs_with(&scenario, options, |seed| other_orgs_workload(scale).generate(seed));
    report.add_row("policy, aggressor absent", Scheme::Policy, &scenario, &inputs_without);
    let inputs = seed_inputs_with(&scenario, options, |seed| arrivals_with_aggressor(seed, scale));
    report.compare(&scenario, &Scheme::ALL, &inputs);
    let before = report.run_stats("policy, aggressor absent");
    let kept_percent = |scheme: Scheme| worst_kept(before, report.run_stats(scheme.name()));
    let policy = kept_percent(Scheme::Policy);
    let baselines = Scheme::ALL.into_iter().skip(1).map(|scheme| (kept_percent(scheme), scheme));
    let best = baselines.max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((best, scheme)) = best else { return report };
    let Some((policy_row, _)) = report.policy_and_best_baseline() else { return report };
    let bound = policy_row.good.mean;
    report.add_verdict(
        "every other organisation keeps at least 95% of its goodput",
        format!("{policy:.1}% kept by the worst-served one"),
        policy >= 95.0,
    );
    report.add_verdict(
        "the worst-served one keeps more than with each baseline",
        format!("{policy:.1}% against {best:.1}% ({})", scheme.name()),
        policy > best,
    );
    report.line = format!(
        "tenant: worst other organisation keeps {policy:.1}% of its goodput, \
         best baseline {best:.1}%, goodput {bound:.1}% of bound"
    );
    report
}

/// The lowest goodput of another organisation beside the aggressor, in percent of its goodput
/// without the aggressor, over all organisations and seeds.
fn worst_kept(before: &[RunStats], after: &[RunStats]) -> f64 {
    let pairs = before.iter().zip(after);
    let percents = pairs.flat_map(|(before, after)| {
        before.orgs.iter().map(|(org, counts)| {
            let now = after.orgs.get(org).copied().unwrap_or_default();
            good_ratio(counts, &now) * 100.0
        })
    });
    percents.fold(f64::MAX, f64::min)
}

fn good_ratio(before: &RequestCounts, after: &RequestCounts) -> f64 {
    after.good as f64 / before.good.max(1) as f64
}
