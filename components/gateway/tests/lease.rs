//! Tests of the lease for the duties, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::lease::{Lease, LeaseDoc};

const LEASE_DURATION: Duration = Duration::from_secs(3);

const SINCE_1970: Duration = Duration::from_secs(1_800_000_000);

fn millis(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// A lease that `host` acquired at time zero, as its first holder.
fn holder(host: &str) -> Lease {
    let mut lease = Lease::new(host, 1, LEASE_DURATION);
    let doc = lease.next_write(millis(0), Duration::ZERO).unwrap();
    lease.record_write(millis(5), millis(0), Version::first_era(1), doc);
    lease
}

#[test]
fn the_first_holder_acts_at_once_and_stops_without_renewal() {
    let lease = holder("a");

    assert!(lease.may_act(millis(10)));
    assert!(!lease.may_act(millis(2_200)));
}

#[test]
fn a_challenger_waits_for_an_unchanged_lease() {
    let held = holder("a");
    let mut challenger = Lease::new("b", 2, LEASE_DURATION);

    challenger.observe(millis(1_000), Version::first_era(1), held.doc().clone());

    assert!(challenger.next_write(millis(4_000), Duration::ZERO).is_none());
    assert_eq!(challenger.next_write(millis(4_400), Duration::ZERO).unwrap().epoch, 2);
}

#[test]
fn holders_never_alternate_within_a_lease() {
    let held = holder("a");
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    next.observe(millis(10), Version::first_era(1), held.doc().clone());
    let taken = millis(4_000);

    let doc = next.next_write(taken, Duration::ZERO).unwrap();
    next.record_write(taken, taken, Version::first_era(2), doc);

    let acts = |lease: &Lease, from: u64, to: u64| {
        (from..to).step_by(50).any(|t| lease.may_act(millis(t)))
    };
    assert!(!acts(&held, 2_100, 20_000));
    assert!(!acts(&next, 4_000, 7_000));
}

#[test]
fn a_holder_that_reads_another_one_stops() {
    let mut held = holder("a");
    let doc = LeaseDoc { holder: "b".into(), boot: 2, epoch: 2, ..LeaseDoc::default() };

    held.observe(millis(100), Version::first_era(2), doc);

    assert!(!held.is_holder() && !held.may_act(millis(110)));
}

// Guards against a host taking another host's lease for its own: two hosts drew the same boot
// number from clocks read in the same microsecond. Seen in tbilisi-arrivals scale-1 --seed
// 194874090585.
#[test]
fn hosts_with_the_same_boot_number_do_not_share_a_lease() {
    let held = holder("a");
    let mut other = Lease::new("b", 1, LEASE_DURATION);

    other.observe(millis(100), Version::first_era(1), held.doc().clone());

    assert!(!other.is_holder() && !other.may_act(millis(110)));
}

#[test]
fn a_released_lease_is_free_but_the_next_holder_waits() {
    let mut held = holder("a");
    let doc = LeaseDoc { released: true, ..held.doc().clone() };
    held.record_write(millis(100), millis(90), Version::first_era(2), doc.clone());
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    next.observe(millis(200), Version::first_era(2), doc);

    let doc = next.next_write(millis(200), Duration::ZERO).unwrap();
    next.record_write(millis(210), millis(200), Version::first_era(3), doc);

    assert!(!held.may_act(millis(110)) && !next.may_act(millis(3_100)));
    assert_eq!(next.doc().epoch, 2);
}

// Guards against duties that nobody performs any more, as the lease was overwritten by another writer.
#[test]
fn a_holder_goes_on_when_its_lease_cannot_be_read() {
    let mut held = holder("a");

    held.observe_unreadable(millis(500), Version::first_era(2), SINCE_1970);
    let doc = held.next_write(millis(1_500), Duration::ZERO).unwrap();

    assert!(held.may_act(millis(510)));
    assert_eq!((held.version(), doc.epoch), (Some(Version::first_era(2)), 1));
    assert_eq!(held.windows_unknown_until(millis(1_500)), None);
}

#[test]
fn a_lease_that_cannot_be_read_is_taken_after_its_time_and_its_windows_left_out() {
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    next.observe(millis(10), Version::first_era(1), holder("a").doc().clone());

    next.observe_unreadable(millis(1_000), Version::first_era(2), SINCE_1970);
    let early = next.next_write(millis(4_000), Duration::ZERO);
    let unknown = next.windows_unknown_until(millis(4_400));
    let epoch = acquire(&mut next, 4_400, Version::first_era(3));
    let at_once = next.may_act(millis(4_500));
    acquire(&mut next, 6_000, Version::first_era(4));

    assert_eq!((early, unknown), (None, Some(millis(1_000))));
    // A host that has read no lease before must not repeat an epoch either.
    assert_eq!(epoch, SINCE_1970.as_secs() + 1);
    assert!(!at_once && next.may_act(millis(7_401)));
    assert_eq!(next.windows_unknown_until(millis(4_500)), None);
}

// Guards against two holders: the store may hold an odd lease when all hosts have just started.
#[test]
fn a_lease_that_no_process_has_read_is_taken_after_its_time() {
    let mut next = Lease::new("b", 2, LEASE_DURATION);

    next.observe_unreadable(millis(0), Version::first_era(7), SINCE_1970);
    let early = next.next_write(millis(3_000), Duration::ZERO);
    let doc = next.next_write(millis(3_400), Duration::ZERO).unwrap();
    next.record_write(millis(3_405), millis(3_400), Version::first_era(8), doc);

    assert!(early.is_none() && next.is_holder());
    assert!(!next.may_act(millis(6_300)));
}

#[test]
fn a_holder_that_was_overtaken_does_not_go_on_when_the_lease_cannot_be_read() {
    let mut held = holder("a");

    held.observe_unreadable(millis(2_500), Version::first_era(3), SINCE_1970);

    assert!(!held.is_holder() && held.next_write(millis(5_000), Duration::ZERO).is_none());
}

#[test]
fn numbers_at_their_limit_in_a_lease_stop_no_host() {
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    let doc =
        LeaseDoc { holder: "a".into(), epoch: u64::MAX, beat: u64::MAX, ..LeaseDoc::default() };

    next.observe(millis(0), Version::first_era(7), doc);
    acquire(&mut next, 3_400, Version::first_era(8));

    assert!(next.is_holder());
}

#[test]
fn windows_that_cannot_have_been_sealed_yet_are_dropped() {
    let mut doc = LeaseDoc::default();
    for window in [7, 8, 1_000, u64::MAX] {
        doc.seal(window, [("org".to_owned(), 1)].into());
    }

    doc.drop_future_windows(8);

    let sealed: Vec<_> = doc.sealed.iter().map(|sealed| sealed.window).collect();
    assert_eq!(sealed, [7, 8]);
}

/// A version of the store after it came back from a copy for the first time.
fn restored(revision: u64) -> Version {
    Version { era: 1, revision }
}

/// The lease object that an older copy shows: released by a holder before.
fn older_doc() -> LeaseDoc {
    LeaseDoc { holder: "z".into(), boot: 9, epoch: 1, released: true, ..LeaseDoc::default() }
}

fn acquire(lease: &mut Lease, at: u64, version: Version) -> u64 {
    let doc = lease.next_write(millis(at), Duration::ZERO).unwrap();
    let epoch = doc.epoch;
    lease.record_write(millis(at + 5), millis(at), version, doc);
    epoch
}

#[test]
fn a_holder_goes_on_after_a_restore_under_a_higher_epoch() {
    let mut lease = holder("a");

    lease.observe(millis(1_000), restored(1), older_doc());
    let between = lease.may_act(millis(1_000));
    let epoch = acquire(&mut lease, 1_000, restored(2));

    assert!(!between && lease.may_act(millis(1_010)));
    assert!(epoch > 1_000_000, "{epoch}");
}

#[test]
fn a_holder_whose_time_was_over_waits_like_any_other() {
    let mut lease = holder("a");

    lease.observe(millis(2_200), restored(1), older_doc());
    acquire(&mut lease, 2_200, restored(2));

    assert!(!lease.may_act(millis(5_100)));
    assert!(lease.windows_unknown_until(millis(5_100)).is_none());
}

#[test]
fn a_lease_that_an_older_copy_shows_is_held_by_nobody() {
    let mut lease = holder("a");
    let doc = lease.doc().clone();
    let other = LeaseDoc { holder: "b".into(), boot: 2, epoch: 2, ..LeaseDoc::default() };
    lease.observe(millis(100), Version::first_era(2), other);

    lease.observe(millis(200), restored(1), doc);

    assert!(!lease.is_holder());
    assert!(lease.next_write(millis(300), Duration::ZERO).is_none());
}

#[test]
fn holders_never_alternate_within_a_lease_around_a_restore() {
    let held = holder("a");
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    next.observe(millis(10), Version::first_era(1), held.doc().clone());

    next.observe(millis(50), restored(1), older_doc());
    let epoch = acquire(&mut next, 50, restored(2));

    let last = (0..20_000).step_by(10).filter(|t| held.may_act(millis(*t))).max().unwrap();
    let first = (0..20_000).step_by(10).find(|t| next.may_act(millis(*t)));
    assert!(first.is_none_or(|first| first > last + 900), "{first:?} after {last}");
    assert!(epoch > held.doc().epoch);
}

#[test]
fn a_lease_object_that_the_store_has_lost_is_created_by_its_holder() {
    let mut lease = holder("a");

    lease.observe_absent(millis(1_000), 1);
    let version = lease.version();
    acquire(&mut lease, 1_000, restored(2));

    assert_eq!(version, None);
    assert!(lease.may_act(millis(1_010)));
}

#[test]
fn a_first_holder_after_a_restore_waits_for_a_lost_predecessor() {
    let mut lease = Lease::new("a", 1, LEASE_DURATION);
    lease.observe_absent(millis(0), 1);

    acquire(&mut lease, 0, restored(2));

    assert!(!lease.may_act(millis(2_900)));
}

#[test]
fn a_write_that_a_restored_store_carried_out_gives_no_lease() {
    let mut lease = Lease::new("a", 1, LEASE_DURATION);
    lease.observe_absent(millis(0), 0);

    acquire(&mut lease, 0, restored(2));

    assert!(!lease.is_holder());
}

#[test]
fn windows_that_were_sealed_before_a_restore_keep_their_counts() {
    let mut lease = holder("a");
    let counts = |count| [("org".to_owned(), count)].into();
    let mut doc = lease.doc().clone();
    doc.seal(7, counts(3));
    lease.record_write(millis(900), millis(890), Version::first_era(2), doc);

    lease.observe(millis(1_000), restored(1), older_doc());
    acquire(&mut lease, 1_000, restored(2));

    let sealed: Vec<_> = lease.doc().sealed.iter().map(|sealed| sealed.window).collect();
    assert_eq!((sealed, lease.doc().sealed[0].counts["org"]), (vec![7], 3));
}

// Guards against a window that is reported twice with different counts.
#[test]
fn a_new_holder_leaves_out_windows_that_the_store_may_have_lost() {
    let mut next = Lease::new("b", 2, LEASE_DURATION);
    next.observe(millis(10), Version::first_era(3), holder("a").doc().clone());

    next.observe(millis(50), restored(1), older_doc());
    let unknown = next.windows_unknown_until(millis(60));
    let mut doc = next.next_write(millis(60), Duration::ZERO).unwrap();
    doc.skip_windows(7);

    assert_eq!(unknown, Some(millis(50)));
    assert!(doc.sealed.iter().all(|sealed| sealed.reported));
    assert_eq!(doc.sealed.last().unwrap().window, 7);
}
