//! Ownership of a partition of all quotas, as a state machine over the store's object of it.
//!
//! An owner may grant for a limited time after it *sent* its last successful write, by boot time.
//! Another host takes the object over, by a conditional write, after it has seen it unchanged for longer
//! than that. Four cases need no wait, since nobody else can be granting: the object does not exist in a
//! store that never came back from a copy, it was released, it names this host's own address (which this
//! process has bound, so the previous one is gone), or this process is within its own time.
//!
//! The object names the era of the store in which it was written. One that the store shows in a later
//! era is from an older copy, which may lack a later owner: it only counts as seen since then.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Version};
use chervilgate_policy::{BucketStart, GRANT_LIFE};
use serde::{Deserialize, Serialize};

/// Time for which an owner may grant after it sent a write.
pub const OWNER_LEASE: Duration = Duration::from_secs(6);

/// Interval between an owner's writes, as a share of the lease: three may fail in a row.
const RENEW_SHARE: f64 = 0.25;

/// Time after a failed write until the next one; it doubles with each further failure up to the interval
/// between writes, so that an owner that is cut off from the store does not call it at each step.
const MIN_RETRY_TIME: Duration = Duration::from_millis(250);

/// Time for which another host must have seen the object unchanged, relative to the lease; the excess
/// covers clocks of different speed.
const TAKEOVER_SHARE: f64 = 1.1;

/// Time after it has released a partition in which a host does not take one over.
const REST_TIME: Duration = Duration::from_secs(8);

/// The object of a partition in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct OwnerDoc {
    /// Name of the owning host.
    pub owner: String,
    /// Its gossip address.
    pub addr: Option<SocketAddr>,
    /// Random number of the owning process.
    pub boot: u64,
    /// Number of writes.
    pub count: u64,
    /// Era of the store in which it was written.
    pub era: u64,
    /// Whether the owner has stopped granting for good.
    #[serde(default)]
    pub released: bool,
    /// Whether no earlier owner's grants counted any more in any window.
    #[serde(default)]
    pub settled: bool,
}

#[derive(Debug, Clone)]
struct Seen {
    era: u64,
    version: Option<Version>,
    doc: Option<OwnerDoc>,
    /// When it was first seen like this.
    at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// When the last successful write was sent.
    sent: Time,
    /// Time from which this process may grant.
    from: Time,
    /// Time from which no earlier owner's grants count.
    settled_at: Time,
}

/// One partition's ownership as seen by one process.
#[derive(Debug)]
pub struct OwnerLease {
    name: String,
    addr: SocketAddr,
    boot: u64,
    /// Time after which a previous owner's grants no longer count.
    settling: Duration,
    seen: Option<Seen>,
    held: Option<Held>,
    /// Whether this process is giving the partition up.
    releasing: bool,
    rest_until: Time,
    /// Writes that failed in a row, and the time from which the next one may be sent.
    failures: u32,
    retry_at: Time,
}

impl OwnerLease {
    /// Starts without owning the partition; `addr` is an address that this process has bound.
    pub fn new(name: &str, addr: SocketAddr, boot: u64, settling: Duration) -> OwnerLease {
        OwnerLease {
            name: name.to_owned(),
            addr,
            boot,
            settling,
            seen: None,
            held: None,
            releasing: false,
            rest_until: Time::ZERO,
            failures: 0,
            retry_at: Time::ZERO,
        }
    }

    /// Processes a read of the object, none if it does not exist, in this era. An older version is
    /// ignored.
    pub fn observe(
        &mut self,
        now: Time,
        era: u64,
        version: Option<Version>,
        doc: Option<OwnerDoc>,
    ) {
        self.forget_failures();
        if let Some(seen) = &self.seen {
            let is_same = seen.era == era && seen.version == version;
            let is_older = era < seen.era || version.is_some() && version < seen.version;
            if is_same || is_older {
                return;
            }
        }
        let is_own = doc.as_ref().is_some_and(|doc| doc.boot == self.boot);
        let is_taken = doc.as_ref().is_some_and(|doc| doc.era == era) && !is_own;
        if is_taken {
            self.held = None;
            self.releasing = false;
        }
        self.seen = Some(Seen { era, version, doc, at: now });
    }

    /// Whether this process may grant.
    pub fn may_grant(&self, now: Time) -> bool {
        !self.releasing
            && self.held.is_some_and(|held| now >= held.from && now < held.sent + OWNER_LEASE)
    }

    /// Whether this process is the owner, as far as it knows.
    pub fn is_owner(&self) -> bool {
        self.held.is_some() && !self.releasing
    }

    /// Whether this process has given the partition up and the store does not show it yet.
    pub fn is_releasing(&self) -> bool {
        self.held.is_some() && self.releasing
    }

