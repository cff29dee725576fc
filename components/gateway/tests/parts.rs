//! Tests of routes and configuration freshness.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    config::{CallerLimits, Config, Route, RouteKind},
    view::{ConfigView, Confirmation, ConfirmationRequest},
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_pause: None,
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

    view.confirm(Time::from_secs(100), Time::from_secs(100));

    assert!(view.is_fresh(Time::from_millis(104_600)));
    assert!(!view.is_fresh(Time::from_millis(104_700)));
    view.confirm(Time::from_secs(101), Time::from_secs(90));
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

/// Gossip id of the host whose view is confirmed.
const HOST: u32 = 7;

/// A view of version 3 that the store confirmed at `at`, with keys revoked within 5 s.
fn confirmed_view(at: Time) -> ConfigView {
    let mut view = ConfigView::new(Duration::from_secs(5), true);
    view.replace_if_newer(config(3, Vec::new()));
    view.confirm(at, at);
    view
}

fn confirmation(sent: Time, version: u64, age: Duration) -> Confirmation {
    let request = ConfirmationRequest { host: HOST, sent: sent.as_micros() };
    Confirmation { request, version, age: age.as_micros() as u64 }
}

// Guards against a revoked key that counts as valid because a poller's reply was late, or waited
// in a socket while the asking host was suspended.
#[test]
fn a_late_confirmation_counts_from_when_it_was_asked_for() {
    let mut view = confirmed_view(Time::from_secs(100));
    let asked = Time::from_secs(102);
    let reply = confirmation(asked, 3, Duration::from_secs(1));

    view.apply_confirmation(Time::from_secs(200), HOST, &reply);

    assert_eq!(view.age(Time::from_secs(200)), Some(Duration::from_secs(99)));
    assert!(!view.is_fresh(Time::from_secs(200)));
}

#[test]
fn a_poller_answers_with_the_age_of_its_own_confirmation() {
    let poller = confirmed_view(Time::from_millis(50_300));
    let mut view = confirmed_view(Time::from_secs(100));
    let request = ConfirmationRequest { host: HOST, sent: Time::from_secs(104).as_micros() };

    let reply = poller.confirmation(Time::from_secs(51), request).expect("a confirmation");
    view.apply_confirmation(Time::from_millis(104_010), HOST, &reply);

    assert_eq!(view.age(Time::from_secs(104)), Some(Duration::from_millis(700)));
}

#[test]
fn only_a_reply_to_this_process_about_the_same_view_confirms_it() {
    let now = Time::from_secs(104);
    let asked = Time::from_secs(103);
    let replies = [
        ("to another process", HOST + 1, confirmation(asked, 3, Duration::ZERO)),
        ("of the future", HOST, confirmation(Time::from_secs(105), 3, Duration::ZERO)),
        ("about a newer view", HOST, confirmation(asked, 4, Duration::ZERO)),
        ("about an older view", HOST, confirmation(asked, 2, Duration::ZERO)),
    ];

    for (name, host, reply) in replies {
        let mut view = confirmed_view(Time::from_secs(100));
        view.apply_confirmation(now, host, &reply);

        assert_eq!(view.age(now), Some(Duration::from_secs(4)), "{name}");
    }
}

// Guards against calls to the store that grow with the hosts: each host asked it every other
// second whether the configuration had changed.
#[test]
fn only_hosts_that_no_poller_confirms_ask_the_store_often() {
    let now = Time::from_secs(101);
    let mut alone = confirmed_view(Time::from_secs(100));
    let mut confirmed = confirmed_view(Time::from_secs(100));
    confirmed.apply_confirmation(now, HOST, &confirmation(now, 3, Duration::from_secs(1)));

    assert_eq!(alone.watch_wait(now, false), Duration::from_millis(2_500));
    assert_eq!(confirmed.watch_wait(now, true), Duration::from_millis(1_500));
    let long = confirmed.watch_wait(now, false);
    assert_eq!(long, Duration::from_secs(20));
    // The pollers fall silent.
    assert_eq!(confirmed.watch_due(long), Some(Time::from_secs(103)));
    assert!(confirmed.is_fresh(Time::from_secs(104)));
    assert_eq!(confirmed.watch_wait(Time::from_secs(104), false), Duration::from_millis(200));
}

