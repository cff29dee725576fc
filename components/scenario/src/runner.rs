//! Runs a script in the test bed and checks its expectations.

mod apply;
mod verify;

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Guards, ReceiverId,
    target_order::zone_shard,
    view::{Digest, Snapshot},
};
use chervilgate_testbed::{
    Fact, FakeEngine, FakePlatform, History, HostId, RequestId, Testbed, TrafficCounts, Violation,
    addr_of, check, receiver_fact,
};

use crate::{
    node::{
        EntryNode, NodeSettings,
        message::{Call, Command, engine_shard, target_endpoint, usage_shard},
        owner::{POOL, USAGE_RECEIVER},
    },
    operator_log::{OperatorEvent, OperatorLog},
    runner::apply::Op,
    script::{Script, TargetKind},
    target::{FakeUsageReceiver, TargetState},
    traffic::ControlTraffic,
};

/// Length of a usage window.
const WINDOW_LENGTH: Duration = Duration::from_secs(20);

/// Interval at which all entries receive the role and reclaim commands again.
const PERIODIC_INTERVAL: Duration = Duration::from_secs(3);

/// Number of history facts shown after a failure.
const TAIL_FACTS: usize = 30;

/// The result of a run.
#[derive(Debug)]
pub struct Run {
    /// Unmet expectations, with their line numbers.
    pub failures: Vec<String>,
    /// Violations found by the test bed's invariant checker.
    pub violations: Vec<Violation>,
    /// Numbers of calls, by kind.
    pub call_counts: TrafficCounts,
    /// Full history of the run.
    pub history: History,
    /// Events reported to operators, with their times.
    pub operator_events: Vec<(Time, OperatorEvent)>,
    /// Control traffic of each entry.
    pub traffic: ControlTraffic,
}

impl Run {
    /// Formats the last facts of the history, one per line, leaving out calls.
    pub fn tail(&self) -> String {
        let mut history = self.history.clone();
        history.entries.retain(|entry| !matches!(entry.fact, Fact::Called(_)));
        history.tail(TAIL_FACTS)
    }
}

/// A configuration published by the script.
#[derive(Debug, Clone)]
struct Config {
    objects: BTreeMap<String, Vec<u8>>,
    manifest: Digest,
}

/// State of a run.
pub(crate) struct Runner<'a> {
    script: &'a Script,
    bed: &'a mut Testbed,
    hosts: BTreeMap<&'a str, HostId>,
    targets: BTreeMap<&'a str, TargetState>,
    operator_log: OperatorLog,
    traffic: ControlTraffic,
    configs: BTreeMap<String, Config>,
    last_published: Option<String>,
    calls: BTreeMap<String, Call>,
    periodic: Vec<Command>,
    last_number: u64,
}

/// Runs a script to its end; `guards` can switch off protections to test the checker.
pub fn run(script: &Script, guards: Guards) -> Run {
    let mut bed = Testbed::new(script.seed);
    let mut runner = Runner::new(script, &mut bed, guards);
    runner.run_to_end();
    runner.evaluate()
}

impl<'a> Runner<'a> {
    pub(crate) fn new(script: &'a Script, bed: &'a mut Testbed, guards: Guards) -> Runner<'a> {
        bed.fault_durations.restart = Duration::from_secs(5);
        bed.record_writes(Box::new(receiver_fact));
        let mut zones: Vec<String> = script
            .entries
            .iter()
            .map(|entry| entry.zone.clone())
            .chain(script.targets.iter().map(|target| target.zone.clone()))
            .collect();
        zones.sort();
        zones.dedup();
        let targets = add_targets(bed, script);
        add_receivers(bed, &zones);
        let (operator_log, traffic) = (OperatorLog::default(), ControlTraffic::default());
        let settings = NodeSettings {
            seeds: (0..script.entries.len()).map(|index| addr_of(HostId(index))).collect(),
            zones,
            window: WINDOW_LENGTH,
            guards,
            operator_log: operator_log.clone(),
        };
        let mut hosts = BTreeMap::new();
        for entry in &script.entries {
            let id = bed.add_host(&entry.zone, traffic.wrap(EntryNode::factory(settings.clone())));
            hosts.insert(entry.name.as_str(), id);
        }
        Runner {
            script,
            bed,
            hosts,
            targets,
            operator_log,
            traffic,
            configs: BTreeMap::new(),
            last_published: None,
            calls: BTreeMap::new(),
            periodic: Vec::new(),
            last_number: 0,
        }
    }

    pub(crate) fn run_to_end(&mut self) {
        let mut ops = self.plan();
        ops.retain(|(at, _)| *at <= self.script.end);
        ops.sort_by_key(|(at, _)| *at);
        for (at, op) in ops {
            self.bed.run_until(at);
            self.apply(op);
        }
        self.bed.run_until(self.script.end);
    }

    fn plan(&self) -> Vec<(Time, Op)> {
        let timed_events = self.script.events.iter().map(|event| (event.at, event.kind.clone()));
        let mut ops: Vec<(Time, Op)> =
            timed_events.flat_map(|(at, kind)| apply::expand_event(at, kind)).collect();
        let mut at = Time::ZERO + PERIODIC_INTERVAL;
        while at < self.script.end {
            ops.push((at, Op::SendPeriodic));
            at += PERIODIC_INTERVAL;
        }
        ops
    }

    fn evaluate(self) -> Run {
        let report = check(&self.bed.history);
        let failures = self.script.expectations.iter().filter_map(|expectation| {
            let error = self.check_condition(&expectation.condition).err()?;
            Some(format!("line {}: {error}", expectation.line))
        });
        Run {
            failures: failures.collect(),
            violations: report.violations,
            call_counts: self.bed.counts,
            history: self.bed.history.clone(),
            operator_events: self.operator_log.entries(),
            traffic: self.traffic.clone(),
        }
    }

    fn request_id(&self, name: &str) -> Option<RequestId> {
        self.calls.get(name).map(|call| RequestId(call.request))
    }
}

fn add_targets<'a>(bed: &mut Testbed, script: &'a Script) -> BTreeMap<&'a str, TargetState> {
    let mut states = BTreeMap::new();
    for target in &script.targets {
        let state = TargetState::new(&target.name);
        bed.add_endpoint(&target_endpoint(&target.name), Box::new(state.clone()));
        states.insert(target.name.as_str(), state);
        if let TargetKind::Engine { fencing } = target.kind {
            let receiver = ReceiverId { shard: engine_shard(), name: target.name.clone() };
            bed.add_endpoint(&receiver.to_string(), Box::new(FakeEngine::new(fencing)));
        }
    }
    states
}

fn add_receivers(bed: &mut Testbed, zones: &[String]) {
    for zone in zones {
        let shard = zone_shard(&chervilgate_coord::Zone(zone.clone()));
        let receiver = ReceiverId { shard, name: POOL.to_owned() };
        bed.add_endpoint(&receiver.to_string(), Box::new(FakePlatform));
    }
    let receiver = ReceiverId { shard: usage_shard(), name: USAGE_RECEIVER.to_owned() };
    bed.add_endpoint(&receiver.to_string(), Box::new(FakeUsageReceiver));
}

fn manifest_of(objects: &BTreeMap<String, Vec<u8>>) -> Digest {
    let packed = Snapshot { objects: objects.clone() }.pack();
    packed.expect("the objects of scripts are small enough to pack").manifest.digest()
}
