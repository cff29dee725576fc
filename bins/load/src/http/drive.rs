//! Runs concurrent streams for a given time and collects their latencies.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use crate::http::client::{ChatClient, Failure};

/// Size of a load test.
#[derive(Debug, Clone, Copy)]
pub struct LoadSpec {
    /// Number of concurrent requests.
    pub streams: usize,
    /// Time from the start after which no new request is sent.
    pub span: Duration,
    /// Length of each answer, in tokens.
    pub tokens: u64,
}

/// Results of a load test.
#[derive(Debug, Clone)]
pub struct LoadResults {
    /// Number of complete and correct answers.
    pub answers: u64,
    /// Number of tokens in these answers.
    pub tokens: u64,
    /// Number of failed requests by cause.
    pub failures: BTreeMap<Failure, u64>,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

impl LoadResults {
    fn new() -> LoadResults {
        LoadResults {
            answers: 0,
            tokens: 0,
            failures: BTreeMap::new(),
            first_token: histogram(),
            gaps: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, other: LoadResults) {
        self.answers += other.answers;
        self.tokens += other.tokens;
        for (failure, count) in other.failures {
            *self.failures.entry(failure).or_default() += count;
        }
        // `add` fails only if the bounds differ, and all histograms have the same.
        let _ = self.first_token.add(other.first_token);
        let _ = self.gaps.add(other.gaps);
    }

    /// Number of failed requests.
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }
}

/// Runs `load` with its streams distributed over `clients`.
pub async fn drive(clients: &[ChatClient], load: LoadSpec) -> LoadResults {
    let started = Instant::now();
    let mut streams = JoinSet::new();
    for number in 0..load.streams {
        let client = clients[number % clients.len()].clone();
        streams.spawn(run_stream(client, load, number, started));
    }
    let mut total = LoadResults::new();
    while let Some(stream) = streams.join_next().await {
        if let Ok(results) = stream {
            total.add(results);
        }
    }
    total.elapsed = started.elapsed();
    total
}

async fn run_stream(
    client: ChatClient,
    load: LoadSpec,
    number: usize,
    started: Instant,
) -> LoadResults {
    let mut results = LoadResults::new();
    let mut count = 0;
    while started.elapsed() < load.span {
        let prompt = format!("stream {number} asks for the {count}th time");
        count += 1;
        match client.chat(&prompt, load.tokens).await {
            Ok(timing) => {
                results.answers += 1;
                results.tokens += load.tokens;
                results.first_token.saturating_record(timing.first_token.as_micros() as u64);
                for gap in timing.gaps {
                    results.gaps.saturating_record(gap.as_micros() as u64);
                }
            }
            Err(failure) => {
                *results.failures.entry(failure).or_default() += 1;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
    results
}

/// Pause of a stream after a failed request.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// A histogram from 1 µs to one minute with two significant digits.
fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 60_000_000;
    Histogram::new_with_bounds(1, MAX_US, 2).expect("bounds are valid")
}
