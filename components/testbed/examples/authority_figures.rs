//! Prints the figures of docs/design/authority.md.
//!
//! Everything runs in virtual time from fixed seeds, so all figures but the processor
//! time are reproducible.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::{Duration, Instant},
};

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Protocol, ReceiverId, ShardId, Step};
use chervilgate_testbed::{
    Fact, Fault, FaultInjection, HostId, HostState, Input, OwnersSetting, StoreMode, Testbed,
    build_owners, check,
};

const SEND: Step = Step::new(Protocol::Order, "send");

/// Runs for each distribution.
const RUNS: u64 = 100;

/// Earliest time of the fault.
const START: Duration = Duration::from_secs(20);

/// Longest time that a shard is observed without an owner; also the result if none
/// takes over.
const MAX_GAP: Duration = Duration::from_secs(120);

fn main() {
    let part = env::args().nth(1);
    let selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if selected("ownerless") {
        print_ownerless();
    }
    if selected("calls") {
        print_calls();
    }
    if selected("frozen") {
        print_frozen();
    }
}

fn print_ownerless() {
    println!("seconds without an owner ({RUNS} runs each): median, 99 in 100, most");
    let kill: fn(&mut Testbed, HostId) = |bed, host| bed.kill(host, Some(Duration::from_secs(30)));
    let pause: fn(&mut Testbed, HostId) = |bed, host| bed.pause(host, Duration::from_secs(60));
    let cut: fn(&mut Testbed, HostId) = |bed, host| bed.partition(host, Duration::from_secs(60));
    let stop: fn(&mut Testbed, HostId) = |bed, host| bed.send_input(host, Input::Stop);
    let vanish: fn(&mut Testbed, HostId) = |bed, host| bed.lose_host(host);
    print_gaps("owner killed", kill);
    print_gaps("owner's host vanished", vanish);
    print_gaps("owner paused for 60 s", pause);
    print_gaps("owner partitioned for 60 s", cut);
    print_gaps("planned stop", stop);
    print_gaps("store down for 60 s, after its return", |bed, _| {
        bed.set_store(StoreMode::Down);
        bed.run_for(Duration::from_secs(60));
        bed.set_store(StoreMode::Normal);
    });
    print_gaps("store down for 60 s and owner killed, after its return", |bed, host| {
        bed.set_store(StoreMode::Down);
        bed.kill(host, Some(Duration::from_secs(100)));
        bed.run_for(Duration::from_secs(60));
        bed.set_store(StoreMode::Normal);
    });
}

fn print_gaps(name: &str, inject: fn(&mut Testbed, HostId)) {
    let mut gaps: Vec<Duration> = (0..RUNS).map(|seed| gap(seed, inject)).collect();
    gaps.sort();
    let at = |share: f64| gaps[((gaps.len() - 1) as f64 * share) as usize].as_secs_f64();
    println!("  {name}: {:.2} {:.2} {:.2}", at(0.5), at(0.99), at(1.0));
}

/// Time from the fault until a process owns the shard again.
///
/// The rest of a paused owner's lease counts as time without an owner.
fn gap(seed: u64, inject: fn(&mut Testbed, HostId)) -> Duration {
    let mut bed = build_owners(&OwnersSetting { seed, hosts: 9, ..OwnersSetting::default() });
    let shard = ShardId("engines-0".to_owned());
    bed.run_until(Time::ZERO + START + Duration::from_millis(seed * 37 % 3_000));
    let Some((host, _)) = holder(&bed, &shard) else {
        return MAX_GAP;
    };
    inject(&mut bed, host);
    let since = bed.now();
    bed.run_for(MAX_GAP);
    let held = bed.history.entries.iter().find(|entry| {
        let holds = matches!(&entry.fact, Fact::Holds { shard: held, .. } if *held == shard);
        holds && entry.at > since
    });
    held.map_or(MAX_GAP, |entry| entry.at - since)
}

fn holder(bed: &Testbed, shard: &ShardId) -> Option<(HostId, Incarnation)> {
    bed.history.entries.iter().rev().find_map(|entry| match &entry.fact {
        Fact::Holds { shard: held, .. } if held == shard => Some((entry.host?, entry.process?)),
        _ => None,
    })
}

fn print_calls() {
    println!("state machines: reads/s, writes/s, bytes/s a node and its share of a core");
    for hosts in [9, 30, 90, 330] {
        print_calls_of(hosts);
    }
}

fn print_calls_of(hosts: usize) {
    let setting = OwnersSetting {
        hosts,
        engine_shards: 18,
        zone_shards: 6,
        order_period: Duration::from_secs(60),
        ..OwnersSetting::default()
    };
    let mut bed = build_owners(&setting);
    bed.run_until(Time::from_secs(30));
    let before = bed.counts;
    let began = Instant::now();
    let span = 30.0;
    bed.run_for(Duration::from_secs_f64(span));
    let spent = began.elapsed().as_secs_f64();
    let rate = |after: u64, before: u64| (after - before) as f64 / span;
    let reads = rate(bed.counts.reads, before.reads);
    let writes = rate(bed.counts.writes, before.writes);
    let bytes = rate(bed.counts.bytes, before.bytes);
    let nodes = hosts as f64;
    println!(
        "  {hosts}: {reads:.0}/s, {writes:.0}/s; a node {:.2} reads/s, {:.2} writes/s, {:.0} B/s, {:.2}% of a core (bed included)",
        reads / nodes,
        writes / nodes,
        bytes / nodes,
        spent / span / nodes * 100.0,
    );
}

