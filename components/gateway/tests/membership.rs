//! Tests of which hosts' addresses are returned to callers.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::membership::{HostEntry, Membership, Pollers};

fn entry(id: u32, zone: &str) -> HostEntry {
    HostEntry { addr: addr(id), gossip: addr(id), id, zone: zone.to_owned(), leaving: false }
}

fn addr(id: u32) -> SocketAddr {
    format!("10.0.0.{id}:80").parse().unwrap()
}

/// Hosts 1 to 3 as listed in the store, seen from another host.
fn listed() -> Membership {
    let mut membership = Membership::new("own");
    let entries =
        (1..=3).map(|id| (format!("host-{id}"), Version::first_era(u64::from(id)), entry(id, "a")));
    membership.update(entries.collect());
    membership
}

/// The same hosts, each heard once by gossip.
fn all_heard(now: Time) -> Membership {
    let mut membership = listed();
    for id in 1..=3 {
        membership.record_heartbeat(now, id, 0);
    }
    membership
}

fn returned_addrs(membership: &Membership, now: Time) -> Vec<SocketAddr> {
    let mut addrs = membership.addresses(now, "a", None);
    addrs.sort();
    addrs
}

// Guards against returning dead hosts: a host without power was returned to callers for six
// seconds, until its unchanged entry was taken as old. Seen in hladna-veza trouble-3 --seed
// 618443523852.
#[test]
fn a_host_that_falls_silent_is_left_out_while_others_are_heard() {
    let start = Time::from_secs(10);
    let mut membership = all_heard(start);

    for step in 0..40 {
        let now = start + Duration::from_millis(100) * step;
        membership.record_heartbeat(now, 1, 0);
        membership.record_heartbeat(now, 2, 0);
    }

    assert_eq!(returned_addrs(&membership, start + Duration::from_secs(4)), [addr(1), addr(2)]);
}

// Guards against trusting entries alone: a restarted host listed the entry of a host that had
// been off for 48 s and returned it to callers. Seen in hladna-veza trouble-3 --seed 11.
#[test]
fn a_host_that_was_never_heard_is_not_returned() {
    let start = Time::from_secs(10);
    let membership = listed();

    assert!(returned_addrs(&membership, start).is_empty());
    assert_eq!(membership.gossip_addrs().len(), 3);
}

#[test]
fn hosts_are_counted_before_they_are_heard() {
    assert_eq!(listed().count(), 4);
}

#[test]
fn an_unknown_host_is_noticed() {
    let start = Time::from_secs(10);
    let mut membership = listed();

    assert!(membership.record_heartbeat(start, 3, 0));
    assert!(!membership.record_heartbeat(start, 9, 0));
}

#[test]
fn a_host_that_leaves_is_left_out_at_once() {
    let start = Time::from_secs(10);
    let mut membership = all_heard(start);
    let leaving = HostEntry { leaving: true, ..entry(2, "a") };

    membership.update(vec![
        ("host-1".to_owned(), Version::first_era(1), entry(1, "a")),
        ("host-2".to_owned(), Version::first_era(9), leaving),
    ]);

    assert_eq!(returned_addrs(&membership, start), [addr(1)]);
}

#[test]
fn an_older_read_reverts_nothing() {
    let start = Time::from_secs(10);
    let mut membership = listed();
    let leaving = HostEntry { leaving: true, ..entry(2, "a") };
    membership.update(vec![("host-2".to_owned(), Version::first_era(9), leaving)]);

    membership.update(vec![("host-2".to_owned(), Version::first_era(2), entry(2, "a"))]);

    assert!(returned_addrs(&membership, start).is_empty());
}

#[test]
fn callers_get_only_their_zone_if_it_has_enough_hosts() {
    let start = Time::from_secs(10);
    let mut membership = listed();
    let far = entry(4, "b");
    let listed =
        (1..=3).map(|id| (format!("host-{id}"), Version::first_era(u64::from(id)), entry(id, "a")));
    membership.update(listed.chain([("host-4".to_owned(), Version::first_era(4), far)]).collect());
    for id in 1..=4 {
        membership.record_heartbeat(start, id, 0);
    }

    assert_eq!(membership.addresses(start, "a", None).len(), 3);
    assert_eq!(membership.addresses(start, "b", None).len(), 4);
}

/// `count` hosts as one of them, with the number `own`, sees them.
fn fleet_seen_by(own: u32, count: u32, now: Time) -> Membership {
    let name = |id: u32| format!("host-{id}");
    let mut membership = Membership::new(&name(own));
    let entries = (0..count).map(|id| {
        let gossip = SocketAddr::from(([10, 0, (id / 250) as u8, (id % 250) as u8], 80));
        (name(id), Version::first_era(u64::from(id)), HostEntry { gossip, ..entry(id % 250, "a") })
    });
    membership.update(entries.collect());
    for id in 0..count {
        membership.record_heartbeat(now, id % 250, 0);
    }
    membership
}

#[test]
fn all_hosts_choose_the_same_pollers_and_few_of_them() {
    let now = Time::from_secs(10);

    for (hosts, expected) in [(2, 2), (9, 3), (195, 9), (1_000, 34)] {
        let pollers = (0..hosts).map(|own| fleet_seen_by(own, hosts, now).pollers(now));
        let pollers: Vec<Pollers> = pollers.take(200).collect();

        for seen in &pollers {
            assert_eq!(seen.addrs.len() + usize::from(seen.includes_own), expected);
        }
        let outside = pollers.iter().filter(|seen| !seen.includes_own);
        let mut addrs: Vec<_> = outside.map(|seen| seen.addrs.clone()).collect();
        addrs.dedup();
        assert!(addrs.len() <= 1, "{hosts} hosts: {addrs:?}");
    }
}

#[test]
fn a_silent_poller_is_replaced() {
    let start = Time::from_secs(10);
    let later = start + Duration::from_secs(4);
    let mut membership = fleet_seen_by(0, 9, start);
    let silent = membership.pollers(start).addrs[0];

    for id in (0..9).filter(|id| SocketAddr::from(([10, 0, 0, *id as u8], 80)) != silent) {
        membership.record_heartbeat(later, id, 0);
    }

    let pollers = membership.pollers(later);
    assert!(!pollers.addrs.contains(&silent));
    assert_eq!(pollers.addrs.len() + usize::from(pollers.includes_own), 3);
}

#[test]
fn hosts_that_were_heard_come_first_and_all_hosts_rank_them_alike() {
    let now = Time::from_secs(10);
    let (heard, mut silent) = (all_heard(now), listed());
    silent.record_heartbeat(now, 2, 0);

    let ranked = heard.ranked(now, 7, 2);

    assert_eq!(ranked, all_heard(now).ranked(now, 7, 3)[..2]);
    assert_eq!(silent.ranked(now, 7, 3)[0], addr(2));
    assert_eq!(listed().ranked(now, 7, 9).len(), 3);
}

// Guards against hosts that no poller, or only one that may fail, passes changes on to.
#[test]
fn two_pollers_pass_changes_on_to_each_other_host() {
    let now = Time::from_secs(10);
    let hosts = 89;

    let views: Vec<Membership> = (0..hosts).map(|own| fleet_seen_by(own, hosts, now)).collect();
    let mut told: Vec<SocketAddr> = views.iter().flat_map(|view| view.followers(now)).collect();
    told.sort_unstable();

    let pollers = views.iter().filter(|view| view.pollers(now).includes_own).count();
    assert_eq!(told.len(), 2 * (hosts as usize - pollers));
    assert!(told.chunks(2).all(|pair| pair[0] == pair[1]), "{told:?}");
}
