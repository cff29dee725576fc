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

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::{hash::stable_hash, usage::Counts};

/// Interval between the holder's writes, as a share of the lease.
const RENEW_SHARE: f64 = 0.3;

/// Time for which the holder may act after sending a write, as a share of the lease.
const ACT_SHARE: f64 = 0.7;

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
        self.sealed.push(SealedWindow { window, counts, reported: false });
        if self.sealed.len() > MAX_SEALED_WINDOWS {
            self.sealed.remove(0);
        }
    }
}

/// The lease as seen by one process.
#[derive(Debug)]
pub struct Lease {
    host: String,
    boot: u64,
    duration: Duration,
    last_seen: Option<(Version, Time)>,
    doc: LeaseDoc,
    held: Option<HeldLease>,
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
        self.last_seen.map(|(version, _)| version)
    }

    /// Processes a read of the lease object; an older version is ignored.
    pub fn observe(&mut self, now: Time, version: Version, doc: LeaseDoc) {
        if self.last_seen.is_some_and(|(known, _)| version <= known) {
            return;
        }
        let own = doc.boot == self.boot && doc.holder == self.host;
        if !own || doc.released {
            self.held = None;
        } else if self.held.is_none() {
            // A write whose reply was lost took effect; this process may act after its next
            // write.
            self.held = Some(HeldLease { sent: Time::ZERO, may_act_from: now + self.duration });
        }
        self.last_seen = Some((version, now));
        self.doc = doc;
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
        let mut doc = self.doc.clone();
        doc.beat += 1;
        if let Some(held) = self.held {
            return (now.since(held.sent) >= self.renew_interval()).then_some(doc);
        }
        let free = match self.last_seen {
            None => true,
            Some((_, changed)) => {
                // A challenger waits for a little longer than the lease, in which the holder must
                // have written if it still runs.
                doc.released || now.since(changed) >= self.duration.mul_f64(1.1) + delay
            }
        };
        free.then(|| LeaseDoc {
            holder: self.host.clone(),
            boot: self.boot,
            epoch: doc.epoch + 1,
            released: false,
            ..doc
        })
    }

    /// Records a successful write that was sent at `sent`.
    pub fn record_write(&mut self, now: Time, sent: Time, version: Version, doc: LeaseDoc) {
        if self.last_seen.is_some_and(|(known, _)| version <= known) {
            return;
        }
        self.last_seen = Some((version, now));
        // The very first holder has no predecessor to wait for.
        let first = self.doc.epoch == 0;
        let may_act_from = if first { sent } else { sent + self.duration };
        let may_act_from = self.held.map_or(may_act_from, |held| held.may_act_from);
        self.held = (!doc.released).then_some(HeldLease { sent, may_act_from });
        self.doc = doc;
    }
}
