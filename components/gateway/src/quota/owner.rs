//! What the owner of partitions grants to hosts that ask.

use std::collections::HashMap;

use chervilgate_clock::Time;
use chervilgate_policy::{BucketStart, QUOTA_PARTITIONS, QuotaBucket, QuotaReply, QuotaTerms};

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
        }
    }
}

impl OwnedBuckets {
    /// Begins to own a partition, with new buckets.
    pub fn begin(&mut self, now: Time, partition: usize, start: BucketStart) {
        let buckets = HashMap::new();
        self.partitions[partition] = OwnedPartition { buckets, start, began: now };
    }

    /// Creates the buckets of organisations that have none, and removes those of others. Buckets begin
    /// to fill when the partition is taken over, not at the first request.
    pub fn set_terms<'a>(
        &mut self,
        now: Time,
        partition: usize,
        terms: impl Iterator<Item = (u64, &'a QuotaTerms)> + Clone,
    ) {
        let OwnedPartition { buckets, start, began } = &mut self.partitions[partition];
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

    /// Answers a host that needs `need` of this organisation's quota and asks for `extra` in advance;
    /// none if the organisation has no quota here.
    pub fn ask(
        &mut self,
        now: Time,
        partition: usize,
        org: u64,
        need: f64,
        extra: f64,
    ) -> Option<QuotaReply> {
        let known = self.partitions[partition].buckets.get_mut(&org)?;
        known.removed_at.is_none().then(|| known.bucket.ask(now, need, extra))
    }
}
