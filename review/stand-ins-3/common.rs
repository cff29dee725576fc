//! Stand-ins of the platform, runners and clients for the scripts of the third review, with the standard
//! library only. They follow the users' pages; each script adds the one behaviour that its claim quotes.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// JSON, with numbers as they are written.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().rfind(|(known, _)| known == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn str(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(flag) => flag.to_string(),
            Json::Num(text) => text.clone(),
            Json::Str(text) => quote(text),
            Json::Arr(list) => {
                let list: Vec<String> = list.iter().map(Json::write).collect();
                format!("[{}]", list.join(","))
            }
            Json::Obj(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(name, value)| format!("{}:{}", quote(name), value.write())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                let Json::Str(name) = parse_value(bytes, at)? else { return None };
                skip_space(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(bytes, at)?));
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::Arr(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        *at += 1;
                        let c = *bytes.get(*at)?;
                        *at += 1;
                        match c {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'b' => out.push(8),
                            b'f' => out.push(12),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                *at += 4;
                                let c = char::from_u32(code).unwrap_or('\u{fffd}');
                                out.extend_from_slice(c.to_string().as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    byte => {
                        out.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]}: \n\r\t".contains(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            match word {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "" => None,
                number => Some(Json::Num(number.to_owned())),
            }
        }
    }
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.lines.lock().unwrap().push((self.ms(), text.as_ref().to_owned()));
    }

    pub fn save(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines: Vec<String> = lines.iter().map(|(at, text)| format!("{at:>7} {text}\n")).collect();
        if let Err(error) = fs::write(path, lines.concat()) {
            eprintln!("record not written: {error}");
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A number that differs in each call of this process.
pub fn unique() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A port of a loopback address that nobody uses now.
pub fn free_port(ip: &str) -> u16 {
    let ip: IpAddr = ip.parse().expect("an address");
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener.local_addr().expect("bound").port()
}

/// Ends the run with the exit code 2; what was started is ended on the way.
pub fn cannot_run(reason: &str) -> ! {
    panic!("cannot run: {reason}");
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn exit_with(case: impl FnOnce() -> bool) -> ! {
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(case)) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    std::process::exit(code);
}

/// As many ports of a loopback address that nobody uses now, no two alike.
pub fn free_ports<const COUNT: usize>(ip: &str) -> [u16; COUNT] {
    let ip: IpAddr = ip.parse().expect("an address");
    let bind = |_| {
        TcpListener::bind(SocketAddr::new(ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()))
    };
    let listeners: [TcpListener; COUNT] = std::array::from_fn(bind);
    listeners.map(|listener| listener.local_addr().expect("bound").port())
}

/// A request as read from a connection; the names of its headers are in lowercase.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }
}

fn read_line(stream: &mut impl Read, limit: usize) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if stream.read(&mut byte)? == 0 {
            if line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if byte[0] == b'\n' {
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(Some(line));
        }
        line.push(byte[0]);
        if line.len() > limit {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

type Headers = Vec<(String, Vec<u8>)>;

fn read_headers(stream: &mut impl Read) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream, 65_536)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let colon = line.iter().position(|byte| *byte == b':').ok_or(io::ErrorKind::InvalidData)?;
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
    }
}

fn find(headers: &Headers, name: &str) -> Option<String> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
}

fn read_sized(stream: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunk(stream: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(stream, 1_024)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = String::from_utf8_lossy(&line);
    let size = size.split(';').next().unwrap_or_default().trim().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        while !read_line(stream, 65_536)?.ok_or(io::ErrorKind::UnexpectedEof)?.is_empty() {}
        return Ok(None);
    }
    let chunk = read_sized(stream, size)?;
    read_line(stream, 2)?;
    Ok(Some(chunk))
}

/// Reads a request; none if the connection ended before it.
pub fn read_request(stream: &mut impl Read) -> io::Result<Option<Request>> {
    let Some(line) = read_line(stream, 65_536)? else { return Ok(None) };
    let line = String::from_utf8_lossy(&line).into_owned();
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let headers = read_headers(stream)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(stream)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = read_sized(stream, length.parse().map_err(|_| io::ErrorKind::InvalidData)?)?;
    }
    Ok(Some(Request { method: method.to_owned(), target: target.to_owned(), headers, body }))
}

