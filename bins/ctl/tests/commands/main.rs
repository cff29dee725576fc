//! Runs the command as operators do, against a stand-in for the platform.

mod explain;
mod fixture;

use chervilgate_coord::{
    Incarnation, Node, ReceiverId, ShardId, Zone, encode,
    intent::{OpenIntent, ReceiverRecord, receiver_key},
    override_key,
    session::{SessionRecord, SessionState, session_key},
};
use chervilgate_standins::PlatformFaults;
use fixture::{Run, TestEnv};
use serde_json::Value;

const SUCCESS: i32 = 0;
const FAILED: i32 = 1;
const FINDINGS: i32 = 2;
const PENDING: i32 = 4;
const RISKY: i32 = 5;
const UNHEALTHY: i32 = 6;

const OBJECTS: &str = r#"[
  { "kind": "organisation", "name": "acme", "spec": {} },
  { "kind": "service", "name": "plugs", "spec": { "type": "plain", "organisations": "all" } },
  { "kind": "target", "name": "t1", "spec":
    { "zone": "a", "address": "10.0.0.1:80", "service": "plugs", "kind": "service" } },
  { "kind": "target", "name": "t2", "spec":
    { "zone": "b", "address": "10.0.0.2:80", "service": "plugs", "kind": "service" } }
]"#;

fn unpublished_env() -> TestEnv {
    let env = TestEnv::start(3);
    env.write("objects.json", OBJECTS);
    env
}

fn published_env() -> TestEnv {
    let env = unpublished_env();
    env.run(&["apply", "--yes", "-m", "first", "objects.json"]).expect(SUCCESS);
    env
}

fn issue_key(env: &TestEnv) -> String {
    let run = env.run(&["key", "issue", "--json", "acme"]).expect(SUCCESS);
    run.json()["key"].as_str().expect("a key").to_owned()
}

/// Stores the session of a process and a receiver with an open order from it.
fn store_sender(env: &TestEnv, number: u64, state: SessionState) -> Incarnation {
    let incarnation = Incarnation(number);
    let addr = "10.0.0.9:9000".parse().expect("an address");
    let node = Node { incarnation, addr, zone: Zone("a".to_owned()) };
    let holder = node.clone();
    let acting = Vec::new();
    let session = SessionRecord { node: holder, attempt: 1, candidate: true, acting, state };
    env.store(session_key(incarnation), encode(&session));
    let open = OpenIntent { sender: node, attempt: 1, fencing: false, body: Vec::new() };
    let record = ReceiverRecord { open: Some(open), ..ReceiverRecord::default() };
    let shard = ShardId("zone-a".to_owned());
    let receiver = ReceiverId { shard, name: format!("engine-{number}") };
    env.store(receiver_key(&receiver), encode(&record));
    incarnation
}

fn list_keys(env: &TestEnv) -> String {
    env.run(&["key", "list"]).expect(SUCCESS).stdout
}

#[test]
fn requires_yes_for_a_publication_and_lists_its_changes() {
    let env = unpublished_env();

    let asked = env.run(&["apply", "objects.json"]).expect(RISKY);
    let dry = env.run(&["apply", "-n", "objects.json"]).expect(SUCCESS);

    assert!(asked.stdout.contains("+ organisation/acme"), "{}", asked.stdout);
    assert!(asked.stdout.contains("nothing was changed; add --yes"));
    assert!(dry.stdout.contains("dry run: nothing was changed"));
    assert!(env.run(&["history"]).expect(SUCCESS).stdout.contains("nothing has been published"));
}

#[test]
fn publishes_changes_and_lists_them_in_the_history() {
    let env = published_env();
    env.write(
        "more.json",
        r#"{ "kind": "organisation", "name": "acme", "spec": { "weight": 7 } }"#,
    );

    let diff = env.run(&["diff", "more.json"]).expect(SUCCESS);
    let applied = env.run(&["apply", "-y", "more.json"]).expect(SUCCESS);
    let history = env.run(&["history"]).expect(SUCCESS);
    let second = env.run(&["history", "2"]).expect(SUCCESS);

    assert!(diff.stdout.contains("weight: 1 → 7"), "{}", diff.stdout);
    assert!(applied.stdout.contains("published as #2"), "{}", applied.stdout);
    assert!(applied.stdout.contains("accepted: 3 of 3 entries hold it"));
    assert!(history.stdout.contains("#1") && history.stdout.contains("by ana: first"));
    assert!(second.stdout.contains("weight: 1 → 7"));
}

