//! Ownership of partitions, and the buckets of successive owners.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::{
    QuotaBounds,
    quota::{
        lease::{OWNER_LEASE, OwnerDoc, OwnerLease},
        owner::{Ask, OwnedBuckets},
    },
};
use chervilgate_policy::{BucketStart, Holdings, QuotaBucket, QuotaReply, QuotaTerms};

const START: Time = Time::from_secs(100);
const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 190_000.0 };

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn version(era: u64, revision: u64) -> Version {
    Version { era, revision }
}

/// A host that has seen the object of a host at port 1, written in era 0, in this era.
fn observer(port: u16, era: u64, released: bool) -> OwnerLease {
    let doc = OwnerDoc { addr: Some(addr(1)), boot: 1, count: 5, released, ..OwnerDoc::default() };
    let mut lease = OwnerLease::new("b", addr(port), 2, BOUNDS.settling());
    lease.observe(START, era, Some(version(era, 7)), Some(doc));
    lease
}

/// Time after which the host would write the object.
fn takeover_time(mut lease: OwnerLease) -> Duration {
    let times = (0..200).map(|step| Duration::from_millis(50 * step));
    times.into_iter().find(|time| lease.next_write(START + *time).is_some()).unwrap()
}

fn owner() -> OwnerLease {
    let mut lease = OwnerLease::new("a", addr(1), 1, BOUNDS.settling());
    lease.observe(START, 0, None, None);
    let doc = lease.next_write(START).unwrap();
    let start = lease.record_write(START, START, version(0, 3), doc);
    assert_eq!(start, Some(BucketStart::First));
    lease
}

// Guards against two owners: one that has not ended by its own clock, and a later one.
#[test]
fn a_live_owners_partition_is_taken_over_after_its_time() {
    assert!(takeover_time(observer(2, 0, false)) > OWNER_LEASE);
}

// Guards against a quarter of each quota that is lost for seconds at each restart.
#[test]
fn a_released_partition_and_ones_own_address_are_taken_over_at_once() {
    assert_eq!(takeover_time(observer(2, 0, true)), Duration::ZERO);
    assert_eq!(takeover_time(observer(1, 0, false)), Duration::ZERO);
}

// Guards against an older copy of the store, which may lack a later owner.
#[test]
fn nothing_is_taken_over_at_once_from_an_older_copy() {
    let mut absent = OwnerLease::new("b", addr(2), 2, BOUNDS.settling());
    absent.observe(START, 1, None, None);

    assert!(takeover_time(observer(2, 1, true)) > OWNER_LEASE);
    assert!(takeover_time(observer(1, 1, false)) > OWNER_LEASE);
    assert!(takeover_time(absent) > OWNER_LEASE);
}

// Guards against an owner that goes on after its time, or after it has lost the partition.
#[test]
fn an_owner_grants_only_within_its_time() {
    let mut lost = owner();
    let other = OwnerDoc { boot: 9, count: 6, ..OwnerDoc::default() };

    assert!(owner().may_grant(START + OWNER_LEASE.mul_f64(0.99)));
    assert!(!owner().may_grant(START + OWNER_LEASE));
    lost.observe(START, 0, Some(version(0, 8)), Some(other));
    assert!(!lost.may_grant(START));
}

// Guards against an owner that ends because the store came back from an older copy, and one that
// goes on after its time though a later owner may be missing from it.
#[test]
fn an_owner_renews_in_a_later_era_within_its_time_only() {
    let older = OwnerDoc { boot: 9, count: 1, ..OwnerDoc::default() };
    let [mut early, mut late] = [owner(), owner()];
    early.observe(START, 1, Some(version(1, 1)), Some(older.clone()));
    late.observe(START + OWNER_LEASE, 1, Some(version(1, 1)), Some(older));

    assert!(early.next_write(START + OWNER_LEASE / 2).is_some());
    assert!(late.next_write(START + OWNER_LEASE).is_none() && !late.is_owner());
}

// Guards against a lost reply that extends an owner's time.
#[test]
fn a_write_without_a_reply_does_not_extend_the_time() {
    let mut lease = owner();
    let later = START + OWNER_LEASE / 2;
    let doc = lease.next_write(later).unwrap();
    lease.observe(later, 0, Some(version(0, 4)), Some(doc));

    assert!(!lease.may_grant(START + OWNER_LEASE));
}

// Guards against a full bucket in an older copy of the store, in which the object does not exist, for a
// host that saw it absent before.
#[test]
fn an_object_written_in_a_later_era_than_seen_is_not_owned() {
    let mut lease = OwnerLease::new("b", addr(2), 2, BOUNDS.settling());
    lease.observe(START, 0, None, None);
    let doc = lease.next_write(START).unwrap();

    assert_eq!(lease.record_write(START, START, version(1, 1), doc), None);
    assert!(!lease.is_owner() && takeover_time(lease) > OWNER_LEASE);
}

