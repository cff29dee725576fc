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

    poison.merge_notice(Time::ZERO, Time::ZERO, &notice);

    assert_eq!(poison.check(Time::ZERO, bad), PoisonStatus::Suspect);
}

#[test]
fn knows_a_crash_until_later_ones_have_taken_its_place() {
    let settings = PoisonSettings { max_crashes: 3, ..PoisonSettings::default() };
    let mut poison = PoisonDetector::new(settings);
    let bad = fingerprint(1, 1);
    let now = Time::ZERO;

    for target in (1..=5).chain([5, 4, 3]) {
        poison.record_crash(now, crash(target), &running(&[bad], false));
    }

    let known = (1..=5).map(|target| poison.knows(crash(target)));
    assert_eq!(known.collect::<Vec<_>>(), [false, false, true, true, true]);
    assert_eq!((poison.crash_count(now, bad), poison.notices().len()), (3, 3));
    assert!(poison.accuses(now, 1) && !poison.accuses(now, 2));
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
    here.merge_notice(Time::ZERO, Time::ZERO, &notice);
    let notice = there.record_crash(Time::ZERO, crash(1), &running(&[attack], false));
    here.merge_notice(Time::ZERO, Time::ZERO, &notice);

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
        new.merge_notice(Time::ZERO, Time::ZERO, &notice);
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

        notices.iter().for_each(|given| one.merge_notice(Time::ZERO, Time::ZERO, &notice(given)));
        notices.iter().rev().for_each(|given| other.merge_notice(Time::ZERO, Time::ZERO, &notice(given)));

        for digest in 0..4 {
            let checked = fingerprint(1, digest);
            prop_assert_eq!(one.check(Time::ZERO, checked), other.check(Time::ZERO, checked));
        }
    }
}

const SERVICE_ORG: u32 = 1;

fn part_detector() -> PoisonDetector {
    let settings = PoisonSettings {
        subject: PoisonSubject::Parts,
        min_crashes: 3,
        ..PoisonSettings::default()
    };
    PoisonDetector::new(settings)
}

/// Records that a target ended before it had begun to answer requests with these parts.
fn end_target(detector: &mut PoisonDetector, at: u64, target: u32, parts: &[Fingerprint]) {
    let at = Time::from_secs(at);
    let runs = parts.iter().map(|part| AffectedRequest { fingerprint: *part, open: true });
    detector.merge_notice(at, at, &CrashNotice { crash: crash(target), runs: runs.collect() });
}

fn parts(digests: &[u64]) -> Vec<Fingerprint> {
    digests.iter().map(|digest| fingerprint(SERVICE_ORG, *digest)).collect()
}

fn is_part_refused(detector: &PoisonDetector, at: u64, org: u32, digest: u64) -> bool {
    let status = detector.check(Time::from_secs(at), fingerprint(org, digest));
    matches!(status, PoisonStatus::Quarantined(_))
}

#[test]
fn refuses_the_part_that_alone_was_there_at_three_crashes() {
    let mut detector = part_detector();

    end_target(&mut detector, 1, 1, &parts(&[10, 20, 66]));
    end_target(&mut detector, 2, 2, &parts(&[10, 21, 66, 22]));
    let after_two = is_part_refused(&detector, 3, SERVICE_ORG, 66);
    end_target(&mut detector, 3, 3, &parts(&[20, 66]));

    assert!(!after_two && is_part_refused(&detector, 4, SERVICE_ORG, 66));
    assert!([10, 20, 21, 22].iter().all(|part| !is_part_refused(&detector, 4, SERVICE_ORG, *part)));
}

#[test]
fn acquits_the_parts_of_an_answered_request() {
    let mut detector = part_detector();
    // The first part is in all requests.
    for target in 1..=5 {
        end_target(&mut detector, 2, target, &parts(&[10, 66]));
        detector.record_sound(Time::from_secs(3), 10);
    }

    assert!(is_part_refused(&detector, 4, SERVICE_ORG, 66));
    assert!(!is_part_refused(&detector, 4, SERVICE_ORG, 10));
}

#[test]
fn does_not_blame_a_neighbour_for_crashes_that_another_part_explains() {
    let mut detector = part_detector();

    for target in 1..=8 {
        let neighbour = if target <= 5 { 20 } else { 30 };
        end_target(&mut detector, 1, target, &parts(&[neighbour, 66]));
    }

    assert!(is_part_refused(&detector, 2, SERVICE_ORG, 66));
    assert!(!is_part_refused(&detector, 2, SERVICE_ORG, 20));
}

