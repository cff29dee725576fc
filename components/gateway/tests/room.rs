//! Tests of the bounds on what all hosts together have in flight on one target, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt, PromptPart,
    fleet::{
        AttemptId, AttemptOutcome, Build, Capacity, CapacityClaim, EngineLimits, Fleet, Placement,
        TargetEntry, TargetQuery, TargetRole,
    },
};
use chervilgate_policy::{LatencyTargets, Turn};
use proptest::prelude::*;

const NOW: Time = Time::from_secs(5);
const KV_TOKENS: u64 = 100_000;

fn fleet(role: TargetRole, targets: u8, zone: &str) -> Fleet {
    let entries = (0..targets).map(|number| TargetEntry {
        id: format!("t{number}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, number], 80).into(),
        zone: if number == 0 { "a" } else { zone }.into(),
        slots: 4,
        draining: false,
        role,
        build: Build::default(),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    });
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(Time::from_secs(1), entries.collect());
    let limits = EngineLimits { slots: 16, kv_tokens: KV_TOKENS };
    fleet.set_engine_limits([("s".into(), limits)].into());
    fleet
}

/// A prompt of which little is computed, so that its wait limits nothing.
fn prompt(tokens: u32) -> Prompt {
    let parts = [PromptPart { id: 1, tokens }, PromptPart { id: 2, tokens: 0 }];
    Prompt { tokens, max_output: 0, parts: parts.into_iter().collect() }
}

fn query(prompt: &Prompt) -> TargetQuery<'_> {
    let (exclude, build, max_pause) = (&[][..], None, None);
    TargetQuery { service: "s", prompt, exclude, build, max_pause, runs_once: false }
}

/// Places a request at a target with capacity for it; none if none has.
fn place(fleet: &Fleet, now: Time, prompt: &Prompt) -> Option<Placement> {
    let mut targets = LatencyTargets::default();
    targets.add(0, Duration::from_secs(60));
    let time_left = Duration::from_secs(60);
    let claim = CapacityClaim { targets: &targets, priority: 0, time_left, turn: Turn::Ordinary };
    match fleet.place_with_capacity(now, &query(prompt), &claim) {
        Capacity::Free(plan) => Some(plan.placement),
        Capacity::Full(_) | Capacity::NoTarget => None,
    }
}

/// Sends requests until no target has capacity.
fn fill(fleet: &mut Fleet, prompt: &Prompt) -> Vec<(Placement, AttemptId)> {
    let mut open = Vec::new();
    while let Some(placement) = place(fleet, NOW, prompt) {
        let attempt = fleet.start(NOW, &placement, prompt);
        open.push((placement, attempt));
    }
    open
}

fn report(from: &Fleet, host: u32, to: &mut Fleet, now: Time) {
    to.apply_peer_work(now, host, from.in_flight_work(now));
    to.apply_peer_tokens(now, host, from.kv_tokens_in_flight(80).unwrap());
}

// Guards against engines that crash because hosts send them more than their memory holds.
#[test]
fn requests_wait_once_the_memory_of_all_engines_is_taken() {
    let mut fleet = fleet(TargetRole::Decode, 2, "a");

    let open = fill(&mut fleet, &prompt(20_000));

    assert_eq!(open.len(), 8);
    assert!(place(&fleet, NOW, &prompt(20_000)).is_none());
    assert!(place(&fleet, NOW, &prompt(10_000)).is_some(), "a smaller one has room");
    fleet.finish(NOW, &open[0].0, open[0].1, AttemptOutcome::Answered);
    let next = place(&fleet, NOW, &prompt(20_000)).unwrap();
    assert_eq!(next.id, open[0].0.id);
}

// Guards against a batch and queue that many small requests overfill.
#[test]
fn the_number_of_requests_stays_under_batch_and_queue() {
    let mut fleet = fleet(TargetRole::Decode, 1, "a");

    assert_eq!(fill(&mut fleet, &prompt(10)).len(), 64);
}

// Guards against tokens that are never given back, which would close engines for good.
#[test]
fn all_tokens_are_given_back() {
    let (mut fleet, mut other) =
        (fleet(TargetRole::Decode, 2, "a"), fleet(TargetRole::Decode, 2, "a"));
    let open = fill(&mut fleet, &prompt(20_000));
    report(&fleet, 1, &mut other, NOW);
    assert!(place(&other, NOW, &prompt(20_000)).is_none());

    for (placement, attempt) in open {
        fleet.finish(NOW, &placement, attempt, AttemptOutcome::Answered);
    }
    report(&fleet, 1, &mut other, NOW);

    assert_eq!(fleet.kv_tokens_in_flight(80), Some(vec![]));
    assert_eq!(fill(&mut other, &prompt(20_000)).len(), 8);
}

