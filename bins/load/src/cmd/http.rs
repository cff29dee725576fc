//! `chervilgate-load http`

use std::time::Duration;

use bpaf::{Parser, construct, long};

use crate::{
    cmd::{Error, FailedSnafu},
    http::{ChatClient, Failure, LoadResults, LoadSpec, drive},
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct HttpOptions {
    url: String,
    key: Option<String>,
    model: String,
    streams: usize,
    seconds: u64,
    tokens: u64,
}

pub(super) fn options() -> impl Parser<HttpOptions> {
    let url = long("url").help("Base URL of the system").argument("URL");
    let key =
        long("key").env("CHERVILGATE_KEY").help("API key of the organisation").argument("KEY");
    let key = key.optional();
    let model = long("model").help("Model to request").argument("NAME").fallback("m1".to_owned());
    let streams = long("streams").help("Concurrent requests").argument("N").fallback(10);
    let seconds = long("seconds").help("Duration of the run").argument("S").fallback(10);
    let tokens = long("tokens").help("Length of each answer, in tokens").argument("N").fallback(40);
    construct!(HttpOptions { url, key, model, streams, seconds, tokens })
}

pub(super) fn run(options: HttpOptions) -> Result<(), Error> {
    let HttpOptions { url, key, model, streams, seconds, tokens } = options;
    let failed = |message: String| FailedSnafu { message }.build();
    let client =
        ChatClient::new(&url, key, &model).map_err(|error| failed(format!("{url}: {error}")))?;
    let load = LoadSpec { streams, span: Duration::from_secs(seconds), tokens };
    let runtime = tokio::runtime::Runtime::new().map_err(|error| failed(error.to_string()))?;
    let results = runtime.block_on(drive(&[client], load));
    print_results(&results);
    if results.failures.contains_key(&Failure::Wrong) {
        return Err(failed("some answers were wrong".to_owned()));
    }
    Ok(())
}

fn print_results(results: &LoadResults) {
    let secs = results.elapsed.as_secs_f64();
    let count = |failure| results.failures.get(&failure).copied().unwrap_or(0);
    let millis = |micros: u64| micros as f64 / 1e3;
    println!("answers {}, {:.1}/s", results.answers, results.answers as f64 / secs);
    println!("tokens {}, {:.1}/s", results.tokens, results.tokens as f64 / secs);
    println!(
        "failed: {} broken, {} refused, {} wrong",
        count(Failure::Broken),
        count(Failure::Refused),
        count(Failure::Wrong)
    );
    for (name, histogram) in
        [("first token", &results.first_token), ("between tokens", &results.gaps)]
    {
        let [p50, p95, p99] =
            [0.5, 0.95, 0.99].map(|quantile| millis(histogram.value_at_quantile(quantile)));
        println!("{name}: p50 {p50:.1} ms, p95 {p95:.1} ms, p99 {p99:.1} ms");
    }
}
