//! Measures the figures quoted in the design documents on views, claims and windows.
//!
//!     cargo run --release -p chervilgate-scenario --example figures -- views
//!     cargo run --release -p chervilgate-scenario --example figures -- traffic
//!     cargo run --release -p chervilgate-scenario --example figures -- usage
//!     cargo run --release -p chervilgate-scenario --example figures -- claims

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use chervilgate_coord::{Guards, Version};
use chervilgate_scenario::{OperatorEvent, Run, parse, run};
use chervilgate_testbed::{Fact, Outcome};

/// Number of seeds that each figure is measured with.
const SEED_COUNT: u64 = 10;

/// Virtual time of the operators' commands.
const OPERATION_TIME: Time = Time::from_secs(60);

/// Header bytes of a message between entries: IP, UDP and QUIC with its
/// authentication tag.
const PEER_HEADERS: f64 = 60.0;

/// Header bytes of a store call and its reply together.
const STORE_HEADERS: f64 = 300.0;

/// Length of the traffic measurement, in seconds.
const TRAFFIC_SECONDS: f64 = 30.0;

/// Steps that send a message to another entry.
const PEER_STEPS: [&str; 6] = [
    "View.beat",
    "View.spread root",
    "View.push root",
    "View.want blobs",
    "View.send blobs",
    "View.spread withdrawn",
];

/// Label, script lines and isolated entries of each fault; faults begin before
/// the operators' commands.
const FAULTS: [(&str, &str, &[usize]); 9] = [
    ("none", "", &[]),
    ("store slow for 20s", "at 59s store slow for 20s", &[]),
    ("store down from 59s to 69s", "at 59s store down for 10s", &[]),
    ("zone a cut from store", "at 50s cut e1 e2 e3 from store for 60s", &[]),
    ("zones a, b cut from store", "at 50s cut e1 e2 e3 e4 e5 e6 from store for 60s", &[]),
    ("one entry paused", "at 59s pause e4 for 20s", &[4]),
    ("two entries killed", "at 59s kill e4\nat 59s kill e7", &[]),
    ("zone a killed", "at 59s kill e1\nat 59s kill e2\nat 59s kill e3", &[]),
    ("one entry partitioned", "at 59900ms partition e4 for 30s", &[4]),
];

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("views") => print_views(),
        Some("traffic") => print_traffic(),
        Some("usage") => print_usage(),
        Some("claims") => print_claims(),
        _ => eprintln!("usage: figures views|traffic|usage|claims"),
    }
}

fn run_script(script: &str) -> Run {
    let script = match parse("figures", script) {
        Ok(script) => script,
        Err(error) => panic!("{error}"),
    };
    let finished = run(&script, Guards::default());
    for violation in &finished.violations {
        println!("broken: {violation}");
    }
    finished
}

fn script_text(seed: u64, entries: usize, body: &str) -> String {
    let mut text = format!("scenario \"figures\"\nseed {seed}\n");
    for index in 1..=entries {
        let zone = if entries > 9 { index % 6 } else { (index - 1) / 3 };
        text += &format!("entries e{index} in z{zone}\n");
    }
    text += "service p1 in z0\nservice p2 in z1\nkey office of office\n";
    text += "at 15s publish c1 through e1 setting portal=1\n";
    text + body + "\nexpect config c1 accepted\nend at 150s\n"
}

fn median_and_max(values: &[f64]) -> String {
    let highest = values.iter().copied().fold(f64::NAN, f64::max);
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.get(sorted.len() / 2) {
        Some(median) => format!("{median:6.2} {highest:6.2}"),
        None => "     -      -".to_owned(),
    }
}

