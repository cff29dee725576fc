//! Detects requests that state both a content length and chunked encoding.
//!
//! Servers differ in which of the two they follow, which allows request smuggling: a
//! second request hidden in the body of the first. hyper follows the chunked encoding
//! and drops the `content-length` header, so the check reads the raw bytes.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The empty line that ends a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Raw bytes of the request head that a connection is receiving.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadRecorder {
    head: Arc<Mutex<Vec<u8>>>,
}

impl HeadRecorder {
    /// Whether the recorded head has a `content-length`; true also if it is incomplete.
    ///
    /// Clears the recorded bytes, so that the next head is recorded from its start.
    pub(crate) fn take_may_have_length(&self) -> bool {
        let head = std::mem::take(&mut *self.head());
        let Some(end) = find(&head, HEAD_END) else { return true };
        let lower = head[..end].to_ascii_lowercase();
        find(&lower, b"\ncontent-length").is_some()
    }

    /// Drops recorded bytes of a request's body.
    ///
    /// Called when the request has been answered, so that they do not count as part of
    /// the next head.
    pub(crate) fn clear(&self) {
        self.head().clear();
    }

    fn record(&self, bytes: &[u8], limit: usize) {
        let mut head = self.head();
        if find(&head, HEAD_END).is_none() && head.len() < limit {
            head.extend_from_slice(bytes);
        }
    }

    fn head(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// A connection that records the request heads read from it.
pub(crate) struct RecordingStream<S> {
    inner: S,
    recorder: HeadRecorder,
    limit: usize,
}

impl<S> RecordingStream<S> {
    /// Records heads in `recorder`.
    ///
    /// Stops at `limit` bytes; the read that crosses it is recorded in full.
    pub(crate) fn new(inner: S, recorder: HeadRecorder, limit: usize) -> RecordingStream<S> {
        RecordingStream { inner, recorder, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.recorder.record(&buf.filled()[start..], self.limit);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
