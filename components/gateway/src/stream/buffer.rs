//! Events that wait for a caller who reads more slowly than the target sends.
//!
//! Targets cut off responses that remain unread, so events are read on while their caller pauses, up
//! to a number of bytes for one caller and for all together. Once that for all is used up, the caller
//! that has read nothing for longest loses its stream.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::BodyError;
use chervilgate_clock::{BootClock, Clock, Time};
use chervilgate_serve::Cutoff;
use hyper::body::Frame;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::memory::{ByteBudget, Reader, slowest_reader};

#[cfg(test)]
mod tests;

/// Maximum number of bytes buffered for one caller: several seconds of events.
const STREAM_BUFFER_BYTES: usize = 256 << 10;

/// Number of bytes up to which a buffer may use what larger ones leave: callers that read hold a few events at
/// most. Without a share of their own, their streams ended late while others stalled.
const SMALL_BUFFER_BYTES: usize = 8 << 10;

/// Interval at which a sender without room looks for callers that have stalled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which a caller that lost its stream may take what its connection holds: as long as it had read
/// nothing before. The rest is of no use without the end, and at most four streams a second are cut, so their
/// connections hold half a megabyte.
pub(crate) const CUT_WRITE_TIME: Duration = Duration::from_secs(2);

/// The buffers of all streams.
#[derive(Debug)]
pub(crate) struct StreamBuffers {
    budget: Arc<ByteBudget>,
    /// Number of bytes up to which buffers of any size may be filled.
    limit: usize,
    buffers: Mutex<Vec<Weak<Buffer>>>,
    /// When a stalled caller was last looked for; none before.
    searched_at: Mutex<Option<Time>>,
    dropped: AtomicUsize,
}

/// Why no further events are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The caller has disconnected.
    CallerLeft,
    /// The caller did not read, and its buffer was needed.
    CallerStalled,
    /// The caller did not read until the deadline.
    TimedOut,
}

/// What became of events that were offered to a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Offer {
    Taken,
    /// The caller's own buffer is full.
    CallerFull,
    /// The buffers of all callers together are.
    BudgetFull,
}

/// How the body ends once all buffered events are read.
#[derive(Debug)]
enum End {
    Complete,
    Aborted(String),
}

#[derive(Debug)]
struct Buffer {
    budget: Arc<ByteBudget>,
    queue: Mutex<Queue>,
    /// Notified when the caller has read events, has left or has lost its stream.
    changed: Notify,
}

#[derive(Debug)]
struct Queue {
    frames: VecDeque<Bytes>,
    bytes: usize,
    last_read: Time,
    end: Option<End>,
    waker: Option<Waker>,
    refusal: Option<Refusal>,
    /// Whether the sender waits for the caller to read.
    wants_room: bool,
    /// Closes the caller's connection; none if it is not known.
    cutoff: Option<Cutoff>,
}

/// The end at which events are added.
#[derive(Debug)]
pub(super) struct EventSender {
    buffer: Arc<Buffer>,
    buffers: Arc<StreamBuffers>,
}

/// The end that a caller's response reads.
#[derive(Debug)]
pub(super) struct EventReceiver {
    buffer: Arc<Buffer>,
}

impl StreamBuffers {
    /// Buffers that hold up to `limit` bytes together, and a quarter more if they are small.
    pub(crate) fn new(limit: usize) -> Arc<StreamBuffers> {
        Arc::new(StreamBuffers {
            budget: ByteBudget::new(limit + limit / 4),
            limit,
            buffers: Mutex::default(),
            searched_at: Mutex::default(),
            dropped: AtomicUsize::new(0),
        })
    }

    /// The budget, to which what the connections of callers hold counts too.
    pub(crate) fn budget(&self) -> Arc<ByteBudget> {
        self.budget.clone()
    }

    /// Number of bytes buffered.
    pub(crate) fn used(&self) -> usize {
        self.budget.used()
    }

