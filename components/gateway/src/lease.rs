//! The lease for the duties that only one process at a time may perform.
//!
//! An object in the store names the holder and its epoch. The holder rewrites it at a
//! fixed interval, and acts only for a limited time after it *sent* the last successful
//! write. A challenger acquires the lease once it has seen the object unchanged, by its
//! own clock, for longer than that. Its conditional write fails if the holder has
//! written in the meantime, however stale its read was. A new holder waits for a whole
//! lease before it acts, so that calls of two holders never alternate within one
//! lease. Receivers do not check the epoch, so only time separates two holders: a call
//! that was sent in time and arrives late is limited by the TCP user timeout of the
//! connection.
//!
//! A store that comes back from an older copy has lost the lease's last writes. Whoever held it
//! then may no longer be named there, so nobody holds a lease of an earlier era: it has to be
//! acquired again, under an epoch that is higher than any of the eras before. The process that
//! held it until then does so at once and goes on. Any other one cannot know which windows the
//! last holder reported, and leaves out those that ended before it saw the new era.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::{hash::stable_hash, usage::Counts};

/// Interval between the holder's writes, as a share of the lease.
const RENEW_SHARE: f64 = 0.3;

/// Time for which the holder may act after sending a write, as a share of the lease.
const ACT_SHARE: f64 = 0.7;

/// Number of epochs in each era of the store, so that those of a later era are higher even if the
/// store has lost how many there were.
const EPOCHS_PER_ERA: u64 = 1 << 32;

/// Number of standbys, which read the lease often. If all of them are lost with a zone,
/// the next hosts become standbys once the lost ones no longer count as live.
const STANDBYS: usize = 8;

/// Number of sealed windows kept in the lease object.
const MAX_SEALED_WINDOWS: usize = 6;

/// A usage window with its final counts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window, counted from 1970.
    pub window: u64,
    /// Requests started, by organisation.
    pub counts: Counts,
    /// Whether its report was accepted.
    pub reported: bool,
}

/// Whether the host `own` is a standby, which reads the lease often. `others` are the
/// other live hosts.
///
/// Each holder has a different set of standbys: hosts that are restarted one after the
/// other in the order of their names must not hand the lease to the next host to be
/// restarted.
pub fn is_standby<'a>(holder: &str, own: &str, others: impl Iterator<Item = &'a str>) -> bool {
    let rank = |name: &str| stable_hash(&(holder, name));
    let own = rank(own);
    others.filter(|name| *name != holder && rank(name) < own).count() < STANDBYS
}

/// The lease object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseDoc {
    /// Name of the host that holds the lease.
    pub holder: String,
    /// Random number that identifies the holding process.
    pub boot: u64,
    /// Increases with each new holder; sent with each call.
    pub epoch: u64,
    /// Number of writes, so that each write changes the object.
    pub beat: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// The latest sealed usage windows, oldest first.
    pub sealed: Vec<SealedWindow>,
}

impl LeaseDoc {
    /// Adds a sealed window; drops the oldest above the limit.
    pub fn seal(&mut self, window: u64, counts: Counts) {
        self.push(SealedWindow { window, counts, reported: false });
    }

    /// Leaves out all windows up to `window` that are not sealed: an earlier holder may have
    /// reported them with counts that are lost.
    pub fn skip_windows(&mut self, window: u64) {
        if self.sealed.last().is_none_or(|sealed| sealed.window < window) {
            self.push(SealedWindow { window, counts: Counts::new(), reported: true });
        }
    }

    /// Drops sealed windows that nobody can have sealed while `current` is under way, not even by a clock
    /// that is some windows ahead.
    pub fn drop_future_windows(&mut self, current: u64) {
        let last = current.saturating_add(MAX_SEALED_WINDOWS as u64);
        self.sealed.retain(|sealed| sealed.window <= last);
    }

    fn push(&mut self, window: SealedWindow) {
        self.sealed.push(window);
        if self.sealed.len() > MAX_SEALED_WINDOWS {
            self.sealed.remove(0);
        }
    }

    /// Makes the next write differ from the one before.
    pub fn count_write(&mut self) {
        self.beat = self.beat.wrapping_add(1);
    }

    /// Takes over the sealed windows of `earlier`, whose counts may have been reported.
    fn merge_sealed(&mut self, earlier: &LeaseDoc) {
        for known in &earlier.sealed {
            match self.sealed.iter_mut().find(|sealed| sealed.window == known.window) {
                Some(sealed) => {
                    let reported = sealed.reported || known.reported;
                    *sealed = SealedWindow { reported, ..known.clone() };
                }
                None => self.sealed.push(known.clone()),
            }
        }
        self.sealed.sort_by_key(|sealed| sealed.window);
        let excess = self.sealed.len().saturating_sub(MAX_SEALED_WINDOWS);
        self.sealed.drain(..excess);
    }
}

