use std::sync::Arc;

use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::*;
use crate::{
    AttemptOutcome, PricingClass, Priority, Role, RouteSettings, ServiceId, Target, TargetId,
    TargetSpecs, TargetState, Zone,
};

fn router(targets: u32, slots: u32) -> Router {
    let mut router = Router::new(RouteSettings::default());
    for id in 0..targets {
        let target = Target {
            id: TargetId(id),
            role: Role::Mixed,
            zone: Zone(0),
            kind: PricingClass::Steady,
            state: TargetState::Serving,
            specs: TargetSpecs { slots, ..TargetSpecs::default() },
        };
        router.set_target(Time::ZERO, target);
    }
    router
}

fn request(org: u32, now: Time) -> Request {
    Request {
        org: OrgId(org),
        service: ServiceId(1),
        prompt_tokens: 0,
        output_tokens: 100,
        prefix: Arc::from([]),
        deadline: now + Duration::from_millis(870),
        priority: Priority::Normal,
        idempotent: true,
        digest: 0,
        suspect: false,
    }
}

fn queue() -> AdmissionQueue {
    AdmissionQueue::new(QueueSettings::default())
}

fn rng() -> Pcg64 {
    Pcg64::seed_from_u64(7)
}

/// Enqueues requests with distinct digests and returns the actions of the next poll.
fn enqueue(
    queue: &mut AdmissionQueue,
    router: &mut Router,
    now: Time,
    requests: &[(u64, Request)],
) -> Actions {
    for (ticket, request) in requests {
        let request = Request { digest: *ticket, ..request.clone() };
        let _ = queue.enqueue(now, Ticket(*ticket), request);
    }
    queue.poll(now, router, &mut rng())
}

fn started(actions: &Actions) -> Vec<u64> {
    let starts = actions.iter().filter_map(|action| match action {
        QueueAction::Start(ticket, _) => Some(ticket.0),
        QueueAction::Refuse(..) => None,
    });
    starts.collect()
}

/// Serves `orgs` from a single slot for `steps` steps and returns the requests served for
/// each.
///
/// In each step, every organisation offers its given number of requests.
fn serve(orgs: &[(u32, u64)], weights: &[f64], steps: u64) -> Vec<u64> {
    let (mut queue, mut router, mut rng) = (queue(), router(1, 1), rng());
    for (org, weight) in (0u32..).zip(weights) {
        queue.set_share(OrgId(org), FairShare { weight: *weight, burst: 0 });
    }
    let mut served = vec![0; orgs.len()];
    let (mut ticket, mut open) = (0, None);
    let mut owner = Vec::new();
    for step in 0..steps {
        let now = Time::from_millis(10 * step);
        if let Some(open) = open.take() {
            router.finish(now, open, AttemptOutcome::Done, None);
        }
        for (org, count) in orgs {
            for _ in 0..*count {
                let request = Request { digest: ticket, ..request(*org, now) };
                let _ = queue.enqueue(now, Ticket(ticket), request);
                owner.push(*org);
                ticket += 1;
            }
        }
        for action in queue.poll(now, &mut router, &mut rng) {
            if let QueueAction::Start(ticket, _) = action {
                served[owner[ticket.0 as usize] as usize] += 1;
                open = Some(ticket);
            }
        }
    }
    served
}

#[test]
fn starts_at_once_when_there_is_room() {
    let (mut queue, mut router) = (queue(), router(1, 10));

    let actions = enqueue(&mut queue, &mut router, Time::ZERO, &[(1, request(1, Time::ZERO))]);

    assert_eq!(started(&actions), [1]);
    assert!(queue.is_empty());
}

#[test]
fn serves_a_small_organisation_in_full_alongside_a_heavy_one() {
    let served = serve(&[(0, 10), (1, 1)], &[1.0, 3.0], 500);

    assert!(served[1] >= 370, "{served:?}");
    assert_eq!(served[0] + served[1], 500);
}

#[test]
fn shares_a_busy_service_by_weight() {
    let served = serve(&[(0, 4), (1, 4), (2, 4)], &[1.0, 2.0, 1.0], 800);

    assert!(served[1].abs_diff(400) < 20, "{served:?}");
    assert!(served[0].abs_diff(200) < 20, "{served:?}");
}

#[test]
fn serves_urgent_requests_of_an_organisation_first() {
    let (mut queue, mut router) = (queue(), router(1, 1));
    enqueue(&mut queue, &mut router, Time::ZERO, &[(1, request(1, Time::ZERO))]);
    let urgent = Request { priority: Priority::Urgent, ..request(1, Time::ZERO) };
    let waiting = [(2, request(1, Time::ZERO)), (3, urgent)];
    enqueue(&mut queue, &mut router, Time::ZERO, &waiting);

    router.finish(Time::ZERO, Ticket(1), AttemptOutcome::Done, None);
    let actions = queue.poll(Time::ZERO, &mut router, &mut rng());

    assert_eq!(started(&actions), [3]);
}

