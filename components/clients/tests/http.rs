//! What the connection pool tells of the connections that a request was given to.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, SendError, SentOver, body::collect};
use hyper::Request;
use tokio::{task::yield_now, time::sleep};

/// A server on a thread of its own: it answers one request on each connection, closes it when
/// told to, and then tells that it did.
struct Server {
    addr: SocketAddr,
    close: Sender<()>,
    closed: Receiver<()>,
}

fn start_server(connections: usize) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (close, told) = channel();
    let (done, closed) = channel();
    thread::spawn(move || {
        let mut listener = Some(listener);
        for number in 1..=connections {
            let (mut stream, _) = listener.as_ref().unwrap().accept().unwrap();
            answer(&mut stream);
            if told.recv().is_err() {
                return;
            }
            // The listener must not accept what the test sends after the last connection.
            listener = listener.filter(|_| number < connections);
            drop(stream);
            done.send(()).unwrap();
        }
    });
    Server { addr, close, closed }
}

fn answer(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
}

async fn send(pool: &HttpPool, addr: SocketAddr) -> Result<SentOver, SendError> {
    let request = Request::get("/x").header("host", "h").body(Bytes::new()).unwrap();
    let response = pool.send(addr, request).await?;
    let sent = *response.extensions().get::<SentOver>().unwrap();
    collect(response.into_body(), 1_024).await.unwrap();
    // Gives the connection time to return to the pool.
    sleep(Duration::from_millis(20)).await;
    Ok(sent)
}

/// Closes the kept connection. The runtime has one thread, which runs the test before the task of
/// the connection, so the pool does not know of the end when it is given the next request.
async fn close_kept(server: &Server) {
    server.close.send(()).unwrap();
    server.closed.recv().unwrap();
    yield_now().await;
}

#[tokio::test]
async fn a_response_tells_of_a_kept_connection_that_closed() {
    let server = start_server(2);
    let pool = HttpPool::new();

    let first = send(&pool, server.addr).await.unwrap();
    close_kept(&server).await;
    let second = send(&pool, server.addr).await.unwrap();

    assert_eq!(first, SentOver { kept: false, closed: 0 });
    assert_eq!(second, SentOver { kept: false, closed: 1 });
}

#[tokio::test]
async fn an_error_tells_of_a_kept_connection_that_closed() {
    let server = start_server(1);
    let pool = HttpPool::new();

    send(&pool, server.addr).await.unwrap();
    close_kept(&server).await;
    let error = send(&pool, server.addr).await.unwrap_err();
    let unreachable = send(&pool, server.addr).await.unwrap_err();

    assert!(error.not_run() && unreachable.not_run(), "{error}, {unreachable}");
    assert_eq!(error.sent_over(), SentOver { kept: false, closed: 1 });
    assert_eq!(unreachable.sent_over(), SentOver { kept: false, closed: 0 });
}