fn print_frozen() {
    print_frozen_anytime("killed at any moment", |bed, host| {
        bed.kill(host, Some(Duration::from_secs(25)));
    });
    print_frozen_anytime("paused for 40 s at any moment", |bed, host| {
        bed.pause(host, Duration::from_secs(40));
    });
    println!("owner lost at the moment of a send:");
    println!("receivers frozen per thousand takeovers, and for how long (s: median, most):");
    let faults = [
        ("killed, restarted after 25 s", Fault::KilledAfter),
        ("vanished for good", Fault::Vanished),
        ("paused for 60 s", Fault::PausedBefore),
        ("partitioned for 60 s", Fault::Partitioned),
    ];
    for (name, fault) in faults {
        for trust_list in [false, true] {
            print_frozen_by(name, fault, trust_list);
        }
    }
}

/// Faults at times spread evenly over the 1.5 s between orders, for owners of three
/// receivers.
fn print_frozen_anytime(name: &str, inject: fn(&mut Testbed, HostId)) {
    let runs = 1_500;
    let mut frozen = 0;
    let mut takeovers = 0;
    for seed in 0..runs {
        let mut bed = build_owners(&OwnersSetting { seed, ..OwnersSetting::default() });
        bed.run_until(Time::from_secs(9) + Duration::from_millis(seed));
        let Some((host, _)) = holder(&bed, &ShardId("engines-0".to_owned())) else {
            continue;
        };
        inject(&mut bed, host);
        bed.run_for(Duration::from_secs(20));
        takeovers += 1;
        frozen += frozen_spans(&bed).len();
    }
    let rate = frozen as f64 / takeovers as f64 * 1_000.0;
    println!("{name}: {rate:.0} receivers frozen per thousand takeovers ({takeovers} runs)");
}

fn print_frozen_by(name: &str, fault: Fault, trust_list: bool) {
    let mut takeovers = 0;
    let mut frozen = BTreeSet::new();
    let mut spans = Vec::new();
    let mut unresolved = 0;
    for seed in 0..RUNS {
        let bed = frozen_run(seed, fault, trust_list);
        assert!(check(&bed.history).violations.is_empty(), "a promise was broken");
        takeovers += 1;
        let found = frozen_spans(&bed);
        frozen.extend(found.keys().map(|receiver| (seed, receiver.clone())));
        unresolved += found.values().filter(|span| span.is_none()).count();
        spans.extend(found.values().flatten().copied());
    }
    spans.sort();
    let median = spans.get(spans.len() / 2).map_or(0.0, Duration::as_secs_f64);
    let most = spans.last().map_or(0.0, Duration::as_secs_f64);
    let rate = frozen.len() as f64 / f64::from(takeovers) * 1_000.0;
    println!(
        "  {name}, delisting {}: {rate:.0} ({median:.1}, {most:.1}), for good {unresolved}",
        if trust_list { "trusted" } else { "not trusted" },
    );
}

/// Injects one fault at the send of an order, which is the worst moment.
fn frozen_run(seed: u64, fault: Fault, trust_list: bool) -> Testbed {
    let setting = OwnersSetting { seed, hosts: 9, trust_list, ..OwnersSetting::default() };
    let mut bed = build_owners(&setting);
    bed.fault_durations.pause = Duration::from_secs(60);
    bed.fault_durations.partition = Duration::from_secs(60);
    let nth = 12 + (seed % 6) as usize;
    bed.inject_fault(FaultInjection { step: SEND, nth, host: None, fault });
    let all: Vec<_> = bed.hosts().map(|host| bed.addr(host)).collect();
    for tick in 1..15 {
        bed.run_until(Time::from_secs(tick * 10));
        let listed: Vec<_> = bed
            .hosts()
            .filter(|host| bed.state(*host) != HostState::Lost || bed.now() < Time::from_secs(60))
            .map(|host| all[host.0])
            .collect();
        for host in bed.hosts() {
            bed.send_input(host, Input::Hosts(listed.clone()));
        }
    }
    bed
}

/// How long each receiver was frozen; `None` if it still is at the end.
fn frozen_spans(bed: &Testbed) -> BTreeMap<ReceiverId, Option<Duration>> {
    let mut since: BTreeMap<ReceiverId, Time> = BTreeMap::new();
    let mut spans = BTreeMap::new();
    for entry in &bed.history.entries {
        match &entry.fact {
            Fact::Frozen { receiver, .. } => {
                since.entry(receiver.clone()).or_insert(entry.at);
                spans.insert(receiver.clone(), None);
            }
            Fact::Thawed { receiver } => {
                let began = since.get(receiver).copied().unwrap_or(entry.at);
                spans.insert(receiver.clone(), Some(entry.at - began));
            }
            _ => {}
        }
    }
    spans
}
