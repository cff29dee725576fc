//! Limits on the bytes that a host holds for callers and targets.
//!
//! Callers may send and read slowly. Whatever is held for them counts toward the memory of the
//! process, which is killed above its limit. Request bodies, whole answers and buffered events have
//! a budget each, so that callers who are slow to send do not keep answers from being read.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_serve::HeldBytes;
use tokio::sync::Notify;

/// Memory that the process needs besides what it holds for callers and targets, in bytes.
const PROCESS_BYTES: usize = 32 << 20;

/// Share of the remaining memory that the budgets use. The buffers of connections and the allocator
/// need the rest.
const BUDGET_SHARE: f64 = 0.5;

/// Shares of the budgets.
const BODY_SHARE: f64 = 0.4;
const ANSWER_SHARE: f64 = 0.25;
const STREAM_SHARE: f64 = 0.35;

/// Smallest budget of a kind, in bytes: a few bodies of the default limit.
const MIN_BUDGET_BYTES: usize = 8 << 20;

/// Length from which a body counts as large, in bytes.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// Share of a budget that large bodies may use, so that slow senders of large ones leave room for
/// small ones.
const LARGE_BODY_SHARE: f64 = 0.75;

/// Share of a budget up to which the bytes held by connections count toward it. Connections whose responses
/// are complete end only when their callers read or leave, and must not keep all streams of others waiting.
const CONNECTION_SHARE: f64 = 0.5;

/// Time without a read after which a caller counts as stalled and its buffered events may be dropped.
/// A caller gives a stream up after a pause of two seconds of its target; the same is allowed to it.
const STALL_TIME: Duration = Duration::from_secs(2);

/// The budgets of a host, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Request bodies that are being read or wait for their answer.
    pub bodies: usize,
    /// Answers that are collected before they are passed on.
    pub answers: usize,
    /// Events that callers have not read.
    pub streams: usize,
}

impl MemoryLimits {
    /// The budgets of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> MemoryLimits {
        let available = memory.saturating_sub(PROCESS_BYTES) as f64 * BUDGET_SHARE;
        let budget = |share: f64| ((available * share) as usize).max(MIN_BUDGET_BYTES);
        MemoryLimits {
            bodies: budget(BODY_SHARE),
            answers: budget(ANSWER_SHARE),
            streams: budget(STREAM_SHARE),
        }
    }
}

/// A number of bytes that may be held at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    /// Bytes that connections hold beside those, which cannot be refused.
    in_connections: AtomicUsize,
    freed: Notify,
}

impl ByteBudget {
    /// A budget of `limit` bytes, all free.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        let (used, in_connections) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Arc::new(ByteBudget { limit, used, in_connections, freed: Notify::new() })
    }

    /// Number of bytes that connections hold.
    pub fn in_connections(&self) -> usize {
        self.in_connections.load(Ordering::Relaxed)
    }

    /// Number of bytes taken.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Takes `bytes`; returns false if fewer are free.
    pub fn try_take(&self, bytes: usize) -> bool {
        self.try_take_below(bytes, self.limit)
    }

    /// Takes `bytes` if at most `limit` bytes are then taken, less what connections hold (up to
    /// [`CONNECTION_SHARE`] of the budget); `limit` is at most the budget's own.
    pub(crate) fn try_take_below(&self, bytes: usize, limit: usize) -> bool {
        let counted = (self.limit as f64 * CONNECTION_SHARE) as usize;
        let limit = limit.saturating_sub(self.in_connections().min(counted));
        let taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(bytes).filter(|used| *used <= limit)
        });
        taken.is_ok()
    }

    /// Gives back `bytes` that were taken.
    pub fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
            self.freed.notify_waiters();
        }
    }

    /// Waits until bytes are given back, from the time at which this is first polled.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// What connections hold leaves less to take until it is given back.
impl HeldBytes for ByteBudget {
    fn add(&self, bytes: usize) {
        self.in_connections.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.in_connections.fetch_sub(bytes, Ordering::Relaxed);
        self.freed.notify_waiters();
    }
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Reservation {
    /// A reservation without bytes.
    pub fn new(budget: &Arc<ByteBudget>) -> Reservation {
        Reservation { budget: budget.clone(), bytes: 0 }
    }

    /// Number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the reservation to `bytes` in all; returns false if they are not free.
    pub fn try_set(&mut self, bytes: usize) -> bool {
        if bytes < self.bytes {
            self.budget.release(self.bytes - bytes);
            self.bytes = bytes;
        }
        self.try_raise(bytes)
    }

    /// Raises the reservation to `bytes` in all; returns false if they are not free.
    pub fn try_raise(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let share = if bytes >= LARGE_BODY_BYTES { LARGE_BODY_SHARE } else { 1.0 };
        let limit = (self.budget.limit as f64 * share) as usize;
        if !self.budget.try_take_below(missing, limit) {
            return false;
        }
        self.bytes += missing;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// A caller for whom events are buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reader {
    /// Number of bytes buffered.
    pub bytes: usize,
    /// When the caller last read any, or when the first was buffered.
    pub last_read: Time,
}

/// The caller whose events are dropped when the budget is used up: of those that have stalled, the one
/// that has read nothing for longest. None if all callers read.
pub fn slowest_reader(now: Time, readers: impl Iterator<Item = Reader>) -> Option<usize> {
    let stalled = readers
        .enumerate()
        .filter(|(_, reader)| reader.bytes > 0 && now.since(reader.last_read) >= STALL_TIME);
    stalled.min_by_key(|(_, reader)| reader.last_read).map(|(index, _)| index)
}
