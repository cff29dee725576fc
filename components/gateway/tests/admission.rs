//! Tests of which requests are sent, wait or are refused, without a network.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt, PromptPart,
    admission::{Admission, Applicant, Decision, Offer, Queues, WaitingCount, YieldReason},
    fleet::{
        AttemptId, AttemptOutcome, Build, Capacity, CapacityClaim, Fleet, InFlightWork, Placement,
        Plan, TargetEntry, TargetQuery, TargetRole,
    },
};
use chervilgate_policy::{LatencyTargets, Turn};

const NOW: Time = Time::from_secs(5);
const LONG: u8 = 2;
const SHORT: u8 = 0;

fn entry(role: TargetRole, number: u8) -> TargetEntry {
    TargetEntry {
        id: format!("t{number}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, number], 80).into(),
        zone: "a".into(),
        slots: 2,
        draining: false,
        role,
        build: Build::default(),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    }
}

fn fleet(role: TargetRole, targets: u8) -> Fleet {
    let entries = (0..targets).map(|number| entry(role, number));
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(Time::from_secs(1), entries.collect());
    fleet
}

fn targets() -> Arc<LatencyTargets> {
    let mut targets = LatencyTargets::default();
    targets.add(SHORT, Duration::from_millis(250));
    targets.add(LONG, Duration::from_millis(800));
    Arc::new(targets)
}

fn prompt(tokens: u32) -> Prompt {
    let parts = [PromptPart { id: u64::from(tokens), tokens }];
    Prompt { tokens, max_output: 10, parts: parts.into_iter().collect() }
}

fn query(prompt: &Prompt) -> TargetQuery<'_> {
    TargetQuery {
        service: "s",
        prompt,
        exclude: &[],
        build: None,
        max_pause: None,
        runs_once: false,
    }
}

fn offer(queues: &mut Queues, fleet: &Fleet, now: Time, prompt: &Prompt, priority: u8) -> Offer {
    offer_query(queues, fleet, now, query(prompt), priority)
}

fn offer_query(
    queues: &mut Queues,
    fleet: &Fleet,
    now: Time,
    query: TargetQuery<'_>,
    priority: u8,
) -> Offer {
    let target = if priority == SHORT { 250 } else { 800 };
    let applicant = Applicant {
        query,
        org: Some("org"),
        priority,
        arrived_at: now,
        on_time_by: now + Duration::from_millis(target),
        deadline: now + Duration::from_secs(5),
        bytes: 10,
    };
    queues.offer(now, fleet, &targets(), &applicant, 0.5)
}

/// Counts a request as in flight as planned.
fn start(fleet: &mut Fleet, plan: &Plan, prompt: &Prompt) -> (Placement, AttemptId) {
    let placement = plan.prefill.clone().unwrap_or_else(|| plan.placement.clone());
    let attempt = fleet.start(NOW, &placement, prompt);
    (placement, attempt)
}

fn sent(decisions: &[Decision]) -> usize {
    decisions.iter().filter(|decision| matches!(decision, Decision::Send(..))).count()
}

/// A fleet of plain targets whose slots are all taken, and the requests that take them.
fn full_plain_fleet() -> (Fleet, Queues, Vec<(Placement, AttemptId)>) {
    let (mut fleet, mut queues) = (fleet(TargetRole::Whole, 2), Queues::default());
    let mut open = Vec::new();
    while let Offer::Send(plan) = offer(&mut queues, &fleet, NOW, &Prompt::default(), LONG) {
        open.push(start(&mut fleet, &plan, &Prompt::default()));
    }
    (fleet, queues, open)
}

#[test]
fn plain_requests_take_the_slots_of_all_targets_and_then_wait() {
    let (fleet, mut queues, open) = full_plain_fleet();

    assert_eq!((open.len(), queues.waiting()[0].1), (4, 1));
    assert_eq!(sent(&queues.poll(NOW, &fleet, &mut || 0.5)), 0);
}

