//! Whether the store is lost, by what the calls of one watch have shown, and what that says of entries.
//!
//! The store or the network may cut off a call that waits, at any time, which shows nothing of the store:
//! the list after it does. A call that is to be answered at once shows by its failure that the store is lost, until the
//! next answer. Targets that the list after an outage lacks may have been removed or may have been unable to write
//! their entries; only an outage, never a call that was cut off, keeps them.

use std::time::Duration;

use chervilgate_clock::Time;
use tokio::time::sleep;

/// First and longest pause after failed calls; each is twice as long as the one before.
/// Failed calls are billed too, and a recovered store must be found within a second.
pub const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(1));

/// The pause after failed calls of one kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    /// The first pause.
    pub(crate) fn new() -> Backoff {
        Backoff { pause: RETRY_BACKOFF.0 }
    }

    /// Pauses after a failed call.
    pub(crate) async fn wait(&mut self) {
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_BACKOFF.1);
    }

    /// Starts again with the first pause, after a call that succeeded.
    pub(crate) fn reset(&mut self) {
        *self = Backoff::new();
    }
}

/// Time from the list after a cut to the next cut from which that is followed by a list without a pause.
/// A store that cuts off each watch at once would otherwise be asked for lists without end.
const CUT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a watch has brought what changed before it was sent.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// A call without an answer, or that the store refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedCall {
    /// When it was sent.
    pub sent: Time,
    /// Whether it is a watch, which waits for changes. Others are answered at once.
    pub waits: bool,
    /// Whether the store refused it or could not be reached.
    pub is_refused: bool,
}

/// What to do after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFailure {
    /// List again after this pause; whether the store is lost is not known.
    List(Duration),
    /// The store is lost. List again after this pause.
    Lost {
        /// Whether it was not lost before.
        is_new: bool,
        /// The pause.
        pause: Duration,
    },
}

/// A time in which the store answered no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Up to when this host surely knew of all removals.
    pub from: Time,
    /// When the next answer arrived.
    pub until: Time,
}

impl Outage {
    /// Time from which targets that the next list lacks count as without an entry. In an outage of
    /// `drain_time` or more entries may have expired, which come back after it. In a shorter one they hardly
    /// have, while a removal may have been acknowledged just before it.
    pub fn entries_missing_since(&self, drain_time: Duration) -> Time {
        if self.until.since(self.from) < drain_time { self.from } else { self.until }
    }
}

/// What the calls of one watch have shown of the store.
#[derive(Debug, Default)]
pub struct StoreContact {
    answered_at: Option<Time>,
    /// Up to when all removals are known, if a call has failed since the last answer.
    failing_since: Option<Time>,
    is_lost: bool,
    /// When the list after the last watch that was cut off was due.
    listed_after_cut: Option<Time>,
    /// The pause after the last failure; none after failures that were apart.
    pause: Option<Duration>,
}

impl StoreContact {
    /// Whether the store is lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Records an answer at `now`. Returns the outage that it ends, if the store was lost.
    pub fn record_answer(&mut self, now: Time) -> Option<Outage> {
        self.answered_at = Some(now);
        let from = self.failing_since.take();
        if !std::mem::take(&mut self.is_lost) {
            return None;
        }
        self.pause = None;
        from.map(|from| Outage { from, until: now })
    }

    /// Records a call that failed at `now`.
    pub fn record_failure(&mut self, now: Time, call: FailedCall) -> AfterFailure {
        let FailedCall { sent, waits, is_refused } = call;
        let knew_until = if waits && now.since(sent) >= DELIVERY_TIME {
            now
        } else {
            // A removal may have come between two calls.
            self.answered_at.unwrap_or(sent)
        };
        self.failing_since.get_or_insert(knew_until);
        if waits && !is_refused && !self.is_lost {
            return AfterFailure::List(self.pause_after_cut(now));
        }
        let is_new = !std::mem::replace(&mut self.is_lost, true);
        AfterFailure::Lost { is_new, pause: self.next_pause() }
    }

    fn pause_after_cut(&mut self, now: Time) -> Duration {
        let is_repeated =
            self.listed_after_cut.is_some_and(|listed| now.since(listed) < CUT_INTERVAL);
        let pause = if is_repeated {
            self.next_pause()
        } else {
            self.pause = None;
            Duration::ZERO
        };
        self.listed_after_cut = Some(now + pause);
        pause
    }

    fn next_pause(&mut self) -> Duration {
        let (first, longest) = RETRY_BACKOFF;
        let pause = self.pause.map_or(first, |before| (before * 2).min(longest));
        self.pause = Some(pause);
        pause
    }
}
