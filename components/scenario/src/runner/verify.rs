//! Checks a script's expectations against the history.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;
use chervilgate_coord::{OrderReply, Version};
use chervilgate_testbed::{Entry, Fact, HostState, Outcome, RequestId};

use crate::{
    node::message::engine_shard,
    operator_log::OperatorEvent,
    runner::Runner,
    script::{Condition, RequestOutcome},
};

impl Runner<'_> {
    /// Checks a condition; the error says what was found instead.
    pub(super) fn check_condition(&self, condition: &Condition) -> Result<(), String> {
        match condition {
            Condition::Ran { request, times } => {
                let found = self.run_count(request);
                check(found == *times, || {
                    format!("request {request} ran {found} times, expected {times}")
                })
            }
            Condition::Ended { request, outcome } => {
                let found = self.last_outcome(request);
                check(found == *outcome, || {
                    format!("request {request} ended as {found:?}, expected {outcome:?}")
                })
            }
            Condition::Accepted { config, by } => {
                let at = self.accepted_at(config);
                check_time(&format!("configuration {config} accepted"), at, *by, None)
            }
            Condition::Unaccepted { config } => {
                let at = self.accepted_at(config);
                check(at.is_none(), || format!("configuration {config} was accepted at {at:?}"))
            }
            Condition::Conflict { config, objects } => self.check_conflict(config, objects),
            Condition::InForce { config } => self.check_in_force(config),
            Condition::Withdrawn { key, by, after } => {
                let at = self.withdrawn_at(key);
                check_time(&format!("key {key} withdrawn"), at, *by, *after)
            }
            Condition::NotWithdrawn { key } => {
                let at = self.withdrawn_at(key);
                check(at.is_none(), || format!("key {key} was withdrawn at {at:?}"))
            }
            Condition::Refused { key, from } => {
                let late = self.dispatch_count(key, *from, Time::NEVER);
                check(late == 0, || {
                    format!(
                        "{late} requests with key {key} dispatched from {from} on, expected none"
                    )
                })
            }
            Condition::Served { key, from, to } => {
                let found = self.dispatch_count(key, *from, *to);
                check(found > 0, || {
                    format!("no request with key {key} dispatched from {from} until {to}")
                })
            }
            Condition::Stopped { target, by, after } => {
                let at = self.stopped_at(target);
                check_time(&format!("target {target} stopped"), at, *by, *after)
            }
            Condition::NotStopped { target } => {
                let at = self.stopped_at(target);
                check(at.is_none(), || format!("target {target} was stopped at {at:?}"))
            }
            Condition::Role { target, role } => {
                let found = self.role(target);
                let met = found.as_deref() == Some(role.as_str());
                check(met, || format!("engine {target} has role {found:?}, expected {role}"))
            }
            Condition::Ordered { zone, times } => {
                let found = self.order_count(zone);
                check(found == *times, || {
                    format!("{found} target orders for zone {zone}, expected {times}")
                })
            }
            Condition::Reported { windows } => {
                let found = self.window_count();
                check(found >= *windows, || {
                    format!("{found} usage windows reported, expected at least {windows}")
                })
            }
            Condition::Billed { missing } => self.check_billed(*missing),
            Condition::AllFaultsInjected => {
                let pending = self.bed.pending_faults();
                check(pending.is_empty(), || {
                    format!("fault not injected, its step did not occur: {}", pending[0])
                })
            }
        }
    }

    fn facts(&self) -> impl Iterator<Item = (Time, &Fact)> {
        self.bed.history.entries.iter().map(|entry| (entry.at, &entry.fact))
    }

    fn run_count(&self, name: &str) -> usize {
        let number = self.request_id(name);
        let ran =
            |fact: &Fact| matches!(fact, Fact::Ran { request, .. } if Some(*request) == number);
        self.facts().filter(|(_, fact)| ran(fact)).count()
    }

    fn last_outcome(&self, name: &str) -> RequestOutcome {
        let number = self.request_id(name);
        let outcome_in = |fact: &Fact| match fact {
            Fact::Answered { request, .. } if Some(*request) == number => {
                Some(RequestOutcome::Answered)
            }
            Fact::Refused { request, outcome } if Some(*request) == number => match outcome {
                Outcome::NotRun => Some(RequestOutcome::NotRun),
                Outcome::Unknown => Some(RequestOutcome::Unknown),
            },
            _ => None,
        };
        self.facts()
            .filter_map(|(_, fact)| outcome_in(fact))
            .last()
            .unwrap_or(RequestOutcome::NoResponse)
    }

    fn find_event<T>(&self, pick: impl Fn(&OperatorEvent) -> Option<T>) -> Option<(Time, T)> {
        let entries = self.operator_log.entries();
        entries.iter().find_map(|(at, event)| pick(event).map(|found| (*at, found)))
    }

    fn accepted_at(&self, config: &str) -> Option<Time> {
        let pick = |event: &OperatorEvent| match event {
            OperatorEvent::Accepted { config: name, .. } if name == config => Some(()),
            _ => None,
        };
        self.find_event(pick).map(|(at, ())| at)
    }

    fn withdrawn_at(&self, key: &str) -> Option<Time> {
        let pick = |event: &OperatorEvent| match event {
            OperatorEvent::Withdrawn { key: name } if name == key => Some(()),
            _ => None,
        };
        self.find_event(pick).map(|(at, ())| at)
    }

    fn check_conflict(&self, config: &str, objects: &[String]) -> Result<(), String> {
        let pick = |event: &OperatorEvent| match event {
            OperatorEvent::Conflict { config: name, objects } if name == config => {
                Some(objects.clone())
            }
            _ => None,
        };
        let found = self.find_event(pick).map(|(_, objects)| objects);
        let met = found.as_deref() == Some(objects);
        check(met, || {
            format!("configuration {config} conflicts on objects {found:?}, expected {objects:?}")
        })
    }

    fn check_in_force(&self, config: &str) -> Result<(), String> {
        let pick = |event: &OperatorEvent| match event {
            OperatorEvent::Accepted { config: name, seq } if name == config => {
                Some(Version::first_era(seq.0))
            }
            _ => None,
        };
        let Some((_, seq)) = self.find_event(pick) else {
            return Err(format!("configuration {config} was not accepted"));
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
                return Err(format!(
                    "entry {name} has adopted {held:?}, expected at least {seq:?}"
                ));
            }
        }
        Ok(())
    }

    fn dispatch_count(&self, key: &str, from: Time, to: Time) -> usize {
        let served =
            |fact: &Fact| matches!(fact, Fact::Dispatched { key: Some(name), .. } if name == key);
        self.facts().filter(|(at, fact)| *at >= from && *at < to && served(fact)).count()
    }

    fn stopped_at(&self, target: &str) -> Option<Time> {
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

    fn order_count(&self, zone: &str) -> usize {
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

    fn window_count(&self) -> usize {
        let names: BTreeSet<&String> = self
            .facts()
            .filter_map(|(_, fact)| match fact {
                Fact::Reported { window, .. } => Some(window),
                _ => None,
            })
            .collect();
        names.len()
    }

    fn check_billed(&self, missing: usize) -> Result<(), String> {
        let entries = self.operator_log.entries();
        let windows: BTreeMap<u64, u64> = entries
            .iter()
            .filter_map(|(_, event)| match event {
                OperatorEvent::Billed { window, requests } => Some((*window, *requests)),
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
        check(met, || {
            format!(
                "{billed} of {answered} answered requests billed, expected at most {missing} fewer"
            )
        })
    }
}

fn check_time(
    what: &str,
    at: Option<Time>,
    by: Option<Time>,
    after: Option<Time>,
) -> Result<(), String> {
    let Some(at) = at else {
        return Err(format!("{what}: did not happen"));
    };
    check(by.is_none_or(|by| at <= by), || format!("{what} at {at}, expected by {by:?}"))?;
    check(after.is_none_or(|after| at >= after), || {
        format!("{what} at {at}, expected after {after:?}")
    })
}

fn check(met: bool, found: impl FnOnce() -> String) -> Result<(), String> {
    if met { Ok(()) } else { Err(found()) }
}