#[test]
fn a_waiting_request_is_sent_when_one_of_its_host_ends() {
    let (mut fleet, mut queues, open) = full_plain_fleet();
    let other =
        WaitingCount { service: queues.report()[0].service, priority: LONG, waiting: 1_000 };
    queues.apply_report(NOW, 7, vec![other]);
    let (placement, attempt) = &open[0];
    fleet.finish(NOW, placement, *attempt, AttemptOutcome::Answered);

    // What others see too is taken by few of those that wait.
    let by_chance = queues.poll(NOW, &fleet, &mut || 0.5);
    queues.record_freed("s");
    let own = queues.poll(NOW, &fleet, &mut || 0.5);

    assert_eq!((sent(&by_chance), sent(&own), queues.is_empty()), (0, 1, true));
}

// Guards against claims that become certain: drawn at each check of the queue, a request took capacity within some
// checks that a thousand others see, so that all hosts filled the same targets.
#[test]
fn capacity_that_others_see_is_drawn_for_once_until_it_is_reported_again() {
    let (mut fleet, mut queues, open) = full_plain_fleet();
    let other = WaitingCount { service: queues.report()[0].service, priority: LONG, waiting: 9 };
    queues.apply_report(NOW, 7, vec![other]);
    let (placement, attempt) = &open[0];
    fleet.finish(NOW, placement, *attempt, AttemptOutcome::Answered);

    let mut draws = [0.99, 0.05, 0.05].into_iter();
    let mut draw = || draws.next().unwrap_or(0.0);
    let checks = (0..50).map(|millis| {
        let now = NOW + Duration::from_millis(millis);
        sent(&queues.poll(now, &fleet, &mut draw))
    });
    let at_once: usize = checks.sum();
    let later = queues.poll(NOW + Duration::from_millis(50), &fleet, &mut draw);

    assert_eq!((at_once, sent(&later)), (0, 1));
}

// Guards against a request of one service that takes the turn which the end of another service's request has given, or
// loses its own by it.
#[test]
fn what_a_request_frees_is_used_by_its_own_service_once_for_each() {
    let (mut fleet, mut queues) = (fleet(TargetRole::Whole, 2), Queues::default());
    fleet.upsert(NOW, TargetEntry { service: "other".into(), ..entry(TargetRole::Whole, 9) });
    let prompt = Prompt::default();
    let other = TargetQuery { service: "other", ..query(&prompt) };
    let mut open = Vec::new();
    for query in [query(&prompt), other] {
        for _ in 0..12 {
            if let Offer::Send(plan) = offer_query(&mut queues, &fleet, NOW, query, LONG) {
                open.push((query.service, start(&mut fleet, &plan, &prompt)));
            }
        }
    }
    let counts = queues.report();
    assert_eq!((open.len(), counts.len()), (6, 2));
    let others = counts.iter().map(|count| WaitingCount { waiting: 1_000, ..*count });
    queues.apply_report(NOW, 7, others.collect());
    for (_, (placement, attempt)) in &open {
        fleet.finish(NOW, placement, *attempt, AttemptOutcome::Answered);
    }

    queues.record_freed("s");
    queues.record_freed("s");
    let waiting = |queues: &Queues, service: &str| {
        let of = queues.waiting().into_iter().find(|(name, _)| &**name == service);
        of.map_or(0, |(_, waiting)| waiting)
    };
    let before = (waiting(&queues, "s"), waiting(&queues, "other"));
    for _ in 0..4 {
        queues.poll(NOW, &fleet, &mut || 0.5);
    }

    let left = (waiting(&queues, "s"), waiting(&queues, "other"));
    assert_eq!(left, (before.0 - 2, before.1));
}

// Guards against callers that are gone and still take capacity, or are counted as waiting.
#[test]
fn a_caller_that_leaves_frees_its_place() {
    let (fleet, mut queues, _) = full_plain_fleet();
    let Offer::Wait(ticket) = offer(&mut queues, &fleet, NOW, &Prompt::default(), LONG) else {
        panic!("has to wait")
    };

    queues.cancel(ticket);

    assert_eq!(queues.waiting()[0].1, 1);
}

