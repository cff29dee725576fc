//! Does what a script says.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Protocol, Step,
    claim::{Scope, ScopedKey},
    encode,
};
use chervilgate_testbed::{Fact, Fault, HostState, Input, Place, StoreMode, Strike};

use crate::{
    node::message::{Call, Command, Once, key_object},
    runner::{Config, Runner, manifest_of},
    script::{Deed, Repeat, Request, TargetKind},
    told::Told,
};

/// Something to be done at a time.
#[derive(Debug)]
pub(super) enum Op {
    Deed(Deed),
    /// One of the requests of a traffic statement.
    Pulse {
        key: String,
        targets: Vec<String>,
        number: u64,
    },
    Rejoin {
        side: Vec<String>,
    },
    ReachStore {
        names: Vec<String>,
    },
    StoreUp,
    /// Says again what the policy wants.
    Remind,
}

/// Protocols by the names that scripts use.
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

/// A deed with whatever ends it.
pub(super) fn expand(at: Time, deed: Deed) -> Vec<(Time, Op)> {
    let end = match &deed {
        Deed::Split { side, span } => Some((*span, Op::Rejoin { side: side.clone() })),
        Deed::CutStore { names, span } => Some((*span, Op::ReachStore { names: names.clone() })),
        Deed::StoreDown { span } | Deed::StoreSlow { span } => Some((*span, Op::StoreUp)),
        Deed::Traffic { key, targets, period, span } => {
            return pulses(at, key, targets, *period, *span);
        }
        _ => None,
    };
    let mut ops = vec![(at, Op::Deed(deed))];
    ops.extend(end.map(|(span, op)| (at + span, op)));
    ops
}

fn pulses(
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
            (due, Op::Pulse { key, targets, number })
        })
        .collect()
}

