//! A peer in threads of its own, so that it goes on while the runtime under test is blocked.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

use rustix::net::sockopt;

/// Longest wait for bytes; a connection that sends none for so long is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Size of one read of a slow peer, in bytes, and time between two reads.
const SLOW_READ: usize = 4 << 10;
const SLOW_READ_INTERVAL: Duration = Duration::from_micros(200);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// How a peer ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Closes both directions.
    Close,
    /// Resets the connection.
    Reset,
    /// Closes its sending direction and reads on.
    HalfClose,
}

/// What a peer does with the request under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Reads and answers it.
    Serve,
    /// Ends the connection without reading.
    EndIdle(End),
    /// Reads up to this many bytes and ends the connection.
    EndAfter(usize, End),
    /// Reads all of it and ends the connection.
    EndAfterWhole(End),
    /// Reads up to this many bytes slowly and ends the connection.
    EndAfterSlowly(usize, End),
    /// Sends an answer without having read a request, reads it, and ends the connection.
    AnswerFirst(End),
}

/// A peer whose connections follow a behaviour each; the last one repeats.
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    arrived: Arc<Mutex<Vec<usize>>>,
    stopped: Arc<AtomicBool>,
    go: Sender<()>,
}

impl Peer {
    /// Starts a peer. If `kept` is true, its first connection answers one request and follows its
    /// behaviour once [`Peer::go`] is called.
    pub(crate) fn start(behaviours: &'static [Behaviour], kept: bool, delay: Duration) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (arrived, stopped) = (Arc::<Mutex<Vec<usize>>>::default(), Arc::default());
        let (go, receiver) = channel();
        let mut wait = kept.then_some(receiver);
        let peer = Peer { addr, arrived: arrived.clone(), stopped, go };
        let stopped = peer.stopped.clone();
        thread::spawn(move || {
            for index in 0.. {
                let Ok((stream, _)) = listener.accept() else { return };
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let behaviour = behaviours[index.min(behaviours.len() - 1)];
                arrived.lock().unwrap().push(0);
                let (arrived, wait) = (arrived.clone(), wait.take());
                thread::spawn(move || {
                    let mut connection = Connection { stream, index, arrived };
                    connection.run(behaviour, wait, delay);
                });
            }
        });
        peer
    }

    /// Lets the kept connection follow its behaviour.
    pub(crate) fn go(&self) {
        self.go.send(()).unwrap();
    }

    /// Number of connections on which a byte of the request under test was read.
    pub(crate) fn arrivals(&self) -> usize {
        self.arrived.lock().unwrap().iter().filter(|bytes| **bytes > 0).count()
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts.
        TcpStream::connect(self.addr).ok();
    }
}

struct Connection {
    stream: TcpStream,
    index: usize,
    arrived: Arc<Mutex<Vec<usize>>>,
}

impl Connection {
    fn run(&mut self, behaviour: Behaviour, wait: Option<Receiver<()>>, delay: Duration) {
        self.stream.set_nodelay(true).unwrap();
        if let Some(wait) = wait {
            let mut request = [0; 4 << 10];
            let Ok(1..) = self.stream.read(&mut request) else { return };
            self.stream.write_all(ANSWER).unwrap();
            if wait.recv().is_err() {
                return;
            }
            thread::sleep(delay);
        }
        self.stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        match behaviour {
            Behaviour::Serve => {
                self.read_whole();
                self.stream.write_all(ANSWER).ok();
                self.read(usize::MAX, None);
            }
            Behaviour::EndIdle(end) => self.end(end),
            Behaviour::EndAfter(bytes, end) => {
                self.read(bytes, None);
                self.end(end);
            }
            Behaviour::EndAfterWhole(end) => {
                self.read_whole();
                self.end(end);
            }
            Behaviour::EndAfterSlowly(bytes, end) => {
                self.read(bytes, Some(SLOW_READ_INTERVAL));
                self.end(end);
            }
            Behaviour::AnswerFirst(end) => {
                self.stream.write_all(REFUSAL).ok();
                self.read_whole();
                self.end(end);
            }
        }
    }

    /// Reads a request with a length.
    fn read_whole(&mut self) {
        let mut bytes = Vec::new();
        let mut buffer = vec![0; 64 << 10];
        while !is_whole(&bytes) {
            let Ok(read @ 1..) = self.stream.read(&mut buffer) else { return };
            self.record(read);
            bytes.extend_from_slice(&buffer[..read]);
        }
    }

    /// Reads up to `limit` bytes.
    fn read(&mut self, limit: usize, interval: Option<Duration>) {
        let mut left = limit;
        while left > 0 {
            let mut buffer = vec![0; SLOW_READ.min(left)];
            let Ok(read @ 1..) = self.stream.read(&mut buffer) else { return };
            self.record(read);
            left -= read;
            if let Some(interval) = interval {
                thread::sleep(interval);
            }
        }
    }

    fn record(&self, read: usize) {
        self.arrived.lock().unwrap()[self.index] += read;
    }

    fn end(&mut self, end: End) {
        match end {
            End::Close => self.stream.shutdown(Shutdown::Both).ok(),
            End::Reset => sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).ok(),
            End::HalfClose => {
                self.stream.shutdown(Shutdown::Write).ok();
                self.read(usize::MAX, None);
                None
            }
        };
    }
}

fn is_whole(bytes: &[u8]) -> bool {
    let Some(head) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    bytes.len() >= head + 4 + length.unwrap_or(0usize)
}
