//! One connection of the pool, and whether it may carry a further request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::{net::TcpStream, time::timeout};

use super::{
    closed::ClosedPeers,
    stream::{SharedStream, StreamPeeker},
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The kernel closes a connection whose data stays unacknowledged for this long. Must be less
/// than `Timings::delivery_time` and the `MAX_TRANSIT` of draining (both in `chervilgate_coord`),
/// after which nothing sent on a closed connection is assumed to still arrive.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest buffer of a connection for each direction, and size limit of a response's head. With the library's
/// default of 417,792 bytes, 60 large responses at once may take 25 MB.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that carries one request at a time.
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    peeker: StreamPeeker,
    discarded: Arc<AtomicBool>,
    /// Whether this host has no more use for it.
    released: Arc<AtomicBool>,
    opened_at: Instant,
}

impl Connection {
    /// Connects to `addr`; returns the reason if that fails. If the peer closes the connection, `closed` is told.
    pub(super) async fn open(
        addr: SocketAddr,
        closed: Option<Arc<ClosedPeers>>,
    ) -> Result<Connection, String> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| "timed out connecting".to_owned())?
            .map_err(|error| error.to_string())?;
        set_dead_peer_timeouts(&stream);
        let stream = SharedStream::new(stream);
        let peeker = stream.peeker();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let released = Arc::<AtomicBool>::default();
        let is_released = released.clone();
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(target: "http", addr:%, error:%; "connection failed");
            }
            if let Some(closed) = closed.filter(|_| !is_released.load(Ordering::Acquire)) {
                closed.add(addr);
            }
        });
        let (discarded, opened_at) = (Arc::default(), Instant::now());
        Ok(Connection { sender, peeker, discarded, released, opened_at })
    }

    /// Sends a request and waits for the response head. The error contains the request if no
    /// byte of it was written.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }

    /// Waits until the response has been read completely; returns whether the connection may
    /// carry a further request.
    pub(super) async fn finish_response(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.is_discarded()
    }

    /// Whether a request can be sent now: the connection is open, and nothing arrived on it since
    /// the last response. What arrived before a request was sent cannot answer it.
    pub(super) fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.is_discarded() && self.peeker.is_quiet()
    }

    /// Whether the connection will carry no further request.
    pub(super) fn is_over(&self) -> bool {
        self.sender.is_closed() || self.is_discarded()
    }

    fn is_discarded(&self) -> bool {
        self.discarded.load(Ordering::Acquire)
    }

    /// A handle for those who read the connection's responses.
    pub(super) fn handle(&self) -> ConnectionHandle {
        ConnectionHandle { discarded: self.discarded.clone(), opened_at: self.opened_at }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.released.store(true, Ordering::Release);
    }
}

/// The connection that a response came over; an extension of the response.
#[derive(Debug, Clone)]
pub struct ConnectionHandle {
    discarded: Arc<AtomicBool>,
    opened_at: Instant,
}

impl ConnectionHandle {
    /// Time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Keeps the connection from carrying further requests.
    ///
    /// After an answer to another request, each later answer on the connection would be read for
    /// the request after its own. Call it before anything else is awaited: a connection whose
    /// response has been read returns to the pool.
    pub fn discard(&self) {
        self.discarded.store(true, Ordering::Release);
    }
}

/// Sets TCP options that detect a dead peer. Failures are logged and ignored.
fn set_dead_peer_timeouts(stream: &TcpStream) {
    let millis = u32::try_from(TCP_USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let user_timeout = sockopt::set_tcp_user_timeout(stream, millis);
    if let Err(error) = user_timeout {
        log::debug!(target: "http", error:%; "cannot set TCP_USER_TIMEOUT");
    }
    // While a response is awaited nothing is sent, so only keep-alive probes detect a dead peer.
    let keepalive = sockopt::set_socket_keepalive(stream, true)
        .and_then(|()| sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL))
        .and_then(|()| sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL));
    if let Err(error) = keepalive {
        log::debug!(target: "http", error:%; "cannot enable TCP keep-alive");
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "http", error:%; "cannot set TCP_NODELAY");
    }
}
