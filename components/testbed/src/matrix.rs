//! The fault matrix: every fault at every step of a scene, and in pairs.
//!
//! The steps come from recorded runs. A scene is first run as it is; each step
//! that it took is then struck by each fault. For pairs, the run with the
//! first fault is the recorded one: its later steps on other hosts, takeovers
//! among them, are struck by a second fault.

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
    bed::Bed,
    check::{Promise, check},
    fault::{Fault, Strike},
    history::Fact,
    network::HostId,
};

/// A run that faults are added to.
pub trait Scene: Sync {
    /// Its name in reports.
    fn name(&self) -> &str;

    /// Builds the bed, with the scene's own faults.
    fn build(&self, seed: u64) -> Bed;

    /// Runs the bed to the scene's end.
    fn drive(&self, bed: &mut Bed);

    /// Steps after this time are not struck, so that faults can heal.
    fn strike_until(&self) -> Time;

    /// What should have worked at the end and did not.
    fn complaints(&self, bed: &Bed) -> Vec<String>;
}

/// Faults that take an actor out or leave it with a wrong belief: the first of
/// a pair.
const FIRST_FAULTS: [Fault; 7] = [
    Fault::KilledAfter,
    Fault::Vanished,
    Fault::PausedBefore,
    Fault::PausedAfter,
    Fault::Partitioned,
    Fault::AnswerLost,
    Fault::CallLate,
];

/// Seeds one run of a cell.
pub const MATRIX_SEED: u64 = 7;

/// Entries of a failed cell's history that a report shows.
const TAIL: usize = 60;

/// One run of the matrix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// Which scene.
    pub scene: usize,
    /// The faults added to it.
    pub strikes: Vec<Strike>,
    /// The run's seed.
    pub seed: u64,
}

/// A cell that broke a promise, or whose duty was not taken up again.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The scene's name.
    pub scene: String,
    /// The cell.
    pub cell: Cell,
    /// What went wrong.
    pub findings: Vec<String>,
    /// The end of the history.
    pub tail: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "failed cell: scene {}, seed {}", self.scene, self.cell.seed)?;
        for strike in &self.cell.strikes {
            writeln!(f, "  {strike}")?;
        }
        for finding in &self.findings {
            writeln!(f, "  {finding}")?;
        }
        write!(f, "{}", self.tail)
    }
}

/// What the matrix found.
#[derive(Debug, Default)]
pub struct MatrixReport {
    /// Cells run.
    pub cells: usize,
    /// Steps struck.
    pub steps: BTreeSet<Step>,
    /// How often each promise was put to the test.
    pub observed: BTreeMap<Promise, usize>,
    /// Receivers that were frozen at some time.
    pub frozen: usize,
    /// Failed cells.
    pub failures: Vec<Failure>,
}

impl fmt::Display for MatrixReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let promises = self.observed.len();
        let failed = self.failures.len();
        write!(f, "fault matrix: {} cells, {promises} promises, {failed} failed", self.cells)
    }
}

/// Runs one cell to its end.
pub fn run_cell(scenes: &[&dyn Scene], cell: &Cell) -> Bed {
    let scene = scenes[cell.scene];
    let mut bed = scene.build(cell.seed);
    for strike in &cell.strikes {
        bed.strike(*strike);
    }
    scene.drive(&mut bed);
    bed
}

/// Every single fault at every step of every scene.
pub fn single_cells(scenes: &[&dyn Scene]) -> Vec<Cell> {
    let mut cells = Vec::new();
    for (index, scene) in scenes.iter().enumerate() {
        let plain = Cell { scene: index, strikes: Vec::new(), seed: MATRIX_SEED };
        let bed = run_cell(scenes, &plain);
        let calls = calls_of(&bed, Time::ZERO, scene.strike_until(), None);
        for (step, seen) in &calls {
            for nth in chosen(seen) {
                cells.extend(Fault::ALL.iter().map(|fault| {
                    let strike = Strike { step: *step, nth, host: None, fault: *fault };
                    Cell { strikes: vec![strike], ..plain.clone() }
                }));
            }
        }
        cells.push(plain);
    }
    cells
}

