//! Generates the request arrivals of an experiment from a seed.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Tokens in one block of a prompt's hash chain.
pub const BLOCK_TOKENS: u32 = 64;

/// Maximum prompt length, in tokens.
const MAX_PROMPT: f64 = 32_000.0;

/// Maximum answer length, in tokens.
const MAX_OUTPUT: f64 = 2_000.0;

/// Share of prompts that start with a prefix shared within the organisation.
const PREFIX_SHARE: f64 = 0.6;

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time at the entry.
    pub at: Time,
    /// Index of the entry that receives it.
    pub entry: usize,
    /// Number of the organisation that sends it.
    pub org: u32,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Actual answer length, in tokens.
    pub output: u32,
    /// Maximum answer length that the caller asks for, in tokens.
    pub limit: u32,
    /// Hashes of the leading blocks, which other prompts may share.
    pub blocks: Arc<[u64]>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request crashes every engine that runs it.
    pub poison: bool,
    /// Identifies a request across resends.
    pub fingerprint: u64,
}

/// Rate and mean sizes of the requests at one time.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Requests a second.
    pub rate: f64,
    /// Mean prompt length, in tokens.
    pub prompt: f64,
    /// Mean answer length, in tokens.
    pub output: f64,
}

/// An organisation's share of the requests.
#[derive(Debug, Clone, Copy)]
pub struct OrgShare {
    /// Number of the organisation.
    pub org: u32,
    /// Weight relative to the shares of the other organisations.
    pub share: f64,
}

/// Shares of the organisations by time.
pub type OrgShares = Box<dyn Fn(Time) -> Vec<OrgShare> + Send + Sync>;

/// The workload of one experiment.
pub struct Workload {
    /// Time span of the arrivals.
    pub span: Duration,
    /// Number of entries; each request goes to a random one.
    pub entries: usize,
    /// Request mix by time.
    pub mix: Box<dyn Fn(Time) -> Mix + Send + Sync>,
    /// Maximum rate that `mix` returns; arrivals are thinned from it.
    pub peak: f64,
    /// Shares of the organisations by time.
    pub org_shares: OrgShares,
    /// Share of the requests that must not run more than once.
    pub nonrepeatable_share: f64,
}

impl Workload {
    /// Generates the arrivals in order of time, as a Poisson process with a varying rate.
    pub fn generate(&self, seed: u64) -> Vec<Arrival> {
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
            let org = pick_org(&mut rng, &(self.org_shares)(at));
            arrivals.push(self.generate_request(&mut rng, at, org, mix));
        }
    }

    fn generate_request(&self, rng: &mut Pcg64, at: Time, org: u32, mix: Mix) -> Arrival {
        let prompt = log_normal(rng, mix.prompt).clamp(16.0, MAX_PROMPT) as u32;
        let output = log_normal(rng, mix.output).clamp(1.0, MAX_OUTPUT) as u32;
        let slack = 1.0 + rng.random::<f64>();
        Arrival {
            at,
            entry: rng.random_range(0..self.entries),
            org,
            prompt,
            output,
            limit: (f64::from(output) * slack).ceil() as u32,
            blocks: generate_prefix(rng, org, prompt),
            repeatable: rng.random::<f64>() >= self.nonrepeatable_share,
            poison: false,
            fingerprint: rng.random(),
        }
    }
}

/// Draws from an exponential distribution with the given mean.
pub fn exponential(rng: &mut dyn Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random();
    -mean * (1.0 - unit).ln()
}

/// Draws from a log-normal distribution with the given mean.
fn log_normal(rng: &mut Pcg64, mean: f64) -> f64 {
    const SIGMA: f64 = 0.8;
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

fn pick_org(rng: &mut Pcg64, org_shares: &[OrgShare]) -> u32 {
    let total: f64 = org_shares.iter().map(|org_share| org_share.share).sum();
    let mut remaining = rng.random::<f64>() * total;
    for org_share in org_shares {
        remaining -= org_share.share;
        if remaining < 0.0 {
            return org_share.org;
        }
    }
    org_shares.last().map_or(0, |org_share| org_share.org)
}

/// Leading blocks of one of the organisation's eight prefixes; empty for an unshared prompt.
fn generate_prefix(rng: &mut Pcg64, org: u32, prompt: u32) -> Arc<[u64]> {
    if rng.random::<f64>() >= PREFIX_SHARE {
        return Arc::from([]);
    }
    let unit: f64 = rng.random();
    let prefix = (unit * unit * 8.0) as u64;
    let length = (8 + prefix * 4).min(u64::from(prompt / BLOCK_TOKENS / 2));
    let base = (u64::from(org) << 32) | (prefix << 16);
    (0..length).map(|block| base | block).collect()
}
