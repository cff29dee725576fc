//! `chervilgate-load bench`

use std::time::Duration;

use bpaf::{Parser, construct, long};

use crate::{
    cmd::{Error, FailedSnafu},
    http::{Line, run_bench},
};

/// Maximum 99th percentile of the time to the first token through the entry, as a multiple of the
/// direct path's.
const TAIL_GOAL: f64 = 1.5;

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
    for line in &bench.lines {
        print_line(line);
    }
    println!();
    for line in &bench.lines {
        judge(line);
    }
    Ok(())
}

fn print_line(line: &Line) {
    let first = |quantile| {
        let value = |histogram: &hdrhistogram::Histogram<u64>| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        [value(&line.direct.first), value(&line.entry.first)]
    };
    let [half, half_entry] = first(0.5);
    let [tail, tail_entry] = first(0.99);
    let gap =
        |histogram: &hdrhistogram::Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1e3;
    let spent = line.spent.map_or("- | - | -".to_owned(), |spent| {
        let kilobytes = spent.stream_bytes / 1_024.0;
        format!("{:.0} | {:.1} | {kilobytes:.1}", spent.request_us, spent.token_us)
    });
    println!(
        "| {} | {}/{} | {}/{} | {half:.1}/{half_entry:.1} | {tail:.1}/{tail_entry:.1} \
         | {:.1}/{:.1} | {:.1}/{:.1} | {spent} |",
        line.streams,
        line.direct.answers,
        line.entry.answers,
        line.direct.failed(),
        line.entry.failed(),
        gap(&line.direct.gaps),
        gap(&line.entry.gaps),
        half_entry - half,
        tail_entry - tail,
    );
}

fn judge(line: &Line) {
    let tail = |histogram: &hdrhistogram::Histogram<u64>| histogram.value_at_quantile(0.99) as f64;
    let ratio = tail(&line.entry.first) / tail(&line.direct.first).max(1.0);
    let mark = |met: bool| if met { "pass" } else { "FAIL" };
    println!(
        "{}: {} streams: first-token p99 at most {TAIL_GOAL} times the direct path's: {ratio:.2}",
        mark(ratio <= TAIL_GOAL),
        line.streams
    );
    let Some(share) = line.spent.map(|spent| spent.core_share()) else { return };
    println!(
        "{}: {} streams: one core carries ten shares of a node: {:.2} cores",
        mark(share <= 1.0),
        line.streams,
        share
    );
}
