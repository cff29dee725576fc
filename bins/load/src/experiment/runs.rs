//! Runs every scheme over every seed.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    bound::most_good, scenario::Scenario, scheme::Scheme, sim, tally::Tally, workload::Arrival,
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

/// The runs of every scheme, and the bound on good requests a seed.
pub fn run_all(scenario: &Scenario, schemes: &[Scheme], seeds: &[u64]) -> (Vec<Runs>, Vec<u64>) {
    let arrivals: Vec<Vec<Arrival>> =
        seeds.iter().map(|seed| scenario.workload.draw(*seed)).collect();
    let bounds = arrivals.iter().map(|a| most_good(scenario, a, scenario.fleet.len())).collect();
    let jobs = schemes.len() * seeds.len();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Tally>>> = Mutex::new(vec![None; jobs]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(jobs) {
            scope.spawn(|| {
                loop {
                    let job = next.fetch_add(1, Ordering::Relaxed);
                    if job >= jobs {
                        return;
                    }
                    let (scheme, seed) = (schemes[job / seeds.len()], job % seeds.len());
                    let tally = sim::run(scenario, scheme, &arrivals[seed], seeds[seed]);
                    if let Ok(mut results) = results.lock() {
                        results[job] = Some(tally);
                    }
                }
            });
        }
    });
    let mut tallies = results.into_inner().unwrap_or_default().into_iter().flatten();
    let runs = schemes.iter().map(|scheme| Runs {
        scheme: *scheme,
        tallies: tallies.by_ref().take(seeds.len()).collect(),
    });
    (runs.collect(), bounds)
}
