//! What a host assumes of the others' work until it has heard of it.
//!
//! A host that has just started knows no loads. If all start at once, all would make the same choices.
//! Until it has heard reports of half of the hosts that may serve, it takes the mean work of those heard
//! for those not heard, sends one request at a time to a target that nobody has reported, and the
//! requests of a prompt part at random to its two first-ranked targets.

use std::{collections::HashSet, time::Duration};

use chervilgate_clock::Time;

use crate::{
    fleet::{Fleet, InFlightWork, peer_loads::PeerLoad, target::TargetState},
    hash::stable_hash,
    protocol::Prompt,
};

/// Longest time for which a host assumes anything: entries may outlive their hosts. Others list a new
/// host within six seconds, and then report to it in each round.
const MAX_TIME: Duration = Duration::from_secs(8);

/// The same while nobody reports: the others may all have ended, and their requests come here.
const MAX_SILENT_TIME: Duration = Duration::from_secs(2);

/// Whose reports this host has heard since it started.
#[derive(Debug, Default)]
pub(super) struct FirstSeconds {
    /// Since when others are known; none if none are.
    began_at: Option<Time>,
    /// Number of other hosts that may serve.
    others: usize,
    /// Gossip ids of those heard.
    heard: HashSet<u32>,
    /// Id hashes of the targets that they have reported.
    reported: HashSet<u32>,
    /// Differs between hosts that start together.
    salt: u64,
    is_over: bool,
}

impl FirstSeconds {
    pub(super) fn record_report(&mut self, host: u32, work: &[InFlightWork]) {
        if self.is_over {
            return;
        }
        self.heard.insert(host);
        self.reported.extend(work.iter().map(|work| work.target));
        self.end_if_half_heard();
    }

    fn set_others(&mut self, now: Time, others: usize, salt: u64) {
        if self.is_over || others == 0 {
            return;
        }
        self.began_at = self.began_at.or(Some(now));
        self.others = others;
        self.salt = salt;
        self.end_if_half_heard();
    }

    fn end_if_half_heard(&mut self) {
        if self.began_at.is_some() && self.heard.len() * 2 >= self.others {
            *self = FirstSeconds { is_over: true, ..FirstSeconds::default() };
        }
    }

    fn lasts(&self, now: Time) -> bool {
        let span = if self.heard.is_empty() { MAX_SILENT_TIME } else { MAX_TIME };
        !self.is_over && self.began_at.is_some_and(|at| now.since(at) < span)
    }
}

impl Fleet {
    /// Sets the number of other hosts that may be serving. From the first call with any on, this host
    /// assumes work that it has not heard of. `salt` is a random number of this host.
    pub fn set_other_hosts(&mut self, now: Time, others: usize, salt: u64) {
        self.first_seconds.set_others(now, others, salt);
    }

    /// What other hosts have in flight on a target, with what is assumed of those not heard.
    pub(super) fn assumed_load(&self, now: Time, state: &TargetState) -> PeerLoad {
        let load = self.peer_loads.load(state.id_hash);
        let FirstSeconds { others, heard, .. } = &self.first_seconds;
        if !self.first_seconds.lasts(now) || heard.is_empty() {
            return load;
        }
        let factor = *others as f64 / heard.len() as f64;
        let scaled = |sum: u32| (f64::from(sum) * factor).round() as u32;
        PeerLoad {
            in_flight: scaled(load.in_flight),
            pending_ms: scaled(load.pending_ms),
            failure_percent: load.failure_percent,
            kv_tokens: (load.kv_tokens as f64 * factor).round() as u64,
        }
    }

    /// Whether a target gets no further request of this host now, since nobody has reported it.
    pub(super) fn is_unreported(&self, now: Time, state: &TargetState) -> bool {
        state.in_flight > 0
            && self.first_seconds.lasts(now)
            && !self.first_seconds.reported.contains(&state.id_hash)
    }

    /// Whether the second-ranked target of a prompt part is taken for the first for this request.
    pub(super) fn prefers_second_rank(&self, now: Time, prompt: &Prompt) -> bool {
        let own_part = prompt.parts.last().map_or(0, |part| part.id);
        self.first_seconds.lasts(now) && stable_hash(&(self.first_seconds.salt, own_part)) & 1 == 1
    }
}