fn print_views() {
    println!("nine entries, {SEED_COUNT} seeds; seconds, median and worst");
    println!("key: last dispatch under it; config: in force on every entry that can be reached");
    println!(
        "{:28} {:>13} {:>13} {:>13} {:>13} {:>13}",
        "fault", "key accepted", "key, request", "key, accepted", "conf accepted", "conf, request"
    );
    for (name, fault, isolated) in FAULTS {
        let (mut accepted, mut since_request, mut since_accepted) = (vec![], vec![], vec![]);
        let (mut published, mut in_force) = (vec![], vec![]);
        for seed in 1..=SEED_COUNT {
            let body = format!(
                "{fault}\nat 20s traffic with office on p1 p2 every 100ms for 120s\n\
                 at 60s withdraw office through e9\nat 60s publish c2 from c1 through e8 setting a=1"
            );
            let finished = run_script(&script_text(seed, 9, &body));
            let event_time = |pick: &dyn Fn(&OperatorEvent) -> bool| {
                finished.operator_events.iter().find(|(_, event)| pick(event)).map(|(at, _)| *at)
            };
            let key = event_time(&|event| matches!(event, OperatorEvent::Withdrawn { .. }));
            let last = last_dispatch(&finished).unwrap_or(OPERATION_TIME);
            accepted.extend(key.map(|at| (at - OPERATION_TIME).as_secs_f64()));
            since_request.push((last - OPERATION_TIME).as_secs_f64());
            since_accepted.extend(key.map(|at| (last - at).as_secs_f64()));
            let config_accepted = event_time(
                &|event| matches!(event, OperatorEvent::Accepted { config, .. } if config == "c2"),
            );
            published.extend(config_accepted.map(|at| (at - OPERATION_TIME).as_secs_f64()));
            in_force.extend(
                in_force_at(&finished, isolated).map(|at| (at - OPERATION_TIME).as_secs_f64()),
            );
        }
        println!(
            "{name:28} {} {} {} {} {}",
            median_and_max(&accepted),
            median_and_max(&since_request),
            median_and_max(&since_accepted),
            median_and_max(&published),
            median_and_max(&in_force)
        );
    }
}

fn last_dispatch(finished: &Run) -> Option<Time> {
    let entries = finished.history.entries.iter().rev();
    let mut dispatched = entries.filter(|entry| matches!(entry.fact, Fact::Dispatched { .. }));
    dispatched.next().map(|entry| entry.at)
}

/// Time at which the last reachable entry adopted the second configuration.
fn in_force_at(finished: &Run, isolated: &[usize]) -> Option<Time> {
    let seq = finished.operator_events.iter().find_map(|(_, event)| match event {
        OperatorEvent::Accepted { config, seq } if config == "c2" => {
            Some(Version::first_era(seq.0))
        }
        _ => None,
    })?;
    let mut first = BTreeMap::new();
    for entry in &finished.history.entries {
        let (Some(host), Fact::Adopted { config }) = (entry.host, &entry.fact) else {
            continue;
        };
        if *config >= seq && !isolated.contains(&(host.0 + 1)) {
            first.entry(host).or_insert(entry.at);
        }
    }
    first.into_values().max()
}

fn print_traffic() {
    println!("control bytes a second, content and with headers, from 30 s to 60 s, no callers");
    println!(
        "{:>5} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8}",
        "nodes", "state", "mean", "worst", "mean+hdr", "worst+hdr", "reads/s", "writes/s"
    );
    for nodes in [9, 30, 90, 330] {
        for (state, fault) in [("platform", ""), ("outage", "at 25s store down for 110s")] {
            // Subtracting a run that ends at 30 s leaves out the start-up traffic.
            let text = script_text(1, nodes, fault);
            let whole = run_script(&text.replace("end at 150s", "end at 60s"));
            let start = run_script(&text.replace("end at 150s", "end at 30s"));
            print_totals(nodes, state, &whole, &start);
        }
    }
}

