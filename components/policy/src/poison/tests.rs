use proptest::{collection::vec, prelude::*};

use super::*;
use crate::{OrgId, Ticket};

fn fingerprint(org: u32, digest: u64) -> Fingerprint {
    Fingerprint { org: OrgId(org), digest }
}

fn crash(target: u32) -> CrashId {
    CrashId { target: TargetId(target), incarnation: 1 }
}

fn running(fingerprints: &[Fingerprint], first_token_seen: bool) -> Vec<RunningAttempt> {
    let run = |fingerprint: &Fingerprint| RunningAttempt {
        ticket: Ticket(fingerprint.digest),
        fingerprint: *fingerprint,
        first_token_seen,
    };
    fingerprints.iter().map(run).collect()
}

fn poison() -> PoisonDetector {
    PoisonDetector::new(PoisonSettings::default())
}

fn is_refused(poison: &PoisonDetector, fingerprint: Fingerprint) -> bool {
    matches!(poison.check(Time::ZERO, fingerprint), PoisonStatus::Quarantined(_))
}

#[test]
fn suspects_all_that_ran_at_a_crash() {
    let mut poison = poison();
    let (a, b) = (fingerprint(1, 1), fingerprint(2, 2));

    poison.record_crash(Time::ZERO, crash(1), &running(&[a, b], true));

    assert_eq!(poison.check(Time::ZERO, a), PoisonStatus::Suspect);
    assert_eq!(poison.check(Time::ZERO, b), PoisonStatus::Suspect);
    assert_eq!(poison.check(Time::ZERO, fingerprint(1, 3)), PoisonStatus::Clear);
}

#[test]
fn quarantines_the_only_candidate_after_two_crashes() {
    let mut poison = poison();
    let (bad, good) = (fingerprint(1, 1), fingerprint(2, 2));
    poison.record_crash(Time::ZERO, crash(1), &running(&[bad, good], false));
    let mut second = running(&[bad], false);
    second.extend(running(&[fingerprint(3, 3)], true));

    poison.record_crash(Time::ZERO, crash(2), &second);

    assert!(is_refused(&poison, bad));
    assert!(!is_refused(&poison, good));
    assert!(!is_refused(&poison, fingerprint(3, 3)));
}

#[test]
fn counts_a_crash_once_if_its_notice_is_repeated() {
    let mut poison = poison();
    let bad = fingerprint(1, 1);
    let notice = poison.record_crash(Time::ZERO, crash(1), &running(&[bad], false));

    poison.merge_notice(Time::ZERO, &notice);

    assert_eq!(poison.check(Time::ZERO, bad), PoisonStatus::Suspect);
}

#[test]
fn does_not_refuse_a_victim_for_crashes_that_another_organisation_causes() {
    let mut poison = poison();
    let victim = fingerprint(1, 1);

    for round in 0..10u32 {
        let attack = fingerprint(2, u64::from(round));
        poison.record_crash(Time::ZERO, crash(round), &running(&[victim, attack], false));
    }

    assert_eq!(poison.check(Time::ZERO, victim), PoisonStatus::Suspect);
}

#[test]
fn does_not_refuse_requests_that_ran_alongside_others_at_crashes() {
    let mut poison = poison();
    let neighbours = [fingerprint(1, 1), fingerprint(1, 2), fingerprint(2, 3)];

    for round in 0..4 {
        poison.record_crash(Time::ZERO, crash(round), &running(&neighbours, true));
    }

    assert!(neighbours.iter().all(|run| poison.check(Time::ZERO, *run) == PoisonStatus::Suspect));
}

#[test]
fn quarantines_a_request_that_crashes_late_in_its_output() {
    let mut poison = poison();
    let (bad, good) = (fingerprint(1, 1), fingerprint(2, 2));
    poison.record_crash(Time::ZERO, crash(1), &running(&[bad, good], true));

    poison.record_crash(Time::ZERO, crash(2), &running(&[bad], true));

    assert!(is_refused(&poison, bad));
    assert!(!is_refused(&poison, good));
}

