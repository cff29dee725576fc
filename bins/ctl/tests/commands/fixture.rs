//! A test environment: a stand-in platform, mock entries that follow it, and a
//! temporary folder in which the command runs.

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
use chervilgate_ports::free_addr;
use chervilgate_serve::Handler;
use chervilgate_standins::{FakeServer, PlatformFaults, PlatformServer};
use hyper::{Request, Response, body::Incoming};
use serde_json::{Value, json};

/// Exit code and output of a run of the command.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// The processes that the command talks to, and its working folder.
pub(crate) struct TestEnv {
    platform: PlatformServer,
    entries: Mutex<Vec<FakeServer>>,
    frozen_count: Arc<AtomicUsize>,
    folder: PathBuf,
}

/// Answers `/admin/state` with the latest view that the platform stores.
///
/// Entries with a number below `frozen_count` keep the view that they have.
struct MockEntry {
    number: usize,
    store: HttpPlatform,
    held_seq: AtomicU64,
    frozen_count: Arc<AtomicUsize>,
}

#[async_trait]
impl Handler for MockEntry {
    async fn handle(&self, _peer: SocketAddr, _request: Request<Incoming>) -> Response<Body> {
        if self.number >= self.frozen_count.load(Ordering::Relaxed) {
            let get = StoreCall::Get { key: ROOT_KEY.to_owned() };
            if let StoreReply::Found(Some(object)) = self.store.call(&get).await {
                let root: Root = decode(&object.value).expect("a root");
                self.held_seq.store(root.seq.0, Ordering::Relaxed);
            }
        }
        let state = json!({
            "host": format!("host-{}", self.number),
            "zone": "a",
            "incarnation": format!("{:016x}", self.number),
            "phase": "serving",
            "view": { "seq": self.held_seq.load(Ordering::Relaxed), "fresh": true },
        });
        Response::new(full(state.to_string()))
    }
}

impl TestEnv {
    /// Starts a platform and `count` entries, and writes the command's settings.
    pub(crate) fn start(count: usize) -> TestEnv {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ctl-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");

        let platform = PlatformServer::start(0).expect("a free port");
        let frozen_count = Arc::new(AtomicUsize::new(0));
        let entries: Vec<FakeServer> =
            (0..count).map(|number| start_entry(number, platform.addr(), &frozen_count)).collect();
        let addrs: Vec<SocketAddr> = entries.iter().map(FakeServer::addr).collect();
        let settings = json!({
            "platform": platform.addr(),
            "entries": addrs,
            "operator": "ana",
            "change_limit": "1s",
            "accept_limit": "1s",
        });
        let test_env = TestEnv { platform, entries: Mutex::new(entries), frozen_count, folder };
        test_env.write("chervilgatectl.json", &settings.to_string());
        test_env
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

    /// Stops the first `count` entries from adopting new views.
    pub(crate) fn freeze_views(&self, count: usize) {
        self.frozen_count.store(count, Ordering::Relaxed);
    }

    /// Stops the last entry and returns its address.
    pub(crate) fn kill_entry(&self) -> String {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.pop().expect("an entry").addr().to_string()
    }

    /// Replaces the faults that the platform injects.
    pub(crate) fn set_platform_faults(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    /// Stores an object; panics if the key exists.
    pub(crate) fn store(&self, key: String, value: Vec<u8>) {
        let reply = self.call_store(&StoreCall::Put { key, expect: Expect::Absent, value });
        assert!(matches!(reply, StoreReply::Written(_)), "{reply:?}");
    }

    /// Whether an object with this key is stored.
    pub(crate) fn contains_key(&self, key: String) -> bool {
        matches!(self.call_store(&StoreCall::Get { key }), StoreReply::Found(Some(_)))
    }

    /// The values of all stored objects, concatenated as lossy UTF-8.
    pub(crate) fn stored_values(&self) -> String {
        let list = StoreCall::List { prefix: String::new() };
        let StoreReply::Listed { objects, .. } = self.call_store(&list) else {
            panic!("the platform does not answer");
        };
        objects.iter().map(|object| String::from_utf8_lossy(&object.value).into_owned()).collect()
    }

    fn call_store(&self, call: &StoreCall) -> StoreReply {
        let store = HttpPlatform::new(self.platform.addr());
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(store.call(call))
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Run {
    /// Asserts the exit code.
    pub(crate) fn expect(self, code: i32) -> Run {
        assert_eq!(self.code, code, "{}{}", self.stdout, self.stderr);
        self
    }

    /// Standard output parsed as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("JSON")
    }
}

fn start_entry(number: usize, platform: SocketAddr, frozen_count: &Arc<AtomicUsize>) -> FakeServer {
    let store = HttpPlatform::new(platform);
    let held_seq = AtomicU64::new(0);
    let entry = MockEntry { number, store, held_seq, frozen_count: frozen_count.clone() };
    // No other test may get the port of an entry that was killed.
    let port = free_addr().expect("a free port").port();
    FakeServer::start(Arc::new(entry), port).expect("the port")
}
