//! A platform, entries that follow it, and a folder to run the command in.

use std::{
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::PathBuf,
    process::Command,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use async_trait::async_trait;
use chervilgate_clients::{Body, HttpPlatform, ObjectStore, body::full};
use chervilgate_coord::{Expect, StoreCall, StoreReply, decode, view::ROOT_KEY, view::Root};
use chervilgate_serve::Handler;
use chervilgate_standins::{PlatformFaults, PlatformStandin, Standin};
use hyper::{Request, Response, body::Incoming};
use serde_json::{Value, json};

/// What a run of the command left.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// A deployment as far as the command sees it.
pub(crate) struct Bench {
    platform: PlatformStandin,
    entries: Mutex<Vec<Standin>>,
    frozen: Arc<AtomicUsize>,
    folder: PathBuf,
}

/// Answers `/admin/state` as an entry does that follows the platform.
struct FakeEntry {
    number: usize,
    store: HttpPlatform,
    held: AtomicU64,
    frozen: Arc<AtomicUsize>,
}

#[async_trait]
impl Handler for FakeEntry {
    async fn handle(&self, _peer: SocketAddr, _request: Request<Incoming>) -> Response<Body> {
        if self.number >= self.frozen.load(Ordering::Relaxed) {
            let get = StoreCall::Get { key: ROOT_KEY.to_owned() };
            if let StoreReply::Found(Some(object)) = self.store.call(&get).await {
                let root: Root = decode(&object.value).expect("a root");
                self.held.store(root.seq.0, Ordering::Relaxed);
            }
        }
        let state = json!({
            "host": format!("host-{}", self.number),
            "zone": "a",
            "incarnation": format!("{:016x}", self.number),
            "phase": "serving",
            "view": { "seq": self.held.load(Ordering::Relaxed), "fresh": true },
        });
        Response::new(full(state.to_string()))
    }
}

impl Bench {
    /// Starts a platform and `count` entries.
    pub(crate) fn start(count: usize) -> Bench {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ctl-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");

        let platform = PlatformStandin::start(0).expect("a free port");
        let frozen = Arc::new(AtomicUsize::new(0));
        let entries: Vec<Standin> =
            (0..count).map(|number| start_entry(number, platform.addr(), &frozen)).collect();
        let addrs: Vec<SocketAddr> = entries.iter().map(Standin::addr).collect();
        let settings = json!({
            "platform": platform.addr(),
            "entries": addrs,
            "operator": "ana",
            "change_limit": "1s",
            "accept_limit": "1s",
        });
        let bench = Bench { platform, entries: Mutex::new(entries), frozen, folder };
        bench.write("chervilgatectl.json", &settings.to_string());
        bench
    }

    /// Writes a file into the folder.
    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("a file written");
    }

    /// The text of a file in the folder.
    pub(crate) fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(name)).expect("a file")
    }

    /// The access rights of a file in the folder.
    pub(crate) fn mode(&self, name: &str) -> u32 {
        let metadata = std::fs::metadata(self.folder.join(name)).expect("a file");
        metadata.permissions().mode() & 0o777
    }

    /// Runs the command in the folder.
    pub(crate) fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chervilgatectl"));
        command.args(args).current_dir(&self.folder).env_remove("CHERVILGATECTL");
        let output = command.output().expect("the command runs");
        Run {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).expect("text"),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }

    /// Makes the first `count` entries keep the view that they hold.
    pub(crate) fn freeze_entries(&self, count: usize) {
        self.frozen.store(count, Ordering::Relaxed);
    }

    /// Kills one entry; its address.
    pub(crate) fn kill_entry(&self) -> String {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.pop().expect("an entry").addr().to_string()
    }

    /// Sets the platform's faults.
    pub(crate) fn set_platform(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    /// Stores an object that is not there yet.
    pub(crate) fn store(&self, key: String, value: Vec<u8>) {
        let reply = self.call(&StoreCall::Put { key, expect: Expect::Absent, value });
        assert!(matches!(reply, StoreReply::Written(_)), "{reply:?}");
    }

    /// Whether an object of this name is stored.
    pub(crate) fn has(&self, key: String) -> bool {
        matches!(self.call(&StoreCall::Get { key }), StoreReply::Found(Some(_)))
    }

    /// Everything that the platform stores, as text.
    pub(crate) fn stored(&self) -> String {
        let list = StoreCall::List { prefix: String::new() };
        let StoreReply::Listed { objects, .. } = self.call(&list) else {
            panic!("the platform does not answer");
        };
        objects.iter().map(|object| String::from_utf8_lossy(&object.value).into_owned()).collect()
    }

    fn call(&self, call: &StoreCall) -> StoreReply {
        let store = HttpPlatform::new(self.platform.addr());
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(store.call(call))
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Run {
    /// Checks the exit code.
    pub(crate) fn expect(self, code: i32) -> Run {
        assert_eq!(self.code, code, "{}{}", self.stdout, self.stderr);
        self
    }

    /// The answer in JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("JSON")
    }
}

fn start_entry(number: usize, platform: SocketAddr, frozen: &Arc<AtomicUsize>) -> Standin {
    let store = HttpPlatform::new(platform);
    let held = AtomicU64::new(0);
    let entry = FakeEntry { number, store, held, frozen: frozen.clone() };
    Standin::start(Arc::new(entry), 0).expect("a free port")
}
