//! What the program's log and metrics show, and that writing them delays no request.
//!
//! Causes are derived as docs/OPERATIONS.md describes, from the log lines alone.

use std::{
    fs::{File, read_to_string},
    io::Read,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, body::collect};
use chervilgate_platform_standins::{ID_HEADER, raw_answer};
use chervilgate_ports::free_addr;
use chervilgate_soak::{AMPLE_SLOTS, FailureMode, Fault, Fleet, send_once};
use hyper::Request;
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_chervilgate-host");

/// Duration of faults that last until the test ends.
const UNTIL_TEST_END: Duration = Duration::from_secs(60);

/// Maximum number of lines that the program writes in a second: 400 ordinary ones and 400 of
/// failures.
const MAX_LINES_PER_SECOND: usize = 800;

fn output_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Starts one host with its store and targets, and waits until it serves.
async fn start_fleet(name: &str) -> Fleet {
    let fleet =
        Fleet::start(Path::new(PROGRAM), 1, AMPLE_SLOTS, false, &output_path(name)).await.unwrap();
    wait_ready(&fleet).await;
    fleet
}

async fn wait_ready(fleet: &Fleet) {
    for _ in 0..200 {
        if send_request(fleet, "warm", "/safe/k1/x").await.is_some_and(|(status, _)| status == 200)
        {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("the host did not become ready");
}

/// Returns status and body of a response; no body if it broke off, None if there is no response.
async fn send_request(fleet: &Fleet, id: &str, path: &str) -> Option<(u16, Option<Bytes>)> {
    let (_, addr, _) = fleet.host_addrs()[0];
    send_once(&HttpPool::comparing_ids(), addr, id, path).await
}

/// Returns the value of a key in a log line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Derives from the log why a request failed or was late.
fn cause(log: &str, id: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    let has_id = |line: &&&str| field(line, "id") == Some(id);
    let find_line =
        |text: &str| lines.iter().filter(has_id).find(|line| line.contains(text)).copied();
    if let Some(failed) = find_line("failed id")
        && field(failed, "reason") == Some("stale-view")
    {
        let before = lines.iter().take_while(|line| **line != failed);
        let last_store_line = before.filter(|line| line.contains(" store] store ")).last();
        return match last_store_line {
            Some(line) if line.contains("store lost") => "the store was lost".to_owned(),
            _ => "unknown".to_owned(),
        };
    }
    if let Some(broken) = find_line("stream broke off") {
        return format!("{} broke off", field(broken, "target").unwrap_or_default());
    }
    let (Some(placed), Some(answered)) = (find_line("placed id"), find_line("answered id")) else {
        return "unknown".to_owned();
    };
    let number = |line, key| field(line, key).and_then(|text| text.parse::<u64>().ok()).unwrap();
    let predicted = number(placed, "wait") + number(placed, "read");
    if number(answered, "ms") > predicted + 300 {
        return format!("{} was slow", field(placed, "target").unwrap_or_default());
    }
    "in time".to_owned()
}

/// Reads the log after the log writer had time to write.
async fn log(fleet: &Fleet) -> String {
    sleep(Duration::from_millis(200)).await;
    fleet.log(0).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_shows_why_a_request_was_refused() {
    let mut fleet = start_fleet("log-refused").await;

    fleet.inject(Instant::now(), &Fault::StoreDown(UNTIL_TEST_END));
    sleep(Duration::from_millis(8_200)).await;
    let answer = send_request(&fleet, "refused-1", "/once/k1/x").await;

    assert_eq!(answer.map(|(status, _)| status), Some(503));
    assert_eq!(cause(&log(&fleet).await, "refused-1"), "the store was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_shows_why_a_stream_was_cut() {
    let mut fleet = start_fleet("log-cut").await;
    for target in 2..6 {
        fleet.inject(
            Instant::now(),
            &Fault::TargetFailure(target, FailureMode::Disconnect, UNTIL_TEST_END),
        );
    }

    let answer = send_request(&fleet, "cut-1", "/stream/k1/x").await;

    assert_eq!(answer, Some((200, None)));
    let cause = cause(&log(&fleet).await, "cut-1");
    assert!(["i-3", "i-4", "i-5"].map(|id| format!("{id} broke off")).contains(&cause), "{cause}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_warns_of_a_stream_that_is_sent_once_more() {
    let mut fleet = start_fleet("log-resumed").await;
    for target in 2..6 {
        fleet.inject(
            Instant::now(),
            &Fault::TargetFailure(target, FailureMode::Disconnect, UNTIL_TEST_END),
        );
    }

    send_request(&fleet, "resumed-1", "/resumed/k1/x").await;

    let log = log(&fleet).await;
    let lines = log.lines().filter(|line| field(line, "id") == Some("resumed-1"));
    let lines = lines.filter(|line| line.contains("WARN  gateway] stream goes on elsewhere"));
    let sent: Vec<_> = lines.map(|line| field(line, "sent").unwrap()).collect();
    assert_eq!(sent, ["1", "2"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_shows_why_an_answer_was_late() {
    let mut fleet = start_fleet("log-late").await;
    send_request(&fleet, "early-1", "/once/k1/x").await;
    fleet.inject(Instant::now(), &Fault::TargetFailure(0, FailureMode::Slow, UNTIL_TEST_END));
    fleet.inject(Instant::now(), &Fault::TargetFailure(1, FailureMode::Slow, UNTIL_TEST_END));

    let answer = send_request(&fleet, "late-1", "/once/k1/x").await;

    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let log = log(&fleet).await;
    assert_eq!(cause(&log, "early-1"), "in time");
    let cause = cause(&log, "late-1");
    assert!(["i-0 was slow", "i-1 was slow"].contains(&&*cause), "{cause}");
}

/// Replaces the host of the fleet by one that writes its log to `stdout` and serves metrics on port
/// `metrics`.
async fn restart_with_stdout(fleet: &mut Fleet, stdout: Stdio, metrics: u16) -> Child {
    fleet.inject(Instant::now(), &Fault::Kill(0));
    sleep(Duration::from_millis(200)).await;
    let mut command = Command::new(PROGRAM);
    command.arg("--metrics").arg(metrics.to_string()).arg(fleet.settings_path(0)).stdout(stdout);
    let child = command.spawn().unwrap();
    wait_ready(fleet).await;
    child
}

// Guards against logs and reports of which nobody can tell from which build they come.
#[tokio::test(flavor = "multi_thread")]
async fn the_program_names_its_build() {
    let output = Command::new(PROGRAM).arg("--version").output().unwrap();
    let version = String::from_utf8(output.stdout).unwrap();
    let build = version.split_whitespace().last().unwrap().to_owned();

    let host = RawTargetHost::start("log-build").await;
    let log = read_to_string(&host.log).unwrap();
    let started = log.lines().find(|line| line.contains("started name=")).unwrap();

    let (number, revision) = build.split_once('+').unwrap();
    assert_eq!(number, env!("CARGO_PKG_VERSION"));
    assert!(!revision.is_empty());
    assert_eq!(field(started, "build"), Some(&*build));
    let name = format!("chervilgate_build{{build=\"{build}\"}}");
    assert_eq!(metric(host.metrics, &name).await, 1.0);
}

/// Sends requests that match no route and are logged with one line each, for `span`; returns how
/// many.
async fn flood(fleet: &Fleet, span: Duration) -> usize {
    let until = Instant::now() + span;
    let pool = HttpPool::comparing_ids();
    let (_, addr, _) = fleet.host_addrs()[0];
    let send_until_end = async || {
        let mut count = 0;
        while Instant::now() < until {
            let id = "flood-of-requests-on-no-route-with-a-rather-long-id";
            let sent = timeout(Duration::from_secs(1), send_once(&pool, addr, id, "/nowhere/x"));
            assert_eq!(
                sent.await.expect("no response within a second").map(|sent| sent.0),
                Some(404)
            );
            count += 1;
        }
        count
    };
    let (a, b, c, d) =
        tokio::join!(send_until_end(), send_until_end(), send_until_end(), send_until_end());
    a + b + c + d
}

async fn metric(port: u16, name: &str) -> f64 {
    let request = Request::get("/metrics").header("host", "h").body(Bytes::new()).unwrap();
    let addr = ([127, 0, 0, 1], port).into();
    let response = HttpPool::comparing_ids().send(addr, request).await.unwrap();
    let text = collect(response.into_body(), 1 << 20).await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let line = text.lines().find(|line| line.starts_with(&format!("{name} "))).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_stdout_does_not_delay_requests() {
    let mut fleet = start_fleet("log-blocked").await;
    let port = free_addr().unwrap().port();
    let mut host = restart_with_stdout(&mut fleet, Stdio::piped(), port).await;

    // Nothing reads the pipe, which buffers 64 KiB.
    let sent = flood(&fleet, Duration::from_secs(4)).await;
    let answer =
        timeout(Duration::from_secs(1), send_request(&fleet, "after-1", "/once/k1/x")).await;
    let lost = metric(port, "chervilgate_log_lines_lost").await;
    let memory = metric(port, "chervilgate_memory_bytes").await;
    host.kill().and_then(|()| host.wait()).unwrap();

    assert!(sent > 1_000, "{sent} requests");
    assert_eq!(answer.unwrap().map(|(status, _)| status), Some(200));
    assert!(lost > 0.0 && memory > 1e6, "{lost} lines lost, {memory} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_stay_below_their_limit_under_load() {
    let mut fleet = start_fleet("log-flood").await;
    let path = output_path("log-flood").join("flood.log");
    let stdout = File::create(&path).unwrap();
    let mut host =
        restart_with_stdout(&mut fleet, stdout.into(), free_addr().unwrap().port()).await;
    let span = Duration::from_secs(3);

    let sent = flood(&fleet, span).await;
    // The number of lines left out at the end is logged within a second of the last line.
    sleep(Duration::from_millis(1_500)).await;
    host.kill().and_then(|()| host.wait()).unwrap();

    let mut text = String::new();
    File::open(&path).unwrap().read_to_string(&mut text).unwrap();
    let lines = text.lines().filter(|line| line.contains("flood-of-requests")).count();
    let lost: usize = text
        .lines()
        .filter(|line| line.starts_with("lines left out"))
        .map(|line| field(line, "lost").unwrap().parse::<usize>().unwrap())
        .sum();
    // Three seconds overlap with up to four of the one-second windows of the log limit.
    assert!(sent > 4 * MAX_LINES_PER_SECOND, "{sent} requests");
    assert!(lines <= 4 * MAX_LINES_PER_SECOND, "{lines} lines");
    assert!(lines + lost >= sent, "{lines} lines and {lost} left out of {sent}");
}

/// The head of a target's answer.
struct Answer<'a> {
    status: u16,
    id: &'a str,
    /// Whether it bears the mark that the request did not run.
    marked: bool,
}

/// How the target answers a request, as the first part of its id says; none if it closes the
/// connection.
fn answer_to(id: &str) -> Option<Answer<'_>> {
    match id.split('-').next().unwrap_or_default() {
        "refused" => Some(Answer { status: 503, id, marked: true }),
        "stale" => Some(Answer { status: 503, id: "earlier-1", marked: true }),
        "foreign" => Some(Answer { status: 200, id: "earlier-1", marked: false }),
        "unmarked" => Some(Answer { status: 503, id, marked: false }),
        "replaced" => Some(Answer { status: 421, id, marked: false }),
        "closed" => None,
        _ => Some(Answer { status: 201, id, marked: false }),
    }
}

/// Answers the requests of one connection.
async fn serve_target(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
                return;
            }
            match line.trim().split_once(": ") {
                Some((ID_HEADER, value)) => id = value.to_owned(),
                Some(("content-length", value)) => length = value.parse().unwrap(),
                None if line.trim().is_empty() => break,
                _ => {}
            }
        }
        stream.read_exact(&mut vec![0; length]).await.unwrap();
        let Some(Answer { status, id, marked }) = answer_to(&id) else { return };
        stream.write_all(raw_answer(status, id, marked).as_bytes()).await.unwrap();
    }
}

/// A host whose route `/raw/` has two targets at one address, which answers as [`answer_to`] says.
struct RawTargetHost {
    fleet: Fleet,
    process: Child,
    log: PathBuf,
    metrics: u16,
}

impl RawTargetHost {
    async fn start(name: &str) -> RawTargetHost {
        let mut fleet = start_fleet(name).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        put_raw_route(&fleet, listener.local_addr().unwrap());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_target(stream));
            }
        });
        let log = output_path(name).join("raw.log");
        let metrics = free_addr().unwrap().port();
        let stdout = File::create(&log).unwrap();
        let process = restart_with_stdout(&mut fleet, stdout.into(), metrics).await;
        let host = RawTargetHost { fleet, process, log, metrics };
        host.open_connection().await;
        host
    }

    /// Waits until the target answers, which leaves a kept connection.
    async fn open_connection(&self) {
        for _ in 0..100 {
            let answer = send_request(&self.fleet, "warm-1", "/raw/x").await;
            sleep(Duration::from_millis(50)).await;
            if answer.is_some_and(|(status, _)| status == 201) {
                return;
            }
        }
        panic!("the target got no request");
    }

    async fn status(&self, id: &str) -> u16 {
        send_request(&self.fleet, id, "/raw/x").await.unwrap().0
    }

    /// The log lines of request `id` that contain `text`, after the log writer had time to write.
    async fn lines(&self, id: &str, text: &str) -> Vec<String> {
        sleep(Duration::from_millis(200)).await;
        let log = read_to_string(&self.log).unwrap();
        let lines = log.lines().filter(|line| field(line, "id") == Some(id));
        lines.filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    async fn answers(&self, kind: &str) -> f64 {
        metric(self.metrics, &format!("chervilgate_target_answers_total{{kind=\"{kind}\"}}")).await
    }
}

impl Drop for RawTargetHost {
    fn drop(&mut self) {
        self.process.kill().and_then(|()| self.process.wait()).ok();
    }
}

/// Adds a route that may run once, of a service with two targets at `addr`.
fn put_raw_route(fleet: &Fleet, addr: SocketAddr) {
    let entry = json!({
        "service": "raw", "address": addr.to_string(), "zone": "a", "slots": 64, "state": "ready",
    });
    for id in ["i-raw-1", "i-raw-2"] {
        fleet.store.put("servers", id, entry.clone());
    }
    let mut config = fleet.store.get("config", "main");
    config["version"] = 100.into();
    config["services"].as_array_mut().unwrap().push(json!({"name": "raw"}));
    config["routes"].as_array_mut().unwrap().push(json!({
        "name": "raw", "host": "h.example", "path_prefix": "/raw/", "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": "raw",
        "attempts": 3, "resumable": false,
    }));
    fleet.store.put("config", "main", config);
}

fn fields<'a>(line: &'a str, keys: &[&str]) -> Vec<Option<&'a str>> {
    keys.iter().map(|key| field(line, key)).collect()
}

