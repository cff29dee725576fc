//! Stand-ins for the platform's store, servers and clients, with the standard library only, and what
//! starts the project's hosts as processes. Each case includes this file as a module.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Object(fields) = self {
            fields.retain(|(key, _)| key != name);
            fields.push((name.to_owned(), value));
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(flag) => write!(f, "{flag}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

fn skip(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if text[*at] == ',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(name) = parse_value(text, at)? else { return None };
                skip(text, at);
                if *text.get(*at)? != ':' {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(text, at)?));
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let c = *text.get(*at)?;
                        *at += 1;
                        match c {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'r' => out.push('\r'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                out.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => out.push(other),
                        }
                    }
                    c => out.push(c),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < text.len() && !",]} \n\r\t".contains(text[*at]) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => Json::Number(word),
            })
        }
    }
}

// ---------------------------------------------------------------- record

/// The record of a case: what was sent, answered and run, with times.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        thread::spawn(|| {
            thread::sleep(LONGEST_RUN);
            cannot_run("it takes too long")
        });
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:>7}.{:03} s  {text}", ms / 1000, ms % 1000);
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// The processes that the case has started and not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time for which a case runs.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Ends the case as one that could not run, and the processes that it has started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for pid in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    std::process::exit(2);
}

/// Whether the disruption is made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A free port at `ip`.
pub fn free_addr(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0))
        .unwrap_or_else(|error| cannot_run(&format!("no free port at {ip}: {error}")));
    listener.local_addr().unwrap()
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end().to_owned())
}

/// Reads the first line and the headers; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = read_line(reader)?;
    while first.is_empty() {
        first = read_line(reader)?;
    }
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Message { first, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; an empty one at its end, none if it breaks off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let size = usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some(chunk)
}

/// Reads a message with its body by length or chunks; the flag tells whether the body is whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<(Message, bool)> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            match read_chunk(reader) {
                None => return Some((message, false)),
                Some(chunk) if chunk.is_empty() => return Some((message, true)),
                Some(chunk) => message.body.extend_from_slice(&chunk),
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    let mut read = 0;
    while read < body.len() {
        match reader.read(&mut body[read..]) {
            Ok(0) | Err(_) => {
                body.truncate(read);
                message.body = body;
                return Some((message, false));
            }
            Ok(count) => read += count,
        }
    }
    message.body = body;
    Some((message, true))
}

pub fn write_message(
    stream: &mut impl Write,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Sends a request over a new connection and reads the answer; none if none comes.
pub fn call(
    addr: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(Message, bool)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    if !write_message(&mut stream, first, headers, body) {
        return None;
    }
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------- listeners

type ConnectionHandler = dyn Fn(TcpStream) + Send + Sync;

/// A listener whose connections are handled by threads. It can end as a killed process does.
pub struct Server {
    pub addr: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(addr: SocketAddr, handler: Arc<ConnectionHandler>) -> Server {
        let listener = bind(addr);
        let addr = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stop_flag, connections) = (stop.clone(), open.clone());
        let accepting = thread::spawn(move || {
            while !stop_flag.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || handler(stream));
            }
        });
        Server { addr, stop, open, accepting: Some(accepting) }
    }

    /// Closes the port, then all connections.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        self.close_connections();
    }

    pub fn close_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

fn bind(addr: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(addr) {
            return listener;
        }
        sleep_ms(10);
    }
    cannot_run(&format!("cannot listen on {addr}"))
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Stored {
    revision: u64,
    specification: Json,
    status: Json,
    finalizers: Json,
}

#[derive(Default, Clone)]
struct Content {
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    events: Vec<(u64, String, String, bool, Stored)>,
}

impl Content {
    fn change(&mut self, kind: &str, name: &str, deleted: bool, mut stored: Stored) {
        self.revision += 1;
        stored.revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        if deleted {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, stored.clone());
        }
        self.events.push((self.revision, kind.to_owned(), name.to_owned(), deleted, stored));
    }
}

/// The platform's store, as PROTOCOL.md describes it.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

/// How the store treats the machine that uses one of its ports.
pub const SERVES: u8 = 0;
pub const SILENT: u8 = 1;
pub const BUSY: u8 = 2;

