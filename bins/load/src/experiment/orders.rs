//! `reclaim`: all cheap targets of a zone are reclaimed. `cold`: demand bursts are shorter than
//! a cold start.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{PricingTier, Profile};

use crate::{
    bound::min_price,
    experiment::{
        Options, Report,
        fleets::{base_scenario, constant_workload, eight_org_shares, mix, rate_for_load},
        report::Spread,
        seed_inputs,
    },
    scenario::{EnginePlacement, Fault, Scenario, SpendingConfig},
    scheme::Scheme,
    workload::Workload,
};

/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;
/// Prefill share of the work.
const PREFILL_SHARE: f64 = 0.31;

/// Maximum cost of the policy's targets, as a multiple of the minimum price.
const MAX_SPENDING_RATIO: f64 = 1.15;

/// Prices and limits of both experiments; at this rate the weight store loads one engine in 35 s.
const SPENDING_CONFIG: SpendingConfig = SpendingConfig {
    steady: 2_400,
    cheap: 800,
    store_rate: 4_000_000_000,
    cold_start: Duration::from_secs(80),
    floor: 6,
    ceiling: 24,
};

/// Number of engines in the fleet; loads are relative to their capacity.
const ENGINES: usize = 15;

/// `reclaim`: time span of the arrivals, time of the reclaim, and time until cheap targets can be
/// ordered in the zone again, in seconds.
const RECLAIM_TIMES: [f64; 3] = [900.0, 300.0, 300.0];

/// `cold`: time span of the arrivals, and period and length of the bursts, in seconds.
const COLD_TIMES: [f64; 3] = [900.0, 180.0, 45.0];

/// Two steady and three cheap targets in each of three zones.
fn fleet() -> Vec<EnginePlacement> {
    let tiers = [
        PricingTier::Steady,
        PricingTier::Steady,
        PricingTier::Cheap,
        PricingTier::Cheap,
        PricingTier::Cheap,
    ];
    (0..3).flat_map(|zone| tiers.map(|tier| EnginePlacement { zone, tier })).collect()
}

fn reclaim_scenario(scale: f64) -> Scenario {
    const LOAD: f64 = 0.6;
    const NONREPEATABLE_SHARE: f64 = 0.15;

    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, LOAD, REQUEST_WORK);
    let workload = constant_workload(
        mix(&profile, rate, REQUEST_WORK, PREFILL_SHARE),
        RECLAIM_TIMES[0] * scale,
    );
    let workload = Workload { nonrepeatable_share: NONREPEATABLE_SHARE, ..workload };
    let at = Time::ZERO + Duration::from_secs_f64(RECLAIM_TIMES[1] * scale);
    let withheld = Duration::from_secs_f64(RECLAIM_TIMES[2] * scale);
    Scenario {
        fleet: fleet(),
        faults: vec![(at, Fault::Reclaim { zone: 1, withheld })],
        spending: Some(SPENDING_CONFIG),
        ..base_scenario("reclaim", profile, ENGINES, workload)
    }
}

fn cold_scenario(scale: f64) -> Scenario {
    const LOADS: [f64; 2] = [0.45, 0.8];

    let profile = Profile::large();
    let rates = LOADS.map(|load| rate_for_load(&profile, ENGINES, load, REQUEST_WORK));
    let engine_profile = profile.clone();
    let workload = Workload {
        span: Duration::from_secs_f64(COLD_TIMES[0] * scale),
        entries: 9,
        mix: Box::new(move |now| {
            let burst = now.as_secs_f64() % COLD_TIMES[1] >= COLD_TIMES[1] - COLD_TIMES[2];
            mix(&engine_profile, rates[usize::from(burst)], REQUEST_WORK, PREFILL_SHARE)
        }),
        peak: rates[1],
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.0,
    };
    Scenario {
        fleet: fleet(),
        spending: Some(SPENDING_CONFIG),
        ..base_scenario("cold", profile, ENGINES, workload)
    }
}

/// Runs the experiment `reclaim`.
pub(super) fn reclaim(options: &Options) -> Report {
    let scenario = reclaim_scenario(options.scale);
    let about = format!(
        "6 steady and 9 cheap engines in 3 zones; zone 1 vanishes after {} s for {} s",
        RECLAIM_TIMES[1], RECLAIM_TIMES[2]
    );
    let mut report = run_experiment("reclaim", about, &scenario, options);
    let lost: u64 =
        report.run_stats(Scheme::Policy.name()).iter().map(|stats| stats.lost_repeatable).sum();
    report.add_verdict("no repeatable request lost", format!("{lost} lost"), lost == 0);
    report
}

/// Runs the experiment `cold`.
pub(super) fn cold(options: &Options) -> Report {
    let about = format!(
        "6 steady and 9 cheap engines; bursts of {} s every {} s, cold start {} s and more",
        COLD_TIMES[2],
        COLD_TIMES[1],
        SPENDING_CONFIG.cold_start.as_secs()
    );
    run_experiment("cold", about, &cold_scenario(options.scale), options)
}

fn run_experiment(
    name: &'static str,
    about: String,
    scenario: &Scenario,
    options: &Options,
) -> Report {
    let mut report = Report::new(name, about, options);
    let inputs = seed_inputs(scenario, options);
    report.compare(scenario, &Scheme::SPENDING, &inputs);
    let min_cost =
        inputs.iter().map(|input| min_price(scenario, &SPENDING_CONFIG, &input.arrivals));
    let min_cost = Spread::of(min_cost).mean;
    let Some(policy) = report.row(Scheme::Policy.name()) else { return report };
    let (good, cost) = (policy.good.mean, policy.cost.mean / min_cost);
    let baselines = Scheme::SPENDING.iter().skip(1).filter_map(|s| report.row(s.name()));
    let Some(best) = baselines.max_by(|a, b| a.good.mean.total_cmp(&b.good.mean)) else {
        return report;
    };
    let (other, other_cost) = (best.good.mean, best.cost.mean / min_cost);
    let measured = format!("{cost:.2} times ({min_cost:.0} cents)");
    let baseline = best.name.clone();
    report.add_verdict(
        "spending at most 1.15 times the bound",
        measured,
        cost <= MAX_SPENDING_RATIO,
    );
    report.line = format!(
        "{name}: goodput {good:.1}% of bound, best baseline {other:.1}% ({baseline}), \
         spending {cost:.2} of bound vs {other_cost:.2}"
    );
    report
}
