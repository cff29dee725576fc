//! What a host holds of one organisation's quota.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::quota::{GRANT_LIFE, QUOTA_PARTITIONS, QuotaTerms};

/// Time over which the requests of an organisation at this host are averaged.
const MEAN_TIME_SECS: f64 = 1.0;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Grant {
    amount: f64,
    until: Time,
}

/// A partition's owner has refused a request of `count` until `until`.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Refusal {
    count: f64,
    until: Time,
    /// Time from which the owner is asked again in any case.
    recheck_at: Time,
}

/// A partition's bucket cannot grant requests of `count` or more before `until`, whatever its balance.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TooLarge {
    count: f64,
    until: Time,
}

impl TooLarge {
    fn concerns(&self, now: Time, count: f64) -> bool {
        now < self.until && count >= self.count
    }
}

/// What was taken for a request, with the end of each grant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Charge(SmallVec<[Grant; 2]>);

/// A host's grants of one organisation's quota, and which owners have refused it.
#[derive(Debug, Clone, Default)]
pub struct Holdings {
    grants: SmallVec<[Grant; 4]>,
    refusals: [Option<Refusal>; QUOTA_PARTITIONS],
    too_large: [Option<TooLarge>; QUOTA_PARTITIONS],
    /// Requests and their amounts, weighted by age.
    requests: f64,
    amounts: f64,
    updated: Time,
}

/// Requests up to this share of a refused one may still be granted.
const REFUSED_SHARE: f64 = 0.5;

/// Longest time for which an owner is not asked again: it may have taken grants back, or a reserve may have
/// ended, before the time that it told.
const MAX_REFUSED_TIME: Duration = Duration::from_secs(1);

/// Longest further time that is told to a request which is larger than the refused one.
const MAX_FURTHER_WAIT_SECS: f64 = 60.0;

impl Holdings {
    /// Adds a grant that ends at `until`.
    pub fn add(&mut self, now: Time, amount: f64, until: Time) {
        self.grants.retain(|grant| now < grant.until);
        if amount > 0.0 && now < until {
            let at = self.grants.partition_point(|grant| grant.until <= until);
            self.grants.insert(at, Grant { amount, until });
        }
    }

    /// Takes `count` from the grants that end first; none if they do not suffice.
    pub fn take(&mut self, now: Time, count: f64) -> Option<Charge> {
        self.grants.retain(|grant| now < grant.until);
        if self.held(now) < count {
            return None;
        }
        let mut charge = Charge::default();
        let mut left = count;
        while left > 0.0 {
            let grant = self.grants.first_mut()?;
            let taken = grant.amount.min(left);
            left -= taken;
            grant.amount -= taken;
            charge.0.push(Grant { amount: taken, until: grant.until });
            if grant.amount <= 0.0 {
                self.grants.remove(0);
            }
        }
        Some(charge)
    }

    /// Returns what was taken for a request that no target has run.
    pub fn put_back(&mut self, now: Time, charge: &Charge) {
        for grant in &charge.0 {
            self.add(now, grant.amount, grant.until);
        }
    }

    /// Moves all grants of `other` here.
    pub fn add_all(&mut self, now: Time, other: &mut Holdings) {
        for grant in other.grants.drain(..) {
            self.add(now, grant.amount, grant.until);
        }
    }

    /// Forgets which owners refused, after the quota has changed.
    pub fn forget_refusals(&mut self) {
        self.refusals = [None; QUOTA_PARTITIONS];
        self.too_large = [None; QUOTA_PARTITIONS];
    }

    /// Amount that may be spent at `now`.
    pub fn held(&self, now: Time) -> f64 {
        self.grants.iter().filter(|grant| now < grant.until).map(|grant| grant.amount).sum()
    }

    /// Counts an admitted request, for [`Holdings::advance_amount`].
    pub fn count_request(&mut self, now: Time, count: f64) {
        self.decay(now);
        self.requests += 1.0;
        self.amounts += count;
    }