/// The bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A listener whose connections can be ended all at once, as with the end of its process.
pub struct Server {
    pub addr: SocketAddr,
    alive: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves `ip` at a free port. `handle` writes the answer; an error ends the connection.
    pub fn start(
        ip: &str,
        handle: impl Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Server {
        Server::start_at(SocketAddr::new(ip.parse().expect("an address"), 0), handle)
    }

    /// The same at this address.
    pub fn start_at(
        addr: SocketAddr,
        handle: impl Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind(addr).unwrap_or_else(|error| cannot_run(&error.to_string()));
        listener.set_nonblocking(true).expect("a listener");
        let addr = listener.local_addr().expect("bound");
        let alive = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (running, kept) = (alive.clone(), streams.clone());
        thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                let Ok(copy) = stream.try_clone() else { continue };
                kept.lock().unwrap().push(copy);
                if !running.load(Ordering::SeqCst) {
                    stream.shutdown(Shutdown::Both).ok();
                    break;
                }
                let (handle, running) = (handle.clone(), running.clone());
                thread::spawn(move || {
                    let mut stream = stream;
                    let Ok(reader) = stream.try_clone() else { return };
                    let mut reader = io::BufReader::new(reader);
                    while let Ok(Some(request)) = read_request(&mut reader) {
                        if !running.load(Ordering::SeqCst) || handle(request, &mut stream).is_err() {
                            break;
                        }
                    }
                    stream.shutdown(Shutdown::Both).ok();
                });
            }
        });
        Server { addr, alive, streams }
    }

    /// Closes the port and all connections.
    pub fn end(&self) {
        self.alive.store(false, Ordering::SeqCst);
        // The listener closes within a few milliseconds.
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\
             \"specification\":{},\"status\":null}}",
            quote(name),
            self.revision,
            self.created,
            self.specification
        )
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each change.
    events: Vec<(u64, String, String)>,
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, specification: String) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.specification == specification
        {
            return known.clone();
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |known| known.created);
        let object = Object { revision: self.revision, created, specification };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object.text(name));
        self.events.push((self.revision, kind.to_owned(), event));
        self.objects.insert(key, object.clone());
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            object.revision = self.revision;
            let event = format!("{{\"deleted\":true,\"object\":{}}}", object.text(name));
            self.events.push((self.revision, kind.to_owned(), event));
        }
    }
}

/// The platform's store, and its API for the duties.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

/// Time that the store takes for a call.
const STORE_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let specification = Json::parse(specification).expect("JSON").write();
        self.content.0.lock().unwrap().put(kind, name, specification);
        self.content.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.content.0.lock().unwrap().delete(kind, name);
        self.content.1.notify_all();
    }

    /// Names and specifications of a kind.
    pub fn list(&self, kind: &str) -> Vec<(String, String)> {
        let content = self.content.0.lock().unwrap();
        let objects = content.objects.iter().filter(|((known, _), _)| known == kind);
        objects.map(|((_, name), object)| (name.clone(), object.specification.clone())).collect()
    }

    /// Serves the store and the API at one address.
    pub fn serve(&self, ip: &str, record: &Record) -> Server {
        let (store, record) = (self.clone(), record.clone());
        Server::start(ip, move |request, stream| {
            let bytes = store.answer(&request, &record);
            stream.write_all(&bytes)
        })
    }

    fn answer(&self, request: &Request, record: &Record) -> Vec<u8> {
        thread::sleep(STORE_TIME);
        let json = |status: &str, body: String| {
            answer(status, &[("Content-Type", "application/json".into())], body.as_bytes())
        };
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let Some(path) = path.strip_prefix("/api/objects/") else {
            let header = |name| request.header(name).unwrap_or_default();
            let (holder, fence) = (header("x-duty-holder"), header("x-fencing-token"));
            let body = String::from_utf8_lossy(&request.body).into_owned();
            record.line(format!("duty {path} holder={holder} fence={fence} {body}"));
            return answer("200 OK", &[], b"");
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == wanted).map(|(_, value)| value.to_owned())
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let revision = metadata.and_then(|metadata| metadata.get("revision")).and_then(Json::u64);
        let revision = revision.or_else(|| parameter("revision")?.parse().ok());
        let (lock, changed) = &*self.content;
        let mut content = lock.lock().unwrap();
        match request.method.as_str() {
            "GET" if name.is_empty() && parameter("watch").is_some() => {
                let after: u64 = parameter("watch").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = content.events.iter();
                    let events = events.filter(|(at, known, _)| *at > after && known == kind);
                    let events: Vec<&str> = events.map(|(_, _, text)| text.as_str()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = content.revision;
                        return json("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
                    }
                    content = changed.wait_timeout(content, left).unwrap().0;
                }
            }
            "GET" if name.is_empty() => {
                let after = parameter("after").unwrap_or_default();
                let listed = content.objects.iter();
                let listed = listed.filter(|((known, name), _)| known == kind && *name > after);
                let mut items: Vec<String> =
                    listed.map(|((_, name), object)| object.text(name)).take(501).collect();
                let has_more = items.len() > 500;
                items.truncate(500);
                let at = content.revision;
                let items = items.join(",");
                json("200 OK", format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at\":{at}}}"))
            }
            "GET" => match content.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => json("200 OK", object.text(name)),
                None => answer("404 Not Found", &[], b""),
            },
            "POST" | "PUT" => {
                let named = metadata.and_then(|metadata| metadata.get("name")).and_then(Json::str);
                let name = if name.is_empty() { named.unwrap_or_default() } else { name };
                let known = content.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
                let is_new = request.method == "POST";
                let expected = if is_new { None } else { revision };
                match (&known, is_new) {
                    (None, false) => return answer("404 Not Found", &[], b""),
                    (Some(known), true) => return json("409 Conflict", known.text(name)),
                    (Some(known), false) if expected.is_some_and(|at| at != known.revision) => {
                        return json("409 Conflict", known.text(name));
                    }
                    _ => {}
                }
                let specification = body.get("specification").unwrap_or(&Json::Null).write();
                let object = content.put(kind, name, specification);
                changed.notify_all();
                json("200 OK", object.text(name))
            }
            "DELETE" => {
                let known = content.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
                let Some(known) = known else { return answer("404 Not Found", &[], b"") };
                if revision.is_some_and(|at| at != known.revision) {
                    return json("409 Conflict", known.text(name));
                }
                content.delete(kind, name);
                changed.notify_all();
                json("200 OK", known.text(name))
            }
            _ => answer("400 Bad Request", &[], b""),
        }
    }
}

