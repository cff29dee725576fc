//! Quotas of organisations, over all hosts together.
//!
//! Each organisation's quota is divided into partitions, each owned by one host at a time
//! ([`lease`]). A host that gets a request takes its count from what owners have granted to it, and
//! asks them by datagram for what is missing. The bucket of an owner, the holdings of a host and the
//! order of asking are in the policy crate. None of it runs unless the settings bound quotas and an
//! organisation of the configuration has one.

pub(crate) mod admit;
pub(crate) mod forecast;
pub mod lease;
pub mod listing;
pub mod owner;
pub(crate) mod task;
#[cfg(test)]
mod tests;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{
    BucketStart, Charge, GRANT_LIFE, Holdings, KnownPartitions, QUOTA_PARTITIONS, QuotaBounds,
    QuotaReply, QuotaTerms,
};
use tokio::sync::mpsc::UnboundedSender;

use self::{
    lease::{OwnerDoc, OwnerLease},
    owner::{Ask, OwnedBuckets},
};
use crate::{
    config::{Config, Quota},
    gossip::QuotaReturn,
    hash::stable_hash,
    metrics::OrgQuotaMetrics,
    settings::HostSettings,
};

/// Time after which an owner counts as not answering.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an owner that did not answer is not asked if others can be. It grows with each
/// further time, up to this many.
const SILENT_TIME: Duration = Duration::from_millis(250);
const MAX_SILENT_TIMES: u32 = 6;

/// Number of unanswered asks in a row from which the store is read for another owner.
const MAX_UNANSWERED: u32 = 3;

/// The owner of a partition as far as this host knows.
#[derive(Debug, Clone, Copy)]
struct KnownOwner {
    addr: SocketAddr,
    era: u64,
    count: u64,
    heard_at: Time,
    unanswered: u32,
    silent_until: Time,
}

/// An ask that an owner has not answered.
struct PendingAsk {
    org: u64,
    partition: usize,
    count: f64,
    /// Whether the request needs this amount together with parts of other partitions.
    is_part: bool,
    asked_at: Time,
    replies: UnboundedSender<Reply>,
}

/// An owner's reply, passed to the request that asked.
#[derive(Debug, Clone, Copy)]
struct Reply {
    id: u64,
    partition: usize,
    is_part: bool,
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    /// This amount may be spent until then.
    Granted(f64, Time),
    Refused(Duration),
    /// The host that was asked cannot tell.
    Unknown,
}

/// What an owner answers, without what identifies the ask.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum OwnerAnswer {
    Granted(f64),
    Refused(Duration),
    /// No request of this size is granted before this time, whatever is left.
    TooLarge(Duration),
    /// The organisation has no quota here, or the configuration here may be old.
    Unknown,
    /// This host does not own the partition.
    NotOwner,
}

/// Minimum interval between log lines of an organisation's refused requests.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An organisation with a quota at this host.
struct OrgState {
    holdings: Holdings,
    terms: QuotaTerms,
    metrics: OrgQuotaMetrics,
    refusals: RefusalLog,
}

/// Limits the log lines of refused requests.
#[derive(Debug, Clone, Copy, Default)]
struct RefusalLog {
    logged_at: Option<Time>,
    /// Requests refused since the last line.
    refused: u64,
}

impl RefusalLog {
    /// Counts a refused request. Returns how many the next line stands for, if it is due.
    fn count(&mut self, now: Time) -> Option<u64> {
        self.refused += 1;
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.refused))
    }
}

/// The state of quotas at a host.
pub(crate) struct QuotaState {
    own_hash: u64,
    bounds: Option<QuotaBounds>,
    leases: [OwnerLease; QUOTA_PARTITIONS],
    buckets: OwnedBuckets,
    owners: [Option<KnownOwner>; QUOTA_PARTITIONS],
    orgs: HashMap<u64, OrgState>,
    pending: HashMap<u64, PendingAsk>,
    next_id: u64,
    /// Version of the configuration that `orgs` is from.
    config_version: Option<u64>,
    /// Whether a request lacked an owner since the store was last read.
    wants_owners: bool,
}

impl QuotaState {
    /// Whether this host may grant of a partition now.
    pub(crate) fn may_grant(&self, now: Time, partition: usize) -> bool {
        self.leases.get(partition).is_some_and(|lease| lease.may_grant(now))
    }

    /// Starts without any partition, grant or known owner.
    pub(crate) fn new(settings: &HostSettings, boot: u64) -> QuotaState {
        let settling = settings.bounds.quota.map_or(Duration::ZERO, |bounds| bounds.settling());
        let lease = || OwnerLease::new(&settings.name, settings.gossip_addr, boot, settling);
        QuotaState {
            own_hash: stable_hash(&settings.name),
            bounds: settings.bounds.quota,
            leases: std::array::from_fn(|_| lease()),
            buckets: OwnedBuckets::default(),
            owners: [None; QUOTA_PARTITIONS],
            orgs: HashMap::new(),
            pending: HashMap::new(),
            next_id: rand::random(),
            config_version: None,
            wants_owners: false,
        }
    }

