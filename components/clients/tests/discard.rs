//! Connections that were discarded or whose answer was given up carry no further request.
//!
//! Guards against requests that are read for an answer still due on such a connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::{Body, ConnectionHandle, HttpPool, HttpSender, SentOver, body::collect};
use hyper::{Request, Response};
use tokio::time::{sleep, timeout};

/// Time that the server takes for the answer to `/slow`, or between the parts of that to `/parts`.
const SLOW: Duration = Duration::from_millis(60);

/// Time after which a sender gives up `/slow`.
const PATIENCE: Duration = Duration::from_millis(15);

/// Time for a connection to return to the pool, or for its end to reach the server.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Requests given up in a row.
const GIVEN_UP: usize = 10;

/// A server with a thread for each connection.
struct Server {
    addr: SocketAddr,
    /// Paths of the requests of each connection; an empty path is its end.
    seen: Arc<Mutex<Vec<Vec<String>>>>,
}

impl Server {
    fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Server { addr: listener.local_addr().unwrap(), seen: Arc::default() };
        let seen = server.seen.clone();
        thread::spawn(move || {
            for number in 0.. {
                let (stream, _) = listener.accept().unwrap();
                seen.lock().unwrap().push(Vec::new());
                let seen = seen.clone();
                thread::spawn(move || {
                    serve(stream, |path| seen.lock().unwrap()[number].push(path))
                });
            }
        });
        server
    }

    fn seen(&self) -> Vec<Vec<String>> {
        self.seen.lock().unwrap().clone()
    }
}

/// Answers requests until the connection ends.
fn serve(mut stream: TcpStream, record: impl Fn(String)) {
    stream.set_nodelay(true).unwrap();
    loop {
        let path = read_path(&mut stream).unwrap_or_default();
        record(path.clone());
        let (pause, parts) = match &*path {
            "" => return,
            "/slow" => (SLOW, ["", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"]),
            "/parts" => (SLOW, ["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab", "cd"]),
            _ => (Duration::ZERO, ["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""]),
        };
        for (part, pause) in parts.iter().zip([pause, Duration::ZERO]) {
            // The sender may have closed the connection; the next read tells.
            stream.write_all(part.as_bytes()).ok();
            thread::sleep(pause);
        }
    }
}

/// The path of the next request without a body; None at the end of the connection.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.extend(byte);
    }
    String::from_utf8(head).unwrap().split(' ').nth(1).map(str::to_owned)
}

async fn send(pool: &HttpPool, addr: SocketAddr, path: &str) -> Response<Body> {
    let request = Request::get(path).header("host", "h").body(Bytes::new()).unwrap();
    pool.send(addr, request).await.unwrap()
}

fn handle(response: &Response<Body>) -> ConnectionHandle {
    response.extensions().get::<ConnectionHandle>().unwrap().clone()
}

fn is_kept(response: &Response<Body>) -> bool {
    response.extensions().get::<SentOver>().unwrap().kept
}

async fn check_discard_in_pool() {
    let server = Server::start();
    let pool = HttpPool::new();

    let first = send(&pool, server.addr, "/first").await;
    let handle = handle(&first);
    collect(first.into_body(), 10).await.unwrap();
    sleep(SETTLE_TIME).await;
    handle.discard();
    let second = send(&pool, server.addr, "/second").await;
    sleep(SETTLE_TIME).await;

    assert!(!is_kept(&second));
    // The server learns at once that nothing more comes on the first one.
    assert_eq!(server.seen(), [vec!["/first", ""], vec!["/second"]]);
}

#[tokio::test]
async fn a_connection_discarded_after_its_return_to_the_pool_carries_no_further_request() {
    check_discard_in_pool().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_connection_discarded_by_another_thread_carries_no_further_request() {
    check_discard_in_pool().await;
}

#[tokio::test]
async fn a_connection_discarded_while_its_response_is_read_closes_after_the_response() {
    let server = Server::start();
    let pool = HttpPool::new();

    let first = send(&pool, server.addr, "/parts").await;
    handle(&first).discard();
    let body = collect(first.into_body(), 10).await.unwrap();
    sleep(SETTLE_TIME).await;
    let second = send(&pool, server.addr, "/second").await;

    assert_eq!((&body[..], is_kept(&second)), (&b"abcd"[..], false));
    assert_eq!(server.seen()[0], ["/parts", ""]);
}

/// Gives up requests while their answers are due, each followed by one that is answered.
async fn check_given_up() {
    let server = Server::start();
    let pool = HttpPool::new();

    for _ in 0..GIVEN_UP {
        assert!(timeout(PATIENCE, send(&pool, server.addr, "/slow")).await.is_err());
        let next = send(&pool, server.addr, "/next").await;
        collect(next.into_body(), 10).await.unwrap();
        sleep(SETTLE_TIME).await;
    }
    sleep(SLOW).await;

    for paths in server.seen() {
        let after_slow = paths.iter().skip_while(|path| *path != "/slow").nth(1);
        assert!(after_slow.is_none_or(|path| path.is_empty()), "{paths:?}");
    }
}

#[tokio::test]
async fn a_request_given_up_leaves_no_connection_for_the_next() {
    check_given_up().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_given_up_on_another_thread_leaves_no_connection_for_the_next() {
    check_given_up().await;
}

// A response that is dropped unread leaves the rest of its body on the connection.
#[tokio::test]
async fn a_response_dropped_unread_leaves_no_connection_for_the_next() {
    let server = Server::start();
    let pool = HttpPool::new();

    drop(send(&pool, server.addr, "/parts").await);
    let second = send(&pool, server.addr, "/second").await;
    sleep(SLOW + SETTLE_TIME).await;
    let third = send(&pool, server.addr, "/third").await;

    assert!(!is_kept(&second) && is_kept(&third));
    assert_eq!(server.seen(), [vec!["/parts", ""], vec!["/second", "/third"]]);
}
