//! The platform's metadata store and its calls for duties, in memory.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{answer, read_request, Request},
    json::{quote, Json},
};

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<(u64, String, String)>,
    /// Number of times that waiting watches were cut off.
    cuts: u64,
    /// When the watch of a kind by a peer address began to wait.
    waiting: Vec<(u64, String, Instant)>,
    next_watch: u64,
    duty_calls: Vec<String>,
}

#[derive(Default)]
struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

fn object(name: &str, revision: u64, spec: &str) -> String {
    let name = quote(name);
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"specification\":{spec},\"status\":null}}"
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key) {
            if known == spec {
                return *revision;
            }
        }
        self.revision += 1;
        let event = format!("{{\"object\":{},\"deleted\":false}}", object(name, self.revision, spec));
        self.events.push((self.revision, kind.to_owned(), event));
        self.objects.insert(key, (self.revision, spec.to_owned()));
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some((_, spec)) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        self.revision += 1;
        let event = format!("{{\"object\":{},\"deleted\":true}}", object(name, self.revision, &spec));
        self.events.push((self.revision, kind.to_owned(), event));
    }
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(addr)?;
        let store = Store::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.content.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes an object; when this returns, the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.content().put(kind, name, spec);
        self.0.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.content().remove(kind, name);
        self.0.changed.notify_all();
    }

    /// Cuts off the watches that wait, as the pages allow; nothing else is affected.
    pub fn cut_waiting_watches(&self) {
        self.content().cuts += 1;
        self.0.changed.notify_all();
    }

    /// Ages of the watches of a kind that wait.
    pub fn waiting(&self, kind: &str) -> Vec<Duration> {
        let content = self.content();
        let of_kind = content.waiting.iter().filter(|(_, known, _)| known == kind);
        of_kind.map(|(_, _, since)| since.elapsed()).collect()
    }

    pub fn duty_calls(&self) -> Vec<String> {
        self.content().duty_calls.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body)) = self.handle(&request) else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer; none if the connection is cut off instead.
    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let Some(path) = request.path().strip_prefix("/api/objects/") else {
            let holder = request.header("x-duty-holder").unwrap_or_default();
            let fence = request.header("x-fencing-token").unwrap_or_default();
            let body = String::from_utf8_lossy(&request.body);
            let call = format!("{} holder={holder} fence={fence} {body}", request.path());
            self.content().duty_calls.push(call);
            return Some((200, String::new()));
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match request.method.as_str() {
            "GET" => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = request.query("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None if name.is_empty() => Some(self.list(kind)),
                None => Some(self.read(kind, name)),
            },
            "DELETE" => {
                self.remove(kind, name);
                Some((200, "{}".into()))
            }
            _ => Some(self.write(kind, name, request)),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let content = self.content();
        let of_kind = content.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{}}}", content.revision))
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        match self.content().objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object(name, *revision, spec)),
            None => (404, "{}".into()),
        }
    }

    fn write(&self, kind: &str, name: &str, request: &Request) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(body) = Json::parse(&body) else { return (400, "{}".into()) };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let named = metadata.get("name").and_then(Json::as_str).unwrap_or(name).to_owned();
        let expected = metadata.get("revision").and_then(Json::as_u64);
        let spec = body.get("specification").cloned().unwrap_or(Json::Null).write();
        let mut content = self.content();
        let known = content.objects.get(&(kind.to_owned(), named.clone())).cloned();
        let is_create = request.method == "POST";
        match known {
            Some((revision, spec)) if is_create || expected.is_some_and(|at| at != revision) => {
                return (409, object(&named, revision, &spec));
            }
            None if !is_create => return (404, "{}".into()),
            _ => {}
        }
        let revision = content.put(kind, &named, &spec);
        self.0.changed.notify_all();
        (if is_create { 201 } else { 200 }, object(&named, revision, &spec))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut content = self.content();
        let cuts = content.cuts;
        let number = content.next_watch;
        content.next_watch += 1;
        content.waiting.push((number, kind.to_owned(), Instant::now()));
        loop {
            let events = content.events.iter().filter(|(at, of, _)| *at > after && of == kind);
            let events: Vec<String> = events.map(|(.., event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_cut = content.cuts != cuts;
            if !events.is_empty() || left.is_zero() || is_cut {
                content.waiting.retain(|(known, ..)| *known != number);
                let (events, at) = (events.join(","), content.revision);
                return (!is_cut).then(|| (200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            content = match self.0.changed.wait_timeout(content, left) {
                Ok((content, _)) => content,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}
