//! Control traffic of complete nodes in virtual time, without callers.

use std::{collections::BTreeMap, net::SocketAddr};

use chervilgate_coord::Guards;
use chervilgate_scenario::{Run, parse, run};

use super::{Point, Slope};

/// Numbers of nodes at which traffic is measured.
const SIZES: [usize; 5] = [9, 30, 60, 90, 150];
/// Number of nodes at the design size.
const DESIGN: usize = 330;
/// Start of the measurement, in virtual seconds; startup traffic before it is left out.
const START: u64 = 30;
/// End of the measurement, in virtual seconds.
const END: u64 = 50;

/// Traffic at one number of nodes; all rates are per second.
#[derive(Debug, Clone, Copy)]
struct Sample {
    nodes: usize,
    mean: f64,
    worst: f64,
    messages: f64,
    reads: f64,
    writes: f64,
}

/// Measures traffic by the number of nodes.
pub(super) fn slopes(whole: bool) -> Vec<Slope> {
    let mut sizes = SIZES.to_vec();
    if whole {
        sizes.push(DESIGN);
    }
    let samples: Vec<Sample> = sizes.into_iter().map(sample).collect();
    let slope = |name, value: fn(&Sample) -> f64| Slope {
        name,
        by: "nodes",
        points: samples.iter().map(|sample| point(sample, value)).collect(),
        design: DESIGN as f64,
    };
    vec![
        slope("control bytes/s a node, mean", |sample| sample.mean),
        slope("control bytes/s, worst node", |sample| sample.worst),
        slope("control messages/s a node", |sample| sample.messages),
        slope("platform reads/s, all nodes", |sample| sample.reads),
        slope("platform writes/s, all nodes", |sample| sample.writes),
    ]
}

fn point(sample: &Sample, value: fn(&Sample) -> f64) -> Point {
    Point { size: sample.nodes as f64, value: value(sample) }
}

fn sample(nodes: usize) -> Sample {
    let before = play(nodes, START);
    let after = play(nodes, END);
    let span = (END - START) as f64;
    let (early, late) = (by_node(&before), by_node(&after));
    let rates: Vec<f64> = late
        .iter()
        .map(|(addr, spent)| {
            let earlier = early.get(addr).copied().unwrap_or_default();
            (spent.bytes - earlier.bytes) / span
        })
        .collect();
    let messages = |spent: &BTreeMap<SocketAddr, Spending>| {
        spent.values().map(|spent| spent.messages).sum::<f64>()
    };
    let count = nodes as f64;
    Sample {
        nodes,
        mean: rates.iter().sum::<f64>() / count,
        worst: rates.iter().copied().fold(0.0, f64::max),
        messages: (messages(&late) - messages(&early)) / span / count,
        reads: (after.counts.reads - before.counts.reads) as f64 / span,
        writes: (after.counts.writes - before.counts.writes) as f64 / span,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Spending {
    messages: f64,
    bytes: f64,
}

fn by_node(run: &Run) -> BTreeMap<SocketAddr, Spending> {
    let spent = run.traffic.by_entry().into_iter();
    let spending =
        |messages: u64, bytes: u64| Spending { messages: messages as f64, bytes: bytes as f64 };
    spent.map(|(addr, spent)| (addr, spending(spent.messages, spent.bytes))).collect()
}

fn play(nodes: usize, end: u64) -> Run {
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
