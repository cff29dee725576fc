//! A TCP stream that the task of a connection shares with others.
//!
//! The task reads and writes; the others look whether something waits to be read.

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
    pub fn peeker(&self) -> StreamPeeker {
        StreamPeeker(Arc::downgrade(&self.0))
    }
}

/// The stream as those see it that neither read nor write.
#[derive(Debug, Clone)]
pub struct StreamPeeker(Weak<TcpStream>);

impl StreamPeeker {
    /// Whether the stream is open and nothing waits to be read.
    ///
    /// Asks the system, since the runtime learns of what arrived only when it polls its sockets.
    pub fn is_quiet(&self) -> bool {
        self.peek().is_ok_and(|unread| unread.is_none())
    }

    /// Whether the peer has closed or reset the stream and all that it sent before has been read.
    pub fn has_ended(&self) -> bool {
        matches!(self.peek(), Ok(Some(0)) | Err(_))
    }

    /// Length of what can be read, one byte at most; None if nothing has arrived. 0 is the end.
    fn peek(&self) -> io::Result<Option<usize>> {
        let Some(stream) = self.0.upgrade() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*stream).peek(&mut byte) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
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