/// The lease as seen by one process.
#[derive(Debug)]
pub struct Lease {
    host: String,
    boot: u64,
    duration: Duration,
    last_seen: Option<SeenLease>,
    doc: LeaseDoc,
    held: Option<HeldLease>,
    /// The lease as this process held it when the store came back from an older copy.
    interrupted: Option<HeldLease>,
    /// When this process first saw the present era of the store; none if it is the first era
    /// that it knows.
    era_seen_at: Option<Time>,
    /// Highest epoch of any era that this process has seen.
    max_epoch: u64,
    /// When this process first saw that the lease object cannot be read; none if it can, or if this
    /// process knows what it held before.
    unreadable_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct SeenLease {
    era: u64,
    /// None if the object does not exist.
    version: Option<Version>,
    /// When it was first seen like this.
    at: Time,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// When the last successful write was sent.
    sent: Time,
    /// Earliest time at which this process may act.
    may_act_from: Time,
}

impl Lease {
    /// Starts without holding the lease.
    pub fn new(host: &str, boot: u64, duration: Duration) -> Lease {
        Lease {
            host: host.to_owned(),
            boot,
            duration,
            last_seen: None,
            doc: LeaseDoc::default(),
            held: None,
            interrupted: None,
            era_seen_at: None,
            max_epoch: 0,
            unreadable_at: None,
        }
    }

    /// Interval between the holder's writes.
    pub fn renew_interval(&self) -> Duration {
        self.duration.mul_f64(RENEW_SHARE)
    }

    /// The lease object as last read or written.
    pub fn doc(&self) -> &LeaseDoc {
        &self.doc
    }

    /// Version that the next write replaces; none if the object does not exist.
    pub fn version(&self) -> Option<Version> {
        self.last_seen.and_then(|seen| seen.version)
    }

    /// Processes a read of the lease object; an older version is ignored.
    pub fn observe(&mut self, now: Time, version: Version, mut doc: LeaseDoc) {
        if self.is_known(version) {
            return;
        }
        if self.enter_era(now, version.era) {
            doc.merge_sealed(&self.doc);
        }
        self.unreadable_at = None;
        self.max_epoch = self.max_epoch.max(doc.epoch);
        if !is_of_era(&doc, version.era) {
            self.last_seen = Some(SeenLease { era: version.era, version: Some(version), at: now });
            self.doc = doc;
            return;
        }
        self.interrupted = None;
        let own = doc.boot == self.boot && doc.holder == self.host;
        if !own || doc.released {
            self.held = None;
        } else if self.held.is_none() {
            // A write whose reply was lost took effect; this process may act after its next
            // write.
            self.held = Some(HeldLease { sent: Time::ZERO, may_act_from: now + self.duration });
        }
        self.last_seen = Some(SeenLease { era: version.era, version: Some(version), at: now });
        self.doc = doc;
    }

    /// Processes a read of a lease object that cannot be read, as another writer has changed it.
    ///
    /// A holder that may still act goes on, since no other process can have acquired the lease. For others
    /// it is held by somebody unknown from now on. Its epoch is taken to be below `since_1970` in seconds, as
    /// epochs grow by less than one a second.
    pub fn observe_unreadable(&mut self, now: Time, version: Version, since_1970: Duration) {
        if self.is_known(version) {
            return;
        }
        let is_same_era = self.last_seen.is_some_and(|seen| seen.era == version.era);
        if self.may_act(now) && is_same_era {
            self.last_seen = Some(SeenLease { era: version.era, version: Some(version), at: now });
            return;
        }
        let unknown =
            LeaseDoc { holder: String::new(), boot: 0, released: false, ..self.doc.clone() };
        self.observe(now, version, unknown);
        self.interrupted = None;
        let first_of_era = version.era.saturating_mul(EPOCHS_PER_ERA);
        self.max_epoch = self.max_epoch.max(first_of_era.saturating_add(since_1970.as_secs()));
        self.unreadable_at = Some(now);
    }

    /// Processes a read that found no lease object in the store's era `era`.
    pub fn observe_absent(&mut self, now: Time, era: u64) {
        if self.last_seen.is_none() || self.enter_era(now, era) {
            self.last_seen = Some(SeenLease { era, version: None, at: now });
            // The next write creates the object; what is known of the windows stays.
            let sealed = std::mem::take(&mut self.doc.sealed);
            self.doc = LeaseDoc { sealed, ..LeaseDoc::default() };
        }
    }

