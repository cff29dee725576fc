//! Streams that run side by side for a while.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use crate::http::client::{ChatClient, Failure};

/// How much is sent.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Requests that run side by side.
    pub streams: usize,
    /// Time after which no new request is sent.
    pub span: Duration,
    /// Tokens of each answer.
    pub tokens: u64,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Measured {
    /// Whole, right answers.
    pub answers: u64,
    /// Tokens in them.
    pub tokens: u64,
    /// Requests that failed.
    pub failures: BTreeMap<Failure, u64>,
    /// Times to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

impl Measured {
    fn new() -> Measured {
        Measured {
            answers: 0,
            tokens: 0,
            failures: BTreeMap::new(),
            first: histogram(),
            gaps: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, other: Measured) {
        self.answers += other.answers;
        self.tokens += other.tokens;
        for (failure, count) in other.failures {
            *self.failures.entry(failure).or_default() += count;
        }
        // Both have the same bounds.
        let _ = self.first.add(other.first);
        let _ = self.gaps.add(other.gaps);
    }

    /// Requests that failed, for any reason.
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }
}

/// Runs `load`, its streams spread over `clients`.
pub async fn drive(clients: &[ChatClient], load: Load) -> Measured {
    let started = Instant::now();
    let mut streams = JoinSet::new();
    for number in 0..load.streams {
        let client = clients[number % clients.len()].clone();
        streams.spawn(run_stream(client, load, number, started));
    }
    let mut total = Measured::new();
    while let Some(stream) = streams.join_next().await {
        if let Ok(measured) = stream {
            total.add(measured);
        }
    }
    total.elapsed = started.elapsed();
    total
}

async fn run_stream(client: ChatClient, load: Load, number: usize, started: Instant) -> Measured {
    let mut measured = Measured::new();
    let mut count = 0;
    while started.elapsed() < load.span {
        let prompt = format!("stream {number} asks for the {count}th time");
        count += 1;
        match client.chat(&prompt, load.tokens).await {
            Ok(timing) => {
                measured.answers += 1;
                measured.tokens += load.tokens;
                measured.first.saturating_record(timing.first.as_micros() as u64);
                for gap in timing.gaps {
                    measured.gaps.saturating_record(gap.as_micros() as u64);
                }
            }
            Err(failure) => {
                *measured.failures.entry(failure).or_default() += 1;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
    measured
}

/// Pause of a stream after a failed request.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// From 1 µs to a minute, with two significant figures.
fn histogram() -> Histogram<u64> {
    const LONGEST_US: u64 = 60_000_000;
    Histogram::new_with_bounds(1, LONGEST_US, 2).expect("bounds are valid")
}
