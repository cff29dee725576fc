//! `poison`: requests that crash every engine that runs them are resent repeatedly.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report,
        fleets::{base_scenario, constant_workload, mix, rate_for_load},
        seed_inputs_with,
    },
    scenario::Scenario,
    scheme::Scheme,
    stats::{RequestOutcome, RunStats},
    workload::Arrival,
};

/// Number of engines in the fleet.
const ENGINES: usize = 16;
/// Engine seconds of a request.
const REQUEST_WORK: f64 = 0.102;
/// Prefill share of the work.
const PREFILL_SHARE: f64 = 0.31;
/// Load of the fleet.
const LOAD: f64 = 0.5;

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 240.0;

/// Organisation that sends the poison requests.
const POISON_ORG: u32 = 5;

/// First arrival of each poison request, as a fraction of the span.
const POISON_STARTS: [f64; 3] = [0.1, 0.3, 0.32];

/// Interval at which a caller resends a poison request.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

fn scenario(scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate_for_load(&profile, ENGINES, LOAD, REQUEST_WORK);
    let workload =
        constant_workload(mix(&profile, rate, REQUEST_WORK, PREFILL_SHARE), SPAN * scale);
    base_scenario("poison", profile, ENGINES, workload)
}

/// The regular arrivals together with the poison requests and their resends.
fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = scenario.workload.generate(seed);
    let span = scenario.workload.span;
    let templates: Vec<Arrival> = arrivals
        .iter()
        .filter(|a| a.org == POISON_ORG)
        .take(POISON_STARTS.len())
        .cloned()
        .collect();
    for (index, (start, request)) in POISON_STARTS.into_iter().zip(templates).enumerate() {
        let mut at = Time::ZERO + span.mul_f64(start);
        let mut entry = index;
        while at < Time::ZERO + span {
            let fingerprint = index as u64;
            arrivals.push(Arrival { at, entry, fingerprint, poison: true, ..request.clone() });
            at += RESEND_INTERVAL;
            entry = (entry + 4) % scenario.workload.entries;
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

pub(super) fn run(options: &Options) -> Report {
    let scenario = scenario(options.scale);
    let about = format!(
        "{ENGINES} engines, load {LOAD}, {} poison requests sent again every {} s on other entries",
        POISON_STARTS.len(),
        RESEND_INTERVAL.as_secs()
    );
    let mut report = Report::new("poison", about, options);
    let inputs = seed_inputs_with(&scenario, options, |seed| arrivals(&scenario, seed));
    let schemes = [Scheme::Policy, Scheme::NoQuarantine, Scheme::RoundRobin];
    report.compare(&scenario, &schemes, &inputs);
    let policy = report.run_stats(Scheme::Policy.name());
    let max_crashes = count_max_crashes(policy);
    let falsely_refused: u64 =
        policy.iter().filter_map(|stats| stats.reasons.get("quarantined")).sum();
    let lost: u64 = policy.iter().map(|stats| stats.count(RequestOutcome::Lost)).sum();
    let max_unprotected = count_max_crashes(report.run_stats(Scheme::NoQuarantine.name()));
    let Some((policy_row, best)) = report.policy_and_best_baseline() else { return report };
    let (good, best) = (policy_row.good.mean, best.good.mean);
    report.add_verdict(
        "at most two targets crash a poison request",
        format!("{max_crashes} at most"),
        max_crashes <= 2,
    );
    report.add_verdict(
        "no other request is quarantined",
        format!("{falsely_refused} refused"),
        falsely_refused == 0,
    );
    report.add_verdict("no other request is lost", format!("{lost} lost"), lost == 0);
    report.line = format!(
        "poison: goodput {good:.1}% of bound, best baseline {best:.1}%, \
         crashes a poison request at most {max_crashes} vs without quarantine {max_unprotected}"
    );
    report
}

/// Maximum number of engines that one poison request crashed.
fn count_max_crashes(run_stats: &[RunStats]) -> u64 {
    run_stats.iter().flat_map(|stats| stats.poison_crashes.values().copied()).max().unwrap_or(0)
}
