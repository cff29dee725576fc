//! Loopback ports for the processes of tests that run at the same time.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener as StdListener},
    ops::Range,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
};

/// Ports that [`free_addr`] hands out. They lie below the system's ephemeral range, so that
/// no outgoing connection takes the port of a host that is being restarted.
const PORT_RANGE: Range<u16> = 20_000..32_000;

/// Ports reserved for one test process: four for each of more than 100 hosts, and one that the
/// process holds.
const PORTS_PER_PROCESS: u16 = 500;

/// Number of test processes that can use separate parts of the range at the same time.
const PROCESS_COUNT: u16 = (PORT_RANGE.end - PORT_RANGE.start) / PORTS_PER_PROCESS;

/// A part of the range that no other test process uses. It is held by listening on its first port.
struct Part {
    first_port: u16,
    _guard: StdListener,
}

impl Part {
    /// Takes the first free part, starting with one that depends on the process's id.
    fn take() -> io::Result<Part> {
        let first = std::process::id() % u32::from(PROCESS_COUNT);
        for offset in 0..u32::from(PROCESS_COUNT) {
            let number = ((first + offset) % u32::from(PROCESS_COUNT)) as u16;
            let first_port = PORT_RANGE.start + number * PORTS_PER_PROCESS;
            if let Ok(guard) = StdListener::bind(loopback(first_port)) {
                return Ok(Part { first_port, _guard: guard });
            }
        }
        let reason = "other test processes hold all parts of the port range";
        Err(io::Error::new(io::ErrorKind::AddrInUse, reason))
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Lists of the system's sockets, and the state in them of a socket that no other may share a port with.
const SOCKET_LISTS: [(&str, Option<&str>); 4] = [
    ("/proc/net/tcp", Some(LISTENING)),
    ("/proc/net/tcp6", Some(LISTENING)),
    ("/proc/net/udp", None),
    ("/proc/net/udp6", None),
];

/// The state of a listener, as the system's lists write it.
const LISTENING: &str = "0A";

/// Whether a listener or a datagram socket has this port at any address. Binding the port to find out
/// would pass copies of the socket to processes that other threads start meanwhile.
fn is_bound(port: u16) -> io::Result<bool> {
    for (path, state) in SOCKET_LISTS {
        let list = match fs::read_to_string(path) {
            Ok(list) => list,
            // A system without IPv6 has no such list.
            Err(error) if error.kind() == io::ErrorKind::NotFound && path.ends_with('6') => {
                continue;
            }
            Err(error) => return Err(io::Error::new(error.kind(), format!("{path}: {error}"))),
        };
        if list.lines().skip(1).any(|line| has_port(line, port, state)) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Whether a line, `number: address:port peer:port state ...` in hexadecimal, is of this port and state.
fn has_port(line: &str, port: u16, state: Option<&str>) -> bool {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let local = fields.next().and_then(|addr| addr.rsplit_once(':'));
    let Some((_, local)) = local else { return false };
    let is_state = state.is_none_or(|state| fields.nth(1) == Some(state));
    is_state && u16::from_str_radix(local, 16) == Ok(port)
}

/// Returns a loopback address that is free for TCP and UDP. An address that this process
/// already handed out is not repeated, since its listener may not have started yet.
///
/// # Errors
/// If no port is free.
pub fn free_addr() -> io::Result<SocketAddr> {
    static PART: Mutex<Option<Part>> = Mutex::new(None);
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let first_port = {
        let mut part = PART.lock().unwrap_or_else(PoisonError::into_inner);
        let part = match &mut *part {
            Some(part) => part,
            none => none.insert(Part::take()?),
        };
        part.first_port
    };
    for _ in 1..PORTS_PER_PROCESS {
        // The first port is the part's guard.
        let offset = 1 + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_PROCESS - 1);
        let addr = loopback(first_port + offset);
        if !is_bound(addr.port())? {
            return Ok(addr);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no free port in this process's part of the range",
    ))
}
