//! Sends one HTTP request to one address, over a pool of connections.
//!
//! A caller must learn whether its request may have run, so errors distinguish
//! failures before the first byte was sent from all later ones. An ordinary pooled
//! client retries by itself and hides that difference, hence this pool.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time::timeout};

use crate::body::{Body, incoming};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The kernel closes a connection whose data stays unacknowledged for this long. Must be less
/// than `Timings::delivery_time` and the `MAX_TRANSIT` of draining (both in `chervilgate_coord`),
/// after which nothing sent on a closed connection is assumed to still arrive.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a request got no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was not sent, so it did not run.
    #[snafu(display("cannot reach {addr}: {reason}"))]
    NotSent {
        /// The destination.
        addr: SocketAddr,
        /// The cause.
        reason: String,
        /// How far the request got.
        sent: SentOver,
    },
    /// The request was sent, but no response came; it may have run.
    #[snafu(display("no response from {addr}: {source}"))]
    Unanswered {
        /// The destination.
        addr: SocketAddr,
        /// Over which connection.
        sent: SentOver,
        /// The HTTP error.
        source: hyper::Error,
    },
}

impl SendError {
    /// Whether the request certainly did not run, so that it is safe to retry.
    pub fn not_run(&self) -> bool {
        matches!(self, SendError::NotSent { .. })
    }

    /// The connections that the request was given to.
    pub fn sent_over(&self) -> SentOver {
        match self {
            SendError::NotSent { sent, .. } | SendError::Unanswered { sent, .. } => *sent,
        }
    }
}

/// The connections that a request was given to; an extension of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SentOver {
    /// Whether the last one had carried earlier requests.
    pub kept: bool,
    /// Connections that took the request and closed, by their own account before it was written.
    pub closed: u32,
}

/// Sends HTTP requests without retrying.
#[async_trait]
pub trait HttpSender: Send + Sync {
    /// Sends a request at most once and waits for the response head; the body streams.
    async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Body>, SendError>;
}

type Connection = http1::SendRequest<Full<Bytes>>;

/// A pool of idle HTTP/1 connections, keyed by address. Clones share the pool.
#[derive(Clone, Default)]
pub struct HttpPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl HttpPool {
    /// An empty pool.
    pub fn new() -> HttpPool {
        HttpPool::default()
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        while let Some(conn) = list.pop() {
            if conn.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn keep_idle(&self, addr: SocketAddr, conn: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        list.retain(|conn| !conn.is_closed());
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(conn);
        }
    }

    /// Returns the connection to the pool once its response has been read completely.
    fn return_when_ready(&self, addr: SocketAddr, mut conn: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if conn.ready().await.is_ok() {
                pool.keep_idle(addr, conn);
            }
        });
    }
}

#[async_trait]
impl HttpSender for HttpPool {
    async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Body>, SendError> {
        let mut request = request.map(Full::new);
        let mut sent = SentOver::default();
        if let Some(mut conn) = self.take_idle(addr) {
            sent.kept = true;
            match conn.try_send_request(request).await {
                Ok(response) => {
                    self.return_when_ready(addr, conn);
                    return Ok(to_response(response, sent));
                }
                // If the idle connection closed before the request was written, use a new one.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context(UnansweredSnafu { addr, sent }),
                },
            }
            sent = SentOver { kept: false, closed: 1 };
        }
        let mut conn = match connect(addr).await {
            Ok(conn) => conn,
            Err(reason) => return NotSentSnafu { addr, reason, sent }.fail(),
        };
        match conn.try_send_request(request).await {
            Ok(response) => {
                self.return_when_ready(addr, conn);
                Ok(to_response(response, sent))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => NotSentSnafu {
                    addr,
                    reason: "the connection closed before the request was sent",
                    sent: SentOver { closed: sent.closed + 1, ..sent },
                }
                .fail(),
                None => Err(error.into_error()).context(UnansweredSnafu { addr, sent }),
            },
        }
    }
}

fn to_response(response: Response<Incoming>, sent: SentOver) -> Response<Body> {
    let mut response = response.map(incoming);
    response.extensions_mut().insert(sent);
    response
}

/// Connects to `addr`; returns the reason if that fails.
async fn connect(addr: SocketAddr) -> Result<Connection, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| "timed out connecting".to_owned())?
        .map_err(|error| error.to_string())?;
    set_dead_peer_timeouts(&stream);
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!(target: "http", addr:%, error:%; "connection failed");
        }
    });
    Ok(sender)
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
