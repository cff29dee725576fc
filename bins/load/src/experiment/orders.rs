//! `reclaim`: all cheap targets of a zone are reclaimed. `cold`: demand bursts are shorter than
//! a cold start.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{Profile, Tier};

use crate::{
    bound::least_price,
    experiment::{
        Options, Report, draw,
        fleets::{constant, eight_callers, mix, rate, scenario},
        report::Spread,
    },
    scenario::{Fault, Place, Scenario, Spend},
    scheme::Scheme,
    workload::Workload,
};

/// Engine seconds of a request.
const WORK: f64 = 0.102;
/// Prefill share of the work.
const SHARE: f64 = 0.31;

/// Maximum cost of the policy's targets, as a multiple of the minimum price.
const SPENDING: f64 = 1.15;

/// Prices and limits of both experiments; at this rate the weight store loads one engine in 35 s.
const SPEND: Spend = Spend {
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
const RECLAIM: [f64; 3] = [900.0, 300.0, 300.0];

/// `cold`: time span of the arrivals, and period and length of the bursts, in seconds.
const COLD: [f64; 3] = [900.0, 180.0, 45.0];

/// Two steady and three cheap targets in each of three zones.
fn fleet() -> Vec<Place> {
    let tiers = [Tier::Steady, Tier::Steady, Tier::Cheap, Tier::Cheap, Tier::Cheap];
    (0..3).flat_map(|zone| tiers.map(|tier| Place { zone, tier })).collect()
}

fn reclaim_scene(scale: f64) -> Scenario {
    const LOAD: f64 = 0.6;
    const FIRM: f64 = 0.15;

    let profile = Profile::large();
    let rate = rate(&profile, ENGINES, LOAD, WORK);
    let workload = constant(mix(&profile, rate, WORK, SHARE), RECLAIM[0] * scale);
    let workload = Workload { firm: FIRM, ..workload };
    let at = Time::ZERO + Duration::from_secs_f64(RECLAIM[1] * scale);
    let withheld = Duration::from_secs_f64(RECLAIM[2] * scale);
    Scenario {
        fleet: fleet(),
        faults: vec![(at, Fault::Reclaim { zone: 1, withheld })],
        spend: Some(SPEND),
        ..scenario("reclaim", profile, ENGINES, workload)
    }
}

fn cold_scene(scale: f64) -> Scenario {
    const LOADS: [f64; 2] = [0.45, 0.8];

    let profile = Profile::large();
    let rates = LOADS.map(|load| rate(&profile, ENGINES, load, WORK));
    let speeds = profile.clone();
    let workload = Workload {
        span: Duration::from_secs_f64(COLD[0] * scale),
        entries: 9,
        mix: Box::new(move |now| {
            let burst = now.as_secs_f64() % COLD[1] >= COLD[1] - COLD[2];
            mix(&speeds, rates[usize::from(burst)], WORK, SHARE)
        }),
        peak: rates[1],
        callers: Box::new(|_| eight_callers()),
        firm: 0.0,
    };
    Scenario { fleet: fleet(), spend: Some(SPEND), ..scenario("cold", profile, ENGINES, workload) }
}

/// Runs the experiment `reclaim`.
pub(super) fn reclaim(options: &Options) -> Report {
    let scene = reclaim_scene(options.scale);
    let about = format!(
        "6 steady and 9 cheap engines in 3 zones; zone 1 vanishes after {} s for {} s",
        RECLAIM[1], RECLAIM[2]
    );
    let mut report = run("reclaim", about, &scene, options);
    let lost: u64 =
        report.tallies(Scheme::Policy.name()).iter().map(|tally| tally.lost_repeatable).sum();
    report.judge("no repeatable request lost", format!("{lost} lost"), lost == 0);
    report
}

/// Runs the experiment `cold`.
pub(super) fn cold(options: &Options) -> Report {
    let about = format!(
        "6 steady and 9 cheap engines; bursts of {} s every {} s, cold start {} s and more",
        COLD[2],
        COLD[1],
        SPEND.cold_start.as_secs()
    );
    run("cold", about, &cold_scene(options.scale), options)
}

fn run(name: &'static str, about: String, scene: &Scenario, options: &Options) -> Report {
    let mut report = Report::new(name, about, options);
    let draws = draw(scene, options);
    report.compare(scene, &Scheme::SPENDING, &draws);
    let least = draws.iter().map(|draw| least_price(scene, &SPEND, &draw.arrivals));
    let least = Spread::of(least).mean;
    let Some(policy) = report.row(Scheme::Policy.name()) else { return report };
    let (good, cost) = (policy.good.mean, policy.cost.mean / least);
    let baselines = Scheme::SPENDING.iter().skip(1).filter_map(|s| report.row(s.name()));
    let Some(best) = baselines.max_by(|a, b| a.good.mean.total_cmp(&b.good.mean)) else {
        return report;
    };
    let (other, other_cost) = (best.good.mean, best.cost.mean / least);
    let measured = format!("{cost:.2} times ({least:.0} cents)");
    let baseline = best.name.clone();
    report.judge("spending at most 1.15 times the bound", measured, cost <= SPENDING);
    report.line = format!(
        "{name}: goodput {good:.1}% of bound, best baseline {other:.1}% ({baseline}), \
         spending {cost:.2} of bound vs {other_cost:.2}"
    );
    report
}