#[test]
fn a_watch_that_misses_a_change_known_to_a_poller_is_given_up() {
    let now = Time::from_secs(101);
    let mut view = confirmed_view(Time::from_secs(100));
    view.apply_confirmation(now, HOST, &confirmation(now, 3, Duration::ZERO));
    let long = view.watch_wait(now, false);

    view.apply_confirmation(now, HOST, &confirmation(now, 4, Duration::ZERO));
    let due = view.watch_due(long);
    view.replace_if_newer(config(4, Vec::new()));

    assert_eq!(due, Some(Time::from_millis(101_300)));
    assert_eq!(view.watch_due(long), Some(Time::from_secs(104)));
}

#[test]
fn an_older_copy_of_the_store_confirms_nothing_until_it_has_caught_up() {
    let mut view = confirmed_view(Time::from_secs(100));

    view.replace_if_newer(config(2, Vec::new()));
    view.confirm(Time::from_secs(103), Time::from_secs(103));
    let behind = view.age(Time::from_secs(104));
    view.replace_if_newer(config(3, Vec::new()));
    view.confirm(Time::from_secs(104), Time::from_secs(104));

    assert_eq!(behind, Some(Duration::from_secs(4)));
    assert_eq!(view.age(Time::from_secs(104)), Some(Duration::ZERO));
}

#[test]
fn a_host_that_read_an_older_copy_does_not_trust_it_once_a_poller_knows_better() {
    let at = Time::from_secs(100);
    let mut view = confirmed_view(at);
    view.apply_confirmation(at, HOST, &confirmation(at, 5, Duration::ZERO));
    let heard = view.is_fresh(at + Duration::from_millis(200));
    let wait = view.watch_wait(at, false);

    let read = at + Duration::from_millis(500);
    view.confirm(read, read);
    let shown_older = view.is_fresh(read);
    view.replace_if_newer(config(5, Vec::new()));
    view.confirm(read, read);

    assert!(heard && !shown_older && view.is_fresh(read));
    assert_eq!(wait, Duration::from_millis(200));
}

// Guards against a withdrawn key that a host serves because it started just after the store had come
// back from a copy in which the key was valid. Seen in the soak, seed 29202 with all faults.
#[test]
fn a_host_that_starts_after_a_restore_waits_for_a_poller_or_the_operator() {
    let started = Time::from_secs(100);
    let start = || {
        let mut view = ConfigView::new(Duration::from_secs(5), true);
        view.start_unsettled(started);
        view.replace_if_newer(config(3, Vec::new()));
        view.confirm(started, started);
        view
    };
    let soon = started + Duration::from_millis(300);
    let late = started + Duration::from_secs(2);

    let (mut told, mut alone) = (start(), start());
    let at_start = told.is_fresh(started);
    told.apply_confirmation(soon, HOST, &confirmation(soon, 3, Duration::ZERO));
    alone.confirm(soon, soon);
    let alone_soon = alone.is_fresh(soon);
    alone.confirm(late, late);

    assert!(!at_start && !alone_soon);
    assert!(told.is_fresh(soon) && alone.is_fresh(late));
}

#[test]
fn a_host_that_the_store_does_not_answer_goes_on_with_its_view() {
    let at = Time::from_secs(100);
    let mut view = confirmed_view(at);

    view.apply_confirmation(at, HOST, &confirmation(at, 5, Duration::ZERO));

    assert!(view.is_fresh(Time::from_millis(104_600)));
}

#[test]
fn a_version_that_the_store_never_shows_does_not_bind_a_host_for_ever() {
    let at = Time::from_secs(100);
    let mut view = confirmed_view(at);
    view.apply_confirmation(at, HOST, &confirmation(at, 5, Duration::ZERO));
    let late = at + Duration::from_secs(6);

    view.apply_confirmation(late, HOST, &confirmation(late, 5, Duration::ZERO));
    view.confirm(late, late);

    assert!(view.is_fresh(late));
}
