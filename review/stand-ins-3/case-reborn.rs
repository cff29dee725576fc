//! A runner crashes behind a cut amid answers that end with their connections, and has started again when the
//! cut heals. The runner is a process of its own, ended by SIGKILL; the cut is a proxy that holds all bytes.
//! With `LATE=1` it has not started again when the cut heals, and its port refuses connections, for comparison.

#[path = "common.rs"]
mod common;

use std::{
    env,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use common::*;

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
const HOSTS: usize = 3;
/// Of these one crashes: a share of 0.17.
const RUNNERS: usize = 6;
const REQUESTS: usize = 24;
/// Time for which the runner is cut off from all hosts.
const CUT_TIME: Duration = Duration::from_millis(1_500);
/// Time from the crash until the runner is back.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// Time between the halves of an answer.
const WORK_TIME: Duration = Duration::from_millis(400);
const FIRST_HALF: &str = "{\"trays\":[\"r-0117\",\"r-0118\",";
const SECOND_HALF: &str = "\"r-0119\"]}";
const KEY: &str = "3fexd9dnn2ctnfzs989a";
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-read","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":4000,
  "target_latency_ms":300,"priority":2,"service":"wuno96b","attempts":2,"allow_anonymous":false}],
 "services":[{"name":"wuno96b","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}"#;

/// Serves as the runner `id` at `addr`, in a process of its own.
fn serve_runner(addr: &str, id: &str) -> ! {
    let listener = TcpListener::bind(addr).unwrap_or_else(|error| cannot_run(&error.to_string()));
    println!("listens");
    for stream in listener.incoming() {
        let (Ok(mut stream), id) = (stream, id.to_owned()) else { continue };
        thread::spawn(move || {
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::new(copy);
            while let Ok(Some(request)) = read_request(&mut reader) {
                let attempt = request.header("x-attempt-id").unwrap_or_default();
                let echo = ("X-Attempt-Id", attempt.clone());
                if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
                    let id = ("X-Instance-Id", id.clone());
                    stream.write_all(&answer("421 Misdirected Request", &[echo, id], b"")).ok();
                    continue;
                }
                println!("runs {attempt}");
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}\r\n\
                     Content-Type: application/json\r\nConnection: close\r\n\r\n{FIRST_HALF}"
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(WORK_TIME);
                if stream.write_all(SECOND_HALF.as_bytes()).is_ok() {
                    println!("ends {attempt}");
                }
                // The answer ends with its connection.
                return;
            }
        });
    }
    std::process::exit(0);
}

/// The process of a runner, which ends with this.
struct Runner {
    child: Child,
    born: u64,
}

impl Runner {
    /// Starts it and announces it in the store once it listens.
    fn start(addr: SocketAddr, seen_at: SocketAddr, id: &str, store: &Store, record: &Record) -> Runner {
        let runner = Runner::spawn(addr, id, record);
        runner.announce(seen_at, id, store);
        runner
    }

    /// Starts it; returns once it listens.
    fn spawn(addr: SocketAddr, id: &str, record: &Record) -> Runner {
        let program = env::current_exe().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new(program);
        command.args(["runner", &addr.to_string(), id]).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let lines = BufReader::new(child.stdout.take().expect("piped"));
        let (ready, own, record_of) = (Arc::new(AtomicBool::new(false)), id.to_owned(), record.clone());
        let listens = ready.clone();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record_of.line(format!("runner {own} {line}"));
                listens.store(true, Ordering::SeqCst);
            }
        });
        while !ready.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        Runner { child, born: unix_ms() }
    }

    fn announce(&self, seen_at: SocketAddr, id: &str, store: &Store) {
        let entry = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{seen_at}\",\"zone\":\"rijeka\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.born
        );
        store.put("servers", id, &entry);
    }

    fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The way from the hosts to a runner, which can be cut: bytes and ends of connections are held meanwhile.
struct Way {
    addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// Whether connections are refused, as where nobody listens.
    is_closed: Arc<AtomicBool>,
}

