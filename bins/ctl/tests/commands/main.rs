//! The command as operators run it, against the platform's stand-in.

mod fixture;

use chervilgate_coord::{
    Incarnation, Node, ReceiverId, ShardId, Zone, encode,
    intent::{OpenIntent, ReceiverRecord, receiver_key},
    override_key,
    session::{SessionRecord, SessionState, session_key},
};
use chervilgate_standins::PlatformFaults;
use fixture::{Bench, Run};
use serde_json::Value;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const FINDINGS: i32 = 2;
const PENDING: i32 = 4;
const CONSENT: i32 = 5;
const UNWELL: i32 = 6;

const OBJECTS: &str = r#"[
  { "kind": "organisation", "name": "acme", "spec": {} },
  { "kind": "service", "name": "plugs", "spec": { "type": "plain", "organisations": "all" } },
  { "kind": "target", "name": "t1", "spec":
    { "zone": "a", "address": "10.0.0.1:80", "service": "plugs", "kind": "service" } },
  { "kind": "target", "name": "t2", "spec":
    { "zone": "b", "address": "10.0.0.2:80", "service": "plugs", "kind": "service" } }
]"#;

fn bench() -> Bench {
    let bench = Bench::start(3);
    bench.write("objects.json", OBJECTS);
    bench
}

fn published() -> Bench {
    let bench = bench();
    bench.run(&["apply", "--yes", "-m", "first", "objects.json"]).expect(DONE);
    bench
}

fn issue(bench: &Bench) -> String {
    let run = bench.run(&["key", "issue", "--json", "acme"]).expect(DONE);
    run.json()["key"].as_str().expect("a key").to_owned()
}

/// Stores what a process leaves that has an order under way.
fn store_sender(bench: &Bench, number: u64, state: SessionState) -> Incarnation {
    let incarnation = Incarnation(number);
    let addr = "10.0.0.9:9000".parse().expect("an address");
    let node = Node { incarnation, addr, zone: Zone("a".to_owned()) };
    let holder = node.clone();
    let acting = Vec::new();
    let session = SessionRecord { node: holder, attempt: 1, candidate: true, acting, state };
    bench.store(session_key(incarnation), encode(&session));
    let open = OpenIntent { sender: node, attempt: 1, fencing: false, body: Vec::new() };
    let record = ReceiverRecord { open: Some(open), ..ReceiverRecord::default() };
    let shard = ShardId("zone-a".to_owned());
    let receiver = ReceiverId { shard, name: format!("engine-{number}") };
    bench.store(receiver_key(&receiver), encode(&record));
    incarnation
}

fn key_lines(bench: &Bench) -> String {
    bench.run(&["key", "list"]).expect(DONE).stdout
}

#[test]
fn asks_for_yes_before_a_publication_and_says_what_will_change() {
    let bench = bench();

    let asked = bench.run(&["apply", "objects.json"]).expect(CONSENT);
    let dry = bench.run(&["apply", "-n", "objects.json"]).expect(DONE);

    assert!(asked.stdout.contains("+ organisation/acme"), "{}", asked.stdout);
    assert!(asked.stdout.contains("nothing was changed; add --yes"));
    assert!(dry.stdout.contains("dry run: nothing was changed"));
    assert!(bench.run(&["history"]).expect(DONE).stdout.contains("nothing has been published"));
}

#[test]
fn can_publish_and_tell_the_history() {
    let bench = published();
    bench.write(
        "more.json",
        r#"{ "kind": "organisation", "name": "acme", "spec": { "weight": 7 } }"#,
    );

    let diff = bench.run(&["diff", "more.json"]).expect(DONE);
    let applied = bench.run(&["apply", "-y", "more.json"]).expect(DONE);
    let history = bench.run(&["history"]).expect(DONE);
    let second = bench.run(&["history", "2"]).expect(DONE);

    assert!(diff.stdout.contains("weight: 1 → 7"), "{}", diff.stdout);
    assert!(applied.stdout.contains("published as #2"), "{}", applied.stdout);
    assert!(applied.stdout.contains("accepted: 3 of 3 entries hold it"));
    assert!(history.stdout.contains("#1") && history.stdout.contains("by ana: first"));
    assert!(second.stdout.contains("weight: 1 → 7"));
}

