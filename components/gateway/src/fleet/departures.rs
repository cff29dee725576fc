//! Targets that leave or have left.
//!
//! Leaving is never undone within one start of a target, whatever its entry says later: an entry
//! may come from an older copy of the store, and a target may say in an answer that it leaves
//! before its entry does. A target whose entry was removed may only be cut off from the store; it
//! is back once it has written again, which the number of its write shows.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clock::Time;

use crate::fleet::TargetEntry;

/// Time for which a start of a target is remembered as departed: far longer than the age of
/// the copies from which a store comes back.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Maximum number of starts that are remembered; the oldest are dropped first.
const MAX_DEPARTURES: usize = 8_192;

/// What is known of one start of a target that its entry may not show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// It has said that it leaves.
    Announced,
    /// Its entry was removed after its write of this number.
    Removed { sequence: u64 },
    /// A later start of the target is known.
    Replaced,
}

/// The departed starts, by id and incarnation.
#[derive(Debug, Default)]
pub(super) struct Departures {
    starts: HashMap<(Arc<str>, u64), (Time, Departure)>,
}

impl Departures {
    /// Records a departure. An announcement and a later start are final.
    pub(super) fn record(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        departure: Departure,
    ) {
        self.evict(now);
        let known = self.starts.entry((id.clone(), incarnation)).or_insert((now, departure));
        if matches!(known.1, Departure::Removed { .. }) {
            *known = (now, departure);
        }
    }

    /// The departure of the start that wrote `entry`; none if it may be used.
    pub(super) fn of(&self, entry: &TargetEntry) -> Option<Departure> {
        let (_, departure) = self.starts.get(&(entry.id.clone(), entry.incarnation))?;
        match *departure {
            Departure::Removed { sequence } if !entry.is_older_than(sequence + 1) => None,
            departure => Some(departure),
        }
    }

    /// Whether this start of a target has said that it leaves, or was replaced.
    pub(super) fn is_final(&self, id: &Arc<str>, incarnation: u64) -> bool {
        let known = self.starts.get(&(id.clone(), incarnation));
        known.is_some_and(|(_, departure)| !matches!(departure, Departure::Removed { .. }))
    }

    /// Whether this start of a target has said that it leaves.
    pub(super) fn is_announced(&self, id: &Arc<str>, incarnation: u64) -> bool {
        let known = self.starts.get(&(id.clone(), incarnation));
        known.is_some_and(|(_, departure)| *departure == Departure::Announced)
    }

    fn evict(&mut self, now: Time) {
        if self.starts.len() < MAX_DEPARTURES {
            return;
        }
        self.starts.retain(|_, (at, _)| now.since(*at) < DEPARTURE_TTL);
        if self.starts.len() < MAX_DEPARTURES {
            return;
        }
        let mut times: Vec<Time> = self.starts.values().map(|(at, _)| *at).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.starts.retain(|_, (at, _)| *at > median);
    }
}
