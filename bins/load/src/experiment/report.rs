//! The figures of an experiment.

use serde::Serialize;

use crate::{
    experiment::runs::Runs,
    scheme::Scheme,
    tally::{Ending, Tally},
};

/// Mean, least and greatest value over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Least.
    pub least: f64,
    /// Greatest.
    pub most: f64,
}

impl Spread {
    /// The spread of `values`; zero if there are none.
    pub fn of(values: impl Iterator<Item = f64>) -> Spread {
        let values: Vec<f64> = values.collect();
        let count = values.len().max(1) as f64;
        Spread {
            mean: values.iter().sum::<f64>() / count,
            least: values.iter().copied().reduce(f64::min).unwrap_or(0.0),
            most: values.iter().copied().reduce(f64::max).unwrap_or(0.0),
        }
    }
}

/// One scheme's figures.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Row {
    /// The scheme, or a variant of the workload.
    pub name: String,
    /// Good requests, in percent of the bound.
    pub good: Spread,
    /// Good requests a second.
    pub rate: f64,
    /// Times to the first token, 50 and 99 in 100, in milliseconds.
    pub first: [f64; 2],
    /// Times between tokens, 50, 95 and 99 in 100, in milliseconds.
    pub gap: [f64; 3],
    /// Requests refused, late, slow, of unknown outcome, and lost, in percent of the offered.
    pub bad: [f64; 5],
    /// Good share of the worst-served organisation, in percent.
    pub worst: Spread,
    /// Role changes a run.
    pub changes: Spread,
    /// Attempts after the first, a run.
    pub retries: f64,
    /// Answers with wrong tokens, doubled runs, and lost repeatable requests, in all runs.
    pub faults: [u64; 3],
    /// Mean share of time that engines spent in steps, in percent.
    pub busy: f64,
    /// Cost of the targets a run, in cents.
    pub cost: Spread,
}

/// Whether a target was met.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Verdict {
    /// What is asked.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it is met.
    pub met: bool,
}

/// Everything an experiment found.
pub struct Report {
    /// The experiment.
    pub name: &'static str,
    /// What was run, in a line.
    pub about: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Good requests that the bound allows, by seed.
    pub bounds: Vec<u64>,
    /// The runs, with the names of their rows.
    pub runs: Vec<(String, Runs)>,
    /// The rows of the table.
    pub rows: Vec<Row>,
    /// Its targets.
    pub verdicts: Vec<Verdict>,
    /// The last line of the output.
    pub line: String,
}

/// The part of a report that is written as JSON.
#[derive(Debug, Serialize)]
pub struct Figures<'a> {
    name: &'a str,
    about: &'a str,
    seeds: &'a [u64],
    bounds: &'a [u64],
    rows: &'a [Row],
    verdicts: &'a [Verdict],
    line: &'a str,
}

impl Report {
    /// The figures without the runs.
    pub fn figures(&self) -> Figures<'_> {
        Figures {
            name: self.name,
            about: &self.about,
            seeds: &self.seeds,
            bounds: &self.bounds,
            rows: &self.rows,
            verdicts: &self.verdicts,
            line: &self.line,
        }
    }
}

/// The row of one scheme's runs over `span` seconds on `engines` engines.
pub(super) fn row(name: &str, runs: &Runs, bounds: &[u64], span: f64, engines: usize) -> Row {
    let tallies = &runs.tallies;
    let share = |ending: Ending| mean(tallies, |t| percent(t.count(ending), t.offered()));
    let first = |q: f64| mean(tallies, |t| t.first.value_at_quantile(q) as f64 / 1e3);
    let gap = |q: f64| mean(tallies, |t| t.gaps.value_at_quantile(q) as f64 / 1e3);
    let good = tallies.iter().zip(bounds);
    let all = |count: fn(&Tally) -> u64| tallies.iter().map(count).sum();
    Row {
        name: name.to_owned(),
        good: Spread::of(good.map(|(t, bound)| percent(t.count(Ending::Good), *bound))),
        rate: mean(tallies, |t| t.count(Ending::Good) as f64 / span),
        first: [first(0.5), first(0.99)],
        gap: [gap(0.5), gap(0.95), gap(0.99)],
        bad: [Ending::Refused, Ending::Late, Ending::Slow, Ending::Unknown, Ending::Lost]
            .map(share),
        worst: Spread::of(tallies.iter().map(|t| t.worst_org() * 100.0)),
        changes: Spread::of(tallies.iter().map(|t| t.role_changes as f64)),
        retries: mean(tallies, |t| t.retries as f64),
        faults: [all(|t| t.wrong), all(|t| t.doubled), all(|t| t.lost_repeatable)],
        busy: mean(tallies, |t| t.busy / span / engines as f64 * 100.0),
        cost: Spread::of(tallies.iter().map(|t| t.cost)),
    }
}

/// The row of `scheme`, if it ran.
pub(super) fn find(rows: &[Row], scheme: Scheme) -> Option<&Row> {
    rows.iter().find(|row| row.name == scheme.name())
}

/// The baseline with the most good requests.
pub(super) fn best_baseline(rows: &[Row]) -> Option<&Row> {
    let baselines = rows.iter().filter(|row| row.name != Scheme::Policy.name());
    baselines.max_by(|a, b| a.good.mean.total_cmp(&b.good.mean))
}

/// A verdict on `met`.
pub(super) fn verdict(target: &str, measured: String, met: bool) -> Verdict {
    Verdict { target: target.to_owned(), measured, met }
}

fn mean(tallies: &[Tally], value: impl Fn(&Tally) -> f64) -> f64 {
    Spread::of(tallies.iter().map(value)).mean
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