#[test]
fn says_plainly_when_published_but_not_accepted() {
    let bench = published();
    bench.freeze_entries(2);

    let run = bench.run(&["drain", "t1"]).expect(PENDING);

    assert!(run.stdout.contains("NOT YET ACCEPTED: 1 of 3 entries hold it"), "{}", run.stdout);
    bench.freeze_entries(0);
    let status = bench.run(&["status"]).expect(DONE);
    assert!(status.stdout.contains("held by 3 of 3 entries"), "{}", status.stdout);
}

#[test]
fn errors_on_all_findings_at_once_and_changes_nothing() {
    let bench = published();
    bench.write(
        "bad.json",
        r#"[
      { "kind": "organisation", "name": "acme", "spec": { "weight": 0, "colour": 1 } },
      { "kind": "target", "name": "t3", "spec":
        { "zone": "a", "address": "10.0.0.1:80", "service": "none", "kind": "service" } } ]"#,
    );

    let run = bench.run(&["apply", "--yes", "bad.json"]).expect(FINDINGS);

    for part in ["weight", "colour", "there is no service none", "10.0.0.1:80 is the address"] {
        assert!(run.stderr.contains(part), "{part}: {}", run.stderr);
    }
    assert!(bench.run(&["history"]).expect(DONE).stdout.starts_with("#1"));
}

#[test]
fn keeps_withdrawals_and_keys_through_a_rollback() {
    let bench = published();
    let first = issue(&bench);
    let second = issue(&bench);
    bench.run(&["key", "withdraw", "--yes", &first]).expect(DONE);

    bench.run(&["rollback", "--yes", "1"]).expect(DONE);

    let keys = key_lines(&bench);
    assert!(keys.contains("withdrawn") && keys.contains("valid"), "{keys}");
    assert!(keys.contains("2 keys"));
    let tail = second.rsplit('_').next().expect("a secret");
    assert!(!keys.contains(tail));
}

#[test]
fn shows_a_key_once_and_never_stores_it() {
    let bench = published();

    let key = issue(&bench);

    let tail = key.rsplit('_').next().expect("a secret");
    assert!(!bench.stored().contains(tail));
    assert!(!key_lines(&bench).contains(tail));
    let dry = bench.run(&["key", "issue", "-n", "acme"]).expect(DONE);
    assert!(!dry.stdout.contains("cgk_"), "{}", dry.stdout);
}

#[test]
fn asks_for_yes_only_when_a_drain_leaves_little() {
    let bench = published();

    bench.run(&["drain", "t1"]).expect(DONE);
    let risky = bench.run(&["drain", "t2"]).expect(CONSENT);
    bench.run(&["drain", "-y", "t2"]).expect(DONE);
    let status = bench.run(&["status"]).expect(UNWELL);
    bench.run(&["undrain", "t2"]).expect(DONE);
    let again = bench.run(&["status"]).expect(DONE);

    assert!(risky.stdout.contains("NOBODY will serve it"), "{}", risky.stdout);
    assert!(status.stdout.contains("each listed target of plugs is draining"));
    assert!(again.stdout.contains("2 listed, 1 draining"), "{}", again.stdout);
    assert!(bench.run(&["targets"]).stdout.contains("t1 plugs zone a 10.0.0.1:80 DRAINING"));
}

#[test]
fn errors_with_the_next_step_while_the_platform_is_down() {
    let bench = published();
    bench.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    let status = bench.run(&["status"]).expect(UNWELL);
    let drain = bench.run(&["drain", "t1"]).expect(FAILED);

    assert!(status.stdout.contains("3 serving"), "{}", status.stdout);
    assert!(status.stdout.contains("platform-outage.md"));
    assert!(drain.stderr.contains("next: callers are still served"), "{}", drain.stderr);
}

#[test]
fn names_an_entry_that_is_silent() {
    let bench = published();
    let silent = bench.kill_entry();

    let status = bench.run(&["status"]).expect(UNWELL);

    assert!(status.stdout.contains(&silent), "{}", status.stdout);
    assert!(status.stdout.contains("2 serving, 0 leaving, 1 silent"));
}