// Guards against hosts that hear of no others and keep requests waiting for what they last heard.
#[test]
fn only_own_requests_count_once_reports_are_lost() {
    let (mut lost, mut host) =
        (fleet(TargetRole::Decode, 1, "a"), fleet(TargetRole::Decode, 1, "a"));
    fill(&mut lost, &prompt(20_000));
    report(&lost, 1, &mut host, NOW);

    for (millis, has_room) in [(1_499, false), (1_500, true)] {
        let now = NOW + Duration::from_millis(millis);
        host.expire_peer_reports(now);
        assert_eq!(place(&host, now, &prompt(20_000)).is_some(), has_room, "{millis}");
    }
}

// Guards against requests that wait for memory that no engine has: engines refuse them at once.
#[test]
fn requests_larger_than_any_engine_are_sent() {
    let mut fleet = fleet(TargetRole::Decode, 1, "a");
    let whole = prompt(95_000);
    let attempt = place(&fleet, NOW, &whole).map(|placement| fleet.start(NOW, &placement, &whole));

    assert!(attempt.is_some(), "an engine that holds nothing else has room for it");
    assert!(place(&fleet, NOW, &whole).is_none());
    assert!(place(&fleet, NOW, &prompt(100_001)).is_some());
}

// Guards against services whose requests never wait and which would be refused, or sent to the fullest target.
#[test]
fn without_admission_the_target_with_the_most_room_is_chosen() {
    let mut fleet = fleet(TargetRole::Decode, 2, "far");
    let open = fill(&mut fleet, &prompt(30_000));
    let (far, attempt) = open.iter().find(|(placement, _)| &*placement.id == "t1").unwrap();
    fleet.finish(NOW, far, *attempt, AttemptOutcome::Answered);
    let small = prompt(25_000);
    let attempt = fleet.start(NOW, far, &small);
    // They wait for no computation, so that only the zone speaks for the other target.
    for (placement, attempt) in open.iter().chain([&(far.clone(), attempt)]) {
        fleet.mark_computed(NOW, placement, *attempt);
    }

    let chosen = fleet.place(NOW, &query(&prompt(50_000))).unwrap();

    assert_eq!((&*chosen.placement.id, chosen.prefill), ("t1", None));
}

// Guards against targets of plain services that queue or refuse because each host fills their slots.
#[test]
fn all_hosts_share_the_slots_of_plain_targets() {
    let (mut one, mut other) = (fleet(TargetRole::Whole, 2, "a"), fleet(TargetRole::Whole, 2, "a"));
    let no_prompt = Prompt::default();

    let open = fill(&mut one, &no_prompt);
    report(&one, 1, &mut other, NOW);
    let none = place(&other, NOW, &no_prompt);
    one.finish(NOW, &open[2].0, open[2].1, AttemptOutcome::Answered);
    report(&one, 1, &mut other, NOW);

    assert_eq!((open.len(), none), (8, None));
    assert_eq!(place(&other, NOW, &no_prompt).unwrap().id, open[2].0.id);
}

proptest! {
    // Guards against hosts that fill the same engine at once: what all send exceeded its memory though
    // each stayed under it.
    #[test]
    fn all_hosts_together_stay_under_the_memory_of_each_engine(
        steps in prop::collection::vec((0..6_usize, 500..10_000_u32, any::<bool>()), 1..150),
    ) {
        let mut hosts: Vec<Fleet> = (0..6).map(|_| fleet(TargetRole::Decode, 2, "a")).collect();
        let mut open: Vec<(usize, u32, Placement, AttemptId)> = Vec::new();
        for (host, tokens, ends) in steps {
            let prompt = prompt(tokens);
            if ends && !open.is_empty() {
                let (host, _, placement, attempt) = open.remove(tokens as usize % open.len());
                hosts[host].finish(NOW, &placement, attempt, AttemptOutcome::Answered);
                continue;
            }
            if let Some(placement) = place(&hosts[host], NOW, &prompt) {
                let attempt = hosts[host].start(NOW, &placement, &prompt);
                open.push((host, tokens, placement, attempt));
            }
            // The others hear of a request before they send the next.
            for other in (0..6).filter(|other| *other != host) {
                let mut fleet = std::mem::replace(&mut hosts[other], Fleet::new("a", Duration::ZERO));
                report(&hosts[host], host as u32, &mut fleet, NOW);
                hosts[other] = fleet;
            }
            for target in ["t0", "t1"] {
                let held = open.iter().filter(|(_, _, placement, _)| &*placement.id == target);
                let (count, sum) =
                    held.fold((0, 0), |(count, sum), (_, tokens, ..)| (count + 1, sum + tokens));
                prop_assert!(u64::from(sum) <= KV_TOKENS && count <= 64, "{count} with {sum}");
            }
        }
    }
}
