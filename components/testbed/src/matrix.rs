//! The fault matrix: injects every fault at every step of a scene, alone and in pairs.
//!
//! The steps come from recorded runs. A scene is first run without added faults;
//! each fault is then injected at each step of that run. For pairs, the recorded
//! run is the one with the first fault: a second fault is injected at its later
//! steps on other hosts, takeovers included.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use chervilgate_clock::Time;
use chervilgate_coord::Step;

use crate::{
    bed::Testbed,
    check::{Promise, check},
    fault::{Fault, FaultInjection},
    history::Fact,
    network::HostId,
};

/// A test run that the matrix adds faults to.
pub trait Scene: Sync {
    /// The name of the scene in reports.
    fn name(&self) -> &str;

    /// Builds the bed and schedules the scene's own faults.
    fn build(&self, seed: u64) -> Testbed;

    /// Runs the bed until the end of the scene.
    fn run(&self, bed: &mut Testbed);

    /// No fault is injected after this time, so that the system can recover by the end.
    fn fault_deadline(&self) -> Time;

    /// What doesn't work at the end although it should, one text per finding.
    fn final_problems(&self, bed: &Testbed) -> Vec<String>;
}

/// The first faults of pairs: those that stop a process or leave it with a wrong
/// view of who owns a shard or whether a call took effect.
const FIRST_FAULTS: [Fault; 7] = [
    Fault::KilledAfter,
    Fault::Vanished,
    Fault::PausedBefore,
    Fault::PausedAfter,
    Fault::Partitioned,
    Fault::AnswerLost,
    Fault::CallLate,
];

/// The seed of every cell.
pub const MATRIX_SEED: u64 = 7;

/// How many of the last history entries a report shows for a failed cell.
const TAIL_ENTRIES: usize = 60;

/// One run of the matrix: a scene and the faults added to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MatrixCell {
    /// Index into the list of scenes.
    pub scene: usize,
    /// The faults added to the scene; none in the baseline run.
    pub faults: Vec<FaultInjection>,
    /// Seed of the run.
    pub seed: u64,
}

/// A cell with findings: a broken promise, work that did not resume by the end, or a
/// fault whose step was never reached.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The scene's name.
    pub scene: String,
    /// The cell that failed.
    pub cell: MatrixCell,
    /// The violations and problems found.
    pub findings: Vec<String>,
    /// The last entries of the history.
    pub tail: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "failed cell: scene {}, seed {}", self.scene, self.cell.seed)?;
        for injection in &self.cell.faults {
            writeln!(f, "  {injection}")?;
        }
        for finding in &self.findings {
            writeln!(f, "  {finding}")?;
        }
        write!(f, "{}", self.tail)
    }
}

/// Totals over all cells, and the cells that failed.
#[derive(Debug, Default)]
pub struct MatrixReport {
    /// Number of cells run.
    pub cells: usize,
    /// Steps that faults were added at.
    pub steps: BTreeSet<Step>,
    /// Observations per promise, summed over the cells.
    pub observed: BTreeMap<Promise, usize>,
    /// How often a receiver was frozen.
    pub frozen: usize,
    /// Failed cells, in the order of their scenes and faults.
    pub failures: Vec<Failure>,
}

impl fmt::Display for MatrixReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let promises = self.observed.len();
        let failed = self.failures.len();
        write!(f, "fault matrix: {} cells, {promises} promises, {failed} failed", self.cells)
    }
}

/// Runs one cell and returns its bed for inspection.
pub fn run_cell(scenes: &[&dyn Scene], cell: &MatrixCell) -> Testbed {
    let scene = scenes[cell.scene];
    let mut bed = scene.build(cell.seed);
    for injection in &cell.faults {
        bed.inject_fault(*injection);
    }
    scene.run(&mut bed);
    bed
}

/// Cells with one fault each, for every fault and every step of each scene, plus a
/// baseline cell per scene without an added fault.
///
/// Of the occurrences of a step, the first, a middle and the last are used.
pub fn single_cells(scenes: &[&dyn Scene]) -> Vec<MatrixCell> {
    let mut cells = Vec::new();
    for (index, scene) in scenes.iter().enumerate() {
        let baseline = MatrixCell { scene: index, faults: Vec::new(), seed: MATRIX_SEED };
        let bed = run_cell(scenes, &baseline);
        let calls = occurrences_of(&bed, Time::ZERO, scene.fault_deadline(), None);
        for (step, seen) in &calls {
            for nth in sample(seen) {
                cells.extend(Fault::ALL.iter().map(|fault| {
                    let injection = FaultInjection { step: *step, nth, host: None, fault: *fault };
                    MatrixCell { faults: vec![injection], ..baseline.clone() }
                }));
            }
        }
        cells.push(baseline);
    }
    cells
}

