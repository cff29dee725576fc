//! Limits that targets name: how many requests a second one takes from all hosts together.
//!
//! A target names its limit in its answers for as long as it holds. Answers overtake each other, so
//! only the answer to a request that was sent after the limit was known ends it. Hosts tell each
//! other of a limit and of its end, with an age by which the later statement counts.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{ShareBudget, is_first_holder, share_of_limit};
use serde::{Deserialize, Serialize};

use crate::{hash::stable_hash, protocol::LimitStatement};

/// Time from the start of a host, or from a change of the hosts that gives it a share, until it uses
/// the share: as long as others may take a lost host for alive, or not have heard of a new one.
const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Time for which the end of a limit is remembered, so that other hosts hear of it.
const END_TTL: Duration = Duration::from_secs(10);

/// Time for which the limit of a target without an entry is kept: far longer than entries are away when the
/// store has come back from an older copy.
const ABSENCE_TTL: Duration = Duration::from_secs(60);

/// Time without a statement after which it is worth something to learn whether a limit still holds.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// Time after a change for which it is told in each round.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Maximum number of limits in a message, so that it fits into one datagram.
const MAX_NOTICES: usize = 40;

/// What a host knows of a target's limit, as it tells others.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitNotice {
    /// Hash of the target's id.
    pub target: u32,
    /// Which start of the target named it.
    pub incarnation: u64,
    /// Requests a second; none if the target names no limit any more.
    pub rate: Option<f64>,
    /// Time since the target stated it, in milliseconds.
    pub age_ms: u32,
}

/// What one start of a target has stated last.
#[derive(Debug)]
struct Limit {
    rate: Option<f64>,
    stated_at: Time,
    changed_at: Time,
    /// When its target was first seen to have no entry; none if it has one.
    absent_since: Option<Time>,
    budget: ShareBudget,
}

/// The limits that targets name, and this host's shares of them.
#[derive(Debug)]
pub(super) struct Limits {
    limits: HashMap<(Arc<str>, u64), Limit>,
    /// Hash of this host's name; none if it holds no shares.
    own: Option<u64>,
    /// Hashes of the other hosts' names.
    others: Vec<u64>,
    /// When this host first used them; none before.
    started_at: Option<Time>,
}

impl Limits {
    pub(super) fn new() -> Limits {
        Limits { limits: HashMap::new(), own: None, others: Vec::new(), started_at: None }
    }

    /// Sets the hosts that share each limit, by hashes of their names; `own` is none while this host
    /// holds no shares.
    pub(super) fn set_hosts(&mut self, now: Time, own: Option<u64>, mut others: Vec<u64>) {
        others.sort_unstable();
        let started_at = *self.started_at.get_or_insert(now);
        if self.own == own && self.others == others {
            return;
        }
        (self.own, self.others) = (own, others);
        let is_starting = now < started_at + HANDOVER_TIME;
        let usable_at = if is_starting { started_at } else { now } + HANDOVER_TIME;
        for ((id, _), limit) in &mut self.limits {
            let share = share(limit.rate, id, self.own, &self.others);
            limit.budget.set_share(now, share, usable_at);
        }
    }

    /// Drops what is known of starts that are gone. An entry may be away for a moment while its
    /// target goes on.
    pub(super) fn retain(&mut self, now: Time, is_present: impl Fn(&str, u64) -> bool) {
        self.limits.retain(|(id, incarnation), limit| {
            if is_present(id, *incarnation) {
                limit.absent_since = None;
            } else {
                limit.absent_since.get_or_insert(now);
            }
            let is_gone = limit.absent_since.is_some_and(|at| now.since(at) >= ABSENCE_TTL);
            let is_over = limit.rate.is_none() && now.since(limit.stated_at) >= END_TTL;
            !is_over && !is_gone
        });
    }

    /// Whether this start of a target has a limit.
    pub(super) fn has_limit(&self, id: &Arc<str>, incarnation: u64) -> bool {
        let limit = self.limits.get(&(id.clone(), incarnation));
        limit.is_some_and(|limit| limit.rate.is_some())
    }

    /// Records what a target stated in the answer to a request that was sent at `sent`. Returns
    /// whether other hosts should hear of it at once.
    pub(super) fn record_statement(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        sent: Time,
        statement: LimitStatement,
    ) -> bool {
        let known = self.limits.get(&(id.clone(), incarnation));
        let rate = match statement {
            LimitStatement::Unreadable => return false,
            LimitStatement::Absent => {
                let is_end =
                    known.is_some_and(|limit| limit.rate.is_some() && sent > limit.stated_at);
                if !is_end {
                    return false;
                }
                None
            }
            LimitStatement::Rate(rate) => Some(rate),
        };
        self.adopt(now, id, incarnation, now, rate)
    }