impl Runner<'_> {
    pub(super) fn act(&mut self, op: Op) {
        match op {
            Op::Deed(deed) => self.act_deed(deed),
            Op::Pulse { key, targets, number } => self.pulse(&key, &targets, number),
            Op::Rejoin { side } => self.split(&side, false),
            Op::ReachStore { names } => self.cut_store(&names, false),
            Op::StoreUp => self.bed.set_store(StoreMode::Normal),
            Op::Remind => {
                for command in self.standing.clone() {
                    self.command_all(&command);
                }
            }
        }
    }

    fn act_deed(&mut self, deed: Deed) {
        match deed {
            Deed::Request { request, entry } => self.request(request, &entry),
            Deed::Resend { request, entry } => {
                if let Some(call) = self.calls.get(&request).cloned() {
                    self.send_call(call, &entry);
                }
            }
            Deed::Publish { config, base, sets, entry } => {
                let base = base.or_else(|| self.latest.clone());
                let mut objects = match base.as_ref().and_then(|base| self.configs.get(base)) {
                    Some(config) => config.objects.clone(),
                    None => self.key_objects(),
                };
                for (name, value) in sets {
                    objects.insert(name, value.into_bytes());
                }
                self.publish(config, base, objects, &entry);
            }
            Deed::Rollback { config, entry } => {
                let Some(earlier) = self.configs.get(&config).cloned() else {
                    return;
                };
                let present = self.accepted_last();
                self.publish(format!("{config}-again"), present, earlier.objects, &entry);
            }
            Deed::Withdraw { key, entry } => self.command(&entry, &Command::Withdraw { key }),
            Deed::Drain { target, entry } => self.command(&entry, &Command::Drain { target }),
            Deed::Role { target, role } => self.wish_role(target, role),
            Deed::Reclaim { zone } => self.reclaim(zone),
            Deed::Kill { name } => match self.hosts.get(name.as_str()) {
                Some(host) => self.bed.kill(*host, Some(self.bed.spans.restart)),
                None => self.targets[name.as_str()].crash(),
            },
            Deed::Vanish { name } => match self.hosts.get(name.as_str()) {
                Some(host) => self.bed.vanish(*host),
                None => self.targets[name.as_str()].vanish(),
            },
            Deed::Replace { name } => self.bed.replace(self.hosts[name.as_str()]),
            Deed::Pause { name, span } => self.bed.pause(self.hosts[name.as_str()], span),
            Deed::Partition { name, span } => self.bed.partition(self.hosts[name.as_str()], span),
            Deed::Split { side, .. } => self.split(&side, true),
            Deed::CutStore { names, .. } => self.cut_store(&names, true),
            Deed::StoreDown { .. } => self.bed.set_store(StoreMode::Down),
            Deed::StoreSlow { .. } => self.bed.set_store(StoreMode::Slow),
            Deed::Compact => self.bed.store.compact(),
            Deed::Stop { name } => {
                let host = self.hosts[name.as_str()];
                self.bed.set_restarts(host, false);
                self.bed.give(host, Input::Stop);
            }
            Deed::Strike { fault, step, entry } => self.strike(&fault, &step, entry.as_deref()),
            Deed::Traffic { .. } => {}
        }
    }

    fn request(&mut self, request: Request, entry: &str) {
        self.numbers += 1;
        let host = self.hosts[entry];
        let key = request.name.clone();
        let organisation = request.key.clone().unwrap_or_default();
        let once = match request.repeat {
            Repeat::Freely => None,
            Repeat::Unscoped => Some(Once::Unscoped(key)),
            Repeat::Scoped => {
                // The caller's locate answer came from this entry, lately.
                let scope = Scope { keeper: self.bed.incarnation(host), period: 0 };
                Some(Once::Scoped(ScopedKey { scope, organisation, key }))
            }
        };
        let call = Call {
            request: self.numbers,
            key: request.key,
            targets: request.targets,
            takes: request.takes,
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
        self.command(entry, &Command::Call(call));
    }

    fn pulse(&mut self, key: &str, targets: &[String], number: u64) {
        let mut targets = targets.to_vec();
        let turn = usize::try_from(number).unwrap_or(0) % targets.len().max(1);
        targets.rotate_left(turn);
        let entries: Vec<String> = self.hosts.keys().map(|name| (*name).to_owned()).collect();
        for entry in entries {
            if self.bed.state(self.hosts[entry.as_str()]) != HostState::Up {
                continue;
            }
            self.numbers += 1;
            let call = Call {
                request: self.numbers,
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
        self.numbers += 1;
        let base = base.and_then(|base| self.configs.get(&base)).map(|base| base.manifest);
        let manifest = manifest_of(&objects);
        self.configs.insert(config.clone(), Config { objects: objects.clone(), manifest });
        self.latest = Some(config.clone());
        self.command(entry, &Command::Publish { config, base, objects, id: self.numbers });
    }

    fn key_objects(&self) -> std::collections::BTreeMap<String, Vec<u8>> {
        let keys = self.script.keys.iter();
        keys.map(|key| (key_object(&key.name), key.organisation.clone().into_bytes())).collect()
    }

    fn accepted_last(&self) -> Option<String> {
        let entries = self.ledger.entries();
        let accepted = entries.iter().filter_map(|(_, told)| match told {
            Told::Accepted { config, seq } => Some((*seq, config.clone())),
            _ => None,
        });
        accepted.max().map(|(_, config)| config)
    }

    fn wish_role(&mut self, target: String, role: String) {
        self.numbers += 1;
        let kind = self.script.targets.iter().find(|known| known.name == target);
        let fencing = kind.is_some_and(|known| known.kind == TargetKind::Engine { fencing: true });
        let command = Command::Role { target, fencing, role, number: self.numbers };
        self.command_all(&command);
        self.standing.push(command);
    }

    fn reclaim(&mut self, zone: String) {
        self.numbers += 1;
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
        let command = Command::Reclaim { zone, number: self.numbers, lost };
        self.command_all(&command);
        self.standing.push(command);
    }

    fn split(&mut self, side: &[String], cut: bool) {
        let inside: Vec<_> = side.iter().map(|name| self.hosts[name.as_str()]).collect();
        for host in self.hosts.values().filter(|host| !inside.contains(host)) {
            for other in &inside {
                let (a, b) = (Place::Host(*host), Place::Host(*other));
                match cut {
                    true => self.bed.network.cut(a, b),
                    false => self.bed.network.mend(a, b),
                }
            }
        }
    }

    fn cut_store(&mut self, names: &[String], cut: bool) {
        for name in names {
            let host = Place::Host(self.hosts[name.as_str()]);
            match cut {
                true => self.bed.network.cut(host, Place::Store),
                false => self.bed.network.mend(host, Place::Store),
            }
        }
    }

    fn strike(&mut self, fault: &str, step: &str, entry: Option<&str>) {
        let fault = Fault::ALL.into_iter().find(|known| format!("{known:?}") == fault);
        let (protocol, name) = step.split_once('.').unwrap_or_default();
        let protocol = PROTOCOLS.into_iter().find(|known| format!("{known:?}") == protocol);
        let (Some(fault), Some(protocol)) = (fault, protocol) else {
            // Shows up as a strike whose step never comes.
            return;
        };
        let step = Step::new(protocol, name.to_owned().leak());
        let host = entry.map(|entry| self.hosts[entry]);
        let nth = self.bed.occurrences(step, host);
        self.bed.strike(Strike { step, nth, host, fault });
    }

    fn command(&mut self, entry: &str, command: &Command) {
        self.bed.give(self.hosts[entry], Input::Command(encode(command)));
    }

    fn command_all(&mut self, command: &Command) {
        let hosts: Vec<_> = self.hosts.values().copied().collect();
        for host in hosts {
            self.bed.give(host, Input::Command(encode(command)));
        }
    }
}
