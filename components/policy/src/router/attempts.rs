//! The attempts that this host has open.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::{Fingerprint, TargetId, Ticket};

/// One open attempt.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) prefill: TargetId,
    pub(super) decode: TargetId,
    /// Prompt tokens to compute.
    pub(super) missing: u64,
    /// KV memory taken, in tokens.
    pub(super) kv: u64,
    /// Whether its prompt is computed.
    pub(super) proven: bool,
    /// Whether it is run apart, after a crash.
    pub(super) suspect: bool,
    pub(super) fingerprint: Fingerprint,
}

impl Attempt {
    /// Whether it runs on `target` now.
    pub(super) fn is_on(&self, target: TargetId) -> bool {
        let waits = !self.proven && self.prefill != self.decode;
        self.prefill == target && !self.proven || self.decode == target && !waits
    }

    /// Whether its prompt is computed on one target and its output on another.
    pub(super) fn is_split(&self) -> bool {
        self.prefill != self.decode
    }
}

/// Open attempts by ticket, and by fingerprint while they are unproven.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    open: HashMap<Ticket, Attempt>,
    unproven: HashMap<Fingerprint, SmallVec<[Ticket; 1]>>,
}

impl Attempts {
    pub(super) fn insert(&mut self, ticket: Ticket, attempt: Attempt) {
        self.unproven.entry(attempt.fingerprint).or_default().push(ticket);
        self.open.insert(ticket, attempt);
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Attempt> {
        self.open.get(&ticket)
    }

    /// Marks the prompt as computed; false if it was, or if the ticket is not open.
    pub(super) fn prove(&mut self, ticket: Ticket) -> bool {
        let Some(attempt) = self.open.get_mut(&ticket) else { return false };
        if attempt.proven {
            return false;
        }
        attempt.proven = true;
        let fingerprint = attempt.fingerprint;
        self.settle(ticket, fingerprint);
        true
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Attempt> {
        let attempt = self.open.remove(&ticket)?;
        self.settle(ticket, attempt.fingerprint);
        Some(attempt)
    }

    /// An unproven attempt at the same request, if one is open.
    pub(super) fn twin(&self, fingerprint: Fingerprint) -> Option<&Attempt> {
        let tickets = self.unproven.get(&fingerprint)?;
        self.open.get(tickets.first()?)
    }

    /// Open attempts on `target`, by ticket.
    pub(super) fn on(&self, target: TargetId) -> Vec<(Ticket, &Attempt)> {
        let open = self.open.iter().filter(|(_, attempt)| attempt.is_on(target));
        let mut found: Vec<_> = open.map(|(ticket, attempt)| (*ticket, attempt)).collect();
        found.sort_by_key(|(ticket, _)| *ticket);
        found
    }

    fn settle(&mut self, ticket: Ticket, fingerprint: Fingerprint) {
        let Some(tickets) = self.unproven.get_mut(&fingerprint) else { return };
        tickets.retain(|known| *known != ticket);
        if tickets.is_empty() {
            self.unproven.remove(&fingerprint);
        }
    }
}
