//! Timeouts and intervals of sessions, shards and orders.

use std::time::Duration;

/// Timeouts and intervals of the authority protocols; must be the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// How long a session lasts after a renewal was sent.
    pub lease_duration: Duration,
    /// Safety margin: subtracted from the holder's lease, and added to the time that another
    /// candidate waits before it seals the session.
    pub margin: Duration,
    /// Interval between two renewals.
    pub renew_interval: Duration,
    /// Interval between two reads of a session that is polled individually.
    pub poll_interval: Duration,
    /// Shortest interval between two lists of all sessions.
    pub list_interval: Duration,
    /// Added to `list_interval` for each session, to bound the bytes read a second.
    pub list_per_session: Duration,
    /// Delay between the attempts of two successive candidates to take a shard.
    pub stagger: Duration,
    /// An order is sent only if the session still lasts at least this long.
    pub send_margin: Duration,
    /// The longest time for which bytes sent on a closed connection may still arrive.
    pub delivery_time: Duration,
    /// Interval between two searches for proof about a former owner.
    pub proof_interval: Duration,
    /// How long a candidate of higher rank must be live before a shard is handed over to it.
    pub handover_delay: Duration,
    /// The first and the longest delay before a failed call is retried.
    pub backoff: (Duration, Duration),
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            lease_duration: Duration::from_secs(9),
            margin: Duration::from_millis(500),
            renew_interval: Duration::from_secs(3),
            poll_interval: Duration::from_secs(1),
            list_interval: Duration::from_secs(3),
            list_per_session: Duration::from_millis(60),
            stagger: Duration::from_millis(500),
            send_margin: Duration::from_secs(1),
            delivery_time: Duration::from_secs(3),
            proof_interval: Duration::from_secs(2),
            handover_delay: Duration::from_secs(20),
            backoff: (Duration::from_millis(200), Duration::from_secs(3)),
        }
    }
}

impl Timings {
    /// How long a session must go without a renewal before it may be sealed.
    pub fn seal_delay(&self) -> Duration {
        self.lease_duration + self.margin
    }
}
