//! A TCP stream that the task of a connection shares with those who use the connection.
//!
//! The task reads and writes; others look whether something waits to be read.

use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::sleep,
};

/// Interval at which the end of a stream is looked for while bytes before it are not read.
const HIDDEN_END_INTERVAL: Duration = Duration::from_millis(100);

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

/// The stream as those see it who do not read it.
#[derive(Debug, Clone)]
pub struct StreamPeeker(Weak<TcpStream>);

impl StreamPeeker {
    /// Whether the stream is open and nothing waits to be read.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), Some(Err(error)) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the stream is closed, or the peer has closed it or its sending side, whatever waits to be
    /// read before that.
    pub fn is_ended(&self) -> bool {
        match self.peek() {
            None | Some(Ok(0)) => true,
            Some(Ok(_)) => self.is_hung_up(),
            Some(Err(error)) => {
                !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
            }
        }
    }

    /// Waits until the stream is closed, or the peer has closed it or its sending side.
    pub async fn ended(&self) {
        loop {
            let Some(stream) = self.0.upgrade() else { return };
            let read = stream.try_io(Interest::READABLE, || {
                SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()])
            });
            match read {
                Ok(0) => return,
                // The end stays hidden to the runtime until that is read.
                Ok(_) if self.is_hung_up() => return,
                Ok(_) => {
                    drop(stream);
                    sleep(HIDDEN_END_INTERVAL).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if stream.readable().await.is_err() {
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn is_hung_up(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        let mut fds = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        match poll(&mut fds, Some(&Timespec::default())) {
            Ok(_) => fds[0].revents().intersects(ended),
            Err(error) => {
                log::debug!(target: "http", error:%; "cannot poll a connection");
                false
            }
        }
    }

    /// Number of bytes that a read of one byte would return; none if the stream is closed.
    ///
    /// Asks the system, since the runtime learns of what arrived only when it polls its sockets.
    fn peek(&self) -> Option<io::Result<usize>> {
        let stream = self.0.upgrade()?;
        Some(SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]))
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