impl Way {
    fn start(target: SocketAddr) -> Way {
        let ip = target.ip().to_string();
        let addr = SocketAddr::new(target.ip(), free_port(&ip));
        let listener = TcpListener::bind(addr).unwrap_or_else(|error| cannot_run(&error.to_string()));
        listener.set_nonblocking(true).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let (is_cut, is_closed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (cut, closed) = (is_cut.clone(), is_closed.clone());
        thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                near.set_nonblocking(false).ok();
                let cut = cut.clone();
                thread::spawn(move || {
                    wait_while(&cut);
                    // Where nobody listens, the connection ends at once.
                    let Ok(far) = TcpStream::connect(target) else { return };
                    near.set_nodelay(true).ok();
                    far.set_nodelay(true).ok();
                    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
                    let cut_copy = cut.clone();
                    thread::spawn(move || pass(near_copy, far_copy, &cut_copy));
                    pass(far, near, &cut);
                });
            }
        });
        Way { addr, is_cut, is_closed }
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(1));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4_096];
    loop {
        let read = from.read(&mut bytes);
        wait_while(cut);
        match read {
            Ok(0) => {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
            Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
            _ => {
                from.shutdown(Shutdown::Both).ok();
                to.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "runner") {
        serve_runner(&arguments[2], &arguments[3]);
    }
    exit_with(run);
}

fn run() -> bool {
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::default();
    store.put("config", "main", CONFIG);
    let platform = store.serve("127.0.0.10", &record);
    let ip = "127.0.0.21";
    let runner_addr = || SocketAddr::new(ip.parse().expect("an address"), free_port(ip));
    let addr = runner_addr();
    let way = Way::start(addr);
    let mut runner = Runner::start(addr, way.addr, "i-7f3a91c2", &store, &record);
    let others: Vec<Runner> = (1..RUNNERS)
        .map(|number| {
            let addr = runner_addr();
            Runner::start(addr, addr, &format!("i-7f3a92{number:02x}"), &store, &record)
        })
        .collect();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::prepare(&folder.0, number, platform.addr)).collect();
    hosts.iter_mut().for_each(|host| host.start(&record));
    await_ready(&hosts);
    thread::sleep(Duration::from_millis(CONTACT_MS));
    let front = hosts[0].front;
    let successes: Arc<Mutex<Vec<(String, Vec<u8>)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let (record, successes) = (record.clone(), successes.clone());
        threads.push(thread::spawn(move || {
            let id = format!("a{number:07x}");
            let request = format!(
                "GET /cufi504/fi50/{number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Remaining-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
            );
            let got = call(front, request.as_bytes(), Duration::from_secs(5));
            match got {
                Ok(answer) if answer.status == 200 => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(format!("client {id}: 200, whole by its length, body {body}"));
                    successes.lock().unwrap().push((id, answer.body));
                }
                Ok(answer) => record.line(format!("client {id}: {}", answer.status)),
                Err(error) => record.line(format!("client {id}: {}", error.kind())),
            }
        }));
    }
    // All requests run and none is answered whole.
    thread::sleep(WORK_TIME / 2);
    let next;
    let is_late = env::var_os("LATE").is_some();
    if has_trouble() {
        way.is_cut.store(true, Ordering::SeqCst);
        record.line("runner i-7f3a91c2 is cut off from all hosts");
        thread::sleep(Duration::from_millis(100));
        runner.kill();
        record.line("runner i-7f3a91c2 crashes behind the cut");
        thread::sleep(DOWN_TIME);
        // The store is on the other side of the cut, so the entry comes when that has healed.
        let begun = (!is_late).then(|| Runner::spawn(addr, "i-02d9e6b4", &record));
        way.is_closed.store(is_late, Ordering::SeqCst);
        thread::sleep(CUT_TIME.saturating_sub(DOWN_TIME + Duration::from_millis(100)));
        way.is_cut.store(false, Ordering::SeqCst);
        record.line("the cut heals");
        store.delete("servers", "i-7f3a91c2");
        next = begun.map(|begun| {
            begun.announce(way.addr, "i-02d9e6b4", &store);
            begun
        });
    } else {
        next = None;
    }
    for thread in threads {
        thread.join().ok();
    }
    let is_sound = hosts.iter_mut().all(Host::is_running);
    drop(hosts);
    drop(next);
    drop(others);
    let whole = format!("{FIRST_HALF}{SECOND_HALF}");
    let successes = successes.lock().unwrap().clone();
    let short = successes.iter().filter(|(_, body)| body != whole.as_bytes()).count();
    let holds = short == 0;
    record.line(format!(
        "MIXED: {} successes, {short} of them with a part of the runner's body: {}",
        successes.len(),
        if holds { "held" } else { "broken" }
    ));
    record.save(&record_path());
    if !is_sound {
        cannot_run("a host has ended by itself");
    }
    holds
}
