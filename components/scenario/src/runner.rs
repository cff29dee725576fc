//! Runs a script in the test bed.

mod act;
mod judge;

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Guards, ReceiverId,
    target_order::zone_shard,
    view::{Digest, Snapshot},
};
use chervilgate_testbed::{
    Bed, Breach, Counts, Fact, FakeEngine, FakePlatform, History, HostId, RequestId, addr_of,
    check, record_receivers,
};

use crate::{
    node::{
        EntryNode, NodeSetting,
        message::{Call, Command, engine_shard, usage_shard, work_endpoint},
        owner::{POOL, REPORTS},
    },
    runner::act::Op,
    script::{Script, TargetKind},
    target::{FakeUsage, TargetState},
    told::{Ledger, Told},
    traffic::Traffic,
};

/// How long a usage window is open.
const WINDOW_SPAN: Duration = Duration::from_secs(20);

/// Between two reminders of what the policy wants.
const REMIND_SPAN: Duration = Duration::from_secs(3);

/// Facts shown after a failure.
const TAIL_FACTS: usize = 30;

/// What came of a run.
#[derive(Debug)]
pub struct Run {
    /// Expectations that were not met, with their lines.
    pub failures: Vec<String>,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// Calls that were made.
    pub counts: Counts,
    /// Everything that happened.
    pub history: History,
    /// Everything that operators were told.
    pub told: Vec<(Time, Told)>,
    /// Bytes that each entry sent and received.
    pub traffic: Traffic,
}

impl Run {
    /// The last facts but calls, one a line.
    pub fn tail(&self) -> String {
        let mut history = self.history.clone();
        history.entries.retain(|entry| !matches!(entry.fact, Fact::Called(_)));
        history.tail(TAIL_FACTS)
    }
}

/// A configuration that the script names.
#[derive(Debug, Clone)]
struct Config {
    objects: BTreeMap<String, Vec<u8>>,
    manifest: Digest,
}

/// A run under way.
pub(crate) struct Runner<'a> {
    script: &'a Script,
    bed: &'a mut Bed,
    hosts: BTreeMap<&'a str, HostId>,
    targets: BTreeMap<&'a str, TargetState>,
    ledger: Ledger,
    traffic: Traffic,
    configs: BTreeMap<String, Config>,
    latest: Option<String>,
    calls: BTreeMap<String, Call>,
    standing: Vec<Command>,
    numbers: u64,
}

/// Runs a script to its end.
pub fn run(script: &Script, guards: Guards) -> Run {
    let mut bed = Bed::new(script.seed);
    let mut runner = Runner::new(script, &mut bed, guards);
    runner.play();
    runner.judge()
}

impl<'a> Runner<'a> {
    pub(crate) fn new(script: &'a Script, bed: &'a mut Bed, guards: Guards) -> Runner<'a> {
        bed.spans.restart = Duration::from_secs(5);
        bed.record_writes(Box::new(record_receivers));
        let mut zones: Vec<String> = script
            .entries
            .iter()
            .map(|entry| entry.zone.clone())
            .chain(script.targets.iter().map(|target| target.zone.clone()))
            .collect();
        zones.sort();
        zones.dedup();
        let targets = add_targets(bed, script);
        add_platform(bed, &zones);
        let (ledger, traffic) = (Ledger::default(), Traffic::default());
        let setting = NodeSetting {
            seeds: (0..script.entries.len()).map(|index| addr_of(HostId(index))).collect(),
            zones,
            window: WINDOW_SPAN,
            guards,
            ledger: ledger.clone(),
        };
        let mut hosts = BTreeMap::new();
        for entry in &script.entries {
            let id = bed.add_host(&entry.zone, traffic.meter(EntryNode::factory(setting.clone())));
            hosts.insert(entry.name.as_str(), id);
        }
        Runner {
            script,
            bed,
            hosts,
            targets,
            ledger,
            traffic,
            configs: BTreeMap::new(),
            latest: None,
            calls: BTreeMap::new(),
            standing: Vec::new(),
            numbers: 0,
        }
    }

    pub(crate) fn play(&mut self) {
        let mut ops = self.plan();
        ops.retain(|(at, _)| *at <= self.script.end);
        ops.sort_by_key(|(at, _)| *at);
        for (at, op) in ops {
            self.bed.run_until(at);
            self.act(op);
        }
        self.bed.run_until(self.script.end);
    }

    fn plan(&self) -> Vec<(Time, Op)> {
        let deeds = self.script.events.iter().map(|event| (event.at, event.deed.clone()));
        let mut ops: Vec<(Time, Op)> = deeds.flat_map(|(at, deed)| act::expand(at, deed)).collect();
        let mut at = Time::ZERO + REMIND_SPAN;
        while at < self.script.end {
            ops.push((at, Op::Remind));
            at += REMIND_SPAN;
        }
        ops
    }

    fn judge(self) -> Run {
        let report = check(&self.bed.history);
        let failures = self.script.expectations.iter().filter_map(|expectation| {
            let error = self.meets(&expectation.claim).err()?;
            Some(format!("line {}: {error}", expectation.line))
        });
        Run {
            failures: failures.collect(),
            breaches: report.breaches,
            counts: self.bed.counts,
            history: self.bed.history.clone(),
            told: self.ledger.entries(),
            traffic: self.traffic.clone(),
        }
    }

    fn number_of(&self, name: &str) -> Option<RequestId> {
        self.calls.get(name).map(|call| RequestId(call.request))
    }
}

fn add_targets<'a>(bed: &mut Bed, script: &'a Script) -> BTreeMap<&'a str, TargetState> {
    let mut states = BTreeMap::new();
    for target in &script.targets {
        let state = TargetState::new(&target.name);
        bed.add_endpoint(&work_endpoint(&target.name), Box::new(state.clone()));
        states.insert(target.name.as_str(), state);
        if let TargetKind::Engine { fencing } = target.kind {
            let receiver = ReceiverId { shard: engine_shard(), name: target.name.clone() };
            bed.add_endpoint(&receiver.to_string(), Box::new(FakeEngine::new(fencing)));
        }
    }
    states
}

fn add_platform(bed: &mut Bed, zones: &[String]) {
    for zone in zones {
        let shard = zone_shard(&chervilgate_coord::Zone(zone.clone()));
        let receiver = ReceiverId { shard, name: POOL.to_owned() };
        bed.add_endpoint(&receiver.to_string(), Box::new(FakePlatform));
    }
    let receiver = ReceiverId { shard: usage_shard(), name: REPORTS.to_owned() };
    bed.add_endpoint(&receiver.to_string(), Box::new(FakeUsage));
}

fn manifest_of(objects: &BTreeMap<String, Vec<u8>>) -> Digest {
    let packed = Snapshot { objects: objects.clone() }.pack();
    packed.expect("scripts hold small objects").manifest.digest()
}
