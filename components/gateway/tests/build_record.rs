//! Tests of the record of software versions, without a store.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    build_record::{BuildRecord, Merge, StoredBuilds},
    fleet::{Build, Fleet, STREAM_LIFE, SeenBuilds, ServiceBuild, TargetEntry, TargetRole},
};

const SERVICE: &str = "llm";
const NOW: Time = Time::from_secs(100);

/// One host with the targets that it lists and what it has of the record.
struct Host {
    fleet: Fleet,
    record: BuildRecord,
}

fn entry(build: &str) -> TargetEntry {
    TargetEntry {
        id: format!("of-{build}").into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role: TargetRole::Decode,
        build: Build::new(build),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    }
}

fn builds(names: &[&str]) -> BTreeSet<ServiceBuild> {
    let builds = names.iter();
    builds.map(|name| ServiceBuild { service: SERVICE.into(), build: (*name).into() }).collect()
}

impl Host {
    /// Starts at `now` and lists a target of each of these versions.
    fn start(now: Time, names: &[&str]) -> Host {
        let mut fleet = Fleet::new("a", Duration::from_secs(2));
        fleet.replace(now, names.iter().map(|name| entry(name)).collect());
        Host { fleet, record: BuildRecord::default() }
    }

    /// Reads the record at its start.
    fn learn(&mut self, now: Time, recorded: &BTreeSet<ServiceBuild>) {
        self.record.start_read();
        let merge = self.merge(now, recorded);
        self.fleet.adopt_builds(now, merge.unknown, true);
        self.record.record_synced(recorded.clone());
    }

    /// Makes the record agree with what this host knows.
    fn sync(&mut self, now: Time, recorded: &mut BTreeSet<ServiceBuild>) {
        let merge = self.merge(now, recorded);
        self.fleet.adopt_builds(now, merge.unknown, false);
        *recorded = merge.merged;
        self.record.record_synced(self.fleet.live_builds(now));
    }

    fn merge(&mut self, now: Time, recorded: &BTreeSet<ServiceBuild>) -> Merge {
        let live = self.fleet.live_builds(now);
        self.record.merge(recorded, &self.fleet.present_builds(), &live)
    }

    fn is_due(&mut self, now: Time) -> bool {
        self.record.is_due(&self.fleet.live_builds(now))
    }
}

