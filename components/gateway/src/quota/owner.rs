//! What the owner of partitions grants to hosts that ask.

use std::collections::HashMap;

use chervilgate_clock::Time;
use chervilgate_policy::{QUOTA_PARTITIONS, QuotaBucket, QuotaReply, QuotaTerms};

/// The buckets of the partitions that this host owns, by hash of the organisation's name.
#[derive(Debug, Default)]
pub struct OwnedBuckets {
    buckets: [HashMap<u64, QuotaBucket>; QUOTA_PARTITIONS],
}

impl OwnedBuckets {
    /// Forgets a partition: it begins with empty buckets.
    pub fn clear(&mut self, partition: usize) {
        self.buckets[partition].clear();
    }

    /// Creates the buckets of organisations that have none, and removes those of others. Buckets begin
    /// to fill when the partition is taken over, not at the first request.
    pub fn set_terms<'a>(
        &mut self,
        now: Time,
        partition: usize,
        terms: impl Iterator<Item = (u64, &'a QuotaTerms)> + Clone,
    ) {
        let buckets = &mut self.buckets[partition];
        for (org, terms) in terms.clone() {
            buckets
                .entry(org)
                .or_insert_with(|| QuotaBucket::new(now, *terms))
                .set_terms(now, *terms);
        }
        if buckets.len() > terms.clone().count() {
            buckets.retain(|org, _| terms.clone().any(|(known, _)| known == *org));
        }
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
        Some(self.buckets[partition].get_mut(&org)?.ask(now, need, extra))
    }
}
