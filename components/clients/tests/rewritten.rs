//! A refusal that is written once more is not taken for the answer to a later call.
//!
//! Guards against calls without an id that count as rejected although they were carried out.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::{
    Engine, EngineError, EngineOrder, HttpEngine, HttpPlatform, HttpPool, HttpSender, ObjectStore,
    OrderRequest, TargetOrder, TargetOrders, body::collect,
};
use chervilgate_coord::{Expect, StoreCall, StoreReply, Version};
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Statuses by which a call is rejected.
const REFUSALS: [u16; 6] = [400, 404, 409, 412, 429, 503];

/// Time for a connection to return to the pool, or for a call under way to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// A server that refuses the first call, and writes the refusal once more when a further call comes
/// on the same connection; it carries out all but the first.
struct Server {
    addr: SocketAddr,
    carried_out: Arc<AtomicUsize>,
}

impl Server {
    async fn start(refusal: u16, body: &'static str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let carried_out = Arc::new(AtomicUsize::new(0));
        let counted = carried_out.clone();
        tokio::spawn(async move {
            while let Ok((conn, _)) = listener.accept().await {
                tokio::spawn(serve(conn, refusal, body, calls.clone(), counted.clone()));
            }
        });
        Server { addr, carried_out }
    }

    async fn carried_out(&self) -> usize {
        sleep(SETTLE_TIME).await;
        self.carried_out.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut conn: TcpStream,
    refusal: u16,
    body: &'static str,
    calls: Arc<AtomicUsize>,
    carried_out: Arc<AtomicUsize>,
) {
    let refusal = format!("HTTP/1.1 {refusal} No\r\ncontent-length: 0\r\n\r\n");
    let length = body.len();
    let success =
        format!("HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut request = [0; 4_096];
    let mut has_refused = false;
    while let Ok(1..) = conn.read(&mut request).await {
        if calls.fetch_add(1, Ordering::Relaxed) == 0 {
            has_refused = true;
            let _ = conn.write_all(refusal.as_bytes()).await;
            continue;
        }
        if has_refused {
            let _ = conn.write_all(refusal.as_bytes()).await;
        }
        carried_out.fetch_add(1, Ordering::Relaxed);
        let _ = conn.write_all(success.as_bytes()).await;
    }
}

fn engine_order() -> OrderRequest {
    OrderRequest { id: "o1".to_owned(), epoch: 1, order: EngineOrder::Stop }
}

fn write() -> StoreCall {
    let expect = Expect::At(Version::first_era(4));
    StoreCall::Put { key: "k".to_owned(), expect, value: b"v".to_vec() }
}

fn target_order() -> TargetOrder {
    TargetOrder {
        id: "o1".to_owned(),
        epoch: 1,
        zone: "a".to_owned(),
        service: "chat".to_owned(),
        count: 2,
        cheap: false,
    }
}

#[tokio::test]
async fn an_order_that_was_taken_does_not_count_as_rejected_by_the_refusal_of_the_one_before() {
    for status in REFUSALS {
        let server = Server::start(status, r#"{"carried_out":true}"#).await;
        let engine = HttpEngine::new();

        engine.order(server.addr, &engine_order()).await.unwrap_err();
        sleep(SETTLE_TIME).await;
        let second = engine.order(server.addr, &engine_order()).await;

        assert_eq!(server.carried_out().await, 1, "{status}");
        assert!(!matches!(second, Err(EngineError::Refused { .. })), "{status}: {second:?}");
    }
}

#[tokio::test]
async fn an_order_that_was_taken_does_not_count_as_rejected_by_the_refusal_of_a_load_report() {
    for status in REFUSALS {
        let server = Server::start(status, r#"{"carried_out":true}"#).await;
        let engine = HttpEngine::new();

        engine.load(server.addr).await.unwrap_err();
        sleep(SETTLE_TIME).await;
        let second = engine.order(server.addr, &engine_order()).await;

        assert_eq!(server.carried_out().await, 1, "{status}");
        assert!(!matches!(second, Err(EngineError::Refused { .. })), "{status}: {second:?}");
    }
}

#[tokio::test]
async fn a_write_that_was_done_does_not_count_as_refused_by_the_refusal_of_the_one_before() {
    for status in REFUSALS {
        let server = Server::start(status, "").await;
        let platform = HttpPlatform::new(server.addr);

        platform.call(&write()).await;
        sleep(SETTLE_TIME).await;
        let second = platform.call(&write()).await;

        assert_eq!(server.carried_out().await, 1, "{status}");
        assert_eq!(second, StoreReply::Written(Version::first_era(5)), "{status}");
    }
}

#[tokio::test]
async fn a_target_order_that_was_taken_does_not_count_as_refused_by_the_refusal_before() {
    for status in REFUSALS {
        let server = Server::start(status, r#"{"id":"o1","granted":2}"#).await;
        let platform = HttpPlatform::new(server.addr);

        platform.order(&target_order()).await.unwrap_err();
        sleep(SETTLE_TIME).await;
        let second = platform.order(&target_order()).await;

        assert_eq!(server.carried_out().await, 1, "{status}");
        assert_eq!(second.map(|receipt| receipt.granted), Ok(2), "{status}");
    }
}

// The next call is sent before the connection has returned to the pool, or at the same moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refusal_answers_no_call_that_follows_at_once() {
    for status in REFUSALS {
        let server = Server::start(status, "").await;
        let pool = HttpPool::new();
        let send = || {
            let request = Request::post("/x").header("host", "h").body(Bytes::new()).unwrap();
            pool.send(server.addr, request)
        };

        let first = send().await.unwrap();
        collect(first.into_body(), 10).await.unwrap();
        let second = send().await.unwrap();

        assert_eq!(second.status(), 200, "{status}");
    }
}