#[test]
fn a_waiting_request_is_refused_at_its_latest_start() {
    let (fleet, mut queues, _) = full_plain_fleet();

    let before = queues.poll(NOW + Duration::from_millis(4_990), &fleet, &mut || 0.5);
    let after = queues.poll(NOW + Duration::from_millis(5_000), &fleet, &mut || 0.5);

    assert_eq!(before, []);
    let [Decision::Refuse(_, yielded)] = &after[..] else { panic!("{after:?}") };
    assert_eq!(yielded.reason, YieldReason::Expired);
    assert!(queues.is_empty());
}

// Guards against a resumed stream whose version is gone and that keeps all requests behind it from starting until its
// own latest start.
#[test]
fn a_stream_whose_version_is_gone_leaves_its_place_to_the_requests_behind_it() {
    let (mut fleet, mut queues, open) = full_plain_fleet();
    let prompt = Prompt::default();
    let resumed = TargetQuery { build: Some(Build::default().id), ..query(&prompt) };
    let bound = offer_query(&mut queues, &fleet, NOW, resumed, SHORT);
    let behind = offer(&mut queues, &fleet, NOW, &prompt, SHORT);
    assert!(matches!((&bound, &behind), (Offer::Wait(_), Offer::Wait(_))), "{bound:?}, {behind:?}");

    let (placement, attempt) = &open[0];
    fleet.finish(NOW, placement, *attempt, AttemptOutcome::Answered);
    for number in 0..2 {
        let build = Build::new("next");
        let entry = TargetEntry { build, sequence: 1, ..entry(TargetRole::Whole, number) };
        fleet.upsert(NOW, entry);
    }
    queues.record_freed("s");
    let decisions = queues.poll(NOW, &fleet, &mut || 0.5);

    assert_eq!((sent(&decisions), decisions.len()), (1, 2), "{decisions:?}");
    assert_eq!(queues.waiting()[0].1, 1);
}

// Guards against long prompts of the least urgent kind that fill all engines, so that urgent ones are late.
#[test]
fn long_prompts_leave_engines_to_urgent_requests() {
    let (mut fleet, mut queues) = (fleet(TargetRole::Decode, 8), Queues::default());
    let mut long = 0;
    for number in 0..8 {
        let prompt = prompt(17_000 + number);
        if let Offer::Send(plan) = offer(&mut queues, &fleet, NOW, &prompt, LONG) {
            start(&mut fleet, &plan, &prompt);
            long += 1;
        }
    }

    let urgent = offer(&mut Queues::default(), &fleet, NOW, &prompt(1_400), SHORT);

    assert!((2..=5).contains(&long), "{long}");
    assert!(matches!(urgent, Offer::Send(_)), "{urgent:?}");
}

#[test]
fn what_is_free_is_placed_as_without_admission() {
    let (fleet, mut queues) = (fleet(TargetRole::Decode, 8), Queues::default());
    for tokens in [1_400, 9_000, 17_000] {
        let prompt = prompt(tokens);
        let offered = offer(&mut queues, &fleet, NOW, &prompt, LONG);

        assert_eq!(offered, Offer::Send(Box::new(fleet.place(NOW, &query(&prompt)).unwrap())));
    }
}

/// Work that another host has in flight on targets of `fleet`, each with `pending` milliseconds.
fn reported(fleet: &Fleet, numbers: &[u8], pending: u32) -> Vec<InFlightWork> {
    let mut other = fleet_of(fleet);
    for number in numbers {
        let id = format!("t{number}");
        let prompt = prompt(pending);
        let exclude: Vec<Arc<str>> =
            other.entries().map(|entry| entry.id.clone()).filter(|known| **known != *id).collect();
        let plan = other.place(NOW, &TargetQuery { exclude: &exclude, ..query(&prompt) }).unwrap();
        start(&mut other, &plan, &prompt);
    }
    other.in_flight_work(NOW)
}

fn fleet_of(fleet: &Fleet) -> Fleet {
    let mut other = Fleet::new("a", Duration::from_secs(2));
    other.replace(Time::from_secs(1), fleet.entries().cloned().collect());
    other
}

