//! Open attempts of this host.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::{Fingerprint, TargetId, Ticket};

/// An open attempt.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) prefill: TargetId,
    pub(super) decode: TargetId,
    /// Prompt tokens to compute.
    pub(super) uncached_tokens: u64,
    /// KV cache use, in tokens.
    pub(super) kv_tokens: u64,
    /// Whether the first token has arrived, so that the prompt is computed.
    pub(super) first_token_seen: bool,
    /// Whether the request is isolated because it was running at a crash.
    pub(super) suspect: bool,
    pub(super) fingerprint: Fingerprint,
}

impl Attempt {
    /// Whether the attempt is currently running on `target`.
    pub(super) fn is_on(&self, target: TargetId) -> bool {
        let waits = !self.first_token_seen && self.prefill != self.decode;
        self.prefill == target && !self.first_token_seen || self.decode == target && !waits
    }

    /// Whether prompt and output are computed on different targets.
    pub(super) fn is_split(&self) -> bool {
        self.prefill != self.decode
    }
}

/// Open attempts by ticket, and those without a first token by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    open: HashMap<Ticket, Attempt>,
    awaiting_first: HashMap<Fingerprint, SmallVec<[Ticket; 1]>>,
}

impl Attempts {
    pub(super) fn insert(&mut self, ticket: Ticket, attempt: Attempt) {
        self.awaiting_first.entry(attempt.fingerprint).or_default().push(ticket);
        self.open.insert(ticket, attempt);
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Attempt> {
        self.open.get(&ticket)
    }

    /// Records the first token; false if it was recorded before, or if the ticket is not open.
    pub(super) fn mark_first_token(&mut self, ticket: Ticket) -> bool {
        let Some(attempt) = self.open.get_mut(&ticket) else { return false };
        if attempt.first_token_seen {
            return false;
        }
        attempt.first_token_seen = true;
        let fingerprint = attempt.fingerprint;
        self.remove_awaiting(ticket, fingerprint);
        true
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Attempt> {
        let attempt = self.open.remove(&ticket)?;
        self.remove_awaiting(ticket, attempt.fingerprint);
        Some(attempt)
    }

    /// Returns an open attempt at the same request that has no first token yet.
    pub(super) fn duplicate(&self, fingerprint: Fingerprint) -> Option<&Attempt> {
        let tickets = self.awaiting_first.get(&fingerprint)?;
        self.open.get(tickets.first()?)
    }

    /// Attempts running on `target`, sorted by ticket.
    pub(super) fn on_target(&self, target: TargetId) -> Vec<(Ticket, &Attempt)> {
        let open = self.open.iter().filter(|(_, attempt)| attempt.is_on(target));
        let mut found: Vec<_> = open.map(|(ticket, attempt)| (*ticket, attempt)).collect();
        found.sort_by_key(|(ticket, _)| *ticket);
        found
    }

    fn remove_awaiting(&mut self, ticket: Ticket, fingerprint: Fingerprint) {
        let Some(tickets) = self.awaiting_first.get_mut(&fingerprint) else { return };
        tickets.retain(|known| *known != ticket);
        if tickets.is_empty() {
            self.awaiting_first.remove(&fingerprint);
        }
    }
}
