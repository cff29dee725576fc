//! Applies a script's events to the test bed.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Protocol, Step,
    claim::{Scope, ScopedKey},
    encode,
};
use chervilgate_testbed::{Fact, Fault, FaultInjection, HostState, Input, Place, StoreMode};

use crate::{
    node::message::{Call, Command, OnceKey, key_object},
    operator_log::OperatorEvent,
    runner::{Config, Runner, manifest_of},
    script::{EventKind, RepeatPolicy, Request, TargetKind},
};

/// An operation scheduled by the runner.
#[derive(Debug)]
pub(super) enum Op {
    Event(EventKind),
    /// One round of requests of a `traffic` event, one for each entry.
    TrafficRequest {
        key: String,
        targets: Vec<String>,
        number: u64,
    },
    HealSplit {
        side: Vec<String>,
    },
    HealStoreCut {
        names: Vec<String>,
    },
    RestoreStore,
    /// Sends the role and reclaim commands again.
    SendPeriodic,
}

/// Protocols that `strike` events can name, by their `Debug` output.
const PROTOCOLS: [Protocol; 12] = [
    Protocol::Session,
    Protocol::Shard,
    Protocol::Takeover,
    Protocol::Order,
    Protocol::Target,
    Protocol::Publication,
    Protocol::Withdrawal,
    Protocol::View,
    Protocol::Membership,
    Protocol::Drain,
    Protocol::Claim,
    Protocol::Window,
];

/// Schedules an event together with the operation that ends it, if any.
pub(super) fn expand_event(at: Time, kind: EventKind) -> Vec<(Time, Op)> {
    let end = match &kind {
        EventKind::Split { side, duration } => {
            Some((*duration, Op::HealSplit { side: side.clone() }))
        }
        EventKind::CutStore { names, duration } => {
            Some((*duration, Op::HealStoreCut { names: names.clone() }))
        }
        EventKind::StoreDown { duration } | EventKind::StoreSlow { duration } => {
            Some((*duration, Op::RestoreStore))
        }
        EventKind::Traffic { key, targets, period, duration } => {
            return traffic_requests(at, key, targets, *period, *duration);
        }
        _ => None,
    };
    let mut ops = vec![(at, Op::Event(kind))];
    ops.extend(end.map(|(duration, op)| (at + duration, op)));
    ops
}

fn traffic_requests(
    at: Time,
    key: &str,
    targets: &[String],
    period: Duration,
    span: Duration,
) -> Vec<(Time, Op)> {
    let count = span.as_micros() / period.as_micros().max(1);
    (0..u64::try_from(count).unwrap_or(0))
        .map(|number| {
            let due = at + period * u32::try_from(number).unwrap_or(u32::MAX);
            let (key, targets) = (key.to_owned(), targets.to_vec());
            (due, Op::TrafficRequest { key, targets, number })
        })
        .collect()
}