#[test]
fn tells_two_poison_parts_apart() {
    let mut detector = part_detector();

    for target in 1..=3 {
        end_target(&mut detector, 1, target, &parts(&[20 + u64::from(target), 66]));
        end_target(&mut detector, 1, 10 + target, &parts(&[20 + u64::from(target), 77]));
    }

    assert!([66, 77].iter().all(|part| is_part_refused(&detector, 2, SERVICE_ORG, *part)));
    assert!((21..24).all(|part| !is_part_refused(&detector, 2, SERVICE_ORG, part)));
}

#[test]
fn refuses_parts_that_were_always_there_together_only_together() {
    let now = Time::from_secs(2);
    let mut detector = part_detector();
    for target in 1..=8 {
        end_target(&mut detector, 1, target, &parts(&[20, 66]));
    }
    let together = detector.check_parts(now, &parts(&[10, 20, 66]));
    let alone = [20, 66].map(|part| is_part_refused(&detector, 2, SERVICE_ORG, part));

    detector.record_sound(now, 20);

    assert!(matches!(together, PoisonStatus::Quarantined(_)) && alone == [false; 2]);
    assert!(is_part_refused(&detector, 2, SERVICE_ORG, 66));
}

#[test]
fn needs_twice_the_crashes_for_a_part_that_was_answered_before() {
    let mut detector = part_detector();
    detector.record_sound(Time::from_secs(1), 20);
    for target in 1..=5 {
        end_target(&mut detector, 2, target, &parts(&[20]));
    }
    let after_five = is_part_refused(&detector, 3, SERVICE_ORG, 20);

    end_target(&mut detector, 3, 6, &parts(&[20]));

    assert!(!after_five && is_part_refused(&detector, 4, SERVICE_ORG, 20));
}

#[test]
fn does_not_refuse_a_part_to_an_organisation_for_crashes_of_another_alone() {
    let mut detector = part_detector();
    for target in 1..=6 {
        end_target(&mut detector, 1, target, &[fingerprint(2, 66)]);
    }
    let alone = is_part_refused(&detector, 2, SERVICE_ORG, 66);

    end_target(&mut detector, 2, 7, &parts(&[66]));

    assert!(!alone && is_part_refused(&detector, 2, 2, 66));
    assert!(is_part_refused(&detector, 3, SERVICE_ORG, 66) && is_part_refused(&detector, 3, 9, 66));
}

#[test]
fn tells_new_hosts_only_of_parts_that_are_still_accused() {
    let (mut old, mut new) = (part_detector(), part_detector());
    for target in 1..=4 {
        end_target(&mut old, 1, target, &parts(&[20, 66]));
    }
    old.record_sound(Time::from_secs(2), 20);

    let now = Time::from_secs(3);
    for (at, notice) in old.notices_since(Time::ZERO) {
        new.merge_notice(now, at, &notice);
    }

    assert!(is_part_refused(&new, 3, SERVICE_ORG, 66));
    assert_eq!(new.check(now, fingerprint(SERVICE_ORG, 20)), PoisonStatus::Clear);
    // Hosts tell each other again and again; the quarantine ends all the same.
    assert!(!is_part_refused(&new, 602, SERVICE_ORG, 66));
}

proptest! {
    /// Each crash has the guilty part and some of many sound ones, which are answered now and then.
    #[test]
    fn refuses_the_guilty_part_and_no_sound_one(
        crashes in vec(vec(0u64..40, 0..6), 4..20),
        answered in vec(0u64..40, 20..80),
    ) {
        let mut detector = part_detector();
        let answers = answered.len() / crashes.len();
        for (target, sound) in (1u32..).zip(&crashes) {
            let others: Vec<u64> = sound.iter().copied().chain([999]).collect();
            end_target(&mut detector, u64::from(target), target, &parts(&others));
            for part in answered.iter().skip(answers * target as usize).take(answers) {
                detector.record_sound(Time::from_secs(u64::from(target)), *part);
            }
        }

        let end = crashes.len() as u64 + 1;
        let always_there = (0..40).filter(|part| crashes.iter().all(|sound| sound.contains(part)));
        let guilty: Vec<u64> = always_there.chain([999]).collect();
        let status = detector.check_parts(Time::from_secs(end), &parts(&guilty));
        prop_assert!(matches!(status, PoisonStatus::Quarantined(_)));
        let all_sound: Vec<u64> = (0..40).collect();
        let status = detector.check_parts(Time::from_secs(end), &parts(&all_sound));
        prop_assert!(!matches!(status, PoisonStatus::Quarantined(_)));
    }
}