    /// Records that a write got no answer, so that the next one waits; `spread` is random, from 0 to 1.
    pub fn record_failure(&mut self, now: Time, spread: f64) {
        let longest = OWNER_LEASE.mul_f64(RENEW_SHARE);
        let wait = (MIN_RETRY_TIME * (1 << self.failures.min(8))).min(longest);
        self.failures += 1;
        self.retry_at = now + wait.mul_f64(0.75 + spread / 2.0); // ±25 %, so that hosts do not retry together.
    }

    /// Records that the store answers again.
    fn forget_failures(&mut self) {
        self.failures = 0;
        self.retry_at = Time::ZERO;
    }

    /// The condition of the next write.
    pub fn expected(&self) -> Expect {
        let version = self.seen.as_ref().and_then(|seen| seen.version);
        version.map_or(Expect::Absent, Expect::At)
    }

    /// Stops granting for good, so that the object can be written as released.
    pub fn release(&mut self, now: Time) {
        self.releasing = self.held.is_some();
        self.rest_until = now + REST_TIME;
    }

    /// The object to write now; none if nothing is to be written.
    pub fn next_write(&mut self, now: Time) -> Option<OwnerDoc> {
        let seen = self.seen.as_ref()?;
        let is_over = self.held.is_some_and(|held| now >= held.sent + OWNER_LEASE);
        if is_over && !self.is_last_writer(seen) {
            // A later owner may be missing from the copy that the store came back from.
            self.held = None;
            self.releasing = false;
        }
        let is_due = match self.held {
            _ if now < self.retry_at => false,
            Some(_) if self.releasing => true,
            Some(held) => now >= held.sent + OWNER_LEASE.mul_f64(RENEW_SHARE),
            None => now >= self.rest_until && self.may_take_over(now, seen),
        };
        let count = seen.doc.as_ref().map_or(0, |doc| doc.count) + 1;
        is_due.then(|| OwnerDoc {
            owner: self.name.clone(),
            addr: Some(self.addr),
            boot: self.boot,
            count,
            era: seen.era,
            released: self.is_releasing(),
            settled: self.held.is_some_and(|held| now >= held.settled_at),
        })
    }

    /// Whether the object is as this process wrote it, in the present era.
    fn is_last_writer(&self, seen: &Seen) -> bool {
        seen.doc.as_ref().is_some_and(|doc| doc.boot == self.boot && doc.era == seen.era)
    }

    fn may_take_over(&self, now: Time, seen: &Seen) -> bool {
        self.is_vacant(seen) || now >= seen.at + OWNER_LEASE.mul_f64(TAKEOVER_SHARE)
    }

    /// Whether nobody can be granting.
    fn is_vacant(&self, seen: &Seen) -> bool {
        match &seen.doc {
            None => was_never_written(seen),
            Some(doc) if doc.era != seen.era => false,
            Some(doc) => doc.released || doc.addr == Some(self.addr),
        }
    }

    /// Records that `doc`, sent at `sent`, was written as `version`. Returns how the buckets begin, if this
    /// process has become the owner by it.
    pub fn record_write(
        &mut self,
        now: Time,
        sent: Time,
        version: Version,
        doc: OwnerDoc,
    ) -> Option<BucketStart> {
        self.forget_failures();
        // What did not exist in the era in which this host saw it may be missing from the older copy that the
        // store has come back from since.
        let is_other_era = version.era != doc.era;
        let is_vacant = self.seen.as_ref().is_some_and(|seen| self.is_vacant(seen));
        let start = self.seen.as_ref().map_or(BucketStart::AfterUnsettled, bucket_start);
        let released = doc.released;
        self.seen =
            Some(Seen { era: version.era, version: Some(version), doc: Some(doc), at: now });
        if released {
            self.held = None;
            self.releasing = false;
            return None;
        }
        if let Some(held) = &mut self.held {
            held.sent = sent;
            return None;
        }
        if is_other_era {
            return None;
        }
        let from = if is_vacant { now } else { now + GRANT_LIFE };
        let is_first = start == BucketStart::First;
        let settled_at = if is_first { now } else { now + self.settling };
        self.held = Some(Held { sent, from, settled_at });
        Some(start)
    }

    /// The object, if this process wrote it.
    pub fn own_doc(&self) -> Option<&OwnerDoc> {
        self.doc().filter(|doc| doc.boot == self.boot)
    }

    /// The object as last seen.
    pub fn doc(&self) -> Option<&OwnerDoc> {
        self.seen.as_ref().and_then(|seen| seen.doc.as_ref())
    }
}

/// Whether an absent object was never written: in the first era the store has not come back from an older
/// copy, which may lack it.
fn was_never_written(seen: &Seen) -> bool {
    seen.version.is_none() && seen.era == 0
}

/// How the buckets of an owner begin that follows on this object.
fn bucket_start(seen: &Seen) -> BucketStart {
    match &seen.doc {
        None if was_never_written(seen) => BucketStart::First,
        Some(doc) if doc.era == seen.era && doc.settled => BucketStart::AfterSettled,
        _ => BucketStart::AfterUnsettled,
    }
}
