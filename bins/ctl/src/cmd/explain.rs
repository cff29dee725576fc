//! `explain`: shows where a host would send a request now, and why.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, SendError, body::collect};
use hyper::{Request, header::HOST};
use serde_json::{Map, Value, json};
use tokio::time::timeout;

use crate::{
    options::ExplainOptions,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

/// Time allowed for the whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The terms of a cost, with their headings in the table.
const TERMS: [(&str, &str); 8] = [
    ("wait_ms", "wait"),
    ("room_ms", "room"),
    ("prefill_ms", "comp"),
    ("late_streams_ms", "late"),
    ("import_ms", "imp"),
    ("zone_ms", "zone"),
    ("failing_ms", "fail"),
    ("doubt_ms", "doubt"),
];

/// Names of the stages in the answer, with their titles.
const STAGES: [(&str, &str); 3] = [
    ("whole", "targets for the whole request"),
    ("prefill", "engines that compute the prompt only"),
    ("decode", "engines that generate only"),
];

pub(super) async fn run(options: &ExplainOptions) -> Result<Output, Failure> {
    let question = question(options)?;
    let result = timeout(ANSWER_TIMEOUT, ask(options.host, &question)).await;
    let answer = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let answer = answer.map_err(|problem| {
        let problem = format!("{} {problem}", options.host);
        Failure::new(problem, "check the names, and the address on which the host serves metrics")
    })?;
    Ok(Output::done(describe(&answer), answer))
}

fn question(options: &ExplainOptions) -> Result<Value, Failure> {
    let mut parts = Vec::new();
    let named = options.parts.iter().flat_map(|parts| parts.split(','));
    for part in named {
        let part = part.trim();
        let fields = part.split_once(':');
        let fields = fields.and_then(|(id, tokens)| Some((id, tokens.parse::<u32>().ok()?)));
        let Some((id, tokens)) = fields else {
            let problem = format!("part {part:?} of the prompt is not ID:TOKENS");
            return Err(Failure::new(problem, "name parts such as 1f:300,2a:100"));
        };
        parts.push(json!({ "id": id, "tokens": tokens }));
    }
    let fields = [
        ("route", json!(options.route)),
        ("service", json!(options.service)),
        ("organisation", json!(options.organisation)),
        ("prompt_tokens", json!(options.tokens)),
        ("max_output", json!(options.output)),
        ("parts", json!(parts)),
        ("time_limit_ms", json!(options.time_limit)),
    ];
    Ok(fields
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect::<Map<_, _>>()
        .into())
}

async fn ask(addr: SocketAddr, question: &Value) -> Result<Value, String> {
    let request = Request::post("/explain").header(HOST, addr.to_string());
    let request = request.body(Bytes::from(question.to_string()));
    let request = request.map_err(|error| error.to_string())?;
    let response = HttpPool::new().send(addr, request).await.map_err(|error| match error {
        SendError::NotSent { reason, .. } => reason,
        SendError::Unanswered { source, .. } => source.to_string(),
        unwanted @ SendError::Unwanted { .. } => unwanted.to_string(),
    })?;
    let status = response.status();
    let body = collect(response.into_body(), MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    if !status.is_success() {
        return Err(format!("answered {status}: {}", String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|error| format!("unexpected answer: {error}"))
}

fn describe(answer: &Value) -> WrappedText {
    let mut text = WrappedText::default();
    text.push_line(format!(
        "{} of {}, priority {}, by {} with configuration {}",
        word(&answer["route"]),
        word(&answer["service"]),
        answer["priority"],
        word(&answer["host"]),
        answer["config_version"],
    ));
    text.push_line(outcome(answer));
    if let Some(quota) = answer["quota"].as_object() {
        text.push_line(format!(
            "quota: {} {}/s, burst {}; this counts {}, held here {}: {}",
            number(&quota["rate_per_s"]),
            word(&quota["unit"]),
            number(&quota["burst"]),
            number(&quota["count"]),
            number(&quota["held"]),
            word(&quota["outcome"]),
        ));
    }
    let costs = &answer["costs"];
    for (stage, title) in STAGES {
        push_stage(&mut text, &costs[stage], title);
    }
    if let Some(split) = costs["split"].as_object() {
        let sum: f64 = split.values().filter_map(Value::as_f64).sum();
        let terms = ["prefill_ms", "transfer_ms", "detour_ms", "room_ms"];
        let terms =
            terms.map(|term| format!("{} {}", term.trim_end_matches("_ms"), number(&split[term])));
        text.push_line(format!("prompt apart: {sum:.1} = {}", terms.join(" + ")));
    }
    for held in costs["held"].as_array().into_iter().flatten() {
        let wait = held["wait_ms"].as_u64().map(|wait| format!(" for {wait} ms"));
        let wait = wait.unwrap_or_default();
        text.push_line(format!(
            "not sent to: {} {}{wait}",
            word(&held["target"]),
            word(&held["reason"])
        ));
    }
    push_more(&mut text, &costs["more_held"]);
    text
}

fn outcome(answer: &Value) -> String {
    match answer["outcome"].as_str() {
        Some("send") => {
            let prefill = answer["prefill_target"].as_str();
            let prefill = prefill.map(|id| format!(", prompt at {id}")).unwrap_or_default();
            let first = number(&answer["first_event_ms"]);
            format!("SEND to {}{prefill}; first event in {first} ms", word(&answer["target"]))
        }
        Some("wait") => {
            let queue = &answer["queue"];
            format!("WAIT behind {}, predicted {} ms", queue["ahead"], number(&queue["wait_ms"]))
        }
        _ => {
            let refusal = &answer["refusal"];
            let ahead = refusal["ahead"].as_u64().map(|ahead| format!(", {ahead} ahead"));
            let back = refusal["retry_after_ms"].as_f64();
            let back = back.map(|span| format!("; return after {span:.0} ms"));
            format!(
                "REFUSE: {} ({}){}{}",
                word(&refusal["reason"]),
                refusal["status"],
                ahead.unwrap_or_default(),
                back.unwrap_or_default(),
            )
        }
    }
}

/// Appends a table with a line for each target; terms that are zero for all have no column.
fn push_stage(text: &mut WrappedText, stage: &Value, title: &str) {
    let Some(best) = stage["best"].as_array().filter(|best| !best.is_empty()) else { return };
    let used = TERMS.iter().filter(|(term, _)| {
        best.iter().any(|candidate| candidate["terms"][term].as_f64().is_some_and(|ms| ms != 0.0))
    });
    let used: Vec<&(&str, &str)> = used.collect();
    let headings: String = used.iter().map(|(_, heading)| format!(" {heading:>6}")).collect();
    text.push_line(format!("{title}, cost in ms:"));
    text.push_line(format!("  {:<12} {:>7}{headings}", "target", "cost"));
    for candidate in best {
        let terms =
            used.iter().map(|(term, _)| format!(" {:>6}", number(&candidate["terms"][term])));
        let terms: String = terms.collect();
        let full = candidate["has_capacity"] == json!(false);
        let full = if full { " full" } else { "" };
        let (target, cost) = (word(&candidate["target"]), number(&candidate["cost_ms"]));
        text.push_line(format!("  {target:<12} {cost:>7}{terms}{full}"));
    }
    push_more(text, &stage["more"]);
}

fn push_more(text: &mut WrappedText, more: &Value) {
    if let Some(more) = more.as_u64().filter(|more| *more > 0) {
        text.push_line(format!("  and {more} more"));
    }
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn number(value: &Value) -> String {
    value.as_f64().map_or("?".to_owned(), |number| format!("{number:.1}"))
}
