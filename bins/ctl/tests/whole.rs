//! The command against entries that serve: what it says is what callers see.

use std::{net::SocketAddr, path::PathBuf, process::Command, time::Duration};

use chervilgate_controller::{Controller, Settings as ControllerSettings};
use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec};
use chervilgate_wire::Authority;
use hyper::StatusCode;
use serde_json::{Value, json};

/// Longest wait for a condition that comes about in seconds.
const PATIENCE: Duration = Duration::from_secs(60);
const PROMPT: &str = "how many guests in May";

struct Whole {
    deployment: Deployment,
    entries: Vec<Entry>,
    controller: Controller,
    folder: PathBuf,
}

impl Whole {
    async fn start(name: &str) -> Whole {
        let mut deployment = Deployment::start(3, 2, &EngineSpec::default()).expect("stand-ins");
        deployment.add_organisation("acme");
        let authority = Authority::generate().expect("an authority");
        let mut entries = Vec::new();
        for (host, zone) in [("h1", "a"), ("h2", "b"), ("h3", "c")] {
            let identity = authority.issue(host).expect("an identity");
            let platform = deployment.platform.addr();
            let settings = Settings::new(host, zone, platform, identity);
            let settings = Settings { deadline: PATIENCE, ..settings };
            entries.push(Entry::start(settings).await.expect("an entry"));
        }
        let identity = authority.issue("c1").expect("an identity");
        let platform = deployment.platform.addr();
        let settings = ControllerSettings::new("c1", "a", platform, identity);
        let controller = Controller::start(settings).await.expect("a controller");
        let folder = format!("whole-{name}-{}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let whole = Whole { deployment, entries, controller, folder };
        whole.write_files();
        whole
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
        let (success, answer, problem) = self.try_run(args).await;
        assert!(success, "{args:?}: {problem}");
        answer
    }

    async fn try_run(&self, args: &[&str]) -> (bool, Value, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chervilgatectl"));
        command.args(args).arg("--json").current_dir(&self.folder).env_remove("CHERVILGATECTL");
        let running = tokio::task::spawn_blocking(move || command.output());
        let output = running.await.expect("a task").expect("the command runs");
        let answer = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let problem = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), answer, problem)
    }

    /// Waits until `status` finds nothing wrong; members are recorded anew meanwhile.
    async fn until_well(&self) {
        eventually(|| async { self.try_run(&["status"]).await.1["well"] == true }).await;
    }

    async fn issue(&self) -> (String, Caller) {
        let issued = self.run(&["key", "issue", "acme"]).await;
        let id = issued["id"].as_str().expect("an id").to_owned();
        (id, Caller::new(issued["key"].as_str().expect("a key")))
    }

    /// Waits until each entry answers a chat with `status`.
    async fn until_all(&self, caller: &Caller, status: StatusCode) {
        for entry in &self.entries {
            eventually(|| async {
                let answer = caller.chat(entry.addr(), PROMPT, 3).await;
                answer.is_some_and(|answer| answer.status == status)
            })
            .await;
        }
    }
}

impl Drop for Whole {
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
    tokio::time::timeout(PATIENCE, wait).await.expect("the condition comes about");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_serves_once_issued_and_nowhere_once_withdrawn() {
    let whole = Whole::start("key").await;
    whole.run(&["apply", "--yes", "objects.json"]).await;
    let (id, caller) = whole.issue().await;
    whole.until_all(&caller, StatusCode::OK).await;

    let withdrawn = whole.run(&["key", "withdraw", "--yes", &id]).await;

    assert_eq!(withdrawn["standing"]["accepted"], true);
    whole.until_all(&caller, StatusCode::UNAUTHORIZED).await;
    whole.until_well().await;
    whole.run(&["rollback", "--yes", "1"]).await;
    whole.until_all(&caller, StatusCode::UNAUTHORIZED).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_gets_no_new_work_until_undrained() {
    let whole = Whole::start("drain").await;
    whole.run(&["apply", "--yes", "objects.json"]).await;
    let (_, caller) = whole.issue().await;
    whole.until_all(&caller, StatusCode::OK).await;

    for number in 0..3 {
        whole.run(&["drain", "--yes", &format!("engine-{number}")]).await;
    }

    whole.until_all(&caller, StatusCode::TOO_MANY_REQUESTS).await;
    eventually(|| async {
        let status = whole.try_run(&["status"]).await.1;
        let quiet = status["controllers"][0]["state"]["quiet"].as_array().cloned();
        quiet.is_some_and(|quiet| quiet.len() == 3)
    })
    .await;
    whole.run(&["undrain", "engine-1"]).await;
    whole.until_all(&caller, StatusCode::OK).await;
}