// docs/incidents/2026-12-04-refused-and-ran.md could not be explained from the log.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_whose_refusal_a_target_sent() {
    let host = RawTargetHost::start("log-refusals").await;

    host.status("refused-1").await;
    host.open_connection().await;
    host.status("stale-1").await;

    let own = host.lines("refused-1", "WARN  gateway] target refused").await;
    let stale = host.lines("stale-1", "WARN  gateway] answer to another request").await;
    let keys = ["status", "other", "kept", "sent"];
    assert_eq!(fields(&own[0], &keys), [Some("503"), None, Some("true"), Some("1")]);
    assert_eq!(fields(&stale[0], &keys), [Some("503"), Some("earlier-1"), Some("true"), Some("1")]);
    let failed = host.lines("refused-1", "] failed").await;
    assert_eq!(fields(&failed[0], &["reason", "sent"]), [Some("full"), Some("2")]);
    let failed = host.lines("stale-1", "] failed").await;
    assert_eq!(fields(&failed[0], &["reason", "sent"]), [Some("broken"), Some("1")]);
    assert_eq!((own.len(), stale.len()), (2, 1));
    assert_eq!((host.answers("refused").await, host.answers("foreign").await), (2.0, 1.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_names_a_promise_without_its_mark() {
    let host = RawTargetHost::start("log-unmarked").await;

    let unmarked = host.status("unmarked-1").await;
    host.open_connection().await;
    host.status("replaced-1").await;

    let text = "status promises not run without the mark";
    let line = host.lines("unmarked-1", text).await;
    let keys = ["status", "signed", "kept", "sent"];
    assert_eq!(unmarked, 502);
    assert_eq!(fields(&line[0], &keys), [Some("503"), Some("false"), Some("true"), Some("1")]);
    let failed = host.lines("unmarked-1", "] failed").await;
    assert_eq!(fields(&failed[0], &["reason", "sent"]), [Some("broken"), Some("1")]);
    assert!(host.lines("replaced-1", text).await.is_empty());
    assert_eq!((host.answers("unmarked").await, host.answers("replaced").await), (1.0, 2.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_whether_a_failed_request_used_a_kept_connection() {
    let host = RawTargetHost::start("log-kept").await;

    let foreign = host.status("foreign-1").await;
    host.open_connection().await;
    let closed = host.status("closed-1").await;
    let unsent = send_request(&host.fleet, "unsent-1", "/nowhere/x").await.unwrap().0;

    let foreign_line = host.lines("foreign-1", "answer to another request").await;
    let closed_line = host.lines("closed-1", "target failed").await;
    let unsent_line = host.lines("unsent-1", "] failed").await;
    assert_eq!((foreign, closed, unsent), (502, 502, 404));
    let keys = ["other", "kept", "sent"];
    assert_eq!(fields(&foreign_line[0], &keys), [Some("earlier-1"), Some("true"), Some("1")]);
    assert_eq!(fields(&closed_line[0], &keys), [None, Some("true"), Some("1")]);
    assert_eq!(fields(&unsent_line[0], &["sent"]), [Some("0")]);
}

// Lines of requests refused unsent took the whole limit of warnings.
#[tokio::test(flavor = "multi_thread")]
async fn lines_of_sent_requests_are_kept_under_load() {
    let host = RawTargetHost::start("log-crowded").await;
    let ids: Vec<String> = (0..20).map(|number| format!("unmarked-{number}")).collect();
    let send_all = async {
        for id in &ids {
            host.status(id).await;
            sleep(Duration::from_millis(50)).await;
        }
    };

    let (sent, ()) = tokio::join!(flood(&host.fleet, Duration::from_millis(1_500)), send_all);
    sleep(Duration::from_millis(1_500)).await;

    let log = read_to_string(&host.log).unwrap();
    let sum = |key| -> u64 {
        let lines = log.lines().filter(|line| line.starts_with("lines left out"));
        lines.map(|line| field(line, key).unwrap().parse::<u64>().unwrap()).sum()
    };
    let text = "status promises not run without the mark";
    assert!(sent > 2 * MAX_LINES_PER_SECOND, "{sent} requests");
    assert_eq!(log.lines().filter(|line| line.contains(text)).count(), ids.len());
    assert!(sum("warn") > 0, "{sent} requests");
    assert_eq!((sum("sent"), sum("lost")), (0, sum("info") + sum("warn") + sum("queue")));
    for (level, lost) in [("warn", sum("warn")), ("sent", 0)] {
        let name = format!("chervilgate_log_level_lines_lost{{level=\"{level}\"}}");
        assert_eq!(metric(host.metrics, &name).await, lost as f64);
    }
}
