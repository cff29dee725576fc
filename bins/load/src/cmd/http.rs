//! `chervilgate-load http`

use std::time::Duration;

use bpaf::{Parser, construct, long};

use crate::{
    cmd::{Error, FailedSnafu},
    http::{ChatClient, Failure, Load, Measured, drive},
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Http {
    url: String,
    key: Option<String>,
    model: String,
    streams: usize,
    seconds: u64,
    tokens: u64,
}

pub(super) fn options() -> impl Parser<Http> {
    let url = long("url").help("Base URL of the system").argument("URL");
    let key =
        long("key").env("CHERVILGATE_KEY").help("API key of the organisation").argument("KEY");
    let key = key.optional();
    let model = long("model").help("Model to request").argument("NAME").fallback("m1".to_owned());
    let streams = long("streams").help("Concurrent requests").argument("N").fallback(10);
    let seconds = long("seconds").help("Duration of the run").argument("S").fallback(10);
    let tokens = long("tokens").help("Length of each answer, in tokens").argument("N").fallback(40);
    construct!(Http { url, key, model, streams, seconds, tokens })
}

pub(super) fn run(options: Http) -> Result<(), Error> {
    let Http { url, key, model, streams, seconds, tokens } = options;
    let failed = |message: String| FailedSnafu { message }.build();
    let client =
        ChatClient::new(&url, key, &model).map_err(|error| failed(format!("{url}: {error}")))?;
    let load = Load { streams, span: Duration::from_secs(seconds), tokens };
    let runtime = tokio::runtime::Runtime::new().map_err(|error| failed(error.to_string()))?;
    let measured = runtime.block_on(drive(&[client], load));
    print_measured(&measured);
    if measured.failures.contains_key(&Failure::Wrong) {
        return Err(failed("some answers were wrong".to_owned()));
    }
    Ok(())
}

fn print_measured(measured: &Measured) {
    let secs = measured.elapsed.as_secs_f64();
    let count = |failure| measured.failures.get(&failure).copied().unwrap_or(0);
    let millis = |micros: u64| micros as f64 / 1e3;
    println!("answers {}, {:.1}/s", measured.answers, measured.answers as f64 / secs);
    println!("tokens {}, {:.1}/s", measured.tokens, measured.tokens as f64 / secs);
    println!(
        "failed: {} broken, {} refused, {} wrong",
        count(Failure::Broken),
        count(Failure::Refused),
        count(Failure::Wrong)
    );
    for (name, histogram) in [("first token", &measured.first), ("between tokens", &measured.gaps)]
    {
        let [half, high, tail] =
            [0.5, 0.95, 0.99].map(|quantile| millis(histogram.value_at_quantile(quantile)));
        println!("{name}: p50 {half:.1} ms, p95 {high:.1} ms, p99 {tail:.1} ms");
    }
}
