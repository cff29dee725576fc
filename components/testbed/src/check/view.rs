//! Rules about keys, draining targets and configurations.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Version};

use crate::{
    check::{Promise, Report, Rule},
    history::{Entry, Fact, RequestId},
};

/// Maximum time from a key's withdrawal until every process refuses it.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// Maximum time from the start of a target's drain until it gets no new work.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(5);

/// Maximum time from a configuration's acceptance until every process uses it.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(10);

/// Checks that requests run for their key's organisation, that targets see no keys
/// and that withdrawn keys stop working.
#[derive(Debug, Default)]
pub(super) struct Keys {
    requests: BTreeMap<RequestId, Option<String>>,
    withdrawn: BTreeMap<String, Time>,
}

impl Rule for Keys {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match &entry.fact {
            Fact::Requested { request, organisation, .. } => {
                self.requests.insert(*request, organisation.clone());
            }
            Fact::Withdrawn { key } => {
                self.withdrawn.entry(key.clone()).or_insert(at);
            }
            Fact::Dispatched { request, target, organisation, key, exposed, .. } => {
                report.observe(Promise::Keys);
                let sender = self.requests.get(request);
                if sender.is_none_or(|sender| sender != organisation) {
                    let what = format!(
                        "{request:?} was dispatched for {organisation:?}, which didn't send it"
                    );
                    report.add_violation(Promise::Keys, at, what);
                }
                if *exposed {
                    report.add_violation(
                        Promise::Keys,
                        at,
                        format!("{target} could see a caller's key"),
                    );
                }
                let withdrawn_at = key.as_ref().and_then(|key| self.withdrawn.get(key));
                if withdrawn_at.is_some_and(|since| at - *since > MAX_WITHDRAWAL_DELAY) {
                    let what = format!("{request:?} dispatched under a withdrawn key");
                    report.add_violation(Promise::Keys, at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that leaving targets get no new work.
#[derive(Debug, Default)]
pub(super) struct Draining {
    leaving: BTreeMap<String, Time>,
}

impl Rule for Draining {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        match &entry.fact {
            Fact::Leaving { target } => {
                self.leaving.entry(target.clone()).or_insert(entry.at);
            }
            Fact::Dispatched { target, .. } => {
                let late = |since: &Time| entry.at - *since > MAX_DRAIN_DELAY;
                if self.leaving.values().any(late) {
                    report.observe(Promise::NoWorkForLeaving);
                }
                if self.leaving.get(target).is_some_and(late) {
                    let what = format!("{target} got new work while leaving");
                    report.add_violation(Promise::NoWorkForLeaving, entry.at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that accepted configurations are in force in time and never revert.
#[derive(Debug, Default)]
pub(super) struct Configs {
    accepted: Vec<(Time, Version)>,
    adopted: BTreeMap<Incarnation, Version>,
}

impl Rule for Configs {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match (&entry.fact, entry.process) {
            (Fact::Accepted { config }, _) => self.accepted.push((at, *config)),
            (Fact::Adopted { config }, Some(process)) => {
                report.observe(Promise::ConfigInForce);
                let known = self.adopted.entry(process).or_insert(*config);
                if *config < *known {
                    let what = format!("{process} reverted to {config:?}");
                    report.add_violation(Promise::ConfigInForce, at, what);
                }
                *known = *config;
            }
            (Fact::Dispatched { config, .. }, _) => {
                let required = self
                    .accepted
                    .iter()
                    .filter(|(since, _)| at - *since > MAX_CONFIG_DELAY)
                    .map(|(_, config)| *config)
                    .max();
                let Some(required) = required else {
                    return;
                };
                report.observe(Promise::ConfigInForce);
                if *config < required {
                    let what = format!(
                        "dispatched under {config:?} while {required:?} should be in force"
                    );
                    report.add_violation(Promise::ConfigInForce, at, what);
                }
            }
            _ => {}
        }
    }
}