// Guards against a host that fills the targets right after its start, since it has heard of no load yet.
#[test]
fn a_host_that_has_heard_few_others_sends_one_request_at_a_time_to_targets_not_reported() {
    let mut fleet = fleet(TargetRole::Whole, 4);
    fleet.set_other_hosts(NOW, 4, 7);
    let fill = |fleet: &mut Fleet, queues: &mut Queues| {
        let mut sent = 0;
        while let Offer::Send(plan) = offer(queues, fleet, NOW, &Prompt::default(), LONG) {
            start(fleet, &plan, &Prompt::default());
            sent += 1;
        }
        sent
    };

    let unheard = fill(&mut fleet, &mut Queues::default());
    fleet.apply_peer_work(NOW, 1, Vec::new());
    let heard_one = fill(&mut fleet, &mut Queues::default());
    fleet.apply_peer_work(NOW, 2, Vec::new());
    let heard_half = fill(&mut fleet, &mut Queues::default());

    assert_eq!((unheard, heard_one, heard_half), (4, 0, 4));
}

// Guards against a host that holds requests back for the sake of others which have all ended.
#[test]
fn a_host_that_nobody_reports_to_soon_uses_all_that_targets_can_take() {
    let mut fleet = fleet(TargetRole::Whole, 1);
    fleet.set_other_hosts(NOW, 1, 7);
    let send = |fleet: &mut Fleet, now: Time| {
        let offer = offer(&mut Queues::default(), fleet, now, &Prompt::default(), LONG);
        let Offer::Send(plan) = offer else { return false };
        start(fleet, &plan, &Prompt::default());
        true
    };

    let at_once = [send(&mut fleet, NOW), send(&mut fleet, NOW)];
    let later = send(&mut fleet, NOW + Duration::from_secs(2));

    assert_eq!((at_once, later), ([true, false], true));
}

// Guards against targets that look idle to a host which has heard of a part of the others' work only.
#[test]
fn hosts_not_heard_are_taken_to_work_as_much_as_those_heard() {
    let mut fleet = fleet(TargetRole::Decode, 1);
    let work = reported(&fleet, &[0], 5_000);
    fleet.set_other_hosts(NOW, 10, 7);
    fleet.apply_peer_work(NOW, 1, work);
    let claim = CapacityClaim {
        targets: &targets(),
        priority: SHORT,
        time_left: Duration::from_secs(60),
        turn: Turn::Ordinary,
    };
    let wait = |fleet: &Fleet, now: Time| {
        let plan = match fleet.place_with_capacity(now, &query(&prompt(10)), &claim) {
            Capacity::Free(plan) | Capacity::Full(plan) => plan,
            Capacity::NoTarget => panic!("a target serves"),
        };
        plan.placement.wait_ms
    };

    let first = wait(&fleet, NOW);
    for host in 2..=5 {
        fleet.apply_peer_work(NOW, host, Vec::new());
    }
    let later = wait(&fleet, NOW);

    assert!(later > 1.0 && (first / later - 10.0).abs() < 0.5, "{first}, {later}");
}

// Guards against hosts that start together and all send a part's prompts to the same engine, which no one has cached.
#[test]
fn a_host_that_has_heard_no_other_spreads_a_part_over_its_two_first_targets() {
    let mut fleet = fleet(TargetRole::Decode, 8);
    fleet.set_other_hosts(NOW, 80, 7);
    let mut chosen = std::collections::HashMap::new();
    for number in 0..200 {
        let parts =
            [PromptPart { id: 1, tokens: 5_000 }, PromptPart { id: 100 + number, tokens: 500 }];
        let prompt = Prompt { tokens: 5_500, max_output: 10, parts: parts.into_iter().collect() };
        let Offer::Send(plan) = offer(&mut Queues::default(), &fleet, NOW, &prompt, LONG) else {
            panic!("engines are idle")
        };
        *chosen.entry(plan.placement.id).or_insert(0) += 1;
    }

    assert!(chosen.len() == 2 && chosen.values().all(|count| *count >= 60), "{chosen:?}");
}