/// Every second fault at every later step on another host.
///
/// The first fault is one of those that take an actor out, at the first
/// occurrence of its step in the first scene.
pub fn pair_cells(scenes: &[&dyn Scene], singles: &[Cell], seconds: &[Fault]) -> Vec<Cell> {
    let firsts: Vec<&Cell> = singles.iter().filter(|cell| starts_pair(cell)).collect();
    let found = Mutex::new(Vec::new());
    in_parallel(firsts.len(), |index| {
        let pairs = seconds_of(scenes, firsts[index], seconds);
        found.lock().expect("no worker panicked").extend(pairs);
    });
    let mut cells = found.into_inner().expect("no worker panicked");
    cells.sort();
    cells
}

/// Runs cells on several threads.
pub fn run_cells(scenes: &[&dyn Scene], cells: &[Cell]) -> MatrixReport {
    let report = Mutex::new(MatrixReport::default());
    in_parallel(cells.len(), |index| {
        let cell = &cells[index];
        let bed = run_cell(scenes, cell);
        judge(scenes[cell.scene], cell, &bed, &report);
    });
    let mut report = report.into_inner().expect("no worker panicked");
    report.failures.sort_by(|a, b| a.cell.cmp(&b.cell));
    report
}

fn judge(scene: &dyn Scene, cell: &Cell, bed: &Bed, total: &Mutex<MatrixReport>) {
    let checked = check(&bed.history);
    let mut findings: Vec<String> = checked.breaches.iter().map(ToString::to_string).collect();
    findings.extend(scene.complaints(bed));
    findings.extend(bed.pending_strikes().iter().map(|strike| format!("no such step: {strike}")));
    let frozen = |fact: &Fact| matches!(fact, Fact::Frozen { .. });
    let mut total = total.lock().expect("no worker panicked");
    total.cells += 1;
    total.steps.extend(cell.strikes.iter().map(|strike| strike.step));
    total.frozen += bed.history.entries.iter().filter(|entry| frozen(&entry.fact)).count();
    for (promise, count) in checked.observed {
        *total.observed.entry(promise).or_default() += count;
    }
    if findings.is_empty() {
        return;
    }
    total.failures.push(Failure {
        scene: scene.name().to_owned(),
        cell: cell.clone(),
        findings,
        tail: bed.history.tail(TAIL),
    });
}

/// Occurrences of each step within a span, by their number in the whole run.
fn calls_of(
    bed: &Bed,
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
        let inside = entry.at > after && entry.at <= until;
        if inside && (except.is_none() || entry.host != except) {
            calls.entry(step).or_default().push(nth);
        }
    }
    calls
}

/// The first, a middle and the last occurrence.
fn chosen(seen: &[usize]) -> BTreeSet<usize> {
    [seen.first(), seen.get(seen.len() / 2), seen.last()].into_iter().flatten().copied().collect()
}

fn starts_pair(cell: &Cell) -> bool {
    cell.scene == 0
        && cell.strikes.first().is_some_and(|strike| FIRST_FAULTS.contains(&strike.fault))
}

fn seconds_of(scenes: &[&dyn Scene], first: &Cell, seconds: &[Fault]) -> Vec<Cell> {
    let bed = run_cell(scenes, first);
    let Some(strike) = first.strikes.first() else {
        return Vec::new();
    };
    let struck =
        bed.history.entries.iter().find(
            |entry| matches!(&entry.fact, Fact::Faulted(what) if *what == strike.to_string()),
        );
    let Some(struck) = struck else {
        return Vec::new();
    };
    let until = scenes[first.scene].strike_until();
    let later = calls_of(&bed, struck.at, until, struck.host);
    let mut cells = Vec::new();
    for (step, seen) in later {
        for fault in seconds {
            let second = Strike { step, nth: seen[0], host: None, fault: *fault };
            cells.push(Cell { strikes: vec![*strike, second], ..first.clone() });
        }
    }
    cells
}

fn in_parallel(count: usize, work: impl Fn(usize) + Sync) {
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
                    work(index);
                }
            });
        }
    });
}
