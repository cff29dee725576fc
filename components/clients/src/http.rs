//! Sending one HTTP request to one address.
//!
//! A caller must be told truthfully whether its request ran, so the sender
//! keeps apart the failures before the first byte left from all later ones.
//! That is why it holds its own connections rather than a pooled client, which
//! would retry by itself and blur the two.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time::timeout};

use crate::body::{Body, incoming};

/// Time allowed for a connection to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Unacknowledged bytes are dropped after this time; less than the flight span
/// that orders are given to arrive late.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a byte after which the system asks whether the peer is still there.
const PROBE_PACE: Duration = Duration::from_secs(1);
/// Idle connections kept to one address.
const IDLE_LIMIT: usize = 64;

/// Why a request got no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No byte of the request reached the address.
    #[snafu(display("{addr} could not be reached: {reason}"))]
    NotSent {
        /// Where it should have gone.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request left; whether it ran is not known.
    #[snafu(display("{addr} did not answer: {source}"))]
    Unanswered {
        /// Where it went.
        addr: SocketAddr,
        /// What hyper reported.
        source: hyper::Error,
    },
}

impl SendError {
    /// Whether it is certain that the request did not run.
    pub fn not_run(&self) -> bool {
        matches!(self, SendError::NotSent { .. })
    }
}

/// Sends requests to targets.
#[async_trait]
pub trait HttpSender: Send + Sync {
    /// Sends one request once and waits for the head of its response.
    async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Body>, SendError>;
}

type Connection = http1::SendRequest<Full<Bytes>>;

/// Keeps idle connections by address.
#[derive(Clone, Default)]
pub struct HttpPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl HttpPool {
    /// A pool without connections.
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
        if list.len() < IDLE_LIMIT {
            list.push(conn);
        }
    }

    /// Returns the connection once its response has been read to the end.
    fn return_later(&self, addr: SocketAddr, mut conn: Connection) {
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
        if let Some(mut conn) = self.take_idle(addr) {
            match conn.try_send_request(request).await {
                Ok(response) => {
                    self.return_later(addr, conn);
                    return Ok(response.map(incoming));
                }
                // The idle connection had closed before the request was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context(UnansweredSnafu { addr }),
                },
            }
        }
        let mut conn = connect(addr).await?;
        match conn.try_send_request(request).await {
            Ok(response) => {
                self.return_later(addr, conn);
                Ok(response.map(incoming))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => NotSentSnafu { addr, reason: "the connection closed at once" }.fail(),
                None => Err(error.into_error()).context(UnansweredSnafu { addr }),
            },
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Connection, SendError> {
    let not_sent = |reason: String| SendError::NotSent { addr, reason };
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| not_sent("the connection took too long".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    bound_silence(&stream);
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!(target: "http", addr:%, error:%; "connection ended");
        }
    });
    Ok(sender)
}

/// Bounds how long a dead peer can go unnoticed; best effort.
fn bound_silence(stream: &TcpStream) {
    let millis = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let set = sockopt::set_tcp_user_timeout(stream, millis);
    if let Err(error) = set {
        log::debug!(target: "http", error:%; "no TCP user timeout");
    }
    // A connection may fall silent while an answer is awaited; nothing else shows it.
    let probed = sockopt::set_socket_keepalive(stream, true)
        .and_then(|()| sockopt::set_tcp_keepidle(stream, PROBE_PACE))
        .and_then(|()| sockopt::set_tcp_keepintvl(stream, PROBE_PACE));
    if let Err(error) = probed {
        log::debug!(target: "http", error:%; "no TCP keep-alive");
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "http", error:%; "no TCP_NODELAY");
    }
}