// Guards against streams that are refused since one element of the record was changed by another writer.
#[test]
fn an_odd_element_voids_no_other_version_and_the_record_is_not_complete() {
    let read = |text: &str| {
        let stored = serde_json::from_str::<StoredBuilds>(text).unwrap();
        (stored.is_complete(), stored.into_builds())
    };
    let odd = r#"{"builds":[{"service":"llm","build":"v1"},{"service":"llm"},7,{"service":"llm","build":"v2"}]}"#;

    assert_eq!(read(odd), (false, builds(&["v1", "v2"])));
    assert_eq!(read(r#"{"builds":[{"service":"llm","build":"v1"}]}"#), (true, builds(&["v1"])));
}

// Guards against streams that go on at another version after all hosts were killed as theirs left.
#[test]
fn a_host_that_starts_learns_of_a_version_that_left_before() {
    let mut host = Host::start(NOW, &["v2"]);

    host.learn(NOW, &builds(&["v1", "v2"]));

    assert_eq!(host.fleet.seen_builds(NOW, SERVICE), SeenBuilds::Several);
    let only = SeenBuilds::Only(Build::new("v2").id);
    assert_eq!(host.fleet.seen_builds(NOW + STREAM_LIFE, SERVICE), only);
}

// Guards against refused streams where all hosts were killed and one version has served all along.
#[test]
fn a_host_that_starts_vouches_for_the_only_version_on_record() {
    let mut host = Host::start(NOW, &["v1"]);
    let before = host.fleet.seen_builds(NOW, SERVICE);

    host.learn(NOW, &builds(&["v1"]));

    let build = Build::new("v1").id;
    assert_eq!(before, SeenBuilds::OnlyNow(build));
    assert_eq!(host.fleet.seen_builds(NOW, SERVICE), SeenBuilds::Only(build));
}

#[test]
fn a_record_that_cannot_be_read_vouches_for_nothing() {
    let mut host = Host::start(NOW, &["v1"]);

    host.fleet.adopt_builds(NOW, builds(&[]), false);

    let build = Build::new("v1").id;
    assert_eq!(host.fleet.seen_builds(NOW, SERVICE), SeenBuilds::OnlyNow(build));
}

#[test]
fn a_new_version_is_recorded_and_one_that_is_gone_for_long_is_removed() {
    let mut recorded = builds(&[]);
    let mut host = Host::start(NOW, &["v1"]);
    host.learn(NOW, &recorded);
    host.sync(NOW, &mut recorded);
    let first = recorded.clone();

    host.fleet.upsert(NOW, entry("v2"));
    assert!(host.is_due(NOW));
    host.sync(NOW, &mut recorded);
    let both = recorded.clone();
    host.fleet.remove(NOW, "of-v1");
    assert!(!host.is_due(NOW));
    let later = NOW + STREAM_LIFE;
    assert!(host.is_due(later));
    host.sync(later, &mut recorded);

    assert_eq!((first, both), (builds(&["v1"]), builds(&["v1", "v2"])));
    assert_eq!(recorded, builds(&["v2"]));
    assert!(!host.is_due(later));
}

#[test]
fn a_host_that_has_missed_a_version_leaves_it_on_record() {
    let mut recorded = builds(&["v1"]);
    let mut host = Host::start(NOW, &["v1"]);
    host.learn(NOW, &recorded);
    host.fleet.upsert(NOW, entry("v3"));
    recorded.extend(builds(&["v2"]));

    host.sync(NOW, &mut recorded);

    assert_eq!(recorded, builds(&["v1", "v2", "v3"]));
    assert_eq!(host.fleet.live_builds(NOW), recorded);
}

#[test]
fn hosts_do_not_put_back_what_one_of_them_has_removed() {
    let mut recorded = builds(&["v1", "v2"]);
    let mut hosts = [NOW, NOW + STREAM_LIFE / 2].map(|start| {
        let mut host = Host::start(start, &["v2"]);
        host.learn(start, &recorded);
        host.sync(start, &mut recorded);
        host
    });
    let later = NOW + STREAM_LIFE;

    hosts[0].sync(later, &mut recorded);
    hosts[1].fleet.upsert(later, entry("v3"));
    hosts[1].sync(later, &mut recorded);

    assert_eq!(recorded, builds(&["v2", "v3"]));
}

#[test]
fn a_record_that_came_back_from_a_copy_gets_all_that_is_known() {
    let mut recorded = builds(&["v1"]);
    let copy = recorded.clone();
    let mut host = Host::start(NOW, &["v1"]);
    host.learn(NOW, &recorded);
    host.fleet.upsert(NOW, entry("v2"));
    host.fleet.remove(NOW, "of-v1");
    host.sync(NOW, &mut recorded);
    recorded = copy;

    host.record.distrust();
    assert!(host.is_due(NOW));
    host.sync(NOW, &mut recorded);

    assert_eq!(recorded, builds(&["v1", "v2"]));
}

#[test]
fn the_record_is_read_again_after_each_list() {
    let mut host = Host::start(NOW, &["v1"]);
    let before = host.record.is_unread();
    host.learn(NOW, &builds(&[]));
    let after = host.record.is_unread();

    host.record.record_list();

    assert_eq!((before, after, host.record.is_unread()), (true, false, true));
}

#[test]
fn the_record_is_read_as_it_was_written() {
    let written = serde_json::to_string(&StoredBuilds::new(&builds(&["v1", ""]))).unwrap();

    let read: StoredBuilds = serde_json::from_str(&written).unwrap();

    assert_eq!(read.into_builds(), builds(&["v1", ""]));
    assert!(serde_json::from_str::<StoredBuilds>("{}").is_err());
}