fn print_totals(nodes: usize, state: &str, whole: &Run, start: &Run) {
    let span = TRAFFIC_SECONDS;
    let before = start.traffic.by_step();
    let mut sums = BTreeMap::<_, (f64, f64)>::new();
    let mut steps = BTreeMap::<String, f64>::new();
    for ((addr, name), totals) in whole.traffic.by_step() {
        let earlier = before.get(&(addr, name.clone())).copied().unwrap_or_default();
        let bytes = (totals.bytes - earlier.bytes) as f64 / span;
        let messages = (totals.messages - earlier.messages) as f64 / span;
        let peer = name.contains("peers") || PEER_STEPS.contains(&name.as_str());
        let headers = if peer { PEER_HEADERS } else { STORE_HEADERS / 2.0 };
        let sum = sums.entry(addr).or_default();
        sum.0 += bytes;
        sum.1 += bytes + messages * headers;
        *steps.entry(name).or_default() += bytes / nodes as f64;
    }
    let payload: Vec<f64> = sums.values().map(|sum| sum.0).collect();
    let with_headers: Vec<f64> = sums.values().map(|sum| sum.1).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let highest = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let rate = |whole: u64, start: u64| (whole - start) as f64 / span;
    println!(
        "{nodes:5} {state:>9} {:8.0} {:8.0} {:9.0} {:9.0} {:8.1} {:8.1}",
        mean(&payload),
        highest(&payload),
        mean(&with_headers),
        highest(&with_headers),
        rate(whole.call_counts.reads, start.call_counts.reads),
        rate(whole.call_counts.writes, start.call_counts.writes)
    );
    let mut steps: Vec<(String, f64)> = steps.into_iter().collect();
    steps.sort_by(|a, b| b.1.total_cmp(&a.1));
    for (name, bytes) in steps.iter().take(6) {
        println!("        {name:24} {bytes:8.1} bytes/s a node");
    }
}

fn print_usage() {
    println!(
        "one entry vanishes at 60 s; requests answered and never billed, of {SEED_COUNT} seeds"
    );
    let mut lost = Vec::new();
    let mut answered = 0;
    for seed in 1..=SEED_COUNT {
        let body = "at 20s traffic with office on p1 p2 every 50ms for 60s\nat 60s vanish e4";
        let text = script_text(seed, 9, body).replace("end at 150s", "end at 400s");
        let finished = run_script(&text);
        let (all, billed) = usage_totals(&finished);
        answered = all;
        lost.push(all as f64 - billed as f64);
    }
    println!("requests a run: {answered}; 20 a second at each entry");
    println!("never billed, median and worst: {}", median_and_max(&lost));
}

fn usage_totals(finished: &Run) -> (u64, u64) {
    let answered: BTreeSet<u64> = finished
        .history
        .entries
        .iter()
        .filter_map(|entry| match entry.fact {
            Fact::Answered { request, .. } => Some(request.0),
            _ => None,
        })
        .collect();
    let windows: BTreeMap<u64, u64> = finished
        .operator_events
        .iter()
        .filter_map(|(_, event)| match event {
            OperatorEvent::Billed { window, requests } => Some((*window, *requests)),
            _ => None,
        })
        .collect();
    (answered.len() as u64, windows.values().sum())
}

fn print_claims() {
    println!("200 requests that may not be repeated, each resent once through another entry");
    println!("{:34} {:>9} {:>8} {:>8}", "fault, and how named", "answered", "not run", "unknown");
    let cases = [
        ("none, scoped", "scoped", ""),
        ("none, unscoped", "unscoped", ""),
        ("one entry killed, scoped", "scoped", "at 70s kill e4"),
        ("one entry stopped, scoped", "scoped", "at 70s stop e4"),
        ("store down for 60s, scoped", "scoped", "at 62s store down for 60s"),
        ("store down for 60s, unscoped", "unscoped", "at 62s store down for 60s"),
        ("one entry paused 30s, scoped", "scoped", "at 70s pause e4 for 30s"),
    ];
    for (name, kind, fault) in cases {
        let mut body = format!("{fault}\n");
        for index in 0..200 {
            let (first, second) = (index % 9 + 1, (index + 4) % 9 + 1);
            let at = 60_000 + index * 100;
            let resent_at = at + 20_000;
            body += &format!(
                "at {at}ms request r{index} with office through e{first} on p1 p2 taking 200ms \
                 once {kind}\nat {resent_at}ms resend r{index} through e{second}\n"
            );
        }
        let finished = run_script(&script_text(1, 9, &body));
        let (mut answered, mut not_run, mut unknown) = (0, 0, 0);
        let resent_at = Time::from_secs(80);
        for entry in finished.history.entries.iter().filter(|entry| entry.at >= resent_at) {
            match entry.fact {
                Fact::Answered { .. } => answered += 1,
                Fact::Refused { outcome: Outcome::NotRun, .. } => not_run += 1,
                Fact::Refused { outcome: Outcome::Unknown, .. } => unknown += 1,
                _ => {}
            }
        }
        println!("{name:34} {answered:9} {not_run:8} {unknown:8}");
    }
}