#[test]
fn considers_candidates_from_the_notices_of_other_hosts() {
    let (mut here, mut there) = (poison(), poison());
    let (victim, attack) = (fingerprint(1, 1), fingerprint(2, 2));
    here.record_crash(Time::ZERO, crash(1), &running(&[victim], true));
    here.record_crash(Time::ZERO, crash(2), &running(&[victim], false));

    let notice = there.record_crash(Time::ZERO, crash(2), &running(&[attack], false));
    here.merge_notice(Time::ZERO, &notice);
    let notice = there.record_crash(Time::ZERO, crash(1), &running(&[attack], false));
    here.merge_notice(Time::ZERO, &notice);

    assert!(!is_refused(&here, victim));
}

#[test]
fn distinguishes_equal_bodies_of_two_organisations() {
    let mut poison = poison();

    poison.record_crash(Time::ZERO, crash(1), &running(&[fingerprint(1, 9)], false));
    poison.record_crash(Time::ZERO, crash(2), &running(&[fingerprint(1, 9)], false));

    assert!(is_refused(&poison, fingerprint(1, 9)));
    assert_eq!(poison.check(Time::ZERO, fingerprint(2, 9)), PoisonStatus::Clear);
}

#[test]
fn ends_a_quarantine_after_the_retention_time() {
    let mut poison = poison();
    let bad = fingerprint(1, 1);
    poison.record_crash(Time::ZERO, crash(1), &running(&[bad], false));
    poison.record_crash(Time::ZERO, crash(2), &running(&[bad], false));

    assert_eq!(poison.check(Time::from_secs(600), bad), PoisonStatus::Clear);
}

#[test]
fn clears_an_answered_suspect_but_no_quarantined_request() {
    let mut poison = poison();
    let (good, bad) = (fingerprint(1, 1), fingerprint(1, 2));
    poison.record_crash(Time::ZERO, crash(1), &running(&[good, bad], false));
    poison.record_crash(Time::ZERO, crash(2), &running(&[bad], false));

    poison.clear_suspect(Time::ZERO, good);
    poison.clear_suspect(Time::ZERO, bad);

    assert_eq!(poison.check(Time::ZERO, good), PoisonStatus::Clear);
    assert!(is_refused(&poison, bad));
}

#[test]
fn sends_a_new_host_all_known_crashes() {
    let (mut old, mut new) = (poison(), poison());
    let bad = fingerprint(1, 1);
    old.record_crash(Time::ZERO, crash(1), &running(&[bad], false));
    old.record_crash(Time::ZERO, crash(2), &running(&[bad], false));

    for notice in old.notices() {
        new.merge_notice(Time::ZERO, &notice);
    }

    assert!(is_refused(&new, bad));
}

proptest! {
    #[test]
    fn stays_within_its_memory_limits(events in vec((0u32..20, 0u64..40, any::<bool>()), 1..200)) {
        let settings =
            PoisonSettings { max_crashes: 4, max_requests: 3, ..PoisonSettings::default() };
        let mut poison = PoisonDetector::new(settings);

        for (at, (target, digest, first_token_seen)) in (0..).zip(events) {
            let runs = running(&[fingerprint(1, digest), fingerprint(2, digest)], first_token_seen);
            poison.record_crash(Time::from_secs(at), crash(target), &runs);

            prop_assert!(poison.crashes.len() <= 4);
            prop_assert!(poison.crash_counts.len() <= 12);
            let held: usize = poison.crashes.iter().map(|crash| crash.requests.len()).sum();
            prop_assert_eq!(poison.crash_counts.values().sum::<usize>(), held);
        }
    }

    #[test]
    fn reaches_the_same_verdict_for_any_order_of_notices(
        notices in vec((0u32..4, 0u64..4, any::<bool>()), 1..12).prop_shuffle(),
    ) {
        let (mut one, mut other) = (poison(), poison());
        let notice = |(target, digest, open): &(u32, u64, bool)| CrashNotice {
            crash: crash(*target),
            runs: [AffectedRequest { fingerprint: fingerprint(1, *digest), open: *open }]
                .into_iter()
                .collect(),
        };

        notices.iter().for_each(|given| one.merge_notice(Time::ZERO, &notice(given)));
        notices.iter().rev().for_each(|given| other.merge_notice(Time::ZERO, &notice(given)));

        for digest in 0..4 {
            let checked = fingerprint(1, digest);
            prop_assert_eq!(one.check(Time::ZERO, checked), other.check(Time::ZERO, checked));
        }
    }
}
