//! Runs every scheme with every seed, in parallel.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    bound::max_good_requests, experiment::Options, scenario::Scenario, scheme::Scheme, sim,
    stats::RunStats, workload::Arrival,
};

/// Number of threads for simulations.
const THREADS: usize = 6;

/// The runs of one scheme, one for each seed.
#[derive(Debug, Clone)]
pub struct Runs {
    /// Scheme of all the runs.
    pub scheme: Scheme,
    /// Statistics of each run, in the order of the seeds.
    pub run_stats: Vec<RunStats>,
}

/// The input of a run with one seed.
#[derive(Debug, Clone)]
pub struct SeedInput {
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
pub fn seed_inputs(scenario: &Scenario, options: &Options) -> Vec<SeedInput> {
    seed_inputs_with(scenario, options, |seed| scenario.workload.generate(seed))
}

/// As [`seed_inputs`], with the arrivals that `arrivals` returns for a seed.
pub fn seed_inputs_with(
    scenario: &Scenario,
    options: &Options,
    arrivals: impl Fn(u64) -> Vec<Arrival>,
) -> Vec<SeedInput> {
    let one = |seed: &u64| {
        let arrivals = arrivals(*seed);
        let bound = max_good_requests(scenario, &arrivals);
        SeedInput { seed: *seed, arrivals, bound, trace: options.trace }
    };
    options.seeds.iter().map(one).collect()
}

/// Runs every scheme with every input.
pub fn run_all(scenario: &Scenario, schemes: &[Scheme], inputs: &[SeedInput]) -> Vec<Runs> {
    let jobs = schemes.len() * inputs.len();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<RunStats>>> = Mutex::new(vec![None; jobs]);
    let work = || {
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            if job >= jobs {
                return;
            }
            let input = &inputs[job % inputs.len()];
            let scheme = schemes[job / inputs.len()];
            let stats = sim::run(scenario, scheme, input);
            if let Ok(mut results) = results.lock() {
                results[job] = Some(stats);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(jobs) {
            scope.spawn(work);
        }
    });
    let mut run_stats = results.into_inner().unwrap_or_default().into_iter().flatten();
    let runs = schemes.iter().map(|scheme| Runs {
        scheme: *scheme,
        run_stats: run_stats.by_ref().take(inputs.len()).collect(),
    });
    runs.collect()
}
