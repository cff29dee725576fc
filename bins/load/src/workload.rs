//! Arrivals of an experiment, drawn from a seeded generator.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Tokens in one block of a prompt's hash chain.
pub const BLOCK_TOKENS: u32 = 64;

/// Longest prompt, in tokens.
const PROMPT_LIMIT: f64 = 32_000.0;

/// Longest answer, in tokens.
const OUTPUT_LIMIT: f64 = 2_000.0;

/// Share of prompts that start with one of the organisation's prefixes.
const PREFIX_SHARE: f64 = 0.6;

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it reaches an entry.
    pub at: Time,
    /// The entry that it reaches.
    pub entry: usize,
    /// Its organisation.
    pub org: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Most tokens that the caller asked for.
    pub limit: u32,
    /// Hashes of the leading blocks that other prompts share.
    pub blocks: Arc<[u64]>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it crashes the engine that runs it.
    pub poison: bool,
    /// Equal for a request and its resends.
    pub fingerprint: u64,
}

/// What arrives at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Requests a second.
    pub rate: f64,
    /// Mean prompt, in tokens.
    pub prompt: f64,
    /// Mean answer, in tokens.
    pub output: f64,
}

/// An organisation's part in the workload.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The organisation.
    pub org: u32,
    /// Its share of the requests, against the other shares.
    pub share: f64,
}

/// The organisations at a moment.
pub type Callers = Box<dyn Fn(Time) -> Vec<Caller> + Send + Sync>;

/// The workload of one experiment.
pub struct Workload {
    /// Span over which requests arrive.
    pub span: Duration,
    /// Entries that the callers use.
    pub entries: usize,
    /// The mix at a moment.
    pub mix: Box<dyn Fn(Time) -> Mix + Send + Sync>,
    /// Highest rate that `mix` gives.
    pub peak: f64,
    /// The organisations at a moment.
    pub callers: Callers,
    /// Share of the requests that may not be repeated.
    pub firm: f64,
}

impl Workload {
    /// Draws the arrivals in order of time.
    pub fn draw(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut secs = 0.0;
        loop {
            secs += exponential(&mut rng, 1.0 / self.peak);
            let at = Time::from_micros((secs * 1e6) as u64);
            if at >= Time::ZERO + self.span {
                return arrivals;
            }
            let mix = (self.mix)(at);
            if rng.random::<f64>() * self.peak >= mix.rate {
                continue;
            }
            let org = pick_org(&mut rng, &(self.callers)(at));
            arrivals.push(self.draw_request(&mut rng, at, org, mix));
        }
    }

    fn draw_request(&self, rng: &mut Pcg64, at: Time, org: u32, mix: Mix) -> Arrival {
        let prompt = skewed(rng, mix.prompt).clamp(16.0, PROMPT_LIMIT) as u32;
        let output = skewed(rng, mix.output).clamp(1.0, OUTPUT_LIMIT) as u32;
        let slack = 1.0 + rng.random::<f64>();
        Arrival {
            at,
            entry: rng.random_range(0..self.entries),
            org,
            prompt,
            output,
            limit: (f64::from(output) * slack).ceil() as u32,
            blocks: draw_blocks(rng, org, prompt),
            repeatable: rng.random::<f64>() >= self.firm,
            poison: false,
            fingerprint: rng.random(),
        }
    }
}

/// Draws from an exponential distribution.
pub fn exponential(rng: &mut dyn Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random();
    -mean * (1.0 - unit).ln()
}

/// Draws from a log-normal distribution with `mean` and a long tail.
fn skewed(rng: &mut Pcg64, mean: f64) -> f64 {
    const SIGMA: f64 = 0.8;
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

fn pick_org(rng: &mut Pcg64, callers: &[Caller]) -> u32 {
    let total: f64 = callers.iter().map(|caller| caller.share).sum();
    let mut left = rng.random::<f64>() * total;
    for caller in callers {
        left -= caller.share;
        if left < 0.0 {
            return caller.org;
        }
    }
    callers.last().map_or(0, |caller| caller.org)
}

/// The leading blocks of one of the organisation's eight prefixes, or none.
fn draw_blocks(rng: &mut Pcg64, org: u32, prompt: u32) -> Arc<[u64]> {
    if rng.random::<f64>() >= PREFIX_SHARE {
        return Arc::from([]);
    }
    let unit: f64 = rng.random();
    let prefix = (unit * unit * 8.0) as u64;
    let length = (8 + prefix * 4).min(u64::from(prompt / BLOCK_TOKENS / 2));
    let base = (u64::from(org) << 32) | (prefix << 16);
    (0..length).map(|block| base | block).collect()
}