#[test]
fn reports_a_change_that_is_stored_but_not_accepted() {
    let env = published_env();
    env.freeze_views(2);

    let run = env.run(&["drain", "t1"]).expect(PENDING);

    assert!(run.stdout.contains("NOT YET ACCEPTED: 1 of 3 entries hold it"), "{}", run.stdout);
    env.freeze_views(0);
    let status = env.run(&["status"]).expect(SUCCESS);
    assert!(status.stdout.contains("held by 3 of 3 entries"), "{}", status.stdout);
}

#[test]
fn reports_all_findings_at_once_and_changes_nothing() {
    let env = published_env();
    env.write(
        "bad.json",
        r#"[
      { "kind": "organisation", "name": "acme", "spec": { "weight": 0, "colour": 1 } },
      { "kind": "target", "name": "t3", "spec":
        { "zone": "a", "address": "10.0.0.1:80", "service": "none", "kind": "service" } } ]"#,
    );

    let run = env.run(&["apply", "--yes", "bad.json"]).expect(FINDINGS);

    for part in ["weight", "colour", "there is no service none", "10.0.0.1:80 is the address"] {
        assert!(run.stderr.contains(part), "{part}: {}", run.stderr);
    }
    assert!(env.run(&["history"]).expect(SUCCESS).stdout.starts_with("#1"));
}

#[test]
fn keeps_withdrawals_and_keys_through_a_rollback() {
    let env = published_env();
    let first = issue_key(&env);
    let second = issue_key(&env);
    env.run(&["key", "withdraw", "--yes", &first]).expect(SUCCESS);

    env.run(&["rollback", "--yes", "1"]).expect(SUCCESS);

    let keys = list_keys(&env);
    assert!(keys.contains("withdrawn") && keys.contains("valid"), "{keys}");
    assert!(keys.contains("2 keys"));
    let secret = second.rsplit('_').next().expect("a secret");
    assert!(!keys.contains(secret));
}

#[test]
fn shows_a_key_once_and_never_stores_it() {
    let env = published_env();

    let key = issue_key(&env);

    let secret = key.rsplit('_').next().expect("a secret");
    assert!(!env.stored_values().contains(secret));
    assert!(!list_keys(&env).contains(secret));
    let dry = env.run(&["key", "issue", "-n", "acme"]).expect(SUCCESS);
    assert!(!dry.stdout.contains("cgk_"), "{}", dry.stdout);
}

#[test]
fn requires_yes_for_a_drain_that_leaves_less_than_half() {
    let env = published_env();

    env.run(&["drain", "t1"]).expect(SUCCESS);
    let risky = env.run(&["drain", "t2"]).expect(RISKY);
    env.run(&["drain", "-y", "t2"]).expect(SUCCESS);
    let status = env.run(&["status"]).expect(UNHEALTHY);
    env.run(&["undrain", "t2"]).expect(SUCCESS);
    let again = env.run(&["status"]).expect(SUCCESS);

    assert!(risky.stdout.contains("NOBODY will serve it"), "{}", risky.stdout);
    assert!(status.stdout.contains("each listed target of plugs is draining"));
    assert!(again.stdout.contains("2 listed, 1 draining"), "{}", again.stdout);
    assert!(env.run(&["targets"]).stdout.contains("t1 plugs zone a 10.0.0.1:80 DRAINING"));
}

#[test]
fn reports_the_next_step_while_the_platform_is_down() {
    let env = published_env();
    env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let status = env.run(&["status"]).expect(UNHEALTHY);
    let drain = env.run(&["drain", "t1"]).expect(FAILED);

    assert!(status.stdout.contains("3 serving"), "{}", status.stdout);
    assert!(status.stdout.contains("platform-outage.md"));
    assert!(drain.stderr.contains("next: callers are still served"), "{}", drain.stderr);
}

#[test]
fn names_an_entry_that_is_silent() {
    let env = published_env();
    let silent = env.kill_entry();

    let status = env.run(&["status"]).expect(UNHEALTHY);

    assert!(status.stdout.contains(&silent), "{}", status.stdout);
    assert!(status.stdout.contains("2 serving, 0 leaving, 1 silent"));
}

