//! Sends one HTTP request to one address, over a pool of connections.
//!
//! A caller must learn whether its request may have run, so errors distinguish
//! failures before the first byte was sent from all later ones. An ordinary pooled
//! client retries by itself and hides that difference, hence this pool.
//!
//! A connection can stay open and fall silent for good, mostly together with others to the same
//! address. A request without an answer is the only sign of it, so it puts the idle ones in doubt.
//!
//! An answer belongs to the call for which it is read only if it bears the call's id, or if nothing else
//! can arrive on the connection. A peer may write a refusal once more when the next call is under way
//! already. A call without an id would count as refused by it, though it is carried out, so a connection
//! carries none after a refusal.

mod closed;
mod connection;
mod stream;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use snafu::{ResultExt, Snafu};
use tokio::time::{error::Elapsed, timeout};

use self::connection::Connection;
pub use self::{
    closed::ClosedPeers,
    connection::ConnectionHandle,
    stream::{SharedStream, StreamPeeker},
};
use crate::body::{Body, incoming};

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
    /// The request was not sent, as it was not wanted any more once there was a connection.
    #[snafu(display("request to {addr} not wanted any more"))]
    Unwanted {
        /// The destination.
        addr: SocketAddr,
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
        matches!(self, SendError::NotSent { .. } | SendError::Unwanted { .. })
    }

    /// The connections that the request was given to.
    pub fn sent_over(&self) -> SentOver {
        match self {
            SendError::NotSent { sent, .. }
            | SendError::Unwanted { sent, .. }
            | SendError::Unanswered { sent, .. } => *sent,
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

/// A pool of idle HTTP/1 connections, keyed by address. Clones share the pool.
#[derive(Clone, Default)]
pub struct HttpPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    compares_ids: bool,
    closed: Option<Arc<ClosedPeers>>,
}

impl HttpPool {
    /// An empty pool, whose connections carry no further call after an answer that is no success.
    pub fn new() -> HttpPool {
        HttpPool::default()
    }

    /// An empty pool for calls whose answers bear the calls' ids, no two alike on a connection. The
    /// caller compares them, so connections are kept after any answer.
    pub fn comparing_ids() -> HttpPool {
        HttpPool { compares_ids: true, ..HttpPool::default() }
    }

    /// The same pool, which tells of connections that its peers close.
    pub fn telling_of_closed(self) -> (HttpPool, Arc<ClosedPeers>) {
        let closed = Arc::<ClosedPeers>::default();
        (HttpPool { closed: Some(closed.clone()), ..self }, closed)
    }

    /// Sends a request at most once if `is_wanted` still holds when a connection is ready for it, and waits
    /// for the response head. Opening a connection takes up to half a second, and longer on a host that is
    /// short of processor time.
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        is_wanted: impl Fn() -> bool + Send,
    ) -> Result<Response<Body>, SendError> {
        let mut request = request.map(Full::new);
        let mut sent = SentOver::default();
        if let Some(mut conn) = self.take_idle(addr) {
            if !is_wanted() {
                self.keep_idle(addr, conn);
                return UnwantedSnafu { addr, sent }.fail();
            }
            sent.kept = true;
            match conn.send(request).await {
                Ok(response) => return Ok(self.accept(addr, conn, sent, response)),
                // If the idle connection closed before the request was written, use a new one.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        self.distrust(addr);
                        return Err(error.into_error()).context(UnansweredSnafu { addr, sent });
                    }
                },
            }
            sent = SentOver { kept: false, closed: 1 };
        }
        let mut conn = match Connection::open(addr, self.closed.clone()).await {
            Ok(conn) => conn,
            Err(reason) => return NotSentSnafu { addr, reason, sent }.fail(),
        };
        if !is_wanted() {
            self.return_when_ready(addr, conn);
            return UnwantedSnafu { addr, sent }.fail();
        }
        match conn.send(request).await {
            Ok(response) => Ok(self.accept(addr, conn, sent, response)),
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

    /// Sends a request at most once and waits up to `limit` for the response head.
    ///
    /// # Errors
    /// If `limit` passes first; the request may have run.
    pub async fn send_within(
        &self,
        limit: Duration,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Result<Response<Body>, SendError>, Elapsed> {
        let sent = timeout(limit, self.send(addr, request)).await;
        if sent.is_err() {
            self.distrust(addr);
        }
        sent
    }

    /// Drops the idle connections to `addr`, after a request to it got no answer: they may have
    /// fallen silent in the same moment, and each would cost a further request. Those with a request
    /// under way return to the pool once it is answered.
    pub fn distrust(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = idle.remove(&addr).map_or(0, |list| list.len());
        if dropped > 0 {
            log::info!(target: "http", addr:%, dropped; "idle connections dropped");
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        while let Some(conn) = list.pop() {
            if conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    fn keep_idle(&self, addr: SocketAddr, conn: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        list.retain(|conn| !conn.is_over());
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(conn);
        }
    }

    /// The response as callers get it. Its connection returns to the pool once it has been read.
    fn accept(
        &self,
        addr: SocketAddr,
        conn: Connection,
        sent: SentOver,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let handle = conn.handle();
        if !self.compares_ids && !response.status().is_success() {
            handle.discard();
        }
        self.return_when_ready(addr, conn);
        to_response(response, sent, handle)
    }

    /// Returns the connection to the pool once its response has been read completely.
    fn return_when_ready(&self, addr: SocketAddr, mut conn: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if conn.finish_response().await {
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
        self.send_if(addr, request, || true).await
    }
}

fn to_response(
    response: Response<Incoming>,
    sent: SentOver,
    handle: ConnectionHandle,
) -> Response<Body> {
    let mut response = response.map(incoming);
    response.extensions_mut().insert(sent);
    response.extensions_mut().insert(handle);
    response
}
