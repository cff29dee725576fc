//! `tenant`: one organisation sends ten times its share.

use std::time::Duration;

use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report, draw_with,
        fleets::{eight_callers, mix, rate, scenario},
    },
    scenario::Scenario,
    scheme::Scheme,
    tally::{Part, Tally},
    workload::{Arrival, Caller, Workload},
};

const ENGINES: usize = 15;
/// Engine seconds of a request.
const WORK: f64 = 0.102;
/// Prefill share of the work.
const SHARE: f64 = 0.31;

/// Load of the fleet while every organisation keeps to its share.
const LOAD: f64 = 0.8;

/// Organisation that exceeds its share.
const AGGRESSOR: u32 = 4;

/// Requests of the aggressor, as a multiple of its share.
const FACTOR: f64 = 10.0;

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 300.0;

/// The workload of the organisations that `wanted` selects, at `factor` times their usual rate.
fn part(wanted: fn(&Caller) -> bool, factor: f64, scale: f64) -> Workload {
    let profile = Profile::large();
    let all: f64 = eight_callers().iter().map(|caller| caller.share).sum();
    let callers: Vec<Caller> = eight_callers().into_iter().filter(wanted).collect();
    let share = callers.iter().map(|caller| caller.share).sum::<f64>() / all;
    let rate = rate(&profile, ENGINES, LOAD, WORK) * share * factor;
    Workload {
        span: Duration::from_secs_f64(SPAN * scale),
        entries: 9,
        mix: Box::new(move |_| mix(&profile, rate, WORK, SHARE)),
        peak: rate,
        callers: Box::new(move |_| callers.clone()),
        firm: 0.0,
    }
}

fn others(scale: f64) -> Workload {
    part(|caller| caller.org != AGGRESSOR, 1.0, scale)
}

fn scene(scale: f64) -> Scenario {
    scenario("tenant", Profile::large(), ENGINES, others(scale))
}

/// The arrivals of all organisations, the aggressor's included, in order of time.
fn attacked(seed: u64, scale: f64) -> Vec<Arrival> {
    let mut arrivals = others(scale).draw(seed);
    arrivals.extend(part(|caller| caller.org == AGGRESSOR, FACTOR, scale).draw(seed ^ 0xa66));
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let about = format!("{ENGINES} engines, organisation {AGGRESSOR} at {FACTOR} times its share");
    let mut report = Report::new("tenant", about, options);
    let scene = scene(scale);
    let alone = draw_with(&scene, options, |seed| others(scale).draw(seed));
    report.add("policy, aggressor absent", Scheme::Policy, &scene, &alone);
    let draws = draw_with(&scene, options, |seed| attacked(seed, scale));
    report.compare(&scene, &Scheme::ALL, &draws);
    let before = report.tallies("policy, aggressor absent");
    let kept = |scheme: Scheme| worst_kept(before, report.tallies(scheme.name()));
    let policy = kept(Scheme::Policy);
    let baselines = Scheme::ALL.into_iter().skip(1).map(|scheme| (kept(scheme), scheme));
    let best = baselines.max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((best, scheme)) = best else { return report };
    let Some((ours, _)) = report.leaders() else { return report };
    let bound = ours.good.mean;
    report.judge(
        "every other organisation keeps at least 95% of its goodput",
        format!("{policy:.1}% kept by the worst-served one"),
        policy >= 95.0,
    );
    report.judge(
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
fn worst_kept(before: &[Tally], after: &[Tally]) -> f64 {
    let pairs = before.iter().zip(after);
    let kept = pairs.flat_map(|(before, after)| {
        before.orgs.iter().map(|(org, part)| {
            let now = after.orgs.get(org).copied().unwrap_or_default();
            good_ratio(part, &now) * 100.0
        })
    });
    kept.fold(f64::MAX, f64::min)
}

fn good_ratio(before: &Part, after: &Part) -> f64 {
    after.good as f64 / before.good.max(1) as f64
}
