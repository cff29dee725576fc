//! `chervilgate-load bench`

use std::time::Duration;

use bpaf::{Parser, construct, long};

use crate::{
    cmd::{Error, FailedSnafu},
    http::{BenchRow, run_bench},
};

/// Maximum 99th percentile of the time to the first token through the entry, as a multiple of the
/// direct path's.
const MAX_RATIO: f64 = 1.5;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct BenchOptions {
    seconds: u64,
}

pub(super) fn options() -> impl Parser<BenchOptions> {
    let seconds = long("seconds").help("Duration of each measurement").argument("S").fallback(6);
    construct!(BenchOptions { seconds })
}

pub(super) fn run(options: &BenchOptions) -> Result<(), Error> {
    let bench = run_bench(Duration::from_secs(options.seconds))
        .map_err(|message| FailedSnafu { message }.build())?;
    println!("idle entry: {:.1} ms of processor time a second\n", bench.idle);
    println!(
        "| streams | answers direct/entry | failed direct/entry | first p50 ms direct/entry \
         | first p99 ms direct/entry | gap p99 ms direct/entry | added first p50/p99 ms \
         | CPU µs a request | CPU µs a token | KB a stream |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for row in &bench.rows {
        print_row(row);
    }
    println!();
    for row in &bench.rows {
        print_verdicts(row);
    }
    Ok(())
}

fn print_row(row: &BenchRow) {
    let first_token_ms = |quantile| {
        let value = |histogram: &hdrhistogram::Histogram<u64>| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        [value(&row.direct.first_token), value(&row.entry.first_token)]
    };
    let [p50, p50_entry] = first_token_ms(0.5);
    let [p99, p99_entry] = first_token_ms(0.99);
    let gap_p99_ms =
        |histogram: &hdrhistogram::Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1e3;
    let cost = row.cost.map_or("- | - | -".to_owned(), |cost| {
        let kilobytes = cost.stream_bytes / 1_024.0;
        format!("{:.0} | {:.1} | {kilobytes:.1}", cost.request_us, cost.token_us)
    });
    println!(
        "| {} | {}/{} | {}/{} | {p50:.1}/{p50_entry:.1} | {p99:.1}/{p99_entry:.1} \
         | {:.1}/{:.1} | {:.1}/{:.1} | {cost} |",
        row.streams,
        row.direct.answers,
        row.entry.answers,
        row.direct.failed(),
        row.entry.failed(),
        gap_p99_ms(&row.direct.gaps),
        gap_p99_ms(&row.entry.gaps),
        p50_entry - p50,
        p99_entry - p99,
    );
}

fn print_verdicts(row: &BenchRow) {
    let tail = |histogram: &hdrhistogram::Histogram<u64>| histogram.value_at_quantile(0.99) as f64;
    let ratio = tail(&row.entry.first_token) / tail(&row.direct.first_token).max(1.0);
    let verdict = |met: bool| if met { "pass" } else { "FAIL" };
    println!(
        "{}: {} streams: first-token p99 at most {MAX_RATIO} times the direct path's: {ratio:.2}",
        verdict(ratio <= MAX_RATIO),
        row.streams
    );
    let Some(cores) = row.cost.map(|cost| cost.cores_for_ten_nodes()) else { return };
    println!(
        "{}: {} streams: one core carries ten shares of a node: {:.2} cores",
        verdict(cores <= 1.0),
        row.streams,
        cores
    );
}
