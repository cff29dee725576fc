use std::{collections::BTreeMap, sync::Arc};

use proptest::{collection::vec, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::*;
use crate::{
    BlockHash, CacheChange, OrgId, PricingClass, Priority, ServiceId, TargetSpecs, TargetState,
    Zone,
};

fn target(id: u32, role: Role) -> Target {
    Target {
        id: TargetId(id),
        role,
        zone: Zone(0),
        kind: PricingClass::Steady,
        state: TargetState::Serving,
        specs: TargetSpecs::default(),
    }
}

fn request(prompt_tokens: u32) -> Request {
    Request {
        org: OrgId(1),
        service: ServiceId(1),
        prompt_tokens,
        output_tokens: 100,
        prefix: Arc::from([]),
        deadline: Time::from_millis(870),
        priority: Priority::Normal,
        idempotent: true,
        digest: u64::from(prompt_tokens),
        suspect: false,
    }
}

fn router(targets: impl IntoIterator<Item = Target>) -> Router {
    let mut router = Router::new(RouteSettings::default());
    for target in targets {
        router.set_target(Time::ZERO, target);
    }
    router
}

fn mixed(count: u32) -> Router {
    router((0..count).map(|id| target(id, Role::Mixed)))
}

fn rng() -> Pcg64 {
    Pcg64::seed_from_u64(7)
}

fn load_report(running: u32, prompt_queue: u64) -> LoadReport {
    LoadReport { running, prompt_queue, ..LoadReport::default() }
}

fn send(router: &mut Router, now: Time, ticket: u64, request: &Request) -> Result<Route, Refusal> {
    let route = router.route(now, request, &[], &mut rng())?;
    router.start(now, Ticket(ticket), request, &route);
    Ok(route)
}

#[test]
fn splits_long_prompts_and_colocates_short_ones() {
    let roles = [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode];
    let router = router((0u32..).zip(roles).map(|(id, role)| target(id, role)));

    let long = router.route(Time::ZERO, &request(2_000), &[], &mut rng()).unwrap();
    let short = router.route(Time::ZERO, &request(20), &[], &mut rng()).unwrap();

    assert!(long.prefill.0 < 2 && long.decode.0 >= 2);
    assert_eq!(short.prefill, short.decode);
    assert!(short.decode.0 >= 2);
}

#[test]
fn refuses_when_no_target_generates() {
    let router = router([target(0, Role::Prefill)]);

    let refusal = router.route(Time::ZERO, &request(100), &[], &mut rng()).unwrap_err();

    assert_eq!(refusal.reason, RefusalReason::NoTarget);
}

#[test]
fn refuses_a_request_that_cannot_meet_its_deadline() {
    let router = mixed(3);
    let mut late = request(4_000);
    late.deadline = Time::from_millis(100);

    let refusal = router.route(Time::ZERO, &late, &[], &mut rng()).unwrap_err();

    assert_eq!(refusal.reason, RefusalReason::Late);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn sends_no_new_work_to_a_leaving_target() {
    let mut router = mixed(2);
    let leaving = Target { state: TargetState::Leaving, ..target(0, Role::Mixed) };
    router.set_target(Time::ZERO, leaving);

    for ticket in 0..20 {
        let route = send(&mut router, Time::ZERO, ticket, &request(10)).unwrap();

        assert_eq!(route.decode, TargetId(1));
    }
}

#[test]
fn prefers_the_engine_that_holds_the_prefix() {
    let mut router = mixed(8);
    let prefix: Arc<[BlockHash]> = (0..20).map(BlockHash).collect();
    let change = CacheChange::Stored(prefix.clone());
    router.cache_event(&CacheEvent { target: TargetId(5), seq: 0, change });
    let request = Request { prefix, ..request(1_300) };

    let route = router.route(Time::ZERO, &request, &[], &mut rng()).unwrap();

    assert_eq!(route.decode, TargetId(5));
    assert_eq!(route.cached_tokens, 1_280);
}

#[test]
fn moves_a_cached_prefix_off_a_full_engine() {
    let roles = [Role::Prefill, Role::Prefill, Role::Decode];
    let mut router = router((0u32..).zip(roles).map(|(id, role)| target(id, role)));
    let prefix: Arc<[BlockHash]> = (0..30).map(BlockHash).collect();
    let change = CacheChange::Stored(prefix.clone());
    router.cache_event(&CacheEvent { target: TargetId(0), seq: 0, change });
    router.report(Time::ZERO, TargetId(0), load_report(0, 3_000));
    let request = Request { prefix, ..request(2_000) };

    let route = router.route(Time::ZERO, &request, &[], &mut rng()).unwrap();

    assert_eq!(route.prefill, TargetId(1));
    assert_eq!(route.fetch, Some(KvFetch { from: TargetId(0), tokens: 1_920 }));
}

#[test]
fn avoids_a_target_reported_full_until_the_report_is_stale() {
    let mut router = mixed(1);
    router.report(Time::ZERO, TargetId(0), load_report(96, 0));
    let later = Time::from_secs(6);
    let patient = Request { deadline: Time::from_secs(7), ..request(10) };

    let full = router.route(Time::ZERO, &patient, &[], &mut rng()).unwrap_err();
    let route = router.route(later, &patient, &[], &mut rng());

    assert_eq!(full.reason, RefusalReason::Full);
    assert!(route.is_ok());
}

#[test]
fn ignores_a_report_older_than_the_last() {
    let mut router = mixed(1);
    let now = Time::from_secs(3);
    router.report(now, TargetId(0), load_report(96, 0));
    let old = LoadReport { age: Duration::from_secs(2), ..load_report(0, 0) };

    router.report(now, TargetId(0), old);

    assert!(router.route(now, &request(10), &[], &mut rng()).is_err());
}

#[test]
fn bounds_outstanding_work_without_reports() {
    let mut router = mixed(2);
    let limit = 2 * TargetSpecs::default().slots;

    let started = (0..1_000u64)
        .filter(|ticket| send(&mut router, Time::ZERO, *ticket, &request(1)).is_ok())
        .count();

    assert!(started > 0 && started <= limit as usize, "{started}");
}

#[test]
fn frees_capacity_when_an_attempt_ends() {
    let mut router = mixed(1);
    let mut started = 0;
    while send(&mut router, Time::ZERO, started, &request(1)).is_ok() {
        started += 1;
    }

    router.finish(Time::ZERO, Ticket(0), AttemptOutcome::Done, None);

    assert!(send(&mut router, Time::ZERO, started, &request(1)).is_ok());
}

#[test]
fn spreads_load_evenly_without_reports() {
    let mut router = mixed(10);
    let mut counts = BTreeMap::<TargetId, u32>::new();
    let mut rng = rng();

    for ticket in 0..200 {
        let request = Request { digest: ticket, ..request(1) };
        let route = router.route(Time::ZERO, &request, &[], &mut rng).unwrap();
        router.start(Time::ZERO, Ticket(ticket), &request, &route);
        *counts.entry(route.decode).or_default() += 1;
    }

    assert!(counts.values().all(|count| (14..=26).contains(count)), "{counts:?}");
}

#[test]
fn starts_a_new_target_slowly() {
    let mut router = mixed(1);
    let starting = Target { state: TargetState::Starting, ..target(1, Role::Mixed) };
    router.set_target(Time::ZERO, starting);
    router.set_target(Time::ZERO, target(1, Role::Mixed));
    let mut first = 0;

    for ticket in 0..50 {
        let request = Request { digest: ticket, ..request(1) };
        let route = send(&mut router, Time::ZERO, ticket, &request).unwrap();
        first += u32::from(route.decode == TargetId(1));
    }

    assert!((1..=9).contains(&first), "{first}");
}

#[test]
fn ejects_a_failing_target_but_never_the_fleet() {
    let mut router = mixed(6);

    for round in 0..20 {
        for id in 0..6 {
            let ticket = Ticket(round * 6 + u64::from(id));
            let route = Route {
                prefill: TargetId(id),
                decode: TargetId(id),
                cached_tokens: 0,
                fetch: None,
                ttft: Duration::ZERO,
            };
            router.start(Time::ZERO, ticket, &request(1), &route);
            router.finish(Time::ZERO, ticket, AttemptOutcome::Failed, Some(TargetId(id)));
        }
    }

    let mut rng = rng();
    let mut used = Vec::new();
    for _ in 0..300 {
        used.push(router.route(Time::ZERO, &request(1), &[], &mut rng).unwrap().decode);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 4);
}

#[test]
fn isolates_suspects_from_each_other_and_from_new_requests() {
    let mut router = mixed(8);
    let suspect = |digest| Request { digest, suspect: true, ..request(10) };

    let first = send(&mut router, Time::ZERO, 1, &suspect(1)).unwrap();
    let second = send(&mut router, Time::ZERO, 2, &suspect(2)).unwrap();
    let third = send(&mut router, Time::ZERO, 3, &suspect(3));
    let others: Vec<_> = (10..40)
        .map(|digest| send(&mut router, Time::ZERO, digest, &Request { digest, ..request(10) }))
        .map(|route| route.unwrap().decode)
        .collect();

    assert_ne!(first.decode, second.decode);
    assert_eq!(third.unwrap_err().reason, RefusalReason::Full);
    assert!(!others.contains(&first.decode) && !others.contains(&second.decode));
}

#[test]
fn takes_new_requests_again_once_a_suspect_is_cleared() {
    let mut router = mixed(2);
    let suspect = Request { suspect: true, ..request(10) };
    let route = send(&mut router, Time::ZERO, 1, &suspect).unwrap();
    let later = Time::from_millis(400);

    router.first_token(Time::from_millis(100), Ticket(1));

    let exclude = [TargetId(1 - route.decode.0)];
    assert!(router.route(later, &request(20), &exclude, &mut rng()).is_ok());
}

#[test]
fn runs_copies_of_a_request_without_a_first_token_on_one_target() {
    let mut router = mixed(10);

    let routes: Vec<_> =
        (0..5).map(|ticket| send(&mut router, Time::ZERO, ticket, &request(10)).unwrap()).collect();

    assert!(routes.iter().all(|route| route.decode == routes[0].decode));
}

#[test]
fn lists_attempts_running_on_a_crashed_target() {
    let mut router = mixed(1);
    send(&mut router, Time::ZERO, 1, &request(10)).unwrap();
    send(&mut router, Time::ZERO, 2, &request(20)).unwrap();
    router.first_token(Time::ZERO, Ticket(1));

    let running = router.running(TargetId(0));

    let first_token_seen: Vec<_> =
        running.iter().map(|run| (run.ticket.0, run.first_token_seen)).collect();
    assert_eq!(first_token_seen, [(1, true), (2, false)]);
}

proptest! {
    #[test]
    fn routes_only_to_serving_targets_of_a_fitting_role(
        fleet in vec((0u8..3, 0u8..3, 0u8..6, 0u32..120, 0u64..20_000), 1..40),
        prompts in vec(0u32..6_000, 1..40),
        seed: u64,
    ) {
        let roles = [Role::Prefill, Role::Decode, Role::Mixed];
        let states = [
            TargetState::Serving,
            TargetState::Serving,
            TargetState::Draining,
            TargetState::Leaving,
            TargetState::Changing,
            TargetState::Reclaimed,
        ];
        let mut targets = Vec::new();
        for (id, (role, zone, state, ..)) in (0u32..).zip(&fleet) {
            let state = states[usize::from(*state)];
            let zone = Zone(*zone);
            targets.push(Target { state, zone, ..target(id, roles[usize::from(*role)]) });
        }
        let mut router = router(targets.clone());
        for (id, (.., running, queue)) in (0u32..).zip(&fleet) {
            router.report(Time::ZERO, TargetId(id), load_report(*running, *queue));
        }
        let mut rng = Pcg64::seed_from_u64(seed);

        for (ticket, prompt) in (0u64..).zip(prompts) {
            let request = Request { digest: rng.random(), ..request(prompt) };
            let Ok(route) = router.route(Time::ZERO, &request, &[], &mut rng) else { continue };
            router.start(Time::ZERO, Ticket(ticket), &request, &route);

            let prefill = &targets[route.prefill.0 as usize];
            let decode = &targets[route.decode.0 as usize];
            prop_assert_eq!(prefill.state, TargetState::Serving);
            prop_assert_eq!(decode.state, TargetState::Serving);
            prop_assert_ne!(decode.role, Role::Prefill);
            prop_assert!(prefill.id == decode.id || prefill.role == Role::Prefill);
            prop_assert!(route.ttft <= Duration::from_millis(870));
        }
    }

    #[test]
    fn ends_with_no_open_work(steps in vec((0u64..12, 0u8..4), 1..200)) {
        let mut router = router([
            target(0, Role::Prefill),
            target(1, Role::Decode),
            target(2, Role::Mixed),
        ]);
        let before = router.route(Time::ZERO, &request(800), &[], &mut rng());

        for (ticket, step) in steps {
            let request = Request { digest: ticket, ..request(800) };
            match step {
                0 | 1 if router.attempts.get(Ticket(ticket)).is_none() => {
                    let _ = send(&mut router, Time::ZERO, ticket, &request);
                }
                2 => router.first_token(Time::ZERO, Ticket(ticket)),
                _ => router.finish(Time::ZERO, Ticket(ticket), AttemptOutcome::Done, None),
            }
        }
        for ticket in 0..12 {
            router.finish(Time::ZERO, Ticket(ticket), AttemptOutcome::Done, None);
        }

        prop_assert_eq!(router.route(Time::ZERO, &request(800), &[], &mut rng()), before);
    }
}
