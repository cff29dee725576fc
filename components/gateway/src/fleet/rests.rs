//! Rests that targets ask for: times in which one wants nothing from this host.
//!
//! A target asks in an answer that turns a request away, and means the host that it answers, so
//! hosts do not tell each other. A rest ends by the clock. It is of one start of the target and is kept while the
//! target's entry is away, since an entry may lapse, or be lost with an older copy of the store,
//! while the target rests.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clock::Time;

/// Rest from which a target counts as lost to this host, which operators should notice.
const LONG_REST: Duration = Duration::from_secs(60);

/// The ends of the rests, by id and incarnation of the target.
#[derive(Debug, Default)]
pub(super) struct Rests {
    ends: HashMap<(Arc<str>, u64), Time>,
}

impl Rests {
    /// Records that a target asks for `span` of rest. A shorter rest does not end a longer one.
    pub(super) fn record(&mut self, now: Time, id: &Arc<str>, incarnation: u64, span: Duration) {
        if span.is_zero() {
            return;
        }
        self.ends.retain(|_, end| *end > now);
        let end = self.ends.entry((id.clone(), incarnation)).or_insert(now);
        if *end >= now + span {
            return;
        }
        *end = now + span;
        let rest = span.as_millis() as u64;
        if span >= LONG_REST {
            log::warn!(target: "fleet", id, incarnation, rest; "target asks for a long rest");
        } else {
            log::info!(target: "fleet", id, incarnation, rest; "target asks for rest");
        }
    }

    /// Time until the target may be sent anything; none if it does not rest.
    pub(super) fn wait(&self, now: Time, id: &Arc<str>, incarnation: u64) -> Option<Duration> {
        if self.ends.is_empty() {
            return None;
        }
        let end = *self.ends.get(&(id.clone(), incarnation))?;
        (end > now).then(|| end.since(now))
    }

    /// Number of targets that rest.
    pub(super) fn count(&self, now: Time) -> usize {
        self.ends.values().filter(|end| **end > now).count()
    }
}