#[test]
fn names_an_address_that_is_not_an_entry() {
    let env = published_env();
    let settings = env.read("chervilgatectl.json");
    let mut settings: Value = serde_json::from_str(&settings).expect("JSON");
    settings["entries"][0] = settings["platform"].clone();
    env.write("chervilgatectl.json", &settings.to_string());

    let status = env.run(&["status"]).expect(UNHEALTHY);

    assert!(status.stdout.contains("answered 404"), "{}", status.stdout);
    assert!(status.stdout.contains("1 silent"), "{}", status.stdout);
}

#[test]
fn reports_the_next_step_for_unknown_names() {
    let env = published_env();

    let organisation = env.run(&["key", "issue", "nobody"]).expect(FAILED);
    let key = env.run(&["key", "withdraw", "-y", "cgk_00_11"]).expect(FAILED);
    let number = env.run(&["rollback", "-y", "77"]).expect(FAILED);
    let process = env.run(&["release", "-y", "00ff"]).expect(FAILED);
    let target = env.run(&["drain", "t9"]).expect(RISKY);

    let runs = [&organisation, &key, &number, &process];
    assert!(runs.iter().all(|run| run.stderr.contains("next: ")));
    assert!(target.stdout.contains("no target of this name is listed"));
}

#[test]
fn releases_a_lapsed_process_but_not_a_live_one() {
    let env = published_env();
    let lapsed = store_sender(&env, 0xa1, SessionState::Sealed);
    let live = store_sender(&env, 0xa2, SessionState::Live);

    let list = env.run(&["release"]).expect(SUCCESS);
    let asked = env.run(&["release", &lapsed.to_string()]).expect(RISKY);
    let refused = env.run(&["release", "-y", &live.to_string()]).expect(FAILED);
    let done = env.run(&["release", "-y", &lapsed.to_string()]).expect(SUCCESS);

    assert!(list.stdout.contains("order open: zone-a/engine-161"), "{}", list.stdout);
    assert!(list.stdout.contains("2 processes with orders under way"));
    assert!(asked.stdout.contains("You confirm that this process has stopped"));
    assert!(refused.stderr.contains("its session is live"));
    assert!(done.stdout.contains("released"));
    assert!(env.contains_key(override_key(lapsed)) && !env.contains_key(override_key(live)));
}

#[test]
fn reports_every_finding_in_the_settings() {
    let env = unpublished_env();
    env.write("chervilgatectl.json", r#"{ "platform": "x", "entrys": [] }"#);

    let run = env.run(&["status"]).expect(FINDINGS);

    for part in ["$.platform", "$.entries", "$.entrys"] {
        assert!(run.stderr.contains(part), "{part}: {}", run.stderr);
    }
}

#[test]
fn makes_certificates_but_never_replaces_one() {
    let env = unpublished_env();

    env.run(&["cert", "authority", "peers"]).expect(SUCCESS);
    env.run(&["cert", "host", "peers", "host-a1"]).expect(SUCCESS);
    let again = env.run(&["cert", "host", "peers", "host-a1"]).expect(FAILED);
    let path = env.run(&["cert", "host", "peers", "../a"]).expect(FAILED);
    let none = env.run(&["cert", "host", "elsewhere", "host-a1"]).expect(FAILED);

    assert!(env.read("peers/host-a1.pem").contains("BEGIN CERTIFICATE"));
    assert!(env.read("peers/host-a1-key.pem").contains("PRIVATE KEY"));
    assert!([&again, &path, &none].iter().all(|run| run.stderr.contains("next: ")));
    assert_eq!(env.mode("peers/host-a1-key.pem"), 0o600);
}

#[test]
fn prints_json_for_output_and_failures() {
    let env = published_env();

    let status = env.run(&["status", "--json"]).expect(SUCCESS);
    let failure = env.run(&["key", "issue", "--json", "nobody"]).expect(FAILED);

    assert_eq!(status.json()["well"], Value::Bool(true));
    let failed: Value = serde_json::from_str(&failure.stderr).expect("JSON");
    assert!(failed["next"].is_string());
}

#[test]
fn output_fits_60_columns() {
    let env = published_env();
    let key = issue_key(&env);
    let commands: [&[&str]; 8] = [
        &["status"],
        &["check", "objects.json"],
        &["apply", "objects.json"],
        &["history"],
        &["targets"],
        &["hosts"],
        &["key", "withdraw", &key],
        &["release"],
    ];

    for command in commands {
        let Run { stdout, stderr, .. } = env.run(command);
        let too_wide = stdout.lines().chain(stderr.lines()).find(|line| line.chars().count() > 60);
        assert_eq!(too_wide, None, "{command:?}");
    }
}