/// A host process at a loopback address of its own.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of host `number` of `count`, with the bounds of the users' small deployments.
    pub fn prepare(folder: &Path, number: usize, store: SocketAddr) -> Host {
        // Several cases may run beside each other, each in a network of its own.
        let net = env::var("NET").unwrap_or_else(|_| "127.0.0".to_owned());
        let ip = format!("{net}.{}", 11 + number);
        // The internal range is for datagrams between hosts.
        let [front, ready, control, directory, internal] = free_ports(&ip);
        let zones = ["rijeka", "ploce", "split"];
        let zone = zones[number % zones.len()];
        let name = format!("front-{zone}-{}", number + 1);
        let text = format!(
            "node = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\nserves = [\"front\",\"directory\"]\n\
             ip_address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"hr-jadran\"\n\
             internal_port_range = [{internal},{internal}]\nseeds = []\nbootstrap = true\n\
             counts_toward_tolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
             heartbeat_interval_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\
             \"engine\",\"tenants\",\"leader\",\"platform\"]\n\
             [zones]\nrijeka = \"hr-jadran\"\nploce = \"hr-jadran\"\nsplit = \"hr-jadran\"\n\
             [listen_addresses]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\n\
             configuration_apply_ms = 2000\nrollback_slack_ms = 250\nouter_bound_ms = 5000\n\
             revoke_when_partitioned = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nretry_budget_slack = 58\nrequire_fencing = false\nlease_ms = 3000\n\
             thaw_ms = 300\nusage_window_s = 5\nusage_tolerance = 0.05\nusage_late_s = 10\nrecovery_s = 12\n\
             transit_ms = 120\nreuse_window_s = 9.3\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_minimum_ms = 1000\n\
             [cloud_api]\naddress = \"{store}\"\nrate_per_s = 50.0\nduties = [\"usage_report\",\"autoscale\"]\n\
             duty_per_s = 50.0\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let addr = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let log = folder.join(format!("{name}.log"));
        Host { name, front: addr(front), ready: addr(ready), settings, log, child: None }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, record: &Record) {
        let words = run_words();
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).env_clear().env("CHERVILGATE_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("{}: {error}", words[0])),
        }
        record.line(format!("host {} starts at {}", self.name, self.front));
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            record.line(format!("host {} killed", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        call(self.ready, request.as_bytes(), Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
    }

    /// Lines of its log that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// The words of `run` in the deploy file, which stands in the working directory's `deploy`.
fn run_words() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml");
    let text = text.unwrap_or_else(|error| cannot_run(&format!("deploy/system.toml: {error}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.unwrap_or_else(|| cannot_run("deploy/system.toml names no program"));
    line.trim_matches('"').split(' ').map(str::to_owned).collect()
}

/// Waits until all hosts are ready.
pub fn await_ready(hosts: &[Host]) {
    let until = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > until {
            cannot_run("hosts do not become ready");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// A folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = env::temp_dir().join(format!("chervilgate-case-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}

/// An answer as a client gets it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        find(&self.headers, name)
    }
}

/// Sends a request over a new connection and reads the whole answer.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = io::BufReader::new(stream);
    let line = read_line(&mut reader, 1_024)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let line = String::from_utf8_lossy(&line).into_owned();
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = read_sized(&mut reader, length.parse().map_err(|_| io::ErrorKind::InvalidData)?)?;
    }
    Ok(Answer { status, headers, body })
}

/// Whether the script is run with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record's path: the first argument.
pub fn record_path() -> PathBuf {
    env::args().nth(1).map_or_else(|| cannot_run("no path for the record"), PathBuf::from)
}
