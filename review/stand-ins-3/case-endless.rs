//! Two of six runners send answers whose bodies do not end, while the time limit of their route is shorter than what
//! the clients' time budgets allow.

#[path = "common.rs"]
mod common;

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
const HOSTS: usize = 3;
const RUNNERS: usize = 6;
/// Of these two are faulty: a share of 0.33.
const FAULTY: usize = 2;
const REQUESTS: usize = 48;
/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after it in which a final answer is due.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// The clients' time budget, for which they wait.
const BUDGET: Duration = Duration::from_millis(4_000);
const KEY: &str = "3fexd9dnn2ctnfzs989a";
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-read","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":1000,
  "target_latency_ms":300,"priority":2,"service":"wuno96b","attempts":1,"allow_anonymous":false}],
 "services":[{"name":"wuno96b","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}"#;

/// How a request ended, when, and how much of a body had come.
struct End {
    text: String,
    after: Duration,
    bytes: usize,
}

fn ask(front: SocketAddr, id: &str, number: usize) -> End {
    let began = Instant::now();
    let mut bytes = 0;
    let text = try_ask(front, id, number, began, &mut bytes).unwrap_or_else(|error| error.kind().to_string());
    End { text, after: began.elapsed(), bytes }
}

fn try_ask(front: SocketAddr, id: &str, number: usize, began: Instant, bytes: &mut usize) -> io::Result<String> {
    let request = format!(
        "GET /cufi504/fi50/{number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n",
        BUDGET.as_millis()
    );
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.write_all(request.as_bytes())?;
    stream.set_read_timeout(Some(BUDGET))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).unwrap_or("no status").to_owned();
    let mut piece = vec![0; 64 << 10];
    loop {
        // The answer ends with its connection, as the client has asked for.
        let count = reader.read(&mut piece)?;
        if count == 0 {
            return Ok(status);
        }
        *bytes += count;
        if began.elapsed() > BUDGET {
            return Ok(format!("{status}, no end within the time budget"));
        }
    }
}

fn main() {
    exit_with(run);
}

fn run() -> bool {
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::default();
    store.put("config", "main", CONFIG);
    let platform = store.serve("127.0.0.10", &record);
    let is_faulty = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-7f3a91c{number}");
        let (own, record_of, faulty) = (id.clone(), record.clone(), is_faulty.clone());
        let server = Server::start("127.0.0.21", move |request, stream| {
            let attempt = request.header("x-attempt-id").unwrap_or_default();
            let echo = ("X-Attempt-Id", attempt.clone());
            if request.header("x-expected-instance").is_some_and(|expected| expected != own) {
                let id = ("X-Instance-Id", own.clone());
                return stream.write_all(&answer("421 Misdirected Request", &[echo, id], b""));
            }
            let receipt = ("X-Response-Signature", format!("{own}.{attempt}"));
            if number < FAULTY && faulty.load(Ordering::SeqCst) {
                record_of.line(format!("runner {own} answers {attempt} without end"));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{}: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                    receipt.0, receipt.1
                );
                stream.write_all(head.as_bytes())?;
                let mut chunk = format!("{:x}\r\n", 16 << 10).into_bytes();
                chunk.resize(chunk.len() + (16 << 10), b'x');
                chunk.extend_from_slice(b"\r\n");
                // Until the caller closes, at 16 MB a second.
                while stream.write_all(&chunk).is_ok() {
                    thread::sleep(Duration::from_millis(1));
                }
                record_of.line(format!("runner {own}: the caller of {attempt} has closed"));
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(Duration::from_millis(60));
            stream.write_all(&answer("200 OK", &[echo, receipt], b"plugs"))
        });
        let entry = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{}\",\"zone\":\"rijeka\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            server.addr,
            unix_ms()
        );
        store.put("servers", &id, &entry);
        runners.push(server);
    }
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::prepare(&folder.0, number, platform.addr)).collect();
    hosts.iter_mut().for_each(|host| host.start(&record));
    await_ready(&hosts);
    thread::sleep(Duration::from_millis(CONTACT_MS));
    is_faulty.store(has_trouble(), Ordering::SeqCst);
    let front = hosts[0].front;
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let (record, ends) = (record.clone(), ends.clone());
        threads.push(thread::spawn(move || {
            let id = format!("a{number:07x}");
            let end = ask(front, &id, number);
            let End { text, after, bytes } = &end;
            record.line(format!("client {id}: {text} after {} ms, {bytes} bytes", after.as_millis()));
            ends.lock().unwrap().push(end);
        }));
    }
    for thread in threads {
        thread.join().ok();
    }
    let is_sound = hosts.iter_mut().all(Host::is_running);
    drop(hosts);
    let ends = ends.lock().unwrap();
    let long = ends.iter().filter(|end| end.after > TIMEOUT).count();
    let late = ends.iter().filter(|end| end.after > TIMEOUT + ANSWER_TIME).count();
    let holds = late < 8 || late * 4 <= long;
    record.line(format!(
        "CONFIG: {long} requests last longer than timeout_ms, {late} of them have no final answer 0.5 s after it: {}",
        if holds { "held" } else { "broken" }
    ));
    record.save(&record_path());
    if !is_sound {
        cannot_run("a host has ended by itself");
    }
    holds
}
