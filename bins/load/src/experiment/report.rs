//! The results of an experiment and the goals that it checks.

use serde::Serialize;

use crate::{
    experiment::{
        Options,
        runs::{Runs, SeedInput, run_all},
    },
    scenario::Scenario,
    scheme::Scheme,
    stats::{RequestOutcome, RunStats},
};

/// Mean, minimum and maximum of a value over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Spread {
    /// Mean over the seeds.
    pub mean: f64,
    /// Minimum.
    pub least: f64,
    /// Maximum.
    pub most: f64,
}

impl Spread {
    /// The spread of `values`; all zero if there are none.
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

/// The results of one scheme over all seeds.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the scheme or of the variant of the workload.
    pub name: String,
    /// Good requests, in percent of the upper bound.
    pub good: Spread,
    /// Good requests a second.
    pub rate: f64,
    /// Percentiles 50 and 99 of the time to the first token, in milliseconds.
    pub first: [f64; 2],
    /// Percentiles 50, 95 and 99 of the time between tokens, in milliseconds.
    pub gap: [f64; 3],
    /// Requests refused, late, slow, of unknown outcome, and lost, in percent of all requests.
    pub bad: [f64; 5],
    /// Share of good requests of the worst-served organisation, in percent.
    pub worst: Spread,
    /// Role changes in a run.
    pub changes: Spread,
    /// Retries in a run.
    pub retries: f64,
    /// Totals over all runs: answers with a wrong number of tokens, duplicate runs of
    /// requests that must not be repeated, and lost repeatable requests.
    pub faults: [u64; 3],
    /// Cost of the targets in a run, in cents.
    pub cost: Spread,
}

/// Whether a goal was met.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Verdict {
    /// The goal, in words.
    pub target: String,
    /// The measured value, in words.
    pub measured: String,
    /// Whether the measured value meets the goal.
    pub met: bool,
}

/// The results of an experiment, with the runs behind them.
pub struct Report {
    /// Name of the experiment.
    pub name: &'static str,
    /// One-line description of the setup.
    pub about: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// One row for each scheme or variant.
    pub rows: Vec<Row>,
    /// The runs, in the order of the rows.
    pub runs: Vec<Runs>,
    /// The goals and whether they were met.
    pub verdicts: Vec<Verdict>,
    /// One-line summary, printed last.
    pub line: String,
}

/// A report without its runs, in the form that is written as JSON.
#[derive(Debug, Serialize)]
pub struct Figures<'a> {
    name: &'a str,
    about: &'a str,
    seeds: &'a [u64],
    rows: &'a [Row],
    verdicts: &'a [Verdict],
    line: &'a str,
}

impl Report {
    /// The part of the report that is written as JSON.
    pub fn figures(&self) -> Figures<'_> {
        Figures {
            name: self.name,
            about: &self.about,
            seeds: &self.seeds,
            rows: &self.rows,
            verdicts: &self.verdicts,
            line: &self.line,
        }
    }
}

impl Report {
    /// A report without rows.
    pub(super) fn new(name: &'static str, about: String, options: &Options) -> Report {
        Report {
            name,
            about,
            seeds: options.seeds.clone(),
            rows: Vec::new(),
            runs: Vec::new(),
            verdicts: Vec::new(),
            line: String::new(),
        }
    }

    /// Runs `schemes` with each of `inputs` and adds a row for each scheme.
    pub(super) fn compare(
        &mut self,
        scenario: &Scenario,
        schemes: &[Scheme],
        inputs: &[SeedInput],
    ) {
        for runs in run_all(scenario, schemes, inputs) {
            self.push_row(runs.scheme.name(), runs, scenario, inputs);
        }
    }

    /// Runs `scheme` with each of `inputs` and adds a row named `name`.
    pub(super) fn add_row(
        &mut self,
        name: &str,
        scheme: Scheme,
        scenario: &Scenario,
        inputs: &[SeedInput],
    ) {
        for runs in run_all(scenario, &[scheme], inputs) {
            self.push_row(name, runs, scenario, inputs);
        }
    }

