//! Runners of services, which the cases give a behaviour.

use std::{
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{answer, read_request, Request},
    store::Store,
};

pub const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// What a runner does with a request that it accepts; an error closes the connection.
pub type Behaviour = Arc<dyn Fn(&Runner, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync>;

struct Inner {
    id: String,
    addr: SocketAddr,
    entry: String,
    behaviour: Behaviour,
    up: AtomicBool,
    /// Whether the port is open.
    listening: AtomicBool,
    boots: AtomicU64,
    /// Requests whose prompts it reads.
    waiting: AtomicI64,
    streams: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Runner(Arc<Inner>);

impl Runner {
    /// Starts a runner; `entry` holds the fields of its entry beside its address, state and start.
    pub fn start(addr: SocketAddr, id: &str, entry: &str, behaviour: Behaviour) -> io::Result<Runner> {
        let runner = Runner(Arc::new(Inner {
            id: id.to_owned(),
            addr,
            entry: entry.to_owned(),
            behaviour,
            up: AtomicBool::new(false),
            listening: AtomicBool::new(false),
            boots: AtomicU64::new(0),
            waiting: AtomicI64::new(0),
            streams: Mutex::new(Vec::new()),
        }));
        runner.boot()?;
        Ok(runner)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Number of requests whose prompts it reads.
    pub fn waiting(&self) -> i64 {
        self.0.waiting.load(Ordering::SeqCst)
    }

    pub fn count_waiting(&self, change: i64) {
        self.0.waiting.fetch_add(change, Ordering::SeqCst);
    }

    pub fn is_up(&self) -> bool {
        self.0.up.load(Ordering::SeqCst)
    }

    /// Begins to serve, for the first time or after its end.
    pub fn boot(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.0.addr)?;
        listener.set_nonblocking(true)?;
        self.0.up.store(true, Ordering::SeqCst);
        self.0.listening.store(true, Ordering::SeqCst);
        let boot = self.0.boots.fetch_add(1, Ordering::SeqCst) + 1;
        let runner = self.clone();
        thread::spawn(move || {
            while runner.is_up() && runner.0.boots.load(Ordering::SeqCst) == boot {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            runner.streams().push(copy);
                        }
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            runner.0.listening.store(false, Ordering::SeqCst);
        });
        Ok(())
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.0.streams.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Ends at once, as a process does that crashes: its port refuses connections, and all open ones
    /// close.
    pub fn end(&self) {
        self.0.up.store(false, Ordering::SeqCst);
        while self.0.listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        for stream in self.streams().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes the runner's entry with this state, as a new start if `born` is set anew.
    pub fn register(&self, store: &Store, state: &str, born: u64, sequence: u64) {
        let (addr, entry) = (self.0.addr, &self.0.entry);
        let spec = format!(
            "{{{entry},\"address\":\"{addr}\",\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"born\":{born},\"sequence\":{sequence}}}"
        );
        store.put("servers", &self.0.id, &spec);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let expected = request.header("x-expected-instance");
            let id = request.id();
            let done = if expected.is_some_and(|expected| expected != self.0.id) {
                let headers = [("X-Attempt-Id", id), ("X-Instance-Id", &self.0.id)];
                answer(&mut writer, 421, &headers, b"")
            } else {
                (self.0.behaviour)(self, &request, &mut writer)
            };
            if done.is_err() || !self.is_up() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// Answers a request with success.
pub fn succeed(request: &Request, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let headers = [("X-Attempt-Id", request.id()), ("X-Response-Signature", SIGNATURE)];
    answer(stream, 200, &headers, body)
}

/// Writes the head of a stream of events in chunks.
pub fn begin_stream(request: &Request, stream: &mut TcpStream) -> io::Result<()> {
    use std::io::Write;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Attempt-Id: {}\r\nX-Response-Signature: {SIGNATURE}\r\nX-Weight-Versions: 1\r\n\r\n",
        request.id()
    );
    stream.write_all(head.as_bytes())
}