    fn is_known(&self, version: Version) -> bool {
        let known = self.last_seen.and_then(|seen| seen.version);
        known.is_some_and(|known| version <= known)
            || self.last_seen.is_some_and(|seen| version.era < seen.era)
    }

    /// Ends what was held in an earlier era. Returns whether `era` is later than the one known.
    fn enter_era(&mut self, now: Time, era: u64) -> bool {
        if self.last_seen.is_none_or(|seen| seen.era >= era) {
            return false;
        }
        self.interrupted = self.held.take().or(self.interrupted);
        self.era_seen_at = Some(now);
        true
    }

    /// Whether the lease was held by this process when the store came back from an older copy,
    /// and no other process can have acquired it since.
    fn may_resume(&self, now: Time) -> bool {
        let until = |held: HeldLease| held.sent + self.duration.mul_f64(ACT_SHARE);
        self.interrupted.is_some_and(|held| now < until(held))
    }

    /// Time up to which an earlier holder may have reported windows that are not known here, if
    /// this process acquires the lease now; none if all are known.
    pub fn windows_unknown_until(&self, now: Time) -> Option<Time> {
        let seen = self.last_seen?;
        if self.unreadable_at.is_some() {
            return self.unreadable_at;
        }
        let is_first = seen.era == 0;
        if is_first || self.held.is_some() || self.may_resume(now) || is_of_era(&self.doc, seen.era)
        {
            return None;
        }
        Some(self.era_seen_at.unwrap_or(seen.at))
    }

    /// Whether this process holds the lease, even if it may not act yet.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Whether this process may perform the duties now.
    pub fn may_act(&self, now: Time) -> bool {
        self.held.is_some_and(|held| {
            now < held.sent + self.duration.mul_f64(ACT_SHARE) && now >= held.may_act_from
        })
    }

    /// The lease object to write now, if a renewal or takeover is due.
    ///
    /// `delay` is a random wait that spreads out challengers.
    pub fn next_write(&self, now: Time, delay: Duration) -> Option<LeaseDoc> {
        let era = self.last_seen.map_or(0, |seen| seen.era);
        let mut doc = self.doc.clone();
        doc.count_write();
        if let Some(held) = self.held {
            return (now.since(held.sent) >= self.renew_interval()).then_some(doc);
        }
        let free = match self.last_seen {
            None => true,
            Some(seen) if seen.version.is_none() && self.era_seen_at.is_none() => true,
            Some(seen) => {
                // A challenger waits for a little longer than the lease, in which the holder must
                // have written if it still runs.
                doc.released
                    || self.may_resume(now)
                    || now.since(seen.at) >= self.duration.mul_f64(1.1) + delay
            }
        };
        free.then(|| LeaseDoc {
            holder: self.host.clone(),
            boot: self.boot,
            epoch: self
                .max_epoch
                .max(doc.epoch)
                .max(era.saturating_mul(EPOCHS_PER_ERA))
                .saturating_add(1),
            released: false,
            ..doc
        })
    }

    /// Records a successful write that was sent at `sent`.
    pub fn record_write(&mut self, now: Time, sent: Time, version: Version, doc: LeaseDoc) {
        if self.is_known(version) {
            return;
        }
        self.enter_era(sent, version.era);
        // The very first holder has no predecessor to wait for; in a later era of the store it may
        // have one that the store has lost.
        let first = self.max_epoch == 0 && version.era == 0;
        let may_act_from = if first { sent } else { sent + self.duration };
        let before = self.held.or(self.interrupted.filter(|_| self.may_resume(sent)));
        let may_act_from = before.map_or(may_act_from, |held| held.may_act_from);
        self.last_seen = Some(SeenLease { era: version.era, version: Some(version), at: now });
        self.max_epoch = self.max_epoch.max(doc.epoch);
        if !is_of_era(&doc, version.era) {
            // The store came back from a copy before it carried the write out.
            self.doc = doc;
            return;
        }
        self.interrupted = None;
        self.unreadable_at = None;
        self.held = (!doc.released).then_some(HeldLease { sent, may_act_from });
        self.doc = doc;
    }
}

/// Whether the lease was acquired in this era of the store.
fn is_of_era(doc: &LeaseDoc, era: u64) -> bool {
    doc.epoch > era.saturating_mul(EPOCHS_PER_ERA)
}
