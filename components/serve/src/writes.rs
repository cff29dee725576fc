//! Limits on the writes of a connection whose caller does not read.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

#[cfg(test)]
mod tests;

/// Counts the bytes that connections hold because their callers do not read them.
pub trait HeldBytes: Send + Sync + 'static {
    /// A connection holds `bytes` more.
    fn add(&self, bytes: usize);

    /// A connection holds `bytes` less.
    fn remove(&self, bytes: usize);
}

/// Limits the time in which a caller takes what its connection holds of a response that was cut. It is in
/// the extensions of each request.
#[derive(Debug, Clone, Default)]
pub struct Cutoff(Arc<Mutex<CutState>>);

#[derive(Debug, Default)]
struct CutState {
    deadline: Option<Instant>,
    waker: Option<Waker>,
}

impl Cutoff {
    /// Closes the connection after `limit` if bytes are left then.
    pub fn cut(&self, limit: Duration) {
        let waker = {
            let mut state = self.state();
            state.deadline.get_or_insert_with(|| Instant::now() + limit);
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Whether a response was cut.
    pub fn is_cut(&self) -> bool {
        self.state().deadline.is_some()
    }

    /// When the connection is closed; none if nothing was cut. Wakes `waker` when something is.
    fn deadline(&self, waker: &Waker) -> Option<Instant> {
        let mut state = self.state();
        state.waker = Some(waker.clone());
        state.deadline
    }

    fn state(&self) -> MutexGuard<'_, CutState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection whose writes fail once its caller has taken nothing for too long.
pub(crate) struct LimitedWrites<S> {
    inner: S,
    cutoff: Cutoff,
    /// Longest time without a byte taken; none if unlimited.
    stall_limit: Option<Duration>,
    stalled_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
    held: HeldCount,
}

impl<S> LimitedWrites<S> {
    pub(crate) fn new(
        inner: S,
        cutoff: Cutoff,
        stall_limit: Option<Duration>,
        counter: Option<Arc<dyn HeldBytes>>,
    ) -> LimitedWrites<S> {
        let held = HeldCount { counter, bytes: 0 };
        LimitedWrites { inner, cutoff, stall_limit, stalled_since: None, timer: None, held }
    }

    /// Passes on the result of a write of `bytes`, unless nothing was written for too long.
    fn check(
        &mut self,
        cx: &mut Context<'_>,
        bytes: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = written {
            self.held.set(result.as_ref().map_or(0, |written| bytes.saturating_sub(*written)));
            self.stalled_since = None;
            return Poll::Ready(result);
        }
        self.held.set(bytes);
        let since = *self.stalled_since.get_or_insert_with(Instant::now);
        let stalled = self.stall_limit.map(|limit| since + limit);
        let cut = self.cutoff.deadline(cx.waker());
        let Some(deadline) = stalled.into_iter().chain(cut).min() else { return Poll::Pending };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(cx));
        let reason = if cut == Some(deadline) { "after a cut response" } else { "while stalled" };
        log::info!(target: "serve", bytes, reason; "caller does not read, connection closed");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The bytes that one connection holds, which no longer count once it ends.
struct HeldCount {
    counter: Option<Arc<dyn HeldBytes>>,
    bytes: usize,
}

impl HeldCount {
    fn set(&mut self, bytes: usize) {
        let Some(counter) = &self.counter else { return };
        if bytes > self.bytes {
            counter.add(bytes - self.bytes);
        } else if bytes < self.bytes {
            counter.remove(self.bytes - bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for HeldCount {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedWrites<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedWrites<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check(cx, buf.len(), written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        let bytes = bufs.iter().map(|buf| buf.len()).sum();
        self.check(cx, bytes, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
