//! Tests that what is explained of a request is what is decided about it, without a network.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt, PromptPart,
    admission::{Admission, Applicant, Offer, Queues},
    fleet::{
        AttemptOutcome, Build, EngineLimits, Fleet, InFlightWork, Plan, TargetEntry, TargetQuery,
        TargetRole,
    },
};
use chervilgate_policy::LatencyTargets;

const NOW: Time = Time::from_secs(5);

fn fleet(roles: &[TargetRole]) -> Fleet {
    let entries = roles.iter().enumerate().map(|(number, role)| TargetEntry {
        id: format!("t{number}").into(),
        service: "s".into(),
        addr: ([10, 0, 0, number as u8], 80).into(),
        zone: if number % 2 == 0 { "a" } else { "b" }.into(),
        slots: 2,
        draining: false,
        role: *role,
        build: Build::default(),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    });
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.replace(Time::from_secs(1), entries.collect());
    let limits = EngineLimits { slots: 8, kv_tokens: 60_000 };
    fleet.set_engine_limits([("s".into(), limits)].into());
    fleet
}

fn prompt(part: u64, tokens: u32) -> Prompt {
    let parts =
        [PromptPart { id: part, tokens: tokens / 2 }, PromptPart { id: part + 100, tokens }];
    Prompt { tokens, max_output: 10, parts: parts.into_iter().collect() }
}

fn query(prompt: &Prompt) -> TargetQuery<'_> {
    let max_pause = Some(Duration::from_millis(200));
    TargetQuery { service: "s", prompt, exclude: &[], build: None, max_pause, runs_once: false }
}

/// Asserts that the comparison leads to what [`Fleet::place`] chooses.
fn check(fleet: &Fleet, prompt: &Prompt) -> Option<Plan> {
    let plan = fleet.place(NOW, &query(prompt));
    let costs = fleet.compare(NOW, &query(prompt), None);
    for candidate in costs.whole.best.iter().chain(&costs.prefill.best).chain(&costs.decode.best) {
        assert_eq!(candidate.cost_ms, candidate.terms.total());
    }
    let whole_cost = costs.whole.best.first().map(|first| first.cost_ms);
    let splits = costs.split.zip(whole_cost).is_some_and(|(split, whole)| split.total() < whole);
    let Some(plan) = plan else {
        assert!(costs.whole.best.is_empty());
        return None;
    };
    match &plan.prefill {
        Some(prefill) => {
            assert!(splits);
            assert_eq!(prefill.id, costs.prefill.best[0].target);
            assert_eq!(plan.placement.id, costs.decode.best[0].target);
        }
        None => {
            assert!(!splits);
            assert_eq!(plan.placement.id, costs.whole.best[0].target);
            assert_eq!(plan.placement.cost_ms, costs.whole.best[0].cost_ms);
        }
    }
    Some(plan)
}

// Guards against terms that drift from the cost by which targets are chosen: idle, loaded, failing,
// reported by others, at rest and full.
#[test]
fn the_cheapest_explained_target_is_the_chosen_one() {
    use TargetRole::{Decode, Prefill, Whole};
    let fleets = [vec![Whole; 12], vec![Decode; 5], vec![Prefill, Prefill, Decode, Decode, Decode]];
    let mut split = 0;
    for roles in fleets {
        let mut fleet = fleet(&roles);
        for step in 0..60_u32 {
            let plain = Prompt::default();
            let sized = prompt(u64::from(step % 3), 500 + step * 150);
            let prompt = if roles[0] == Whole { &plain } else { &sized };
            let Some(plan) = check(&fleet, prompt) else { continue };
            split += usize::from(plan.prefill.is_some());
            for placement in plan.prefill.iter().chain([&plan.placement]) {
                let attempt = fleet.start(NOW, placement, prompt);
                if step % 7 == 3 {
                    fleet.finish(NOW, placement, attempt, AttemptOutcome::Failed);
                }
                if step % 20 == 9 {
                    fleet.record_rest(NOW, placement, Duration::from_secs(1));
                }
            }
        }
    }
    assert!(split > 0, "no prompt was computed on another engine");
}

fn forecast_and_offer(queues: &mut Queues, fleet: &Fleet, priority: u8, tokens: u32) -> Offer {
    let mut targets = LatencyTargets::default();
    targets.add(0, Duration::from_millis(250));
    targets.add(2, Duration::from_millis(800));
    let targets = Arc::new(targets);
    let prompt = prompt(7, tokens);
    let applicant = Applicant {
        query: query(&prompt),
        org: Some("org"),
        priority,
        arrived_at: NOW,
        on_time_by: NOW + Duration::from_millis(if priority == 0 { 250 } else { 800 }),
        deadline: NOW + Duration::from_secs(1),
        bytes: 100,
    };
    let before = (format!("{queues:?}"), format!("{fleet:?}"));
    let (forecast, outlook) = queues.forecast(NOW, fleet, &targets, &applicant, 0.5);
    assert_eq!(before, (format!("{queues:?}"), format!("{fleet:?}")), "explaining had an effect");
    let waiting = queues.report().iter().map(|count| usize::from(count.waiting)).sum::<usize>();
    assert!(outlook.ahead <= waiting);
    let offer = queues.offer(NOW, fleet, &targets, &applicant, 0.5);
    assert_eq!(forecast, offer);
    offer
}

// Guards against a forecast that differs from what happens to the request, and against one that queues,
// evicts or charges something.
#[test]
fn a_forecast_is_what_happens_and_has_no_effect() {
    let mut fleet = fleet(&[TargetRole::Decode; 2]);
    let mut queues = Queues::default();
    let (mut sent, mut waits, mut refused) = (0, 0, 0);
    for step in 0..80 {
        match forecast_and_offer(&mut queues, &fleet, step % 2 * 2, 4_000) {
            Offer::Send(plan) => {
                sent += 1;
                let prompt = prompt(7, 4_000);
                fleet.start(NOW, &plan.placement, &prompt);
            }
            Offer::Wait(_) => waits += 1,
            Offer::Refuse(_) => refused += 1,
            Offer::NoTarget => panic!("all targets serve"),
        }
        if step == 10 {
            let work = fleet.in_flight_work(NOW);
            let others: Vec<InFlightWork> = work;
            fleet.apply_peer_work(NOW, 1, others);
        }
    }
    assert!(sent > 0 && waits > 0 && refused > 0, "{sent} {waits} {refused}");
}