#[test]
fn refuses_at_once_requests_that_would_wait_too_long() {
    let (mut queue, mut router, mut rng) = (queue(), router(1, 1), rng());
    let mut refused_after = Vec::new();

    for step in 0..1_000u64 {
        let now = Time::from_millis(10 * step);
        if step >= 10 && step % 10 == 0 {
            let running = router.running(TargetId(0));
            router.finish(now, running[0].ticket, AttemptOutcome::Done, None);
        }
        let request = Request { digest: step, ..request(1, now) };
        if queue.enqueue(now, Ticket(step), request).is_err() {
            refused_after.push(0);
        }
        for action in queue.poll(now, &mut router, &mut rng) {
            if let QueueAction::Refuse(ticket, _) = action {
                refused_after.push(10 * (step - ticket.0));
            }
        }
    }

    let at_once = refused_after.iter().filter(|after| **after == 0).count();
    assert!(refused_after.len() > 850, "{}", refused_after.len());
    assert!(at_once * 10 >= refused_after.len() * 9, "{at_once} of {}", refused_after.len());
}

#[test]
fn refuses_all_requests_at_once_when_no_target_is_left() {
    let (mut queue, mut router) = (queue(), router(1, 1));
    let requests: Vec<_> = (0..5).map(|ticket| (ticket, request(1, Time::ZERO))).collect();
    enqueue(&mut queue, &mut router, Time::ZERO, &requests);

    router.remove_target(TargetId(0));
    let actions = queue.poll(Time::ZERO, &mut router, &mut rng());

    let gone = |action: &QueueAction| matches!(action, QueueAction::Refuse(_, r) if r.reason == RefusalReason::NoTarget);
    assert_eq!(actions.iter().filter(|action| gone(action)).count(), 4);
    assert!(queue.is_empty());
}

#[test]
fn forgets_a_cancelled_request() {
    let (mut queue, mut router) = (queue(), router(1, 1));
    let requests: Vec<_> = (0..3).map(|ticket| (ticket, request(1, Time::ZERO))).collect();
    enqueue(&mut queue, &mut router, Time::ZERO, &requests);

    assert!(queue.cancel(Ticket(1)));
    assert!(!queue.cancel(Ticket(1)));

    router.finish(Time::ZERO, Ticket(0), AttemptOutcome::Done, None);
    let actions = queue.poll(Time::ZERO, &mut router, &mut rng());
    assert_eq!(started(&actions), [2]);
}

proptest! {
    #[test]
    fn answers_each_request_exactly_once_and_in_time(
        arrivals in vec((0u32..4, 0u64..30, 0u32..3_000), 1..150),
        slots in 1u32..8,
        seed: u64,
    ) {
        let (mut queue, mut router) = (queue(), router(2, slots));
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut answers = vec![0; arrivals.len()];
        let mut running = std::collections::VecDeque::new();
        let mut now = Time::ZERO;
        let mut deadlines = Vec::new();

        for (ticket, (org, pause, prompt)) in (0u64..).zip(&arrivals) {
            now += Duration::from_millis(*pause);
            let request = Request { digest: ticket, prompt_tokens: *prompt, ..request(*org, now) };
            deadlines.push(request.deadline);
            if queue.enqueue(now, Ticket(ticket), request).is_err() {
                answers[ticket as usize] += 1;
            }
            if ticket % 3 == 0 && let Some(done) = running.pop_front() {
                router.finish(now, done, AttemptOutcome::Done, None);
            }
            for action in queue.poll(now, &mut router, &mut rng) {
                let (QueueAction::Start(ticket, _) | QueueAction::Refuse(ticket, _)) = action;
                if let QueueAction::Start(ticket, _) = action {
                    running.push_back(ticket);
                }
                answers[ticket.0 as usize] += 1;
                prop_assert!(now <= deadlines[ticket.0 as usize]);
            }
        }
        while let Some(next) = queue.next_poll() {
            now = next.max(now + Duration::from_millis(1));
            for action in queue.poll(now, &mut router, &mut rng) {
                let (QueueAction::Start(ticket, _) | QueueAction::Refuse(ticket, _)) = action;
                answers[ticket.0 as usize] += 1;
            }
        }

        prop_assert!(answers.iter().all(|count| *count == 1), "{answers:?}");
    }
}
