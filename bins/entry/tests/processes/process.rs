//! Starts an entry as a separate process, with its settings and certificates in files.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use chervilgate_ports::free_addr;
use chervilgate_standins::{Caller, Deployment};
use chervilgate_wire::CertificateAuthority;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use serde_json::json;
use tokio::time::sleep;

/// Longest wait for a condition; normally it holds within seconds.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(60);

static STARTED: AtomicU32 = AtomicU32::new(0);

/// A running entry process, killed when dropped.
pub(crate) struct EntryProcess {
    /// The address that callers connect to.
    pub(crate) addr: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl EntryProcess {
    /// Starts the process and waits until it is ready.
    pub(crate) async fn start(
        deployment: &Deployment,
        authority: &CertificateAuthority,
        host: &str,
    ) -> EntryProcess {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("chervilgate-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let identity = authority.issue(host).expect("an identity");
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            fs::write(&path, text).expect("a file");
            path
        };
        let [listen, admin, peer] = std::array::from_fn(|_| free_addr().expect("a port"));
        let settings = json!({
            "host": host, "zone": "a",
            "listen": listen, "admin": admin, "peer": peer,
            "peer_tls": {
                "authority": write("authority.pem", &identity.authority),
                "certificate": write("certificate.pem", &identity.certificate),
                "key": write("key.pem", &identity.key),
            },
            "platform": deployment.platform.addr(),
            "deadline": "30s", "locate_ttl": "1s",
        });
        let settings = write("entry.json", &settings.to_string());
        let child = Command::new(env!("CARGO_BIN_EXE_chervilgate-entry"))
            .arg(settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let process = EntryProcess { addr: listen, child, folder };
        wait_ready(listen).await;
        process
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("a running process");
    }

    /// Pauses the process and waits until its last thread has stopped: until then, threads that
    /// have not noticed the signal go on serving.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
        let stopped = waitid(WaitId::Pid(self.pid()), WaitIdOptions::STOPPED);
        assert!(stopped.expect("a child").is_some_and(|status| status.stopped()));
    }

    fn pid(&self) -> Pid {
        i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a process")
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_exit(&mut self) -> ExitStatus {
        let wait = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(MAX_WAIT, wait).await.expect("the process ends")
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until `/readyz` succeeds.
pub(crate) async fn wait_ready(entry: SocketAddr) {
    let caller = Caller::without_key();
    eventually(|| async {
        caller.get(entry, "/readyz").await.is_some_and(|answer| answer.status.is_success())
    })
    .await;
}

/// Polls until `condition` holds; panics after [`MAX_WAIT`].
pub(crate) async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait).await.expect("the condition holds in time");
}
