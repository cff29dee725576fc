//! `stale`: load reports are delayed by seconds, then stop for a while.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    experiment::{
        Options, Report, draw,
        fleets::{eight_callers, mix, rate, scenario, swing},
    },
    scenario::{Fault, Scenario},
    scheme::Scheme,
    workload::Workload,
};

const ENGINES: usize = 15;
/// Engine seconds of a request.
const WORK: f64 = 0.102;
/// Load of the fleet.
const LOAD: f64 = 0.75;

/// Minimum and maximum prefill share of the work.
const SHARES: (f64, f64) = (0.25, 0.5);

/// Time span of the arrivals, in seconds.
const SPAN: f64 = 400.0;

/// Start of the delays, start of the outage of reports, and its length, as fractions of the span.
const FAULTS: [f64; 3] = [0.2, 0.5, 0.25];

/// Delay of the load reports after the first fault.
const LAG: Duration = Duration::from_secs(3);

fn scene(scale: f64, faulty: bool) -> Scenario {
    let profile = Profile::large();
    let rate = rate(&profile, ENGINES, LOAD, WORK);
    let speeds = profile.clone();
    let span = SPAN * scale;
    let workload = Workload {
        span: Duration::from_secs_f64(span),
        entries: 9,
        mix: Box::new(move |now| {
            let share = swing(now, SHARES.0, SHARES.1, SPAN / 2.0, 30.0);
            mix(&speeds, rate, WORK, share)
        }),
        peak: rate,
        callers: Box::new(|_| eight_callers()),
        firm: 0.0,
    };
    let mut scene = scenario("stale", profile, ENGINES, workload);
    if faulty {
        let at = |part: f64| Time::ZERO + Duration::from_secs_f64(span * part);
        let silence = Duration::from_secs_f64(span * FAULTS[2]);
        scene.faults =
            vec![(at(FAULTS[0]), Fault::Lag(LAG)), (at(FAULTS[1]), Fault::Silence(silence))];
    }
    scene
}

pub(super) fn run(options: &Options) -> Report {
    let scale = options.scale;
    let about = format!(
        "{ENGINES} engines, load {LOAD}, reports {} s late from {} s on, none for {} s from {} s on",
        LAG.as_secs(),
        SPAN * FAULTS[0],
        SPAN * FAULTS[2],
        SPAN * FAULTS[1]
    );
    let mut report = Report::new("stale", about, options);
    let fresh = scene(scale, false);
    report.add("policy, fresh reports", Scheme::Policy, &fresh, &draw(&fresh, options));
    let scene = scene(scale, true);
    report.compare(&scene, &Scheme::ALL, &draw(&scene, options));
    report.conclude();
    report
}
