//! What the owner of partitions grants to hosts that ask.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::{BucketStart, QUOTA_PARTITIONS, QuotaBucket, QuotaReply, QuotaTerms};

/// Time within which an amount that was granted may be returned.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Number of grants of a partition that may be returned.
const MAX_RETURNABLE: usize = 1_024;

/// The buckets of the partitions that this host owns, by hash of the organisation's name.
#[derive(Debug, Default)]
pub struct OwnedBuckets {
    partitions: [OwnedPartition; QUOTA_PARTITIONS],
}

#[derive(Debug)]
struct OwnedPartition {
    buckets: HashMap<u64, OrgBucket>,
    start: BucketStart,
    began: Time,
    /// The latest grants that may be returned, the oldest first.
    grants: VecDeque<Grant>,
}

/// A grant that may be returned, once.
#[derive(Debug)]
struct Grant {
    id: u64,
    org: u64,
    amount: f64,
    at: Time,
}

#[derive(Debug)]
struct OrgBucket {
    bucket: QuotaBucket,
    /// Since when the organisation has no quota; its former grants may still count.
    removed_at: Option<Time>,
}

impl Default for OwnedPartition {
    fn default() -> OwnedPartition {
        OwnedPartition {
            buckets: HashMap::new(),
            start: BucketStart::AfterUnsettled,
            began: Time::ZERO,
            grants: VecDeque::new(),
        }
    }
}

impl OwnedBuckets {
    /// Begins to own a partition, with new buckets.
    pub fn begin(&mut self, now: Time, partition: usize, start: BucketStart) {
        self.partitions[partition] =
            OwnedPartition { start, began: now, ..OwnedPartition::default() };
    }

    /// Creates the buckets of organisations that have none, and removes those of others. Buckets begin
    /// to fill when the partition is taken over, not at the first request.
    pub fn set_terms<'a>(
        &mut self,
        now: Time,
        partition: usize,
        terms: impl Iterator<Item = (u64, &'a QuotaTerms)> + Clone,
    ) {
        let OwnedPartition { buckets, start, began, .. } = &mut self.partitions[partition];
        for (org, terms) in terms.clone() {
            // No earlier owner's grants count any more.
            let is_settled = now >= *began + terms.settling;
            let start = if is_settled { BucketStart::First } else { *start };
            let known = buckets.entry(org).or_insert_with(|| OrgBucket {
                bucket: QuotaBucket::new(now, *terms, start),
                removed_at: None,
            });
            known.removed_at = None;
            known.bucket.set_terms(now, *terms);
        }
        buckets.retain(|org, known| {
            if !terms.clone().any(|(listed, _)| listed == *org) {
                known.removed_at.get_or_insert(now);
            }
            known.removed_at.is_none_or(|at| now < at + known.bucket.settling())
        });
    }

    /// Answers an ask of a host that needs `need` of this organisation's quota and asks for `extra` in
    /// advance; none if the organisation has no quota here.
    pub fn ask(&mut self, now: Time, partition: usize, ask: &Ask) -> Option<QuotaReply> {
        let OwnedPartition { buckets, grants, .. } = &mut self.partitions[partition];
        let known = buckets.get_mut(&ask.org).filter(|known| known.removed_at.is_none())?;
        let reply = known.bucket.ask(now, ask.need, ask.extra);
        // Only parts of large requests are returned, and nothing is asked for in advance with them.
        if let QuotaReply::Granted(amount) = reply
            && ask.extra <= 0.0
        {
            let is_kept = |grant: &Grant| now < grant.at + RETURN_TIME;
            while grants.len() >= MAX_RETURNABLE || grants.front().is_some_and(|it| !is_kept(it)) {
                grants.pop_front();
            }
            grants.push_back(Grant { id: ask.id, org: ask.org, amount, at: now });
        }
        Some(reply)
    }

    /// Whether this organisation's bucket grants no request of `need` until it is settled.
    pub fn is_too_large(&self, now: Time, partition: usize, ask: &Ask) -> bool {
        let known = self.partitions[partition].buckets.get(&ask.org);
        known.is_some_and(|known| known.bucket.is_too_large(now, ask.need))
    }

    /// Takes back what was granted for the ask `id` and is not going to be spent.
    pub fn give_back(&mut self, now: Time, partition: usize, id: u64) {
        let OwnedPartition { buckets, grants, .. } = &mut self.partitions[partition];
        let Some(index) = grants.iter().rposition(|grant| grant.id == id) else { return };
        if let Some(grant) = grants.remove(index)
            && now < grant.at + RETURN_TIME
            && let Some(known) = buckets.get_mut(&grant.org)
        {
            known.bucket.give_back(now, grant.amount, grant.at);
        }
    }
}

/// What a host asks an owner for.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Identifies the ask; ids of a process begin at random.
    pub id: u64,
    /// Hash of the organisation's name.
    pub org: u64,
    /// Amount that is needed.
    pub need: f64,
    /// Amount in advance.
    pub extra: f64,
}
