//! Tests of the versions that hosts announce before they begin streams there, without a store.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::{
    Prompt,
    announced::{Announcements, StoredAnnouncements},
    fleet::{
        Build, Fleet, Placement, STREAM_LIFE, ServiceBuild, TargetEntry, TargetQuery, TargetRole,
    },
};

const SERVICE: &str = "llm";
const NOW: Time = Time::from_secs(100);

fn entry(id: &str, build: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role: TargetRole::Decode,
        build: Build::new(build),
        incarnation: 1,
        sequence: 1,
        reclaimable: false,
    }
}

/// A fleet that has listed one target of each of these versions, and knows what served before.
fn fleet(builds: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(NOW, builds.iter().map(|build| entry(&format!("t-{build}"), build)).collect());
    fleet.adopt_builds(NOW, [], true);
    fleet
}

fn place(fleet: &Fleet, build: Option<&str>, exclude: &[&str]) -> Option<Placement> {
    let exclude: Vec<_> = exclude.iter().map(|id| (*id).into()).collect();
    let prompt = Prompt::default();
    let query = TargetQuery {
        service: SERVICE,
        prompt: &prompt,
        exclude: &exclude,
        build: build.map(|build| Build::new(build).id),
        max_pause: None,
        runs_once: false,
    };
    fleet.place(NOW, &query).map(|plan| plan.placement)
}

fn builds(names: &[&str]) -> BTreeSet<ServiceBuild> {
    let names = names.iter();
    names.map(|name| ServiceBuild { service: SERVICE.into(), build: (*name).into() }).collect()
}

// Guards against streams that go on at another version as one element that a host has announced was changed.
#[test]
fn an_odd_element_voids_no_other_announcement() {
    let stored = r#"{"processes":[7,{"id":1,"builds":[{"service":"llm","build":"v2"}]},
        {"id":"x","builds":[]},{"id":2,"builds":[{"service":"llm","build":"v1"},null]},
        {"id":3,"builds":[{"service":"llm","build":"v1"}]}]}"#;
    let stored: StoredAnnouncements = serde_json::from_str(stored).unwrap();
    let mut reader = Announcements::default();

    reader.record_read(NOW, vec![("h-1".to_owned(), stored)]);

    let users: Vec<_> = reader.users(SERVICE, Build::new("v1").id).collect();
    assert_eq!(users, [("h-1", 1), ("h-1", 2)]);
}

#[test]
fn nothing_begins_at_a_version_that_joins_before_it_is_announced() {
    let mut fleet = fleet(&["v1"]);

    fleet.upsert(NOW, entry("t-v2", "v2"));
    let before = place(&fleet, None, &["t-v1"]);
    let bound = place(&fleet, Some("v2"), &[]);
    let due = fleet.builds_to_announce().clone();
    fleet.record_announced(&due);

    assert_eq!((before, due), (None, builds(&["v2"])));
    assert!(bound.is_some(), "a stream of it goes on there");
    assert!(place(&fleet, None, &["t-v1"]).is_some());
    assert!(fleet.builds_to_announce().is_empty());
}

#[test]
fn a_version_that_joins_serves_at_once_where_no_other_one_does() {
    let mut fleet = fleet(&["v1"]);
    fleet.upsert(NOW, entry("t-v2", "v2"));

    fleet.remove(NOW, "t-v1");

    assert!(place(&fleet, None, &[]).is_some());
    assert_eq!(*fleet.builds_to_announce(), builds(&["v2"]));
}

#[test]
fn a_host_that_starts_announces_all_versions_and_knows_no_base() {
    let fleet = fleet(&["v1", "v2"]);

    assert_eq!(*fleet.builds_to_announce(), builds(&["v1", "v2"]));
    assert!(place(&fleet, None, &["t-v1"]).is_some() && place(&fleet, None, &["t-v2"]).is_some());
    assert_eq!(fleet.base_build(NOW, SERVICE), None);
}

#[test]
fn the_version_that_served_alone_is_the_base_until_the_store_has_forgotten_announcements() {
    let mut fleet = fleet(&["v1"]);
    assert_eq!(fleet.base_build(NOW, SERVICE), None);
    fleet.upsert(NOW, entry("t-v2", "v2"));
    fleet.upsert(NOW, entry("t-v3", "v3"));
    fleet.record_announced(&builds(&["v2", "v3"]));

    assert_eq!(fleet.base_build(NOW, SERVICE), Some(Build::new("v1").id));
    fleet.distrust_announced();

    assert_eq!(fleet.base_build(NOW, SERVICE), None);
    assert_eq!(*fleet.builds_to_announce(), builds(&["v2", "v3"]));
}

#[test]
fn the_versions_of_earlier_processes_are_named_for_as_long_as_streams_live() {
    let base = Build::new("v1").id;
    let mut first = Announcements::default();
    first.record_earlier(NOW, None, Default::default());
    let (_, stored) = first.stored(NOW, 1, &builds(&["v1", "v2"]));
    let mut second = Announcements::default();
    second.record_earlier(NOW, Some(Version::first_era(1)), stored);

    let users = |stored| {
        let mut reader = Announcements::default();
        reader.record_read(NOW, vec![("host-1".to_owned(), stored)]);
        let users = reader.users(SERVICE, base).map(|(_, process)| process);
        users.collect::<Vec<u32>>()
    };
    let (version, both) = second.stored(NOW, 2, &builds(&["v1"]));
    assert_eq!(version, Some(Version::first_era(1)));
    assert_eq!(users(both), [1]);
    assert_eq!(users(second.stored(NOW, 2, &builds(&["v2"])).1), [1, 2]);
    assert!(!second.is_outdated(NOW) && second.is_outdated(NOW + STREAM_LIFE));
    assert_eq!(users(second.stored(NOW + STREAM_LIFE, 2, &builds(&["v2"])).1), [2]);
}