/// Cells with two faults: each of `seconds` at every later step on another host.
///
/// The first faults come from the cells of the first scene in `singles`; only those
/// are used that stop a process or leave it with a wrong view.
pub fn pair_cells(
    scenes: &[&dyn Scene],
    singles: &[MatrixCell],
    seconds: &[Fault],
) -> Vec<MatrixCell> {
    let first_cells: Vec<&MatrixCell> =
        singles.iter().filter(|cell| is_first_fault(cell)).collect();
    let found = Mutex::new(Vec::new());
    run_parallel(first_cells.len(), |index| {
        let pairs = second_cells(scenes, first_cells[index], seconds);
        found.lock().expect("no worker panicked").extend(pairs);
    });
    let mut cells = found.into_inner().expect("no worker panicked");
    cells.sort();
    cells
}

/// Runs cells in parallel and collects the failures.
pub fn run_cells(scenes: &[&dyn Scene], cells: &[MatrixCell]) -> MatrixReport {
    let report = Mutex::new(MatrixReport::default());
    run_parallel(cells.len(), |index| {
        let cell = &cells[index];
        let bed = run_cell(scenes, cell);
        collect_result(scenes[cell.scene], cell, &bed, &report);
    });
    let mut report = report.into_inner().expect("no worker panicked");
    report.failures.sort_by(|a, b| a.cell.cmp(&b.cell));
    report
}

fn collect_result(
    scene: &dyn Scene,
    cell: &MatrixCell,
    bed: &Testbed,
    total: &Mutex<MatrixReport>,
) {
    let checked = check(&bed.history);
    let mut findings: Vec<String> = checked.violations.iter().map(ToString::to_string).collect();
    findings.extend(scene.final_problems(bed));
    findings.extend(
        bed.pending_faults()
            .iter()
            .map(|injection| format!("the step of this fault was never reached: {injection}")),
    );
    let frozen = |fact: &Fact| matches!(fact, Fact::Frozen { .. });
    let mut total = total.lock().expect("no worker panicked");
    total.cells += 1;
    total.steps.extend(cell.faults.iter().map(|injection| injection.step));
    total.frozen += bed.history.entries.iter().filter(|entry| frozen(&entry.fact)).count();
    for (promise, count) in checked.observations {
        *total.observed.entry(promise).or_default() += count;
    }
    if findings.is_empty() {
        return;
    }
    total.failures.push(Failure {
        scene: scene.name().to_owned(),
        cell: cell.clone(),
        findings,
        tail: bed.history.tail(TAIL_ENTRIES),
    });
}

/// Occurrences of each step after `after` and up to `until`, by their index in the
/// whole run; those on the host `except` are counted but left out.
fn occurrences_of(
    bed: &Testbed,
    after: Time,
    until: Time,
    except: Option<HostId>,
) -> BTreeMap<Step, Vec<usize>> {
    let mut counts: BTreeMap<Step, usize> = BTreeMap::new();
    let mut calls: BTreeMap<Step, Vec<usize>> = BTreeMap::new();
    for entry in &bed.history.entries {
        let Fact::Called(step) = entry.fact else {
            continue;
        };
        let count = counts.entry(step).or_default();
        let nth = *count;
        *count += 1;
        let in_range = entry.at > after && entry.at <= until;
        if in_range && (except.is_none() || entry.host != except) {
            calls.entry(step).or_default().push(nth);
        }
    }
    calls
}

/// The first, a middle and the last occurrence.
fn sample(seen: &[usize]) -> BTreeSet<usize> {
    [seen.first(), seen.get(seen.len() / 2), seen.last()].into_iter().flatten().copied().collect()
}

fn is_first_fault(cell: &MatrixCell) -> bool {
    cell.scene == 0
        && cell.faults.first().is_some_and(|injection| FIRST_FAULTS.contains(&injection.fault))
}

fn second_cells(scenes: &[&dyn Scene], first: &MatrixCell, seconds: &[Fault]) -> Vec<MatrixCell> {
    let bed = run_cell(scenes, first);
    let Some(injection) = first.faults.first() else {
        return Vec::new();
    };
    let injected =
        bed.history.entries.iter().find(
            |entry| matches!(&entry.fact, Fact::Faulted(what) if *what == injection.to_string()),
        );
    let Some(injected) = injected else {
        return Vec::new();
    };
    let until = scenes[first.scene].fault_deadline();
    let later = occurrences_of(&bed, injected.at, until, injected.host);
    let mut cells = Vec::new();
    for (step, seen) in later {
        for fault in seconds {
            let second = FaultInjection { step, nth: seen[0], host: None, fault: *fault };
            cells.push(MatrixCell { faults: vec![*injection, second], ..first.clone() });
        }
    }
    cells
}

fn run_parallel(count: usize, job: impl Fn(usize) + Sync) {
    let next = AtomicUsize::new(0);
    let workers = thread::available_parallelism().map_or(1, |cores| cores.get().min(8));
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= count {
                        return;
                    }
                    job(index);
                }
            });
        }
    });
}