    fn push_row(&mut self, name: &str, runs: Runs, scenario: &Scenario, inputs: &[SeedInput]) {
        self.rows.push(row(name, &runs, inputs, scenario));
        self.runs.push(runs);
    }

    /// The row named `name`.
    pub(super) fn row(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// The statistics of each run of the row named `name`.
    pub(super) fn run_stats(&self, name: &str) -> &[RunStats] {
        let index = self.rows.iter().position(|row| row.name == name);
        index.map_or(&[], |index| &self.runs[index].run_stats)
    }

    /// The policy's row and the row of the baseline with the highest goodput.
    pub(super) fn policy_and_best_baseline(&self) -> Option<(&Row, &Row)> {
        let baselines = Scheme::ALL.iter().skip(1).filter_map(|scheme| self.row(scheme.name()));
        let best = baselines.max_by(|a, b| a.good.mean.total_cmp(&b.good.mean))?;
        Some((self.row(Scheme::Policy.name())?, best))
    }

    /// Records whether `goal` was met.
    pub(super) fn add_verdict(&mut self, goal: &str, measured: String, met: bool) {
        self.verdicts.push(Verdict { target: goal.to_owned(), measured, met });
    }

    /// Summarises goodput and role changes, and checks goodput against the best baseline.
    pub(super) fn add_goodput_verdict(&mut self) {
        let Some((policy, best)) = self.policy_and_best_baseline() else { return };
        let (good, other) = (policy.good.mean, best.good.mean);
        let changes = policy.changes.mean;
        let greedy = self.row(Scheme::GreedyRoles.name()).map_or(0.0, |row| row.changes.mean);
        let measured = format!("{good:.1}% against {other:.1}% ({})", best.name);
        self.line = format!(
            "{}: goodput {good:.1}% of bound, best baseline {other:.1}%, \
             role changes {changes:.1} vs greedy {greedy:.1}",
            self.name
        );
        self.add_verdict("goodput above each baseline", measured, good > other);
    }
}

/// Aggregates the runs of one scheme.
fn row(name: &str, runs: &Runs, inputs: &[SeedInput], scenario: &Scenario) -> Row {
    let run_stats = &runs.run_stats;
    let span = scenario.span();
    let share = |ending: RequestOutcome| mean(run_stats, |t| percent(t.count(ending), t.offered()));
    let first = |q: f64| mean(run_stats, |t| t.first_token.value_at_quantile(q) as f64 / 1e3);
    let gap = |q: f64| mean(run_stats, |t| t.gaps.value_at_quantile(q) as f64 / 1e3);
    let good = run_stats.iter().zip(inputs);
    let all = |count: fn(&RunStats) -> u64| run_stats.iter().map(count).sum();
    Row {
        name: name.to_owned(),
        good: Spread::of(
            good.map(|(t, input)| percent(t.count(RequestOutcome::Good), input.bound)),
        ),
        rate: mean(run_stats, |t| t.count(RequestOutcome::Good) as f64 / span),
        first: [first(0.5), first(0.99)],
        gap: [gap(0.5), gap(0.95), gap(0.99)],
        bad: [
            RequestOutcome::Refused,
            RequestOutcome::Late,
            RequestOutcome::Slow,
            RequestOutcome::Unknown,
            RequestOutcome::Lost,
        ]
        .map(share),
        worst: Spread::of(run_stats.iter().map(|t| t.worst_org_ratio() * 100.0)),
        changes: Spread::of(run_stats.iter().map(|t| t.role_changes as f64)),
        retries: mean(run_stats, |t| t.retries as f64),
        faults: [all(|t| t.wrong_answers), all(|t| t.duplicate_runs), all(|t| t.lost_repeatable)],
        cost: Spread::of(run_stats.iter().map(|t| t.cost)),
    }
}

fn mean(run_stats: &[RunStats], value: impl Fn(&RunStats) -> f64) -> f64 {
    Spread::of(run_stats.iter().map(value)).mean
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
