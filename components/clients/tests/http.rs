//! What the connection pool tells of the connections that a request was given to.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, SendError, SentOver, body::collect};
use hyper::Request;
use tokio::time::sleep;

/// A server on a thread of its own that waits with each connection until it is told to go on.
struct Server {
    addr: SocketAddr,
    go_on: Sender<()>,
    done: Receiver<()>,
}

/// Starts a server that answers each request on a connection. When told to go on, it writes `extra`
/// on the connection, or closes it if there is none, tells that it has, and accepts the next.
fn start_server(connections: usize, extra: Option<&'static str>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (go_on, told) = channel();
    let (tell, done) = channel();
    thread::spawn(move || {
        let mut listener = Some(listener);
        for number in 1..=connections {
            let (stream, _) = listener.as_ref().unwrap().accept().unwrap();
            let mut writer = stream.try_clone().unwrap();
            thread::spawn(move || serve(stream));
            if told.recv().is_err() {
                return;
            }
            // The listener must not accept what the test sends after the last connection.
            listener = listener.filter(|_| number < connections);
            match extra {
                Some(bytes) => writer.write_all(bytes.as_bytes()).unwrap(),
                None => writer.shutdown(Shutdown::Both).unwrap(),
            }
            tell.send(()).unwrap();
        }
    });
    Server { addr, go_on, done }
}

/// Answers requests until the connection ends.
fn serve(mut stream: TcpStream) {
    while read_request(&mut stream) {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
    }
}

/// Reads a request without a body; false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        head.extend(byte);
    }
    true
}

async fn send(pool: &HttpPool, addr: SocketAddr) -> Result<SentOver, SendError> {
    let request = Request::get("/x").header("host", "h").body(Bytes::new()).unwrap();
    let response = pool.send(addr, request).await?;
    assert_eq!(response.status(), 200);
    let sent = *response.extensions().get::<SentOver>().unwrap();
    collect(response.into_body(), 1_024).await.unwrap();
    // Gives the connection time to return to the pool.
    sleep(Duration::from_millis(20)).await;
    Ok(sent)
}

/// Has the server go on, without a turn of the runtime: its one thread is the test's, so the pool
/// learns of nothing that the server does.
fn go_on(server: &Server) {
    server.go_on.send(()).unwrap();
    server.done.recv().unwrap();
}

#[tokio::test]
async fn a_request_is_not_sent_on_a_kept_connection_that_closed_unnoticed() {
    let server = start_server(2, None);
    let pool = HttpPool::new();

    let first = send(&pool, server.addr).await.unwrap();
    go_on(&server);
    let second = send(&pool, server.addr).await.unwrap();

    assert_eq!(first, SentOver { kept: false, closed: 0 });
    assert_eq!(second, SentOver { kept: false, closed: 0 });
}

#[tokio::test]
async fn an_answer_that_waits_on_a_kept_connection_is_not_taken_for_the_next_requests() {
    let server = start_server(2, Some("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"));
    let pool = HttpPool::new();

    send(&pool, server.addr).await.unwrap();
    go_on(&server);
    let second = send(&pool, server.addr).await.unwrap();

    assert_eq!(second, SentOver { kept: false, closed: 0 });
}

#[tokio::test]
async fn an_error_tells_that_no_connection_took_the_request() {
    let server = start_server(1, None);
    let pool = HttpPool::new();

    send(&pool, server.addr).await.unwrap();
    go_on(&server);
    let error = send(&pool, server.addr).await.unwrap_err();

    assert!(error.not_run(), "{error}");
    assert_eq!(error.sent_over(), SentOver { kept: false, closed: 0 });
}

#[tokio::test]
async fn a_kept_connection_is_used_again() {
    let server = start_server(2, None);
    let pool = HttpPool::new();

    send(&pool, server.addr).await.unwrap();
    let second = send(&pool, server.addr).await.unwrap();

    assert_eq!(second, SentOver { kept: true, closed: 0 });
}
