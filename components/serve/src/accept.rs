//! The accept loop and its graceful shutdown.
//!
//! On shutdown the listener closes, idle connections are closed and running requests
//! are completed, so that a planned stop interrupts no request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::{Body, SharedStream, body::empty};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use snafu::Snafu;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{sleep, timeout},
};
use tokio_rustls::TlsAcceptor;

use crate::{
    Limits,
    caller::CallerConnection,
    framing::{HeadRecorder, RecordingStream},
    writes::{Cutoff, HeldBytes, LimitedWrites},
};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests of a listener.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request from `peer`, which has a [`CallerConnection`] as an extension.
    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response<Body>;

    /// Counts what connections hold because their callers do not read; none if nothing does.
    fn held_bytes(&self) -> Option<Arc<dyn HeldBytes>> {
        None
    }
}

/// Serves `listener` until `stop` turns true, then completes running requests.
///
/// Each connection uses the current value of `tls`, so that a renewed certificate
/// needs no restart. `None` serves plain HTTP.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    tls: watch::Receiver<Option<Arc<rustls::ServerConfig>>>,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, peer, permit)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let config = tls.borrow().clone();
        let stream = SharedStream::new(stream);
        let caller = CallerConnection(stream.peeker());
        let connection = Connection { peer, caller, handler: handler.clone(), limits, permit };
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            match config {
                Some(config) => connection.run_tls(stream, config, watcher).await,
                None => connection.run(stream, watcher).await,
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts a connection once a permit is free; `None` if accepting failed.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, peer, permit))
        }
        Err(error) => {
            log::warn!(target: "serve", error:%; "accept failed");
            None
        }
    }
}

/// The caller closed its connection before its request was answered.
#[derive(Debug, Snafu)]
#[snafu(display("the caller left before its request was answered"))]
struct CallerLeft;

struct Connection {
    peer: SocketAddr,
    caller: CallerConnection,
    handler: Arc<dyn Handler>,
    limits: Limits,
    permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn run_tls(
        self,
        stream: SharedStream,
        config: Arc<rustls::ServerConfig>,
        watcher: hyper_util::server::graceful::Watcher,
    ) {
        let handshake = TlsAcceptor::from(config).accept(stream);
        match timeout(self.limits.tls_timeout, handshake).await {
            Ok(Ok(stream)) => self.run(stream, watcher).await,
            Ok(Err(error)) => {
                log::debug!(target: "serve", peer:% = self.peer, error:%; "TLS handshake failed");
            }
            Err(_) => {
                log::debug!(target: "serve", peer:% = self.peer; "TLS handshake timed out");
            }
        }
    }

    async fn run<S>(self, stream: S, watcher: hyper_util::server::graceful::Watcher)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Connection { peer, caller, handler, limits, permit } = self;
        let recorder = HeadRecorder::default();
        let head_recorder = recorder.clone();
        let cutoff = Cutoff::default();
        let stream =
            LimitedWrites::new(stream, cutoff.clone(), limits.stall_timeout, handler.held_bytes());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(cutoff.clone());
            request.extensions_mut().insert(caller.clone());
            let caller = caller.clone();
            let handler = handler.clone();
            let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let may_have_length = head_recorder.take_may_have_length();
            let head_recorder = head_recorder.clone();
            async move {
                if is_chunked && may_have_length {
                    log::warn!(target: "serve", peer:%; "ambiguous body length, request rejected");
                    return Ok(ambiguous_length());
                }
                let response = tokio::select! {
                    biased;
                    response = handler.handle(peer, request) => response,
                    // The library notices it only while no further request waits to be read.
                    () = caller.left() => return Err(CallerLeft),
                };
                head_recorder.clear();
                Ok(response)
            }
        });
        let stream = RecordingStream::new(stream, recorder, limits.head_size);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_size)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(target: "serve", peer:%, error:%; "connection ended");
        }
        drop(permit);
    }
}

/// A 400 response that closes the connection.
///
/// The end of the request's body is ambiguous, so no further request can be read.
fn ambiguous_length() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