    /// Number of streams that ended because their callers did not read.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped.load(Ordering::Relaxed)
    }

    /// A buffer for one stream.
    pub(super) fn channel(self: &Arc<Self>, now: Time) -> (EventSender, EventReceiver) {
        let queue = Queue {
            frames: VecDeque::new(),
            bytes: 0,
            last_read: now,
            end: None,
            waker: None,
            refusal: None,
            wants_room: false,
            cutoff: None,
        };
        let budget = self.budget.clone();
        let buffer = Arc::new(Buffer { budget, queue: Mutex::new(queue), changed: Notify::new() });
        let mut buffers = self.lock();
        buffers.retain(|known| known.strong_count() > 0);
        buffers.push(Arc::downgrade(&buffer));
        let sender = EventSender { buffer: buffer.clone(), buffers: self.clone() };
        (sender, EventReceiver { buffer })
    }

    /// Ends the stream of the slowest caller, if one has stalled. All senders wait for the same bytes,
    /// so the buffers are searched once in an interval.
    fn drop_slowest(&self, now: Time) {
        {
            let mut searched_at = self.searched_at.lock().unwrap_or_else(PoisonError::into_inner);
            if searched_at.is_some_and(|at| now.since(at) < RECHECK_INTERVAL) {
                return;
            }
            *searched_at = Some(now);
        }
        let buffers: Vec<Arc<Buffer>> = self.lock().iter().filter_map(Weak::upgrade).collect();
        let readers = buffers.iter().map(|buffer| buffer.lock().reader());
        if let Some(slowest) = slowest_reader(now, readers) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            log::warn!(target: "gateway", used = self.used(); "events of a stalled caller dropped");
            buffers[slowest].refuse(Refusal::CallerStalled);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<Buffer>>> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Queue {
    fn reader(&self) -> Reader {
        Reader { bytes: self.bytes, last_read: self.last_read }
    }

    /// Whether `bytes` more fit for this caller. A single event may be larger than the limit.
    fn fits(&self, bytes: usize) -> bool {
        self.bytes == 0 || self.bytes + bytes <= STREAM_BUFFER_BYTES
    }
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops what is buffered and takes nothing more.
    fn refuse(&self, refusal: Refusal) {
        let (bytes, waker, cutoff) = {
            let mut queue = self.lock();
            queue.refusal.get_or_insert(refusal);
            queue.frames.clear();
            (std::mem::take(&mut queue.bytes), queue.waker.take(), queue.cutoff.take())
        };
        // A connection with full buffers does not ask for the rest, so it does not learn of the cut.
        if let Some(cutoff) = cutoff.filter(|_| refusal == Refusal::CallerStalled) {
            cutoff.cut(CUT_WRITE_TIME);
        }
        self.budget.release(bytes);
        self.changed.notify_one();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn end(&self, end: End) {
        let waker = {
            let mut queue = self.lock();
            queue.end.get_or_insert(end);
            queue.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl EventSender {
    /// Buffers events until the caller reads them; waits while there is no room.
    ///
    /// # Errors
    /// If the caller has left, has lost its stream, or `deadline` has passed.
    pub(super) async fn send(&self, deadline: Time, events: Bytes) -> Result<(), Refusal> {
        loop {
            let now = BootClock.now();
            let offer = self.try_send(now, &events)?;
            if offer == Offer::Taken {
                return Ok(());
            }
            if now >= deadline {
                return Err(Refusal::TimedOut);
            }
            let changed = self.buffer.changed.notified();
            if offer == Offer::CallerFull {
                let _ = timeout(deadline.since(now), changed).await;
                continue;
            }
            self.buffers.drop_slowest(now);
            // A caller counts as stalled by time alone, so the buffers are looked at again.
            tokio::select! {
                () = changed => {}
                () = self.buffers.budget.freed() => {}
                () = sleep(RECHECK_INTERVAL) => {}
            }
        }
    }

    fn try_send(&self, now: Time, events: &Bytes) -> Result<Offer, Refusal> {
        let waker = {
            let mut queue = self.buffer.lock();
            if let Some(refusal) = queue.refusal {
                return Err(refusal);
            }
            if !queue.fits(events.len()) {
                queue.wants_room = true;
                return Ok(Offer::CallerFull);
            }
            let StreamBuffers { budget, limit, .. } = &*self.buffers;
            let has_room = if queue.bytes + events.len() > SMALL_BUFFER_BYTES {
                budget.try_take_below(events.len(), *limit)
            } else {
                budget.try_take(events.len())
            };
            if !has_room {
                return Ok(Offer::BudgetFull);
            }
            if queue.bytes == 0 {
                queue.last_read = now;
            }
            queue.bytes += events.len();
            queue.frames.push_back(events.clone());
            queue.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
        Ok(Offer::Taken)
    }

    /// Ends the response as complete, after what is buffered.
    pub(super) fn finish(self) {
        self.buffer.end(End::Complete);
    }

    /// Aborts the response after what is buffered, so that the caller cannot take it for complete.
    pub(super) fn abort(self, reason: &str) {
        self.buffer.end(End::Aborted(reason.to_owned()));
    }

    /// Waits until the caller has left or has lost its stream.
    pub(super) async fn closed(&self) -> Refusal {
        loop {
            if let Some(refusal) = self.buffer.lock().refusal {
                return refusal;
            }
            self.buffer.changed.notified().await;
        }
    }
}

impl Drop for EventSender {
    /// A stream that was neither finished nor aborted has not come to its end.
    fn drop(&mut self) {
        self.buffer.end(End::Aborted("the stream was dropped".to_owned()));
    }
}

impl EventReceiver {
    /// Sets what closes the caller's connection if it loses its stream.
    pub(super) fn set_cutoff(&self, cutoff: Option<Cutoff>) {
        self.buffer.lock().cutoff = cutoff;
    }

    /// The next frame of the response's body.
    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (bytes, wants_room) = {
            let mut queue = self.buffer.lock();
            if queue.refusal.is_some() {
                let reason = "the caller did not read".to_owned();
                return Poll::Ready(Some(Err(BodyError::Aborted { reason })));
            }
            let Some(events) = queue.frames.pop_front() else {
                return match &queue.end {
                    None => {
                        queue.waker = Some(cx.waker().clone());
                        Poll::Pending
                    }
                    Some(End::Complete) => Poll::Ready(None),
                    Some(End::Aborted(reason)) => {
                        Poll::Ready(Some(Err(BodyError::Aborted { reason: reason.clone() })))
                    }
                };
            };
            queue.bytes -= events.len();
            queue.last_read = BootClock.now();
            (events, std::mem::take(&mut queue.wants_room))
        };
        self.buffer.budget.release(bytes.len());
        if wants_room {
            self.buffer.changed.notify_one();
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.buffer.refuse(Refusal::CallerLeft);
    }
}
