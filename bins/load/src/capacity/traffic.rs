//! Control traffic of complete nodes in virtual time, without callers.

use std::{collections::BTreeMap, net::SocketAddr};

use chervilgate_coord::Guards;
use chervilgate_scenario::{Run, parse, run};

use super::{Point, Series};

/// Numbers of nodes at which traffic is measured.
const NODE_COUNTS: [usize; 5] = [9, 30, 60, 90, 150];
/// Number of nodes at the design size.
const DESIGN_NODES: usize = 330;
/// Start of the measurement, in virtual seconds; startup traffic before it is left out.
const START_SECS: u64 = 30;
/// End of the measurement, in virtual seconds.
const END_SECS: u64 = 50;

/// Traffic at one number of nodes; all rates are per second.
#[derive(Debug, Clone, Copy)]
struct TrafficSample {
    nodes: usize,
    mean_bytes: f64,
    worst_bytes: f64,
    messages: f64,
    reads: f64,
    writes: f64,
}

/// Measures traffic by the number of nodes.
pub(super) fn measure_series(whole: bool) -> Vec<Series> {
    let mut sizes = NODE_COUNTS.to_vec();
    if whole {
        sizes.push(DESIGN_NODES);
    }
    let samples: Vec<TrafficSample> = sizes.into_iter().map(measure_traffic).collect();
    let series = |name, value: fn(&TrafficSample) -> f64| Series {
        name,
        size_name: "nodes",
        points: samples.iter().map(|sample| point(sample, value)).collect(),
        design_size: DESIGN_NODES as f64,
    };
    vec![
        series("control bytes/s a node, mean", |sample| sample.mean_bytes),
        series("control bytes/s, worst node", |sample| sample.worst_bytes),
        series("control messages/s a node", |sample| sample.messages),
        series("platform reads/s, all nodes", |sample| sample.reads),
        series("platform writes/s, all nodes", |sample| sample.writes),
    ]
}

fn point(sample: &TrafficSample, value: fn(&TrafficSample) -> f64) -> Point {
    Point { size: sample.nodes as f64, value: value(sample) }
}

fn measure_traffic(nodes: usize) -> TrafficSample {
    let before = run_nodes(nodes, START_SECS);
    let after = run_nodes(nodes, END_SECS);
    let span = (END_SECS - START_SECS) as f64;
    let (traffic_before, traffic_after) = (traffic_by_node(&before), traffic_by_node(&after));
    let rates: Vec<f64> = traffic_after
        .iter()
        .map(|(addr, traffic)| {
            let earlier = traffic_before.get(addr).copied().unwrap_or_default();
            (traffic.bytes - earlier.bytes) / span
        })
        .collect();
    let messages = |traffic: &BTreeMap<SocketAddr, NodeTraffic>| {
        traffic.values().map(|traffic| traffic.messages).sum::<f64>()
    };
    let count = nodes as f64;
    TrafficSample {
        nodes,
        mean_bytes: rates.iter().sum::<f64>() / count,
        worst_bytes: rates.iter().copied().fold(0.0, f64::max),
        messages: (messages(&traffic_after) - messages(&traffic_before)) / span / count,
        reads: (after.call_counts.reads - before.call_counts.reads) as f64 / span,
        writes: (after.call_counts.writes - before.call_counts.writes) as f64 / span,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeTraffic {
    messages: f64,
    bytes: f64,
}

fn traffic_by_node(run: &Run) -> BTreeMap<SocketAddr, NodeTraffic> {
    let entries = run.traffic.by_entry().into_iter();
    let to_node_traffic =
        |messages: u64, bytes: u64| NodeTraffic { messages: messages as f64, bytes: bytes as f64 };
    entries.map(|(addr, total)| (addr, to_node_traffic(total.messages, total.bytes))).collect()
}

fn run_nodes(nodes: usize, end: u64) -> Run {
    let mut text = "scenario \"capacity\"\nseed 1\n".to_owned();
    for index in 1..=nodes {
        text += &format!("entries e{index} in z{}\n", index % 6);
    }
    text += "service p1 in z0\nservice p2 in z1\nkey office of office\n";
    text += "at 15s publish c1 through e1 setting portal=1\n";
    text += &format!("expect config c1 accepted\nend at {end}s\n");
    let script = parse("capacity", &text).expect("the script is well formed");
    run(&script, Guards::default())
}
