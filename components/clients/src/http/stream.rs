//! A TCP stream that the task of a connection shares with the pool.
//!
//! The task reads and writes; the pool looks whether something waits to be read.

use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The stream as the task of its connection uses it.
///
/// Unlike the runtime's own stream, it asks the system again after a read that did not fill the buffer,
/// so that a close is seen with the last bytes before it.
#[derive(Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Takes over `stream`.
    pub fn new(stream: TcpStream) -> SharedStream {
        SharedStream(Arc::new(stream))
    }

    /// A view that does not keep the socket open.
    pub(super) fn peeker(&self) -> StreamPeeker {
        StreamPeeker(Arc::downgrade(&self.0))
    }
}

/// The stream as the pool sees it.
#[derive(Debug)]
pub(super) struct StreamPeeker(Weak<TcpStream>);

impl StreamPeeker {
    /// Whether the stream is open and nothing waits to be read.
    ///
    /// Asks the system, since the runtime learns of what arrived only when it polls its sockets.
    pub(super) fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return false };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}