    fn decay(&mut self, now: Time) {
        let kept = (-now.since(self.updated).as_secs_f64() / MEAN_TIME_SECS).exp();
        self.requests *= kept;
        self.amounts *= kept;
        self.updated = now;
    }

    /// Amount to ask for in advance: that of the requests expected within the life of a grant, less
    /// two standard deviations, since what is not spent is lost.
    pub fn advance_amount(&mut self, now: Time) -> f64 {
        self.decay(now);
        let expected = self.requests / MEAN_TIME_SECS * GRANT_LIFE.as_secs_f64();
        let certain = expected - 2.0 * expected.sqrt();
        if certain < 1.0 {
            return 0.0;
        }
        certain * self.amounts / self.requests
    }

    /// Records that the owner of `partition` has refused a request of `count` for `wait`. The refusal of
    /// a much larger request does not concern smaller ones, which are refused for less long.
    pub fn record_refusal(&mut self, now: Time, partition: usize, count: f64, wait: Duration) {
        let known = &mut self.refusals[partition];
        if known.is_none_or(|known| now >= known.recheck_at || count * REFUSED_SHARE <= known.count)
        {
            let recheck_at = now + wait.min(MAX_REFUSED_TIME);
            *known = Some(Refusal { count, until: now + wait, recheck_at });
        }
    }

    /// Records that the bucket of `partition` cannot grant `count` before `wait` has passed. This concerns no
    /// smaller request.
    pub fn record_too_large(&mut self, now: Time, partition: usize, count: f64, wait: Duration) {
        let known = &mut self.too_large[partition];
        if !known.is_some_and(|known| known.concerns(now, count)) {
            *known = Some(TooLarge { count, until: now + wait });
        }
    }

    /// Whether `count` is too large for the bucket of `partition`.
    pub(super) fn is_too_large(&self, now: Time, partition: usize, count: f64) -> bool {
        self.too_large[partition].is_some_and(|known| known.concerns(now, count))
    }

    /// Records that the owner of `partition` has granted `count`: it may grant what it refused before, if
    /// that was not more.
    pub fn record_grant(&mut self, partition: usize, count: f64) {
        let known = &mut self.refusals[partition];
        *known = known.filter(|known| known.count > count);
        let too_large = &mut self.too_large[partition];
        *too_large = too_large.filter(|known| known.count > count);
    }

    /// Time for which the owner of `partition`, whose buckets have these terms, need not be asked for
    /// `count`; none if it may be. It differs from the time that the owner told for another count by that
    /// in which the bucket earns the difference.
    pub fn refused_for(
        &self,
        now: Time,
        partition: usize,
        count: f64,
        terms: &QuotaTerms,
    ) -> Option<Duration> {
        let too_large = self.too_large[partition].filter(|known| known.concerns(now, count));
        if let Some(known) = too_large {
            return Some(known.until.since(now));
        }
        let refusal = self.refusals[partition].filter(|refusal| now < refusal.recheck_at)?;
        if count <= refusal.count * REFUSED_SHARE {
            return None;
        }
        let needed = |count| terms.needed_balance(count, terms.max_debt);
        let further = (needed(count) - needed(refusal.count)) / terms.rate;
        let further = further.clamp(-MAX_FURTHER_WAIT_SECS, MAX_FURTHER_WAIT_SECS);
        let wait = refusal.until.since(now).as_secs_f64() + further;
        (wait > 0.0).then(|| Duration::from_secs_f64(wait))
    }

    /// Whether nothing is held, refused or remembered that is worth keeping.
    pub fn is_idle(&self, now: Time) -> bool {
        self.held(now) == 0.0
            && self.refusals.iter().flatten().all(|refusal| now >= refusal.until)
            && self.too_large.iter().flatten().all(|known| now >= known.until)
            && now.since(self.updated).as_secs_f64() > 10.0 * MEAN_TIME_SECS
    }
}