/// The way of one machine to the store.
pub struct StorePort {
    pub server: Server,
    mode: Arc<AtomicU8>,
    addresses: Arc<Mutex<Vec<(String, String)>>>,
}

impl StorePort {
    /// Puts a proxy of the test into the machine's way to a server.
    pub fn replace_address(&self, server: SocketAddr, proxy: SocketAddr) {
        self.addresses.lock().unwrap().push((server.to_string(), proxy.to_string()));
    }

    /// Lets the store serve the machine, or answer nothing (connections are kept), or 503.
    pub fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    /// The same; connections that are open are closed, so that calls which were held do not run.
    pub fn heal(&self) {
        self.server.close_connections();
        self.set_mode(SERVES);
    }
}

fn object_json(name: &str, stored: &Stored) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":\"2026-01-01T00:00:00Z\",\
         \"finalizers\":{},\"deleting\":false}},\"specification\":{},\"status\":{}}}",
        Json::Text(name.to_owned()),
        stored.revision,
        stored.finalizers,
        stored.specification,
        stored.status
    )
}

impl Store {
    /// Writes an object as the operator or a server does; returns when it is acknowledged.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let specification = Json::parse(specification).expect("valid JSON");
        let (content, changed) = &*self.content;
        let stored =
            Stored { revision: 0, specification, status: Json::Null, finalizers: Json::List(vec![]) };
        content.lock().unwrap().change(kind, name, false, stored);
        changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let stored = content.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if let Some(stored) = stored {
            content.change(kind, name, true, stored);
            changed.notify_all();
        }
    }

    /// The specification of an object, as text.
    pub fn read(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.content.0.lock().unwrap();
        let stored = content.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(stored.specification.to_string())
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let content = self.content.0.lock().unwrap();
        let names = content.objects.keys().filter(|(known, _)| known == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// A copy of all that the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.content.0.lock().unwrap().clone())
    }

    /// Comes back from a copy; the era rises by one.
    pub fn restore(&self, copy: &StoreCopy) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let era = content.era + 1;
        *content = copy.0.clone();
        content.era = era;
        changed.notify_all();
    }

    /// A port of the store for one machine.
    pub fn listen(&self, ip: &str) -> StorePort {
        let mode = Arc::new(AtomicU8::new(SERVES));
        let addresses: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
        let (store, port_mode, replaced) = (self.clone(), mode.clone(), addresses.clone());
        let handler = move |stream: TcpStream| store.serve(stream, &port_mode, &replaced);
        let addr = SocketAddr::new(ip.parse().unwrap(), 0);
        StorePort { server: Server::start(addr, Arc::new(handler)), mode, addresses }
    }

    fn serve(&self, stream: TcpStream, mode: &AtomicU8, addresses: &Mutex<Vec<(String, String)>>) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some((request, true)) = read_message(&mut reader) {
            let silent = || mode.load(Ordering::SeqCst) == SILENT;
            if silent() {
                // Nothing more is answered on this connection.
                while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    let length = reader.buffer().len();
                    reader.consume(length);
                }
                return;
            }
            let (status, mut body) = if mode.load(Ordering::SeqCst) == BUSY {
                (503, String::new())
            } else {
                self.answer(&request, mode)
            };
            if silent() {
                while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    let length = reader.buffer().len();
                    reader.consume(length);
                }
                return;
            }
            for (server, proxy) in addresses.lock().unwrap().iter() {
                body = body.replace(&format!("\"{server}\""), &format!("\"{proxy}\""));
            }
            let era = self.content.0.lock().unwrap().era.to_string();
            let first = format!("HTTP/1.1 {status} x");
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            if !write_message(&mut writer, &first, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, mode: &AtomicU8) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else { return (404, String::new()) };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == wanted).map(|(_, value)| value.to_owned())
        };
        let (content, changed) = &*self.content;
        match (request.method(), name) {
            ("GET", None) => {
                if let Some(after) = parameter("watch").and_then(|text| text.parse::<u64>().ok()) {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    return self.watch(&kind, after, Duration::from_millis(wait), mode);
                }
                let after = parameter("after").unwrap_or_default();
                let content = content.lock().unwrap();
                let items = content.objects.iter().filter(|((known, _), _)| *known == kind);
                let items = items.filter(|((_, name), _)| *name > after);
                let mut items: Vec<String> =
                    items.map(|((_, name), stored)| object_json(name, stored)).take(501).collect();
                let has_more = items.len() > 500;
                items.truncate(500);
                let at = content.revision;
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at\":{at}}}"))
            }
            ("GET", Some(name)) => {
                let content = content.lock().unwrap();
                match content.objects.get(&(kind, name.clone())) {
                    Some(stored) => (200, object_json(&name, stored)),
                    None => (404, String::new()),
                }
            }
            ("POST" | "PUT", name) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&body) else { return (400, String::new()) };
                let metadata = body.get("metadata");
                let is_create = name.is_none();
                let Some(name) = name.or(metadata.get("name").text().map(str::to_owned)) else {
                    return (400, String::new());
                };
                let mut content = content.lock().unwrap();
                let known = content.objects.get(&(kind.clone(), name.clone())).cloned();
                let wanted = metadata.get("revision").number();
                let stored = match (known, is_create) {
                    (Some(known), true) => return (409, object_json(&name, &known)),
                    (None, false) => return (404, String::new()),
                    (Some(known), false) if wanted.is_some_and(|at| at != known.revision) => {
                        return (409, object_json(&name, &known));
                    }
                    (Some(known), false) => {
                        let mut new = known.clone();
                        if is_status {
                            new.status = body.get("status").clone();
                        } else {
                            new.specification = body.get("specification").clone();
                        }
                        if new.specification == known.specification && new.status == known.status {
                            return (200, object_json(&name, &known));
                        }
                        new
                    }
                    (None, true) => Stored {
                        revision: 0,
                        specification: body.get("specification").clone(),
                        status: Json::Null,
                        finalizers: Json::List(vec![]),
                    },
                };
                content.change(&kind, &name, false, stored);
                changed.notify_all();
                let stored = &content.objects[&(kind, name.clone())];
                (if is_create { 201 } else { 200 }, object_json(&name, stored))
            }
            ("DELETE", Some(name)) => {
                let mut content = content.lock().unwrap();
                let Some(known) = content.objects.get(&(kind.clone(), name.clone())).cloned() else {
                    return (404, String::new());
                };
                let wanted = parameter("revision").and_then(|text| text.parse::<u64>().ok());
                if wanted.is_some_and(|at| at != known.revision) {
                    return (409, object_json(&name, &known));
                }
                content.change(&kind, &name, true, known);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (405, String::new()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, mode: &AtomicU8) -> (u16, String) {
        let end = Instant::now() + wait;
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        if after > content.revision {
            return (410, String::new());
        }
        let era = content.era;
        loop {
            let events = content.events.iter().filter(|(at, known, ..)| *at > after && known == kind);
            let events: Vec<String> = events
                .map(|(_, _, name, deleted, stored)| {
                    format!("{{\"object\":{},\"deleted\":{deleted}}}", object_json(name, stored))
                })
                .collect();
            let now = Instant::now();
            let is_over = now >= end || content.era != era || mode.load(Ordering::SeqCst) != SERVES;
            if !events.is_empty() || is_over {
                let (events, at) = (events.join(","), content.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let left = (end - now).min(Duration::from_millis(50));
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

/// What a store held at a time.
pub struct StoreCopy(Content);

// ---------------------------------------------------------------- hosts

/// Bounds and addresses of a small deployment; `bounds` is the TOML text below `[bounds]`.
pub const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\n\
catch_up_s = 4\ndrain_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\n\
configuration_apply_ms = 2000\nrollback_slack_ms = 250\nouter_bound_ms = 5000\n\
revoke_when_partitioned = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
retry_budget_slack = 56\nrequire_fencing = false\nlease_ms = 3000\nthaw_ms = 300\n\
usage_window_s = 5\nusage_tolerance = 0.05\nusage_late_s = 10\nrecovery_s = 12\ntransit_ms = 120\n\
reuse_window_s = 8.5\nttl_max_s = 5\n";

/// A host process of the project.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The loopback address of a machine, of which each run of a case has its own.
pub fn machine_ip(index: usize) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{}", 1 + process / 250 % 250, process % 250, 11 + index)
}

/// Where the repository is, from the case's folder.
pub fn repository() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_owned()))
}

impl Host {
    /// Writes the settings of a host at the loopback address `ip` and starts it with the command of
    /// the deploy file.
    pub fn start(
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Host {
        let ports: Vec<SocketAddr> = (0..4).map(|_| free_addr(ip)).collect();
        let first_port = free_port_range(ip);
        let last_port = first_port + 15;
        let [front, ready, control, directory] = ports[..] else { unreachable!() };
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "node = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"directory\"]\nip_address = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r\"\ninternal_port_range = [{first_port},{last_port}]\nseeds = []\n\
             bootstrap = true\ncounts_toward_tolerance = false\ndiscovery = \"platform\"\n\
             entry = \"directory\"\nheartbeat_interval_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\
             \"stream\",\"engine\",\"tenants\",\"leader\",\"platform\"]\n\
             [zones]\nz-a = \"r\"\nz-b = \"r\"\n\
             [listen_addresses]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             directory = \"{directory}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n\
             [cloud_api]\naddress = \"{cloud}\"\nrate_per_s = 50.0\n\
             duties = [\"usage_report\",\"autoscale\"]\nduty_per_s = 50.0\n"
        );
        fs::write(&settings, text).unwrap_or_else(|error| cannot_run(&format!("settings: {error}")));
        let log = folder.join(format!("{name}.log"));
        let name = name.to_owned();
        let mut host = Host { name, front, ready, directory, settings, log, child: None };
        host.restart();
        host
    }

    /// Starts the process, again if it has ended.
    pub fn restart(&mut self) {
        let deploy = fs::read_to_string(repository().join("deploy/system.toml")).unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let Some(run) = run.and_then(|rest| rest.strip_suffix('"')) else {
            cannot_run("no command in deploy/system.toml")
        };
        let mut words = run.split(' ');
        let program = repository().join(words.next().unwrap_or_default());
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(&program)
            .args(words)
            .current_dir(repository())
            .env("CHERVILGATE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                CHILDREN.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => cannot_run(&format!("{}: {error}", program.display())),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the host says that it is ready.
    pub fn await_ready(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run(&format!("{} is not ready", self.name));
            }
            sleep_ms(50);
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET /api/readiness HTTP/1.1",
            &[("host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_some_and(|(answer, _)| answer.status() == 200)
    }

    /// The exit status of a process that has ended by itself.
    pub fn exit(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The first of sixteen ports that are free at `ip`.
fn free_port_range(ip: &str) -> u16 {
    for _ in 0..50 {
        let first = free_addr(ip).port();
        if first < 60_000 && (first..first + 16).all(|port| TcpListener::bind((ip, port)).is_ok()) {
            return first;
        }
    }
    cannot_run("no free ports for traffic between hosts")
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(label: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{label}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("folder: {error}")));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A proxy that passes all bytes on to `target`. While it has ended, connections to it are refused.
pub fn start_proxy(addr: SocketAddr, target: SocketAddr) -> Server {
    let handler = move |mut stream: TcpStream| {
        let Ok(mut other) = TcpStream::connect(target) else { return };
        let _ = other.set_nodelay(true);
        let (Ok(mut back), Ok(mut from)) = (stream.try_clone(), other.try_clone()) else { return };
        let returning = thread::spawn(move || {
            let _ = std::io::copy(&mut from, &mut back);
            let _ = back.shutdown(Shutdown::Both);
        });
        let _ = std::io::copy(&mut stream, &mut other);
        let _ = other.shutdown(Shutdown::Both);
        let _ = returning.join();
    };
    Server::start(addr, Arc::new(handler))
}

/// The platform's interface for the duties of one holder at a time.
pub struct Cloud {
    pub server: Server,
    pub calls: Arc<Mutex<Vec<(Instant, Message)>>>,
}

impl Cloud {
    pub fn start(ip: &str) -> Cloud {
        let calls: Arc<Mutex<Vec<(Instant, Message)>>> = Arc::default();
        let seen = calls.clone();
        let handler = move |stream: TcpStream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some((request, true)) = read_message(&mut reader) {
                seen.lock().unwrap().push((Instant::now(), request));
                let headers = [("content-type", "application/json")];
                if !write_message(&mut writer, "HTTP/1.1 200 OK", &headers, b"{}") {
                    return;
                }
            }
        };
        let addr = SocketAddr::new(ip.parse().unwrap(), 0);
        Cloud { server: Server::start(addr, Arc::new(handler)), calls }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a client attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_ms())
}