    /// Records what another host told. Returns whether it is new.
    pub(super) fn apply_notice(&mut self, now: Time, id: &Arc<str>, notice: &LimitNotice) -> bool {
        let stated_at = now.saturating_sub(Duration::from_millis(notice.age_ms.into()));
        let known = self.limits.get(&(id.clone(), notice.incarnation));
        let is_later = match known {
            Some(limit) => stated_at > limit.stated_at,
            None => notice.rate.is_some(),
        };
        is_later && self.adopt(now, id, notice.incarnation, stated_at, notice.rate)
    }

    fn adopt(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        stated_at: Time,
        rate: Option<f64>,
    ) -> bool {
        let limit = self.limits.entry((id.clone(), incarnation)).or_insert_with(|| Limit {
            rate: None,
            stated_at,
            changed_at: now,
            absent_since: None,
            budget: ShareBudget::new(now),
        });
        limit.stated_at = stated_at;
        if limit.rate == rate {
            return false;
        }
        if limit.rate.is_none() {
            limit.budget = ShareBudget::new(now);
        }
        limit.rate = rate;
        limit.changed_at = now;
        let share = share(rate, id, self.own, &self.others);
        let usable_at = self.started_at.unwrap_or(now) + HANDOVER_TIME;
        limit.budget.set_share(now, share, usable_at);
        log::info!(target: "fleet", id, incarnation, rate, share; "target's limit");
        true
    }

    /// Whether the target has a limit which it has not stated for a while.
    pub(super) fn is_in_doubt(&self, now: Time, id: &Arc<str>, incarnation: u64) -> bool {
        if self.limits.is_empty() {
            return false;
        }
        let limit = self.limits.get(&(id.clone(), incarnation));
        limit.is_some_and(|limit| limit.rate.is_some() && now.since(limit.stated_at) >= DOUBT_TIME)
    }

    /// Counts a request against the target's limit; returns false if this host may send none.
    pub(super) fn try_take(&mut self, now: Time, id: &Arc<str>, incarnation: u64) -> bool {
        let Some(limit) = self.limits.get_mut(&(id.clone(), incarnation)) else { return true };
        limit.rate.is_none() || limit.budget.try_take(now)
    }

    /// Time until some host may send the target a request; none if its limit keeps this host from
    /// nothing.
    pub(super) fn wait(&self, now: Time, id: &Arc<str>, incarnation: u64) -> Option<Duration> {
        if self.limits.is_empty() {
            return None;
        }
        let limit = self.limits.get(&(id.clone(), incarnation))?;
        let rate = limit.rate?;
        if limit.budget.has_request(now) {
            return None;
        }
        // Of the holders' budgets this host knows no more than how fast they fill.
        let others_wait = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        Some(limit.budget.wait(now).unwrap_or(others_wait))
    }

    /// What to tell other hosts: changes only, or all that is known.
    pub(super) fn notices(&self, now: Time, only_news: bool) -> Vec<LimitNotice> {
        let told = self
            .limits
            .iter()
            .filter(|(_, limit)| !only_news || now.since(limit.changed_at) < NEWS_TIME);
        let notices = told.map(|((id, incarnation), limit)| LimitNotice {
            target: stable_hash(&&**id) as u32,
            incarnation: *incarnation,
            rate: limit.rate,
            age_ms: u32::try_from(now.since(limit.stated_at).as_millis()).unwrap_or(u32::MAX),
        });
        notices.take(MAX_NOTICES).collect()
    }

    /// Whether this host is the first of those that would hold shares of what `target` takes.
    pub(super) fn is_first_host(&self, target: u32) -> bool {
        self.own.is_some_and(|own| is_first_holder(target.into(), own, &self.others))
    }

    /// Number of targets with a limit.
    pub(super) fn count(&self) -> usize {
        let present = self.limits.values().filter(|limit| limit.absent_since.is_none());
        present.filter(|limit| limit.rate.is_some()).count()
    }
}

fn share(rate: Option<f64>, id: &Arc<str>, own: Option<u64>, others: &[u64]) -> Option<f64> {
    share_of_limit(rate?, stable_hash(&&**id), own?, others)
}
