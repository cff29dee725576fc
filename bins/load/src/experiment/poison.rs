//! `poison`: requests that crash every engine that runs them are resent repeatedly.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report, draw_with,
        fleets::{constant, mix, rate, scenario},
    },
    scenario::Scenario,
    scheme::Scheme,
    tally::{Ending, Tally},
    workload::Arrival,
};

const ENGINES: usize = 16;
/// Engine seconds of a request.
const WORK: f64 = 0.102;
/// Prefill share of the work.
const SHARE: f64 = 0.31;
/// Load of the fleet.
const LOAD: f64 = 0.5;

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 240.0;

/// Organisation that sends the poison requests.
const SENDER: u32 = 5;

/// First arrival of each poison request, as a fraction of the span.
const POISON: [f64; 3] = [0.1, 0.3, 0.32];

/// Interval at which a caller resends a poison request.
const AGAIN: Duration = Duration::from_secs(2);

fn scene(scale: f64) -> Scenario {
    let profile = Profile::large();
    let rate = rate(&profile, ENGINES, LOAD, WORK);
    let workload = constant(mix(&profile, rate, WORK, SHARE), SPAN * scale);
    scenario("poison", profile, ENGINES, workload)
}

/// The regular arrivals together with the poison requests and their resends.
fn arrivals(scene: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = scene.workload.draw(seed);
    let span = scene.workload.span;
    let usual: Vec<Arrival> =
        arrivals.iter().filter(|a| a.org == SENDER).take(POISON.len()).cloned().collect();
    for (index, (part, request)) in POISON.into_iter().zip(usual).enumerate() {
        let mut at = Time::ZERO + span.mul_f64(part);
        let mut entry = index;
        while at < Time::ZERO + span {
            let fingerprint = index as u64;
            arrivals.push(Arrival { at, entry, fingerprint, poison: true, ..request.clone() });
            at += AGAIN;
            entry = (entry + 4) % scene.workload.entries;
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

pub(super) fn run(options: &Options) -> Report {
    let scene = scene(options.scale);
    let about = format!(
        "{ENGINES} engines, load {LOAD}, {} poison requests sent again every {} s on other entries",
        POISON.len(),
        AGAIN.as_secs()
    );
    let mut report = Report::new("poison", about, options);
    let draws = draw_with(&scene, options, |seed| arrivals(&scene, seed));
    let schemes = [Scheme::Policy, Scheme::NoQuarantine, Scheme::RoundRobin];
    report.compare(&scene, &schemes, &draws);
    let policy = report.tallies(Scheme::Policy.name());
    let most = most_crashes(policy);
    let wrong: u64 = policy.iter().filter_map(|tally| tally.reasons.get("quarantined")).sum();
    let lost: u64 = policy.iter().map(|tally| tally.count(Ending::Lost)).sum();
    let other = most_crashes(report.tallies(Scheme::NoQuarantine.name()));
    let Some((row, best)) = report.leaders() else { return report };
    let (good, best) = (row.good.mean, best.good.mean);
    report.judge(
        "at most two targets crash a poison request",
        format!("{most} at most"),
        most <= 2,
    );
    report.judge("no other request is quarantined", format!("{wrong} refused"), wrong == 0);
    report.judge("no other request is lost", format!("{lost} lost"), lost == 0);
    report.line = format!(
        "poison: goodput {good:.1}% of bound, best baseline {best:.1}%, \
         crashes a poison request at most {most} vs without quarantine {other}"
    );
    report
}

/// Maximum number of engines that one poison request crashed.
fn most_crashes(tallies: &[Tally]) -> u64 {
    tallies.iter().flat_map(|tally| tally.poisoned.values().copied()).max().unwrap_or(0)
}
