use std::{
    io::ErrorKind,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use async_trait::async_trait;
use chervilgate_clients::{Body, BodyError};
use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::{Bytes, Frame, Incoming},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use super::{Cutoff, HeldBytes, LimitedWrites};
use crate::{Handler, Limits, serve};

#[derive(Debug, Default)]
struct Counter(AtomicUsize);

impl HeldBytes for Counter {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A connection of 100 bytes, the caller's end of it, and what counts its bytes.
fn connect(
    cutoff: &Cutoff,
    stall_limit: Option<Duration>,
) -> (LimitedWrites<DuplexStream>, DuplexStream, Arc<Counter>) {
    let (inner, caller) = duplex(100);
    let counter = Arc::<Counter>::default();
    let writes = LimitedWrites::new(inner, cutoff.clone(), stall_limit, Some(counter.clone()));
    (writes, caller, counter)
}

const LIMIT: Duration = Duration::from_millis(200);

// Guards against callers who read nothing and hold the buffers of a connection for ever: with full buffers
// the connection does not ask for the rest of the response, so it does not learn that it was cut.
#[tokio::test]
async fn a_cut_connection_with_full_buffers_is_closed() {
    let cutoff = Cutoff::default();
    let (mut writes, _caller, counter) = connect(&cutoff, None);
    let mut writing = Box::pin(writes.write_all(&[1; 150]));
    assert!(timeout(LIMIT, &mut writing).await.is_err(), "is not limited before");
    assert_eq!(counter.0.load(Ordering::Relaxed), 50);

    cutoff.cut(LIMIT);

    assert!(timeout(LIMIT / 2, &mut writing).await.is_err(), "closed before its time");
    let error = timeout(LIMIT * 10, &mut writing).await.expect("ends").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    drop(writing);
    drop(writes);
    assert_eq!(counter.0.load(Ordering::Relaxed), 0);
}

// Guards against callers who read slowly and lose their responses.
#[tokio::test]
async fn a_caller_that_reads_slowly_keeps_its_connection() {
    let (mut writes, mut caller, counter) = connect(&Cutoff::default(), Some(LIMIT));
    let reading = tokio::spawn(async move {
        let mut read = [0; 60];
        for _ in 0..6 {
            sleep(LIMIT / 2).await;
            caller.read_exact(&mut read).await.unwrap();
        }
        caller
    });

    assert!(timeout(LIMIT * 20, writes.write_all(&[1; 400])).await.expect("ends").is_ok());

    let _caller = reading.await.unwrap();
    assert_eq!(counter.0.load(Ordering::Relaxed), 0);
    let error = timeout(LIMIT * 10, writes.write_all(&[1; 400])).await.expect("ends").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

/// A response without end, and what closes its connection.
#[derive(Clone, Default)]
struct Endless {
    polls: Arc<AtomicUsize>,
    cutoff: Arc<Mutex<Option<Cutoff>>>,
}

#[async_trait]
impl Handler for Endless {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        *self.cutoff.lock().unwrap() = request.extensions().get().cloned();
        Response::new(self.clone().boxed_unsync())
    }
}

impl hyper::body::Body for Endless {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[b'x'; 16 << 10])))))
    }
}

// Guards against a server that does not notice the limit, since it asks for nothing more while its buffers are
// full.
#[tokio::test]
async fn a_server_closes_a_cut_connection_whose_caller_does_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Endless::default();
    let (_stop, stopped) = watch::channel(false);
    let (_tls, no_tls) = watch::channel(None);
    tokio::spawn(serve(listener, Arc::new(handler.clone()), Limits::default(), no_tls, stopped));
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let mut before = 0;
    while handler.polls.load(Ordering::Relaxed) != before || before == 0 {
        before = handler.polls.load(Ordering::Relaxed);
        sleep(LIMIT).await;
    }
    // The connection holds one body, the test the other.
    assert_eq!(Arc::strong_count(&handler.polls), 3);

    handler.cutoff.lock().unwrap().as_ref().unwrap().cut(LIMIT);
    sleep(LIMIT * 3).await;

    assert_eq!(Arc::strong_count(&handler.polls), 2, "the response is still held");
}
