//! Running a stand-in on a loopback port.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use bytes::Bytes;
use chervilgate_clients::{Body, BodyError};
use chervilgate_serve::{Handler, Limits, serve};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// A stand-in that listens; dropping it kills it, open connections included.
pub struct Standin {
    addr: SocketAddr,
    server: JoinHandle<()>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Standin {
    /// Starts `handler` on `port` of loopback; zero picks a free one.
    ///
    /// It gets a runtime of its own, so that killing it breaks its connections
    /// as the death of a process does.
    pub fn start(handler: Arc<dyn Handler>, port: u16) -> io::Result<Standin> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let server = runtime.spawn(async move {
            let (_keep_tls, tls) = watch::channel(None);
            let (_keep_stop, stop) = watch::channel(false);
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, handler, Limits::default(), tls, stop).await,
                Err(error) => log::error!(target: "standin", error:%; "cannot listen"),
            }
        });
        Ok(Standin { addr, server, runtime: Some(runtime) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.server.abort();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A streamed response that breaks off, and the connection with it, after `sent`.
pub(crate) fn broken_response(sent: Vec<Bytes>) -> Response<Body> {
    let failure = BodyError::Abandoned { reason: "switched off by a fault".to_owned() };
    let frames = sent.into_iter().map(|bytes| Ok(Frame::data(bytes)));
    let frames = frames.chain([Err(failure)]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(stream::iter(frames))))
}
