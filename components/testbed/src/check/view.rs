//! Rules about keys, drains and configurations.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Version};

use crate::{
    check::{Promise, Report, Rule},
    history::{Entry, Fact, RequestId},
};

/// A withdrawn key is refused everywhere after this span.
const KEY_SPAN: Duration = Duration::from_secs(5);

/// A leaving target gets no work after this span.
const DRAIN_SPAN: Duration = Duration::from_secs(5);

/// An accepted configuration is in force everywhere after this span.
const CONFIG_SPAN: Duration = Duration::from_secs(10);

/// Requests run for their key's organisation, and keys end.
#[derive(Debug, Default)]
pub(super) struct Keys {
    requests: BTreeMap<RequestId, Option<String>>,
    withdrawn: BTreeMap<String, Time>,
}

impl Rule for Keys {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
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
                let own = self.requests.get(request);
                if own.is_none_or(|own| own != organisation) {
                    let what = format!("{request:?} ran for {organisation:?}");
                    report.breach(Promise::Keys, at, what);
                }
                if *exposed {
                    report.breach(Promise::Keys, at, format!("{target} saw a key"));
                }
                let ended = key.as_ref().and_then(|key| self.withdrawn.get(key));
                if ended.is_some_and(|ended| at - *ended > KEY_SPAN) {
                    let what = format!("{request:?} dispatched under a withdrawn key");
                    report.breach(Promise::Keys, at, what);
                }
            }
            _ => {}
        }
    }
}

/// Leaving targets get no new work.
#[derive(Debug, Default)]
pub(super) struct Drains {
    leaving: BTreeMap<String, Time>,
}

impl Rule for Drains {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
        match &entry.fact {
            Fact::Leaving { target } => {
                self.leaving.entry(target.clone()).or_insert(entry.at);
            }
            Fact::Dispatched { target, .. } => {
                let late = |since: &Time| entry.at - *since > DRAIN_SPAN;
                if self.leaving.values().any(late) {
                    report.observe(Promise::NoWorkForLeaving);
                }
                if self.leaving.get(target).is_some_and(late) {
                    let what = format!("{target} got work while leaving");
                    report.breach(Promise::NoWorkForLeaving, entry.at, what);
                }
            }
            _ => {}
        }
    }
}

/// Accepted configurations are in force within seconds and never revert.
#[derive(Debug, Default)]
pub(super) struct Configs {
    accepted: Vec<(Time, Version)>,
    adopted: BTreeMap<Incarnation, Version>,
}

impl Rule for Configs {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match (&entry.fact, entry.process) {
            (Fact::Accepted { config }, _) => self.accepted.push((at, *config)),
            (Fact::Adopted { config }, Some(process)) => {
                report.observe(Promise::ConfigInForce);
                let known = self.adopted.entry(process).or_insert(*config);
                if *config < *known {
                    let what = format!("{process} went back to {config:?}");
                    report.breach(Promise::ConfigInForce, at, what);
                }
                *known = *config;
            }
            (Fact::Dispatched { config, .. }, _) => {
                let due = self
                    .accepted
                    .iter()
                    .filter(|(since, _)| at - *since > CONFIG_SPAN)
                    .map(|(_, config)| *config)
                    .max();
                let Some(due) = due else {
                    return;
                };
                report.observe(Promise::ConfigInForce);
                if *config < due {
                    let what = format!("dispatched under {config:?}, {due:?} is in force");
                    report.breach(Promise::ConfigInForce, at, what);
                }
            }
            _ => {}
        }
    }
}
