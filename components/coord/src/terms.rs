//! Spans of time that sessions, shards and orders keep to.

use std::time::Duration;

/// Spans of the authority protocols; the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long authority lasts after the sending of a renewal.
    pub term: Duration,
    /// Taken off the holder's term and added to a challenger's wait.
    pub guard: Duration,
    /// From one renewal to the next.
    pub renew: Duration,
    /// From one look at a followed session to the next.
    pub poll: Duration,
    /// From one list of all sessions to the next, at least.
    pub list: Duration,
    /// Added to `list` for each session, to bound the bytes read a second.
    pub list_share: Duration,
    /// From one candidate's attempt at a shard to the next candidate's.
    pub stagger: Duration,
    /// An order leaves this long before authority ends, or not at all.
    pub send_budget: Duration,
    /// After this span nothing sent on a closed connection arrives any more.
    pub flight: Duration,
    /// From one search for proof to the next.
    pub probe: Duration,
    /// How long a better candidate is live before a shard is handed to it.
    pub handover: Duration,
    /// The first and the longest delay after a failed call.
    pub backoff: (Duration, Duration),
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            term: Duration::from_secs(9),
            guard: Duration::from_millis(500),
            renew: Duration::from_secs(3),
            poll: Duration::from_secs(1),
            list: Duration::from_secs(3),
            list_share: Duration::from_millis(60),
            stagger: Duration::from_millis(500),
            send_budget: Duration::from_secs(1),
            flight: Duration::from_secs(3),
            probe: Duration::from_secs(2),
            handover: Duration::from_secs(20),
            backoff: (Duration::from_millis(200), Duration::from_secs(3)),
        }
    }
}

impl Terms {
    /// How long a session stands unmoved before it may be sealed.
    pub fn patience(&self) -> Duration {
        self.term + self.guard
    }
}
