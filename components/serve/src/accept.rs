//! The accept loop.
//!
//! After a stop, no further connection is accepted, idle ones are closed, and
//! requests that run are finished: a planned stop cuts no request.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use chervilgate_clients::{Body, body::empty};
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
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{sleep, timeout},
};
use tokio_rustls::TlsAcceptor;

use crate::{
    Limits,
    framing::{HeadTap, Tapped},
};

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from `peer`.
    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response<Body>;
}

/// Serves `listener` until `stop` turns true, then finishes what runs.
///
/// The TLS configuration is looked up for each connection, so that a renewed
/// certificate needs no restart.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    tls: watch::Receiver<Option<Arc<rustls::ServerConfig>>>,
    mut stop: watch::Receiver<bool>,
) {
    let open = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &open) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, peer, permit)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let config = tls.borrow().clone();
        let connection = Connection { peer, handler: handler.clone(), limits, permit };
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

/// A connection that needs no TLS configuration.
async fn accept(
    listener: &TcpListener,
    open: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = open.clone().acquire_owned().await.ok()?;
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

struct Connection {
    peer: SocketAddr,
    handler: Arc<dyn Handler>,
    limits: Limits,
    permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn run_tls(
        self,
        stream: TcpStream,
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
                log::debug!(target: "serve", peer:% = self.peer; "TLS handshake took too long");
            }
        }
    }

    async fn run<S>(self, stream: S, watcher: hyper_util::server::graceful::Watcher)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Connection { peer, handler, limits, permit } = self;
        let tap = HeadTap::default();
        let heads = tap.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let is_ambiguous = heads.take_is_ambiguous();
            let heads = heads.clone();
            async move {
                if is_chunked && is_ambiguous {
                    log::warn!(target: "serve", peer:%; "request with two lengths refused");
                    return Ok(refuse_framing());
                }
                let response = handler.handle(peer, request).await;
                heads.clear();
                Ok::<_, Infallible>(response)
            }
        });
        let stream = Tapped::new(stream, tap, limits.head_size);
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

/// Refuses a request and closes its connection: what follows it cannot be told apart.
fn refuse_framing() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
