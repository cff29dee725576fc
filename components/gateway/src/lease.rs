//! Who performs the duties that one process at a time may perform.
//!
//! One object in the store names the holder and its epoch. The holder rewrites it
//! at a fixed pace and acts only for a while after it *sent* the last write that
//! took effect. A challenger takes the lease once it has seen the object unchanged,
//! on its own clock, for longer than that; its conditional write fails if the holder
//! wrote in the meantime, however old the read was. A new holder then waits for a
//! whole lease before it acts, so that acts of two holders never alternate within
//! one. Receivers check no epoch, so time is all that parts two holders: a call
//! that left in time and arrives late is bounded by the connection's user timeout.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::{hash::hash, usage::Counts};

/// Time between two writes of the holder, as a share of the lease.
const RENEW_SHARE: f64 = 0.3;

/// Time that the holder acts after a write was sent, as a share of the lease.
const HELD_SHARE: f64 = 0.7;

/// Hosts that look at the lease often: more than are lost at once but with a whole
/// zone, and then the next ones follow once the lost ones are not heard.
const DEPUTIES: usize = 8;

/// Sealed windows kept.
const SEALED: usize = 6;

/// A usage window whose counts are final.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sealed {
    /// The window.
    pub window: u64,
    /// Requests begun by organisation.
    pub counts: Counts,
    /// Whether the report was accepted.
    pub reported: bool,
}

/// Whether the host `own` is among those that look at the lease often. `others` are the
/// other hosts that live.
///
/// Each holder has deputies of its own all over the fleet: hosts that are restarted one
/// after the other in the order of their names must not hand the lease to the next one.
pub fn is_deputy<'a>(holder: &str, own: &str, others: impl Iterator<Item = &'a str>) -> bool {
    let place = |name: &str| hash(&(holder, name));
    let own = place(own);
    others.filter(|name| *name != holder && place(name) < own).count() < DEPUTIES
}

/// The lease object.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseDoc {
    /// The host that holds the lease.
    pub holder: String,
    /// The process that holds it.
    pub boot: u64,
    /// Grows with each new holder; sent along with each act.
    pub epoch: u64,
    /// Counts the holder's writes.
    pub beat: u64,
    /// Whether the holder gave it up.
    pub released: bool,
    /// Usage windows that are final.
    pub sealed: Vec<Sealed>,
}

impl LeaseDoc {
    /// Adds a sealed window and drops the oldest.
    pub fn seal(&mut self, window: u64, counts: Counts) {
        self.sealed.push(Sealed { window, counts, reported: false });
        if self.sealed.len() > SEALED {
            self.sealed.remove(0);
        }
    }
}

/// One process's part in the lease.
#[derive(Debug)]
pub struct Lease {
    host: String,
    boot: u64,
    span: Duration,
    seen: Option<(Version, Time)>,
    doc: LeaseDoc,
    held: Option<Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// When the last write that took effect was sent.
    sent: Time,
    /// When this process may act first.
    ready: Time,
}

impl Lease {
    /// Not held, and nothing known.
    pub fn new(host: &str, boot: u64, span: Duration) -> Lease {
        Lease {
            host: host.to_owned(),
            boot,
            span,
            seen: None,
            doc: LeaseDoc::default(),
            held: None,
        }
    }

    /// Time between two writes of the holder.
    pub fn renewal(&self) -> Duration {
        self.span.mul_f64(RENEW_SHARE)
    }

    /// The object as last seen or written.
    pub fn doc(&self) -> &LeaseDoc {
        &self.doc
    }

    /// The version that the next write replaces; none creates the object.
    pub fn version(&self) -> Option<Version> {
        self.seen.map(|(version, _)| version)
    }

    /// Takes in the object as it was read.
    pub fn observe(&mut self, now: Time, version: Version, doc: LeaseDoc) {
        if self.seen.is_some_and(|(known, _)| version <= known) {
            return;
        }
        let own = doc.boot == self.boot && doc.holder == self.host;
        if !own || doc.released {
            self.held = None;
        } else if self.held.is_none() {
            // A write whose answer was lost took effect; the next one lets it act.
            self.held = Some(Held { sent: Time::ZERO, ready: now + self.span });
        }
        self.seen = Some((version, now));
        self.doc = doc;
    }

    /// Whether this process holds the lease, ready to act or not.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Whether this process may act now.
    pub fn may_act(&self, now: Time) -> bool {
        self.held.is_some_and(|held| {
            now < held.sent + self.span.mul_f64(HELD_SHARE) && now >= held.ready
        })
    }

    /// The object to write now, if a write is due.
    ///
    /// `delay` keeps challengers apart: the longer, the later this one tries.
    pub fn due(&self, now: Time, delay: Duration) -> Option<LeaseDoc> {
        let mut doc = self.doc.clone();
        doc.beat += 1;
        if let Some(held) = self.held {
            return (now.since(held.sent) >= self.renewal()).then_some(doc);
        }
        let free = match self.seen {
            None => true,
            Some((_, changed)) => {
                doc.released || now.since(changed) >= self.span.mul_f64(1.1) + delay
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

    /// Notes that a write sent at `sent` took effect.
    pub fn written(&mut self, now: Time, sent: Time, version: Version, doc: LeaseDoc) {
        if self.seen.is_some_and(|(known, _)| version <= known) {
            return;
        }
        self.seen = Some((version, now));
        // Nobody can act beside the first holder ever.
        let first = self.doc.epoch == 0;
        let ready = if first { sent } else { sent + self.span };
        let ready = self.held.map_or(ready, |held| held.ready);
        self.held = (!doc.released).then_some(Held { sent, ready });
        self.doc = doc;
    }
}
