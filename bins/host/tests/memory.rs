//! Memory of a host whose targets send bytes without end.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use chervilgate_soak::{AMPLE_SLOTS, Fleet};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Requests at once.
const REQUESTS: usize = 200;

/// Memory of the host, in bytes.
const MEMORY_BYTES: usize = 120 << 20;

/// Bytes that a target writes before it waits: less than what a host takes for an event without an end.
const WRITTEN_BYTES: usize = 1_000_000;

/// Time in which all targets have written.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// A target that answers each request with `start` and then bytes without an end.
async fn start_target(start: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(write_on(stream, start));
        }
    });
    addr
}

async fn write_on(mut stream: TcpStream, start: &'static str) {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.is_ok_and(|read| read == 0) {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let start = start.replace("ID", id.unwrap_or_default().trim());
    // The host may close at any time.
    if stream.write_all(start.as_bytes()).await.is_ok() {
        stream.write_all(&vec![b'x'; WRITTEN_BYTES]).await.ok();
        while stream.read_buf(&mut Vec::new()).await.is_ok_and(|read| read > 0) {}
    }
}

/// The most memory that a host had while many requests to `route` got answers that begin with `start`, and
/// whether it still served.
async fn play(name: &str, route: &str, start: &'static str) -> (usize, bool) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervilgate-host"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut fleet = Fleet::start(program, 1, AMPLE_SLOTS, false, &out).await.unwrap();
    let addr = start_target(start).await;
    for number in 0..REQUESTS {
        let entry = json!({
            "service": if route == "stream" { "llm" } else { "plain" }, "address": addr.to_string(),
            "zone": "a", "slots": 64, "state": "ready", "stage": "decode", "born": 1, "sequence": 1,
        });
        fleet.store.put("servers", &format!("endless-{number}"), entry);
    }
    sleep(WRITE_TIME).await;
    let (_, host, _) = fleet.host_addrs()[0];
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let mut caller = TcpStream::connect(host).await.unwrap();
        let request = format!(
            "POST /{route}/k1/x HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: m{number:015x}\r\n\
             x-deadline-remaining-ms: 10000\r\nauthorization: Bearer k1\r\ncontent-length: 0\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    let mut peak = 0;
    let end = Instant::now() + WRITE_TIME;
    while Instant::now() < end {
        peak = peak.max(fleet.resident_bytes());
        sleep(Duration::from_millis(20)).await;
    }
    (peak, fleet.supervise(Instant::now()).is_ok() && fleet.resident_bytes() > 0)
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-signature: sig\r\n";

// Guards against events without an end that a host collects for many callers at once.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_an_end_stay_within_the_memory_of_a_host() {
    let start = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-signature: sig\r\n\
                 content-type: text/event-stream\r\n\r\nid: 1\ndata: ";
    let (peak, serves) = play("endless-events", "stream", start).await;

    assert!(serves && peak < MEMORY_BYTES, "{peak} bytes of {MEMORY_BYTES}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_and_heads_without_an_end_stay_within_the_memory_of_a_host() {
    let cases =
        [("endless-bodies", "safe", HEAD), ("endless-heads", "once", "HTTP/1.1 200 OK\r\nx: ")];
    for (name, route, start) in cases {
        let start = if name == "endless-bodies" { format!("{start}\r\n").leak() } else { start };
        let (peak, serves) = play(name, route, start).await;

        assert!(serves && peak < MEMORY_BYTES, "{name}: {peak} bytes of {MEMORY_BYTES}");
    }
}