    /// Whether quotas are enforced.
    pub(crate) fn is_active(&self) -> bool {
        !self.orgs.is_empty()
    }

    /// Takes the rates from the configuration in force. A lower one has effect at once.
    pub(crate) fn apply_config(
        &mut self,
        now: Time,
        config: &Config,
        metrics: impl Fn(&str, &Quota) -> OrgQuotaMetrics,
        remove_metrics: impl Fn(&str),
    ) {
        let Some(bounds) = self.bounds else { return };
        if self.config_version == Some(config.version) {
            return;
        }
        self.config_version = Some(config.version);
        self.orgs.retain(|org, state| {
            let stays = config.quotas().contains_key(org);
            if !stays {
                remove_metrics(state.metrics.org());
            }
            stays
        });
        for (org, (name, quota)) in config.quotas() {
            let terms = QuotaTerms::of_partition(quota.rate, quota.burst, &bounds);
            let state = self.orgs.entry(*org).or_insert_with(|| OrgState {
                holdings: Holdings::default(),
                terms,
                metrics: metrics(name, quota),
                refusals: RefusalLog::default(),
            });
            if state.terms != terms {
                *state = OrgState {
                    holdings: std::mem::take(&mut state.holdings),
                    terms,
                    metrics: metrics(name, quota),
                    refusals: state.refusals,
                };
                state.holdings.forget_refusals();
            }
        }
        for partition in 0..QUOTA_PARTITIONS {
            if self.leases[partition].is_owner() {
                self.fill_buckets(now, partition);
            }
        }
    }

    fn fill_buckets(&mut self, now: Time, partition: usize) {
        let terms = self.orgs.iter().map(|(org, state)| (*org, &state.terms));
        self.buckets.set_terms(now, partition, terms);
    }

    /// Begins to grant, after this process became the owner of `partition`.
    fn begin_owning(&mut self, now: Time, partition: usize, start: BucketStart) {
        self.buckets.begin(now, partition, start);
        self.fill_buckets(now, partition);
    }

    /// Answers a host that asks for a part of an organisation's quota.
    pub(crate) fn answer(&mut self, now: Time, partition: usize, ask: &Ask) -> OwnerAnswer {
        if partition >= QUOTA_PARTITIONS || !self.leases[partition].may_grant(now) {
            return OwnerAnswer::NotOwner;
        }
        match self.buckets.ask(now, partition, ask) {
            Some(QuotaReply::Granted(amount)) => OwnerAnswer::Granted(amount),
            Some(QuotaReply::Refused(wait)) if self.buckets.is_too_large(now, partition, ask) => {
                OwnerAnswer::TooLarge(wait)
            }
            Some(QuotaReply::Refused(wait)) => OwnerAnswer::Refused(wait),
            None => OwnerAnswer::Unknown,
        }
    }

    /// Takes back what this owner granted for the ask `id`.
    pub(crate) fn take_back(&mut self, now: Time, partition: usize, id: u64) {
        if partition < QUOTA_PARTITIONS {
            self.buckets.give_back(now, partition, id);
        }
    }

    /// Passes an owner's answer on to the request that asked. A grant counts from the time at which it
    /// was asked for. One that comes too late for its request is for others; a part is returned.
    #[must_use]
    pub(crate) fn apply_answer(
        &mut self,
        now: Time,
        id: u64,
        answer: OwnerAnswer,
    ) -> Option<(QuotaReturn, SocketAddr)> {
        let ask = self.pending.remove(&id)?;
        let owner_addr = self.owners[ask.partition].map(|owner| owner.addr);
        if let Some(owner) = &mut self.owners[ask.partition] {
            match answer {
                OwnerAnswer::NotOwner => self.owners[ask.partition] = None,
                _ => {
                    owner.heard_at = now;
                    owner.unanswered = 0;
                    owner.silent_until = Time::ZERO;
                }
            }
        }
        let holdings = self.orgs.get_mut(&ask.org).map(|org| &mut org.holdings);
        let outcome = match answer {
            // Whole amounts are sent, rounded down.
            OwnerAnswer::Granted(amount) => Outcome::Granted(amount, ask.asked_at + GRANT_LIFE),
            OwnerAnswer::Refused(wait) | OwnerAnswer::TooLarge(wait) => Outcome::Refused(wait),
            OwnerAnswer::Unknown | OwnerAnswer::NotOwner => Outcome::Unknown,
        };
        let reply = Reply { id, partition: ask.partition, is_part: ask.is_part, outcome };
        let holdings = holdings?;
        record_answer(holdings, now, ask.partition, ask.count, answer);
        if ask.replies.send(reply).is_err()
            && let Outcome::Granted(amount, until) = outcome
        {
            if ask.is_part {
                return Some((QuotaReturn::new(id, ask.partition), owner_addr?));
            }
            holdings.add(now, amount, until);
        }
        None
    }