impl Runner<'_> {
    pub(super) fn apply(&mut self, op: Op) {
        match op {
            Op::Event(kind) => self.apply_event(kind),
            Op::TrafficRequest { key, targets, number } => {
                self.send_traffic(&key, &targets, number)
            }
            Op::HealSplit { side } => self.split(&side, false),
            Op::HealStoreCut { names } => self.cut_store(&names, false),
            Op::RestoreStore => self.bed.set_store(StoreMode::Normal),
            Op::SendPeriodic => {
                for command in self.periodic.clone() {
                    self.broadcast(&command);
                }
            }
        }
    }

    fn apply_event(&mut self, kind: EventKind) {
        match kind {
            EventKind::Request { request, entry } => self.send_request(request, &entry),
            EventKind::Resend { request, entry } => {
                if let Some(call) = self.calls.get(&request).cloned() {
                    self.send_call(call, &entry);
                }
            }
            EventKind::Publish { config, base, sets, entry } => {
                let base = base.or_else(|| self.last_published.clone());
                let mut objects = match base.as_ref().and_then(|base| self.configs.get(base)) {
                    Some(config) => config.objects.clone(),
                    None => self.key_objects(),
                };
                for (name, value) in sets {
                    objects.insert(name, value.into_bytes());
                }
                self.publish(config, base, objects, &entry);
            }
            EventKind::Rollback { config, entry } => {
                let Some(earlier) = self.configs.get(&config).cloned() else {
                    return;
                };
                let present = self.newest_accepted();
                self.publish(format!("{config}-again"), present, earlier.objects, &entry);
            }
            EventKind::Withdraw { key, entry } => {
                self.send_command(&entry, &Command::Withdraw { key })
            }
            EventKind::Drain { target, entry } => {
                self.send_command(&entry, &Command::Drain { target })
            }
            EventKind::Role { target, role } => self.set_role(target, role),
            EventKind::Reclaim { zone } => self.reclaim(zone),
            EventKind::Kill { name } => match self.hosts.get(name.as_str()) {
                Some(host) => self.bed.kill(*host, Some(self.bed.fault_durations.restart)),
                None => self.targets[name.as_str()].crash(),
            },
            EventKind::Vanish { name } => match self.hosts.get(name.as_str()) {
                Some(host) => self.bed.lose_host(*host),
                None => self.targets[name.as_str()].vanish(),
            },
            EventKind::Replace { name } => self.bed.restart_host(self.hosts[name.as_str()]),
            EventKind::Pause { name, duration } => {
                self.bed.pause(self.hosts[name.as_str()], duration)
            }
            EventKind::Partition { name, duration } => {
                self.bed.partition(self.hosts[name.as_str()], duration)
            }
            EventKind::Split { side, .. } => self.split(&side, true),
            EventKind::CutStore { names, .. } => self.cut_store(&names, true),
            EventKind::StoreDown { .. } => self.bed.set_store(StoreMode::Down),
            EventKind::StoreSlow { .. } => self.bed.set_store(StoreMode::Slow),
            EventKind::Compact => self.bed.store.compact(),
            EventKind::Stop { name } => {
                let host = self.hosts[name.as_str()];
                self.bed.set_restarts(host, false);
                self.bed.send_input(host, Input::Stop);
            }
            EventKind::InjectFault { fault, step, entry } => {
                self.inject_fault(&fault, &step, entry.as_deref())
            }
            EventKind::Traffic { .. } => {}
        }
    }

    fn send_request(&mut self, request: Request, entry: &str) {
        self.last_number += 1;
        let host = self.hosts[entry];
        let key = request.name.clone();
        let organisation = request.key.clone().unwrap_or_default();
        let once = match request.repeat {
            RepeatPolicy::Unlimited => None,
            RepeatPolicy::Unscoped => Some(OnceKey::Unscoped(key)),
            RepeatPolicy::Scoped => {
                // As if the caller had just received a locate answer from this entry.
                let scope = Scope { keeper: self.bed.incarnation(host), period: 0 };
                Some(OnceKey::Scoped(ScopedKey { scope, organisation, key }))
            }
        };
        let call = Call {
            request: self.last_number,
            key: request.key,
            targets: request.targets,
            takes: request.run_time,
            once,
        };
        self.calls.insert(request.name, call.clone());
        self.send_call(call, entry);
    }

    fn send_call(&mut self, call: Call, entry: &str) {
        let owner = |name: &String| {
            let key = self.script.keys.iter().find(|key| key.name == *name);
            key.map(|key| key.organisation.clone())
        };
        let fact = Fact::Requested {
            request: chervilgate_testbed::RequestId(call.request),
            organisation: call.key.as_ref().and_then(owner),
            repeatable: call.once.is_none(),
        };
        self.bed.history.add(self.bed.now(), fact);
        self.send_command(entry, &Command::Call(call));
    }

    fn send_traffic(&mut self, key: &str, targets: &[String], number: u64) {
        let mut targets = targets.to_vec();
        let offset = usize::try_from(number).unwrap_or(0) % targets.len().max(1);
        targets.rotate_left(offset);
        let entries: Vec<String> = self.hosts.keys().map(|name| (*name).to_owned()).collect();
        for entry in entries {
            if self.bed.state(self.hosts[entry.as_str()]) != HostState::Up {
                continue;
            }
            self.last_number += 1;
            let call = Call {
                request: self.last_number,
                key: Some(key.to_owned()),
                targets: targets.clone(),
                takes: Duration::from_millis(100),
                once: None,
            };
            self.send_call(call, &entry);
        }
    }

    fn publish(
        &mut self,
        config: String,
        base: Option<String>,
        objects: std::collections::BTreeMap<String, Vec<u8>>,
        entry: &str,
    ) {
        self.last_number += 1;
        let base = base.and_then(|base| self.configs.get(&base)).map(|base| base.manifest);
        let manifest = manifest_of(&objects);
        self.configs.insert(config.clone(), Config { objects: objects.clone(), manifest });
        self.last_published = Some(config.clone());
        self.send_command(entry, &Command::Publish { config, base, objects, id: self.last_number });
    }

    fn key_objects(&self) -> std::collections::BTreeMap<String, Vec<u8>> {
        let keys = self.script.keys.iter();
        keys.map(|key| (key_object(&key.name), key.organisation.clone().into_bytes())).collect()
    }

    fn newest_accepted(&self) -> Option<String> {
        let entries = self.operator_log.entries();
        let accepted = entries.iter().filter_map(|(_, event)| match event {
            OperatorEvent::Accepted { config, seq } => Some((*seq, config.clone())),
            _ => None,
        });
        accepted.max().map(|(_, config)| config)
    }

    fn set_role(&mut self, target: String, role: String) {
        self.last_number += 1;
        let kind = self.script.targets.iter().find(|known| known.name == target);
        let fencing = kind.is_some_and(|known| known.kind == TargetKind::Engine { fencing: true });
        let command = Command::Role { target, fencing, role, number: self.last_number };
        self.broadcast(&command);
        self.periodic.push(command);
    }

    fn reclaim(&mut self, zone: String) {
        self.last_number += 1;
        let lost: Vec<&str> = self
            .script
            .targets
            .iter()
            .filter(|target| target.zone == zone)
            .map(|target| target.name.as_str())
            .collect();
        for name in &lost {
            self.targets[name].vanish();
        }
        let lost = u32::try_from(lost.len()).unwrap_or(u32::MAX);
        let command = Command::Reclaim { zone, number: self.last_number, lost };
        self.broadcast(&command);
        self.periodic.push(command);
    }

    fn split(&mut self, side: &[String], cut: bool) {
        let inside: Vec<_> = side.iter().map(|name| self.hosts[name.as_str()]).collect();
        for host in self.hosts.values().filter(|host| !inside.contains(host)) {
            for other in &inside {
                let (a, b) = (Place::Host(*host), Place::Host(*other));
                match cut {
                    true => self.bed.network.cut(a, b),
                    false => self.bed.network.restore(a, b),
                }
            }
        }
    }

    fn cut_store(&mut self, names: &[String], cut: bool) {
        for name in names {
            let host = Place::Host(self.hosts[name.as_str()]);
            match cut {
                true => self.bed.network.cut(host, Place::Store),
                false => self.bed.network.restore(host, Place::Store),
            }
        }
    }

    fn inject_fault(&mut self, fault: &str, step: &str, entry: Option<&str>) {
        let fault = Fault::ALL.into_iter().find(|known| format!("{known:?}") == fault);
        let (protocol, name) = step.split_once('.').unwrap_or_default();
        let protocol = PROTOCOLS.into_iter().find(|known| format!("{known:?}") == protocol);
        let (Some(fault), Some(protocol)) = (fault, protocol) else {
            // No fault is injected for an unknown fault or protocol name.
            return;
        };
        let step = Step::new(protocol, name.to_owned().leak());
        let host = entry.map(|entry| self.hosts[entry]);
        let nth = self.bed.step_count(step, host);
        self.bed.inject_fault(FaultInjection { step, nth, host, fault });
    }

    fn send_command(&mut self, entry: &str, command: &Command) {
        self.bed.send_input(self.hosts[entry], Input::Command(encode(command)));
    }

    fn broadcast(&mut self, command: &Command) {
        let hosts: Vec<_> = self.hosts.values().copied().collect();
        for host in hosts {
            self.bed.send_input(host, Input::Command(encode(command)));
        }
    }
}