#[test]
fn names_an_address_that_is_no_entry() {
    let bench = published();
    let settings = bench.read("chervilgatectl.json");
    let mut settings: Value = serde_json::from_str(&settings).expect("JSON");
    settings["entries"][0] = settings["platform"].clone();
    bench.write("chervilgatectl.json", &settings.to_string());

    let status = bench.run(&["status"]).expect(UNWELL);

    assert!(status.stdout.contains("answered 404"), "{}", status.stdout);
    assert!(status.stdout.contains("1 silent"), "{}", status.stdout);
}

#[test]
fn errors_on_unknown_names_with_what_to_do() {
    let bench = published();

    let organisation = bench.run(&["key", "issue", "nobody"]).expect(FAILED);
    let key = bench.run(&["key", "withdraw", "-y", "cgk_00_11"]).expect(FAILED);
    let number = bench.run(&["rollback", "-y", "77"]).expect(FAILED);
    let process = bench.run(&["release", "-y", "00ff"]).expect(FAILED);
    let target = bench.run(&["drain", "t9"]).expect(CONSENT);

    let runs = [&organisation, &key, &number, &process];
    assert!(runs.iter().all(|run| run.stderr.contains("next: ")));
    assert!(target.stdout.contains("no target of this name is listed"));
}

#[test]
fn can_release_a_lapsed_process_but_not_a_live_one() {
    let bench = published();
    let lapsed = store_sender(&bench, 0xa1, SessionState::Sealed);
    let live = store_sender(&bench, 0xa2, SessionState::Live);

    let list = bench.run(&["release"]).expect(DONE);
    let asked = bench.run(&["release", &lapsed.to_string()]).expect(CONSENT);
    let refused = bench.run(&["release", "-y", &live.to_string()]).expect(FAILED);
    let done = bench.run(&["release", "-y", &lapsed.to_string()]).expect(DONE);

    assert!(list.stdout.contains("order open: zone-a/engine-161"), "{}", list.stdout);
    assert!(list.stdout.contains("2 processes with orders under way"));
    assert!(asked.stdout.contains("You confirm that this process has stopped"));
    assert!(refused.stderr.contains("its session is live"));
    assert!(done.stdout.contains("released"));
    assert!(bench.has(override_key(lapsed)) && !bench.has(override_key(live)));
}

#[test]
fn errors_on_settings_with_every_finding() {
    let bench = bench();
    bench.write("chervilgatectl.json", r#"{ "platform": "x", "entrys": [] }"#);

    let run = bench.run(&["status"]).expect(FINDINGS);

    for part in ["$.platform", "$.entries", "$.entrys"] {
        assert!(run.stderr.contains(part), "{part}: {}", run.stderr);
    }
}

#[test]
fn can_make_certificates_but_never_replaces_one() {
    let bench = bench();

    bench.run(&["cert", "authority", "peers"]).expect(DONE);
    bench.run(&["cert", "host", "peers", "host-a1"]).expect(DONE);
    let again = bench.run(&["cert", "host", "peers", "host-a1"]).expect(FAILED);
    let path = bench.run(&["cert", "host", "peers", "../a"]).expect(FAILED);
    let none = bench.run(&["cert", "host", "elsewhere", "host-a1"]).expect(FAILED);

    assert!(bench.read("peers/host-a1.pem").contains("BEGIN CERTIFICATE"));
    assert!(bench.read("peers/host-a1-key.pem").contains("PRIVATE KEY"));
    assert!([&again, &path, &none].iter().all(|run| run.stderr.contains("next: ")));
    assert_eq!(bench.mode("peers/host-a1-key.pem"), 0o600);
}

#[test]
fn prints_json_on_demand_for_answers_and_failures() {
    let bench = published();

    let status = bench.run(&["status", "--json"]).expect(DONE);
    let failure = bench.run(&["key", "issue", "--json", "nobody"]).expect(FAILED);

    assert_eq!(status.json()["well"], Value::Bool(true));
    let failed: Value = serde_json::from_str(&failure.stderr).expect("JSON");
    assert!(failed["next"].is_string());
}

#[test]
fn fits_a_phone() {
    let bench = published();
    let key = issue(&bench);
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
        let Run { stdout, stderr, .. } = bench.run(command);
        let wide = stdout.lines().chain(stderr.lines()).find(|line| line.chars().count() > 60);
        assert_eq!(wide, None, "{command:?}");
    }
}
