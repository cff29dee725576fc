//! Tests of routes, configuration freshness, event streams and poison requests.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    EventSplitter,
    config::{CallerLimits, Config, Route, RouteKind},
    poison::{FailedRun, Fingerprint, PoisonTracker},
    view::ConfigView,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        attempts: 1,
        priority: 0,
        services: [("one".into(), 90), ("two".into(), 10)].into_iter().collect(),
        allow_anonymous: false,
    }
}

fn config(version: u64, routes: Vec<Route>) -> Config {
    Config::new(version, routes, HashMap::new(), None, CallerLimits::default())
}

#[test]
fn the_longest_prefix_of_the_host_covers_a_path() {
    let routes = vec![route("short", "x.example", "/a/"), route("long", "x.example", "/a/b/")];
    let config = config(1, routes);

    let name = |host, path| config.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("x.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("X.example:8080", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("x.example", "/a"), None);
    assert_eq!(name("y.example", "/a/b/c"), None);
}

#[test]
fn requests_split_by_weight() {
    let route = route("r", "x", "/");

    let share = (0..100).filter(|n| &**route.pick_service(f64::from(*n) / 100.0).unwrap() == "one");

    assert_eq!(share.count(), 90);
}

#[test]
fn a_view_never_goes_back() {
    let mut view = ConfigView::new(Duration::from_secs(5), true);
    view.replace_if_newer(config(7, Vec::new()));

    assert!(!view.replace_if_newer(config(6, vec![route("old", "x", "/")])));
    assert!(view.config().unwrap().route("x", "/").is_none());
}

#[test]
fn keys_are_not_trusted_once_the_view_is_older_than_a_withdrawal_may_take() {
    let mut view = ConfigView::new(Duration::from_secs(5), true);

    view.confirm(Time::from_secs(100));

    assert!(view.is_fresh(Time::from_millis(104_600)));
    assert!(!view.is_fresh(Time::from_millis(104_700)));
    view.confirm(Time::from_secs(90));
    assert!(view.is_fresh(Time::from_millis(104_600)));
}

// Guards against a view that counts as fresh for the whole wait of a watch, although the store
// answered at once and the process was suspended before it read the reply.
#[test]
fn a_watch_without_changes_confirms_no_more_than_its_wait() {
    let (sent, wait) = (Time::from_secs(100), Duration::from_millis(2_500));
    let fresh_view = |read: Time| {
        let mut view = ConfigView::new(Duration::from_secs(5), true);
        view.confirm_unchanged(read, sent, wait);
        view
    };

    let (early, late) = (fresh_view(Time::from_secs(101)), fresh_view(Time::from_secs(200)));

    assert!(early.is_fresh(Time::from_millis(104_600)));
    assert!(!early.is_fresh(Time::from_millis(104_700)));
    assert!(late.is_fresh(Time::from_millis(107_100)));
    assert!(!late.is_fresh(Time::from_millis(107_200)));
}

#[test]
fn events_pass_whole_and_once() {
    let mut events = EventSplitter::after(Some(2));

    let first = events.push(b"id: 2\ndata: old\n\nid: 3\nda");
    let second = events.push(b"ta: new\n\nid: 4\ndata: cu");

    assert!(first.is_empty());
    assert_eq!(second, "id: 3\ndata: new\n\n");
    assert_eq!((events.last_id(), events.buffered_len()), (Some(3), 14));
}

#[test]
fn a_request_that_broke_three_runs_does_not_run_again() {
    let now = Time::from_secs(9);
    let request = Fingerprint::new("/a/", Some("key"), b"body");
    let other = Fingerprint::new("/a/", Some("key"), b"other body");
    let mut tracker = PoisonTracker::default();

    for run in [1, 2, 2, 1] {
        tracker.record_run(now, FailedRun { request, run });
    }

    assert!(tracker.may_run(now, request));
    tracker.record_run(now, FailedRun { request, run: 3 });
    assert!(!tracker.may_run(now, request));
    assert!(tracker.may_run(now, other));
    assert_eq!(tracker.runs_to_gossip(now).len(), 3);
}
