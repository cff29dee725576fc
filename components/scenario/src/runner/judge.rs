//! Compares a history with what a script expects.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use chervilgate_coord::{OrderReply, Version};
use chervilgate_testbed::{Entry, Fact, HostState, Outcome, RequestId};

use crate::{
    node::message::engine_shard,
    runner::Runner,
    script::{Claim, Ending},
    told::Told,
};

impl Runner<'_> {
    /// Whether a claim holds; otherwise what was found instead.
    pub(super) fn meets(&self, claim: &Claim) -> Result<(), String> {
        match claim {
            Claim::Ran { request, times } => {
                let found = self.runs(request);
                expect(found == *times, || format!("{request} ran {found} times, not {times}"))
            }
            Claim::Ended { request, ending } => {
                let found = self.ending(request);
                expect(found == *ending, || format!("{request} ended {found:?}, not {ending:?}"))
            }
            Claim::Accepted { config, by } => {
                let at = self.accepted(config);
                within(&format!("{config} accepted"), at, *by, None)
            }
            Claim::Unaccepted { config } => {
                let at = self.accepted(config);
                expect(at.is_none(), || format!("{config} was accepted at {at:?}"))
            }
            Claim::Conflict { config, objects } => self.conflicts(config, objects),
            Claim::InForce { config } => self.in_force(config),
            Claim::Withdrawn { key, by, after } => {
                let at = self.withdrawn(key);
                within(&format!("{key} withdrawn"), at, *by, *after)
            }
            Claim::NotWithdrawn { key } => {
                let at = self.withdrawn(key);
                expect(at.is_none(), || format!("{key} was withdrawn at {at:?}"))
            }
            Claim::Refused { key, from } => {
                let late = self.dispatches(key, *from, Time::NEVER);
                expect(late == 0, || format!("{key} served {late} times from {from}"))
            }
            Claim::Served { key, from, to } => {
                let found = self.dispatches(key, *from, *to);
                expect(found > 0, || format!("{key} not served from {from} until {to}"))
            }
            Claim::Stopped { target, by, after } => {
                let at = self.stopped(target);
                within(&format!("{target} stopped"), at, *by, *after)
            }
            Claim::NotStopped { target } => {
                let at = self.stopped(target);
                expect(at.is_none(), || format!("{target} was stopped at {at:?}"))
            }
            Claim::Role { target, role } => {
                let found = self.role(target);
                let met = found.as_deref() == Some(role.as_str());
                expect(met, || format!("{target} is in role {found:?}, not {role}"))
            }
            Claim::Ordered { zone, times } => {
                let found = self.orders(zone);
                expect(found == *times, || format!("{zone} ordered {found} times, not {times}"))
            }
            Claim::Reported { windows } => {
                let found = self.windows();
                expect(found >= *windows, || format!("{found} windows reported, not {windows}"))
            }
            Claim::Billed { missing } => self.billed(*missing),
            Claim::Struck => {
                let pending = self.bed.pending_strikes();
                expect(pending.is_empty(), || format!("not met: {}", pending[0]))
            }
        }
    }

    fn facts(&self) -> impl Iterator<Item = (Time, &Fact)> {
        self.bed.history.entries.iter().map(|entry| (entry.at, &entry.fact))
    }

    fn runs(&self, name: &str) -> usize {
        let number = self.number_of(name);
        let ran =
            |fact: &Fact| matches!(fact, Fact::Ran { request, .. } if Some(*request) == number);
        self.facts().filter(|(_, fact)| ran(fact)).count()
    }

    fn ending(&self, name: &str) -> Ending {
        let number = self.number_of(name);
        let ending = |fact: &Fact| match fact {
            Fact::Answered { request, .. } if Some(*request) == number => Some(Ending::Answered),
            Fact::Refused { request, outcome } if Some(*request) == number => match outcome {
                Outcome::NotRun => Some(Ending::NotRun),
                Outcome::Unknown => Some(Ending::Unknown),
            },
            _ => None,
        };
        self.facts().filter_map(|(_, fact)| ending(fact)).last().unwrap_or(Ending::Silence)
    }

    fn told<T>(&self, pick: impl Fn(&Told) -> Option<T>) -> Option<(Time, T)> {
        let entries = self.ledger.entries();
        entries.iter().find_map(|(at, told)| pick(told).map(|found| (*at, found)))
    }

    fn accepted(&self, config: &str) -> Option<Time> {
        let pick = |told: &Told| match told {
            Told::Accepted { config: name, .. } if name == config => Some(()),
            _ => None,
        };
        self.told(pick).map(|(at, ())| at)
    }

    fn withdrawn(&self, key: &str) -> Option<Time> {
        let pick = |told: &Told| match told {
            Told::Withdrawn { key: name } if name == key => Some(()),
            _ => None,
        };
        self.told(pick).map(|(at, ())| at)
    }

    fn conflicts(&self, config: &str, objects: &[String]) -> Result<(), String> {
        let pick = |told: &Told| match told {
            Told::Conflict { config: name, objects } if name == config => Some(objects.clone()),
            _ => None,
        };
        let found = self.told(pick).map(|(_, objects)| objects);
        let met = found.as_deref() == Some(objects);
        expect(met, || format!("{config} conflicts on {found:?}, not {objects:?}"))
    }

    fn in_force(&self, config: &str) -> Result<(), String> {
        let pick = |told: &Told| match told {
            Told::Accepted { config: name, seq } if name == config => Some(Version(seq.0)),
            _ => None,
        };
        let Some((_, seq)) = self.told(pick) else {
            return Err(format!("{config} was not accepted"));
        };
        for (name, host) in &self.hosts {
            if self.bed.state(*host) != HostState::Up {
                continue;
            }
            let process = Some(self.bed.incarnation(*host));
            let of = |entry: &&Entry| entry.process == process;
            let adopted = |entry: &Entry| match entry.fact {
                Fact::Adopted { config } => Some(config),
                _ => None,
            };
            let held = self.bed.history.entries.iter().filter(of).filter_map(adopted).next_back();
            if held < Some(seq) {
                return Err(format!("{name} holds {held:?}, not {seq:?}"));
            }
        }
        Ok(())
    }

    fn dispatches(&self, key: &str, from: Time, to: Time) -> usize {
        let served =
            |fact: &Fact| matches!(fact, Fact::Dispatched { key: Some(name), .. } if name == key);
        self.facts().filter(|(at, fact)| *at >= from && *at < to && served(fact)).count()
    }

    fn stopped(&self, target: &str) -> Option<Time> {
        let stops = |fact: &Fact| matches!(fact, Fact::Stopped { name, .. } if name == target);
        self.facts().find(|(_, fact)| stops(fact)).map(|(at, _)| at)
    }

    fn role(&self, target: &str) -> Option<String> {
        let taken = |fact: &Fact| match fact {
            Fact::Received { order, reply: OrderReply::Done, .. }
                if order.id.receiver.shard == engine_shard()
                    && order.id.receiver.name == target =>
            {
                Some(String::from_utf8_lossy(&order.body).into_owned())
            }
            _ => None,
        };
        self.facts().filter_map(|(_, fact)| taken(fact)).last()
    }

    fn orders(&self, zone: &str) -> usize {
        let shard =
            chervilgate_coord::target_order::zone_shard(&chervilgate_coord::Zone(zone.to_owned()));
        let ids: BTreeSet<_> = self
            .facts()
            .filter_map(|(_, fact)| match fact {
                Fact::TargetOrdered { order } if order.id.receiver.shard == shard => {
                    Some(order.id.clone())
                }
                _ => None,
            })
            .collect();
        ids.len()
    }

    fn windows(&self) -> usize {
        let names: BTreeSet<&String> = self
            .facts()
            .filter_map(|(_, fact)| match fact {
                Fact::Reported { window, .. } => Some(window),
                _ => None,
            })
            .collect();
        names.len()
    }

    fn billed(&self, missing: usize) -> Result<(), String> {
        let entries = self.ledger.entries();
        let windows: BTreeMap<u64, u64> = entries
            .iter()
            .filter_map(|(_, told)| match told {
                Told::Billed { window, requests } => Some((*window, *requests)),
                _ => None,
            })
            .collect();
        let billed: u64 = windows.values().sum();
        let answered: BTreeSet<RequestId> = self
            .facts()
            .filter_map(|(_, fact)| match fact {
                Fact::Answered { request, .. } => Some(*request),
                _ => None,
            })
            .collect();
        let answered = answered.len() as u64;
        let met = billed <= answered && answered - billed <= missing as u64;
        expect(met, || format!("{billed} of {answered} answered requests billed"))
    }
}

fn within(
    what: &str,
    at: Option<Time>,
    by: Option<Time>,
    after: Option<Time>,
) -> Result<(), String> {
    let Some(at) = at else {
        return Err(format!("{what} never"));
    };
    expect(by.is_none_or(|by| at <= by), || format!("{what} at {at}, after {by:?}"))?;
    expect(after.is_none_or(|after| at >= after), || format!("{what} at {at}, before {after:?}"))
}

fn expect(met: bool, found: impl FnOnce() -> String) -> Result<(), String> {
    if met { Ok(()) } else { Err(found()) }
}
