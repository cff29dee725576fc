//! Notices requests whose length is stated in two ways.
//!
//! A head with both a length and chunked encoding may be understood differently by
//! each server it passes, so that a second request is smuggled inside its body. The
//! HTTP library follows the chunks and hides the length; only the bytes show both.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Ends a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The head that a connection is reading, as far as it is there.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadTap {
    head: Arc<Mutex<Vec<u8>>>,
}

impl HeadTap {
    /// Whether the head just read states a length beside chunked encoding, or cannot
    /// be told; the next head is read afresh.
    pub(crate) fn take_is_ambiguous(&self) -> bool {
        let head = std::mem::take(&mut *self.head());
        let Some(end) = find(&head, HEAD_END) else { return true };
        let lower = head[..end].to_ascii_lowercase();
        find(&lower, b"\ncontent-length").is_some()
    }

    /// Forgets bytes of the body of a request that has been answered.
    pub(crate) fn clear(&self) {
        self.head().clear();
    }

    fn note(&self, bytes: &[u8], limit: usize) {
        let mut head = self.head();
        if find(&head, HEAD_END).is_none() && head.len() < limit {
            head.extend_from_slice(bytes);
        }
    }

    fn head(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// A connection whose heads are noted.
pub(crate) struct Tapped<S> {
    inner: S,
    tap: HeadTap,
    limit: usize,
}

impl<S> Tapped<S> {
    /// Notes heads of at most about `limit` bytes in `tap`.
    pub(crate) fn new(inner: S, tap: HeadTap, limit: usize) -> Tapped<S> {
        Tapped { inner, tap, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Tapped<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.tap.note(&buf.filled()[before..], self.limit);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Tapped<S> {
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
