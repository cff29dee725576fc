//! Runs every scheme with every seed, in parallel.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    bound::most_good, experiment::Options, scenario::Scenario, scheme::Scheme, sim, tally::Tally,
    workload::Arrival,
};

/// Number of threads for simulations.
const THREADS: usize = 6;

/// The runs of one scheme, one for each seed.
#[derive(Debug, Clone)]
pub struct Runs {
    /// Scheme of all the runs.
    pub scheme: Scheme,
    /// Statistics of each run, in the order of the seeds.
    pub tallies: Vec<Tally>,
}

/// The input of a run with one seed.
#[derive(Debug, Clone)]
pub struct Draw {
    /// Seed of the arrivals and of the simulation.
    pub seed: u64,
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
    /// Upper bound on the number of good requests.
    pub bound: u64,
    /// Whether to record a trace of each request.
    pub trace: bool,
}

/// Generates the arrivals of `scenario` for each seed.
pub fn draw(scenario: &Scenario, options: &Options) -> Vec<Draw> {
    draw_with(scenario, options, |seed| scenario.workload.draw(seed))
}

/// As [`seed_inputs`], with the arrivals that `arrivals` returns for a seed.
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

/// Runs every scheme with every input.
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
