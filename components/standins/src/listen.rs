//! Runs a fake HTTP server on a loopback port.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chervilgate_clients::{Body, BodyError};
use chervilgate_serve::{Handler, Limits, serve};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Longest time that a server takes to close its port.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A running fake server; dropping it stops it and breaks its open connections.
pub struct FakeServer {
    addr: SocketAddr,
    server: JoinHandle<()>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl FakeServer {
    /// Serves `handler` on a loopback `port`; zero picks a free one.
    ///
    /// The server gets its own runtime, so that dropping it breaks its connections as
    /// the end of a process would.
    pub fn start(handler: Arc<dyn Handler>, port: u16) -> io::Result<FakeServer> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let server = runtime.spawn(async move {
            let (_tls_sender, tls) = watch::channel(None);
            let (_stop_sender, stop) = watch::channel(false);
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, handler, Limits::default(), tls, stop).await,
                Err(error) => {
                    log::error!(target: "standin", error:%; "fake server cannot listen on {addr}")
                }
            }
        });
        Ok(FakeServer { addr, server, runtime: Some(runtime) })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.server.abort();
        // The task closes the port as it ends, which the abort does not wait for.
        let start = Instant::now();
        while !self.server.is_finished() && start.elapsed() < STOP_TIMEOUT {
            thread::sleep(Duration::from_millis(1));
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A response that sends `sent` and then breaks the connection.
pub(crate) fn broken_response(sent: Vec<Bytes>) -> Response<Body> {
    let failure = BodyError::Aborted { reason: "broken off by an injected fault".to_owned() };
    let frames = sent.into_iter().map(|bytes| Ok(Frame::data(bytes)));
    let frames = frames.chain([Err(failure)]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(stream::iter(frames))))
}