    /// Partitions whose owners are known, in the order in which they are asked for an organisation.
    fn known_partitions(&self, now: Time, org: u64) -> KnownPartitions {
        let mut known = KnownPartitions::default();
        for partition in (0..QUOTA_PARTITIONS).filter(|partition| self.is_known(now, *partition)) {
            let owner = self.owners[partition];
            let is_silent = owner.is_some_and(|owner| now < owner.silent_until);
            let list = if is_silent { &mut known.silent } else { &mut known.answering };
            list.push(partition);
        }
        for list in [&mut known.answering, &mut known.silent] {
            list.sort_unstable_by_key(|partition| stable_hash(&(self.own_hash, org, *partition)));
        }
        if known.answering.is_empty() {
            std::mem::swap(&mut known.answering, &mut known.silent);
        }
        known
    }

    fn is_known(&self, now: Time, partition: usize) -> bool {
        self.owners[partition].is_some() || self.leases[partition].may_grant(now)
    }

    /// Records an owner that an announcement or the store names.
    pub(crate) fn hear_owner(&mut self, now: Time, partition: usize, doc: &OwnerDoc) {
        let Some(known) = self.owners.get_mut(partition) else { return };
        let is_older = known.is_some_and(|known| (doc.era, doc.count) < (known.era, known.count));
        let Some(addr) = doc.addr.filter(|_| !is_older) else { return };
        if doc.released {
            *known = None;
            return;
        }
        let same = known.filter(|known| known.addr == addr);
        *known = Some(KnownOwner {
            addr,
            era: doc.era,
            count: doc.count,
            heard_at: now,
            unanswered: 0,
            silent_until: same.map_or(Time::ZERO, |known| known.silent_until),
        });
    }

    /// Counts the asks that were not answered. Returns whether the store should be read for owners.
    fn expire_asks(&mut self, now: Time) -> bool {
        let owners = &mut self.owners;
        self.pending.retain(|_, ask| {
            let is_late = now >= ask.asked_at + REPLY_TIMEOUT;
            if is_late
                && let Some(owner) = &mut owners[ask.partition]
                && owner.heard_at < ask.asked_at
                && now >= owner.silent_until
            {
                owner.unanswered += 1;
                owner.silent_until = now + SILENT_TIME * owner.unanswered.min(MAX_SILENT_TIMES);
            }
            // A later answer still counts as a grant.
            now < ask.asked_at + GRANT_LIFE
        });
        std::mem::take(&mut self.wants_owners) && self.lacks_owner()
    }

    /// Whether this host does not know an owner of some partition that answers.
    pub(crate) fn lacks_owner(&self) -> bool {
        (0..QUOTA_PARTITIONS).any(|partition| {
            !self.leases[partition].is_owner()
                && self.owners[partition].is_none_or(|owner| owner.unanswered >= MAX_UNANSWERED)
        })
    }

    /// Returns what was taken for a request that no target has run.
    pub(crate) fn put_back(&mut self, now: Time, org: u64, charge: &Charge) {
        if let Some(org) = self.orgs.get_mut(&org) {
            org.holdings.put_back(now, charge);
        }
    }

    /// Sets the metrics of what is held.
    fn observe_held(&self, now: Time) {
        for org in self.orgs.values() {
            org.metrics.set_held(org.holdings.held(now));
        }
    }
}

/// Records what an owner has answered to an ask for `count`.
fn record_answer(
    holdings: &mut Holdings,
    now: Time,
    partition: usize,
    count: f64,
    answer: OwnerAnswer,
) {
    match answer {
        OwnerAnswer::Granted(_) => holdings.record_grant(partition, count),
        OwnerAnswer::Refused(wait) => holdings.record_refusal(now, partition, count, wait),
        OwnerAnswer::TooLarge(wait) => holdings.record_too_large(now, partition, count, wait),
        OwnerAnswer::Unknown | OwnerAnswer::NotOwner => {}
    }
}

/// An organisation's quota as the request path needs it.
#[derive(Debug, Clone)]
pub(crate) struct OrgQuota {
    pub(crate) org: u64,
    pub(crate) name: Arc<str>,
    pub(crate) quota: Quota,
    pub(crate) config_version: u64,
}
