//! Runs the command against real entries and a controller, and checks that callers
//! see the effects that it reports.

use std::{net::SocketAddr, path::PathBuf, process::Command, time::Duration};

use chervilgate_controller::{Controller, Settings as ControllerSettings};
use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::CertificateAuthority;
use hyper::StatusCode;
use serde_json::{Value, json};

/// Longest wait for a condition, which normally holds within seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const PROMPT: &str = "how many guests in May";

struct TestSystem {
    deployment: Deployment,
    entries: Vec<Entry>,
    controller: Controller,
    folder: PathBuf,
}

impl TestSystem {
    async fn start(name: &str) -> TestSystem {
        let mut deployment = Deployment::start(3, 2, &EngineSpec::default()).expect("stand-ins");
        deployment.add_organisation("acme");
        let authority = CertificateAuthority::generate().expect("an authority");
        let mut entries = Vec::new();
        for (host, zone) in [("h1", "a"), ("h2", "b"), ("h3", "c")] {
            let identity = authority.issue(host).expect("an identity");
            let platform = deployment.platform.addr();
            let settings = Settings::new(host, zone, platform, identity);
            let settings = Settings { deadline: WAIT_TIMEOUT, ..settings };
            entries.push(Entry::start(settings).await.expect("an entry"));
        }
        let identity = authority.issue("c1").expect("an identity");
        let platform = deployment.platform.addr();
        let settings = ControllerSettings::new("c1", "a", platform, identity);
        let controller = Controller::start(settings).await.expect("a controller");
        let folder = format!("whole-{name}-{}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let system = TestSystem { deployment, entries, controller, folder };
        system.write_files();
        system
    }

    fn write_files(&self) {
        let objects = self.deployment.config.objects();
        let objects: Vec<Value> = objects.values().map(|object| object.to_json()).collect();
        let admins: Vec<SocketAddr> = self.entries.iter().map(Entry::admin_addr).collect();
        let settings = json!({
            "platform": self.deployment.platform.addr(),
            "entries": admins,
            "controllers": [self.controller.admin_addr()],
            "accept_limit": "60s",
        });
        let write = |name: &str, value: &Value| {
            std::fs::write(self.folder.join(name), value.to_string()).expect("a file written");
        };
        write("objects.json", &json!(objects));
        write("chervilgatectl.json", &settings);
    }

    async fn run(&self, args: &[&str]) -> Value {
        let (success, json, problem) = self.try_run(args).await;
        assert!(success, "{args:?}: {problem}");
        json
    }

    async fn try_run(&self, args: &[&str]) -> (bool, Value, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chervilgatectl"));
        command.args(args).arg("--json").current_dir(&self.folder).env_remove("CHERVILGATECTL");
        let running = tokio::task::spawn_blocking(move || command.output());
        let output = running.await.expect("a task").expect("the command runs");
        let json = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let problem = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), json, problem)
    }

    /// Waits until `status` finds nothing wrong. The members are recorded again
    /// in the meantime.
    async fn wait_until_healthy(&self) {
        eventually(|| async { self.try_run(&["status"]).await.1["well"] == true }).await;
    }

    async fn issue_key(&self) -> (String, Caller) {
        let issued = self.run(&["key", "issue", "acme"]).await;
        let id = issued["id"].as_str().expect("an id").to_owned();
        (id, Caller::new(issued["key"].as_str().expect("a key")))
    }

    /// Waits until each entry answers a chat request with `status`.
    async fn wait_for_status(&self, caller: &Caller, status: StatusCode) {
        for entry in &self.entries {
            eventually(|| async {
                let response = caller.chat(entry.addr(), PROMPT, 3).await;
                response.is_some_and(|response| response.status == status)
            })
            .await;
        }
    }
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the condition comes about");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_accepted_once_issued_and_refused_once_withdrawn() {
    let system = TestSystem::start("key").await;
    system.run(&["apply", "--yes", "objects.json"]).await;
    let (id, caller) = system.issue_key().await;
    system.wait_for_status(&caller, StatusCode::OK).await;

    let withdrawn = system.run(&["key", "withdraw", "--yes", &id]).await;

    assert_eq!(withdrawn["standing"]["accepted"], true);
    system.wait_for_status(&caller, StatusCode::UNAUTHORIZED).await;
    system.wait_until_healthy().await;
    system.run(&["rollback", "--yes", "1"]).await;
    system.wait_for_status(&caller, StatusCode::UNAUTHORIZED).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_gets_no_new_work_until_undrained() {
    let system = TestSystem::start("drain").await;
    system.run(&["apply", "--yes", "objects.json"]).await;
    let (_, caller) = system.issue_key().await;
    system.wait_for_status(&caller, StatusCode::OK).await;

    for number in 0..3 {
        system.run(&["drain", "--yes", &format!("engine-{number}")]).await;
    }

    system.wait_for_status(&caller, StatusCode::TOO_MANY_REQUESTS).await;
    eventually(|| async {
        let status = system.try_run(&["status"]).await.1;
        let quiet = status["controllers"][0]["state"]["quiet"].as_array().cloned();
        quiet.is_some_and(|quiet| quiet.len() == 3)
    })
    .await;
    system.run(&["undrain", "engine-1"]).await;
    system.wait_for_status(&caller, StatusCode::OK).await;
}
