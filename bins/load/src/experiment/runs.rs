//! Runs every scheme over every seed.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    bound::most_good, experiment::Options, scenario::Scenario, scheme::Scheme, sim, tally::Tally,
    workload::Arrival,
};

/// Threads that run schemes side by side.
const THREADS: usize = 6;

/// One scheme's runs, a seed each.
#[derive(Debug, Clone)]
pub struct Runs {
    /// The scheme.
    pub scheme: Scheme,
    /// What each run measured, in the order of the seeds.
    pub tallies: Vec<Tally>,
}

/// The arrivals of one seed, and the most of them that can end well.
#[derive(Debug, Clone)]
pub struct Draw {
    /// The seed.
    pub seed: u64,
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
    /// The bound on good requests.
    pub bound: u64,
    /// Whether each request is traced.
    pub trace: bool,
}

/// The arrivals of `scenario` for each seed.
pub fn draw(scenario: &Scenario, options: &Options) -> Vec<Draw> {
    draw_with(scenario, options, |seed| scenario.workload.draw(seed))
}

/// As [`draw`], with arrivals from elsewhere.
pub fn draw_with(
    scenario: &Scenario,
    options: &Options,
    arrivals: impl Fn(u64) -> Vec<Arrival>,
) -> Vec<Draw> {
    let one = |seed: &u64| {
        let arrivals = arrivals(*seed);
        let bound = most_good(scenario, &arrivals);
        Draw { seed: *seed, arrivals, bound, trace: options.trace }
    };
    options.seeds.iter().map(one).collect()
}

/// The runs of every scheme over every draw.
pub fn run_all(scenario: &Scenario, schemes: &[Scheme], draws: &[Draw]) -> Vec<Runs> {
    let jobs = schemes.len() * draws.len();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Tally>>> = Mutex::new(vec![None; jobs]);
    let work = || {
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            if job >= jobs {
                return;
            }
            let draw = &draws[job % draws.len()];
            let scheme = schemes[job / draws.len()];
            let tally = sim::run(scenario, scheme, draw);
            if let Ok(mut results) = results.lock() {
                results[job] = Some(tally);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(jobs) {
            scope.spawn(work);
        }
    });
    let mut tallies = results.into_inner().unwrap_or_default().into_iter().flatten();
    let runs = schemes.iter().map(|scheme| Runs {
        scheme: *scheme,
        tallies: tallies.by_ref().take(draws.len()).collect(),
    });
    runs.collect()
}