// Guards against a lost release, after which nobody takes the partition over for 6.6 s.
#[test]
fn a_release_is_written_until_the_store_answers() {
    let mut lease = owner();
    lease.release(START);
    assert!(lease.next_write(START).is_some_and(|doc| doc.released));
    lease.record_failure(START, 0.5);
    assert!(lease.next_write(START).is_none());

    let later = START + Duration::from_millis(250);
    let doc = lease.next_write(later).unwrap();
    assert!(doc.released && lease.is_releasing() && !lease.may_grant(later));
    lease.record_write(later, later, version(0, 4), doc);
    assert!(!lease.is_releasing() && lease.next_write(later).is_none());
}

// Guards against an owner that calls a store from which it is cut off at each step, and against one that
// waits so long that its time ends after a short outage.
#[test]
fn failed_writes_are_repeated_at_growing_intervals() {
    let mut lease = owner();
    let mut times = Vec::new();
    for step in 0..600 {
        let now = START + Duration::from_millis(10 * step);
        if lease.next_write(now).is_some() {
            times.push(now);
            lease.record_failure(now, 1.0);
        }
    }

    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!((4..=6).contains(&times.len()), "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap < OWNER_LEASE / 3), "{gaps:?}");
}

// Guards against a refusal by a new owner's bucket that names a time at which it refuses again.
#[test]
fn a_bucket_grants_at_the_time_that_it_told() {
    let terms = QuotaTerms::of_partition(47_000.0, 47_000.0, &BOUNDS);
    for start in [BucketStart::AfterSettled, BucketStart::AfterUnsettled] {
        for need in [1_500.0, 8_000.0, 17_000.0, 28_000.0] {
            let mut bucket = QuotaBucket::new(START, terms, start);
            let now = START + Duration::from_millis(200);
            let QuotaReply::Refused(wait) = bucket.ask(now, need, 0.0) else { continue };
            let reply = bucket.ask(now + wait + Duration::from_millis(1), need, 0.0);
            assert_eq!(reply, QuotaReply::Granted(need), "{start:?} {wait:?}");
        }
    }
}

// Guards against hosts that refuse for as long as an owner once told, though it grants again, and against
// the refusal of small requests for as long as large ones.
#[test]
fn a_refusal_is_not_remembered_for_longer_than_it_holds() {
    let terms = QuotaTerms::of_partition(100_000.0, 100_000.0, &BOUNDS);
    let mut holdings = Holdings::default();
    let wait = Duration::from_millis(300);
    holdings.record_refusal(START, 0, 10_000.0, wait);
    let refused_for = |holdings: &Holdings, now, count| holdings.refused_for(now, 0, count, &terms);

    assert_eq!(refused_for(&holdings, START, 10_000.0), Some(wait));
    assert!(refused_for(&holdings, START, 8_000.0).is_some_and(|shorter| shorter < wait));
    assert!(refused_for(&holdings, START, 17_000.0).is_some_and(|longer| longer > wait));
    assert_eq!(refused_for(&holdings, START, 4_000.0), None);
    holdings.record_grant(0, 10_000.0);
    assert_eq!(refused_for(&holdings, START, 10_000.0), None);
    holdings.record_refusal(START, 0, 10_000.0, Duration::from_secs(8));
    let told = refused_for(&holdings, START, 10_000.0);
    assert_eq!(told, Some(Duration::from_secs(8)));
    assert_eq!(refused_for(&holdings, START + Duration::from_secs(1), 10_000.0), None);
}

// Guards against owners in a row that each grant a full bucket or a debt beyond the rate: what they begin
// with follows from what each of them wrote.
#[test]
fn successive_owners_grant_no_more_than_the_rate() {
    let terms = QuotaTerms::of_partition(400_000.0, 400_000.0, &BOUNDS);
    let mut granted = 0.0;
    let mut now = START;
    let mut seen = (Some(version(0, 1)), Some(OwnerDoc { settled: true, ..OwnerDoc::default() }));
    for revision in 2..18 {
        let mut lease = OwnerLease::new("c", addr(3), revision, BOUNDS.settling());
        lease.observe(now, 0, seen.0, seen.1.take().map(|doc| OwnerDoc { released: true, ..doc }));
        let doc = lease.next_write(now).unwrap();
        seen = (Some(version(0, revision)), Some(doc.clone()));
        let start = lease.record_write(now, now, version(0, revision), doc).unwrap();
        let mut bucket = QuotaBucket::new(now, terms, start);
        for _ in 0..50 {
            now += Duration::from_millis(10);
            if let QuotaReply::Granted(amount) = bucket.ask(now, 20_000.0, 0.0) {
                granted += amount;
            }
        }
    }

    let allowed = terms.rate * now.since(START).as_secs_f64() + terms.successor_debt;
    assert!(granted <= allowed, "{granted} of {allowed}");
}

// Guards against debts that add up, and the largest requests that starve beside small ones.
#[test]
fn debt_is_bounded_and_lets_large_requests_through() {
    let terms = QuotaTerms::of_partition(40_000.0, 40_000.0, &BOUNDS);
    let mut bucket = QuotaBucket::new(START, terms, BucketStart::AfterUnsettled);
    let from = START + terms.settling;
    let largest = 0.98 * (terms.burst + terms.max_debt);
    let (mut small, mut large) = (0.0, 0.0);
    for step in 0..8_000 {
        let now = from + Duration::from_millis(step);
        if let QuotaReply::Granted(amount) = bucket.ask(now, 1_500.0, 0.0) {
            small += amount;
        }
        if step % 100 == 0
            && let QuotaReply::Granted(amount) = bucket.ask(now, largest, 0.0)
        {
            large += amount;
        }
    }

    let allowed = terms.rate * 8.0 + terms.burst + terms.max_debt;
    assert!(small + large <= allowed && large > 0.0 && small > 0.0, "{small}, {large}");
}

// Guards against an amount that is returned twice, late or to a later owner, and so granted twice.
#[test]
fn a_grant_is_returned_once_and_in_time() {
    let terms = QuotaTerms::of_partition(400.0, 400.0, &QuotaBounds { slack: 0.0, ..BOUNDS });
    let mut buckets = OwnedBuckets::default();
    let begin = |buckets: &mut OwnedBuckets, now, start| {
        buckets.begin(now, 0, start);
        buckets.set_terms(now, 0, [(1, &terms)].into_iter());
    };
    let ask = |id| Ask { id, org: 1, need: terms.burst, extra: 0.0 };
    let is_granted = |reply| matches!(reply, Some(QuotaReply::Granted(_)));
    begin(&mut buckets, START, BucketStart::First);

    assert!(is_granted(buckets.ask(START, 0, &ask(1))));
    buckets.give_back(START, 0, 1);
    assert!(is_granted(buckets.ask(START, 0, &ask(2))));
    buckets.give_back(START, 0, 1);
    assert!(!is_granted(buckets.ask(START, 0, &ask(3))));
    let late = START + Duration::from_millis(600);
    buckets.give_back(late, 0, 2);
    assert!(!is_granted(buckets.ask(late, 0, &ask(4))));
    let later = START + Duration::from_secs(2);
    assert!(is_granted(buckets.ask(later, 0, &ask(5))));
    begin(&mut buckets, later, BucketStart::AfterSettled);
    buckets.give_back(later, 0, 5);
    assert!(!is_granted(buckets.ask(later, 0, &ask(6))));
}

// Guards against returned amounts that come on top of the refill which the bucket got in their place: a
// full bucket, and as much again that is granted and not returned, in the same window.
#[test]
fn returns_add_nothing_to_what_a_bucket_may_grant() {
    let terms = QuotaTerms::of_partition(40_000.0, 40_000.0, &QuotaBounds { slack: 0.0, ..BOUNDS });
    let mut buckets = OwnedBuckets::default();
    buckets.begin(START, 0, BucketStart::First);
    buckets.set_terms(START, 0, [(1, &terms)].into_iter());
    let part = terms.burst / 5.0;
    let mut outstanding = std::collections::VecDeque::new();
    let mut now = START;
    for id in 0..100 {
        now += Duration::from_millis(100);
        if matches!(outstanding.front(), Some((_, at)) if now >= *at + Duration::from_millis(400)) {
            buckets.give_back(now, 0, outstanding.pop_front().unwrap().0);
        }
        let ask = Ask { id, org: 1, need: part, extra: 0.0 };
        if let Some(QuotaReply::Granted(_)) = buckets.ask(now, 0, &ask) {
            outstanding.push_back((id, now));
        }
    }
    let mut granted = outstanding.len() as f64 * part;
    for id in 100..200 {
        let ask = Ask { id, org: 1, need: terms.burst / 50.0, extra: 0.0 };
        if let Some(QuotaReply::Granted(amount)) = buckets.ask(now, 0, &ask) {
            granted += amount;
        }
    }

    let since = outstanding.front().map_or(now, |(_, at)| *at);
    let allowed = terms.burst + terms.rate * now.since(since).as_secs_f64();
    assert!(granted <= allowed + 1.0, "{granted} of {allowed}");
}
