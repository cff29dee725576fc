//! Tests of the work that hosts report, and of target orders by demand, without a network.

mod exchange;
mod exchange_faults;
mod platform;

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    demand::{DemandReport, ReportedDemand, WaitCount, WorkTotals},
    fleet::{AttemptOutcome, Fleet, TargetQuery, TargetRole},
    planner::{Observations, ServiceDemand},
};
use chervilgate_policy::demand::PlannedDemand;
use proptest::{collection::vec, prelude::*};

use crate::platform::{MAX_TARGETS, Platform, ZONES, demand, entry};

// Guards against paying for idle targets: 180 were ordered all day where some 13 were busy.
#[test]
fn a_calm_day_needs_a_part_of_the_limit() {
    let mut platform = Platform::new(30, 0);

    platform.run(240, &demand(8.0, 12.0));

    assert!(platform.total() < 90, "{}", platform.total());
    assert!(ZONES.iter().all(|(zone, _)| platform.serving(zone, true) > 0));
    let before = platform.orders;
    platform.run(60, &demand(8.0, 12.0));
    assert_eq!(platform.orders, before);
}

#[test]
fn a_new_holder_gives_nothing_back() {
    let mut platform = Platform::new(20, 20);

    platform.run(29, &demand(1.0, 1.0));

    assert_eq!(platform.total(), 120);
}

// Guards against a fleet that is too small for the first callers: with the targets of the start alone and cold
// caches, the worst seconds of a day lost a fifth of their worth.
#[test]
fn zones_are_filled_until_the_first_demand_has_been_seen_for_a_while() {
    let mut platform = Platform::new(30, 0);
    let unknown = ServiceDemand { demand: None, ..demand(0.0, 0.0) };
    let low = demand(8.0, 12.0);
    let seen_briefly = PlannedDemand { span: Duration::from_secs(20), ..low.demand.unwrap() };

    platform.run(1, &unknown);
    let ordered = platform.ordered();
    platform.run(40, &ServiceDemand { demand: Some(seen_briefly), ..low });

    assert_eq!(ordered, 180);
    assert_eq!(platform.total(), 3 * MAX_TARGETS);
}

// Guards against a holder that has heard nothing yet and cuts what the holder before ordered.
#[test]
fn a_new_holder_keeps_what_is_still_starting() {
    let mut platform = Platform::new(18, 10);
    for (zone, _) in ZONES {
        platform.targets.get_mut(&(zone, true)).unwrap().extend([102_500; 10]);
    }
    let unknown = ServiceDemand { demand: None, ..demand(0.0, 0.0) };

    platform.run(8, &unknown);

    assert_eq!(platform.total(), 114);
}

// Guards against a return within the hold time: on-demand targets that were not listed when the
// lease was taken come back above a goal that was taken from the rest.
#[test]
fn a_new_holder_keeps_on_demand_targets_that_are_listed_later() {
    for on_demand in [7, 22] {
        let mut platform = Platform::new(on_demand, 10);
        for (zone, _) in ZONES {
            platform.targets.get_mut(&(zone, false)).unwrap().extend([105_000; 3]);
        }

        platform.run(29, &demand(1.0, 1.0));

        assert_eq!(platform.total() as usize, 3 * (on_demand + 3 + 10));
    }
}

// Guards against a drop without delay: while one stage has no engines, zones are filled without the
// goals, which were then followed although what was ordered had not started.
#[test]
fn what_was_filled_without_a_demand_is_kept_when_it_is_known_again() {
    let mut platform = Platform::new(18, 42);
    let low = demand(8.0, 12.0);
    platform.run(240, &low);
    assert!(platform.total() < 90);

    (0..2).for_each(|_| drop(platform.step_if_known(None)));
    platform.run(15, &low);

    assert_eq!(platform.total(), 3 * MAX_TARGETS);
    platform.run(120, &low);
    assert!(platform.total() < 90);
}

// Guards against the same where the holder has not known the demand before.
#[test]
fn what_was_filled_before_the_first_demand_is_kept() {
    let mut platform = Platform::new(5, 10);

    (0..2).for_each(|_| drop(platform.step_if_known(None)));
    platform.step(&demand(1.0, 1.0));

    assert_eq!(platform.ordered(), 3 * 60);
}

#[test]
fn a_demand_that_stays_unknown_fills_the_zones() {
    let mut platform = Platform::new(18, 10);

    platform.run(30, &ServiceDemand { demand: None, ..demand(0.0, 0.0) });

    assert_eq!(platform.total(), 3 * MAX_TARGETS);
}

#[test]
fn requests_that_wait_fill_the_zones_at_once() {
    let mut platform = Platform::new(18, 10);

    platform.run(6, &ServiceDemand { is_waiting: true, ..demand(1.0, 1.0) });

    assert_eq!(platform.total(), 3 * MAX_TARGETS);
}

#[test]
fn nothing_is_given_back_in_doubt() {
    let mut platform = Platform::new(18, 42);

    platform.run(120, &ServiceDemand { may_return: false, ..demand(1.0, 1.0) });

    assert_eq!(platform.total(), 3 * MAX_TARGETS);
}

#[test]
fn targets_are_given_back_in_steps_where_they_cost_most() {
    let mut platform = Platform::new(18, 42);
    platform.run(60, &demand(32.0, 40.0));
    let before = platform.total();

    let lower = demand(8.0, 12.0);
    let mut steps = Vec::new();
    for _ in 0..120 {
        let orders = platform.step(&lower);
        let returned: Vec<_> =
            orders.into_iter().map(|order| (order.zone, order.cheap, order.count)).collect();
        if !returned.is_empty() {
            steps.push((platform.now, returned, platform.total()));
        }
    }

    assert_eq!(before, 180);
    // On-demand targets that the mean does not need leave first.
    assert_eq!(steps[0].1, [("c".to_owned(), true, 38), ("c".to_owned(), false, 4)]);
    assert_eq!(steps[0].2, 162);
    assert!(steps.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 5_000));
}

#[test]
fn on_demand_targets_stand_in_where_the_rest_is_too_few() {
    let mut platform = Platform::new(18, 42);
    platform.run(240, &demand(8.0, 12.0));
    let demand = demand(8.0, 60.0);

    platform.unavailable = Some("a");
    platform.reclaim("a");
    platform.run(10, &demand);

    assert!(platform.serving("a", false) >= 30, "{}", platform.serving("a", false));
}

// Guards against on-demand targets that come and go while no reclaimable ones are available.
#[test]
fn a_zone_without_reclaimable_targets_settles() {
    let mut platform = Platform::new(18, 42);
    platform.run(240, &demand(8.0, 12.0));
    platform.unavailable = Some("a");
    platform.reclaim("a");
    platform.run(30, &demand(8.0, 12.0));

    let mut counts = Vec::new();
    for _ in 0..60 {
        platform.step(&demand(8.0, 12.0));
        counts.push(platform.total());
    }

    assert!(counts.windows(2).all(|pair| pair[0] == pair[1]), "{counts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Whatever the load does, orders stay within the limit, goals carry the demand as soon as it
    // is seen, and nothing is ordered again and again while it does not change.
    #[test]
    fn orders_follow_any_load(
        loads in vec((0.0f64..40.0, 1.0f64..3.0, 5u64..60, any::<bool>()), 1..8),
        on_demand in 1usize..30,
    ) {
        let mut platform = Platform::new(on_demand, 0);
        let mut last = demand(0.0, 0.0);
        for (mean, burst, secs, may_return) in loads {
            last = ServiceDemand { may_return, ..demand(mean, mean * burst) };
            for _ in 0..secs * 2 {
                let orders = platform.step(&last);
                prop_assert!(orders.iter().all(|order| order.count <= MAX_TARGETS));
                let needed = (mean * burst.max(2.0) / 0.35).ceil() as u32;
                prop_assert!(platform.wanted() >= needed.min(3 * MAX_TARGETS));
                for (_, _, goal) in platform.planner.goals() {
                    prop_assert!(goal.on_demand + goal.reclaimable <= MAX_TARGETS);
                    prop_assert!(goal.on_demand >= 1);
                }
            }
        }
        let last = ServiceDemand { may_return: true, ..last };
        platform.run(400, &last);
        let before = platform.orders;
        platform.run(60, &last);
        prop_assert_eq!(platform.orders, before);
    }
}

const CALM: Observations = Observations {
    recent_waiting: 0.0,
    past_waiting: 0.0,
    is_demand_known: true,
    is_speed_known: true,
    is_store_up: true,
    is_list_current: true,
    has_impaired_targets: false,
};

#[test]
fn targets_may_be_given_back_where_nothing_is_in_doubt() {
    let few_waited = Observations { past_waiting: 0.01, ..CALM };

    assert!(CALM.may_return() && few_waited.may_return());
}

// Guards against a condition that is lost or inverted: each alone must prevent a return.
#[test]
fn each_doubt_keeps_targets() {
    let doubts = [
        Observations { past_waiting: 0.011, ..CALM },
        Observations { is_demand_known: false, ..CALM },
        Observations { is_speed_known: false, ..CALM },
        Observations { is_store_up: false, ..CALM },
        Observations { is_list_current: false, ..CALM },
        Observations { has_impaired_targets: true, ..CALM },
    ];

    assert!(doubts.iter().all(|doubt| !doubt.may_return()));
    assert!(doubts[1..].iter().all(|doubt| doubt.exchange_doubt().is_some()));
    assert!(doubts.iter().all(|doubt| !doubt.is_waiting()));
}

#[test]
fn prompts_wait_above_a_share() {
    let waiting = |share| Observations { recent_waiting: share, ..CALM }.is_waiting();

    assert!(!waiting(0.05) && waiting(0.051));
    let waits = Observations { recent_waiting: 0.051, ..CALM };
    assert_eq!((CALM.exchange_doubt(), waits.exchange_doubt()), (None, Some("waiting")));
}

fn totals(prefill_ms: u64, prompts: u64) -> WorkTotals {
    WorkTotals { service: 0, prefill_us: prefill_ms * 1_000, prompts, ..WorkTotals::default() }
}

fn service(fleet: &Fleet) -> u32 {
    fleet.work_totals(Time::ZERO)[0].service
}

fn report(host: u32, millis: u64, totals: WorkTotals) -> DemandReport {
    DemandReport { host, at: millis * 1_000, services: vec![totals] }
}

fn prompt(tokens: u32, max_output: u32) -> Prompt {
    Prompt { tokens, max_output, parts: Default::default() }
}

fn fleet(role: TargetRole) -> Fleet {
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.upsert(Time::ZERO, entry(1, "a", false, role));
    fleet
}

fn query(prompt: &Prompt) -> TargetQuery<'_> {
    TargetQuery {
        service: "llm",
        prompt,
        exclude: &[],
        build: None,
        max_pause: None,
        runs_once: false,
    }
}

#[test]
fn work_is_measured_by_what_was_placed_and_refused() {
    let (mut fleet, prompt) = (fleet(TargetRole::Decode), prompt(6_000, 100));
    let now = Time::from_secs(1);
    let plan = fleet.place(now, &query(&prompt)).unwrap();
    let attempt = fleet.start(now, &plan.placement, &prompt);
    fleet.record_refused("llm", &plan);
    let later = now + Duration::from_millis(500);
    let open = fleet.work_totals(later)[0];
    fleet.finish(later, &plan.placement, attempt, AttemptOutcome::Answered);

    let ended = fleet.work_totals(now + Duration::from_secs(9))[0];

    assert_eq!((ended.prompts, ended.waiting), (2, 1));
    assert_eq!(ended.decode_us, (plan.placement.prefill_ms * 2e3) as u64);
    assert_eq!((ended.stream_ms, ended.decode_tokens), (500, 3_050));
    assert_eq!(open, ended);
}

// Guards against a burst that is missed: a lost report must only delay what it told.
#[test]
fn a_lost_report_is_made_up_for_by_the_next() {
    let mut reported = ReportedDemand::default();
    let fleet = &mut fleet(TargetRole::Decode);
    fleet.record_wait("llm");
    let id = service(fleet);
    let totals = |ms| WorkTotals { service: id, ..totals(ms, 1) };
    reported.record(Time::from_millis(0), &report(1, 500, totals(0)));
    reported.record(Time::from_millis(1_600), &report(1, 2_100, totals(3_200)));

    let rate = reported.rate(Time::from_millis(1_700), "llm", 1).unwrap();

    assert!((rate.prefill_ms - 2_000.0).abs() < 1.0);
}

#[test]
fn hosts_that_do_not_report_are_estimated() {
    let mut reported = ReportedDemand::default();
    let fleet = &mut fleet(TargetRole::Decode);
    fleet.record_wait("llm");
    let id = service(fleet);
    let totals = |ms| WorkTotals { service: id, ..totals(ms, 1) };
    for host in [1, 2] {
        reported.record(Time::from_millis(0), &report(host, 0, totals(0)));
        reported.record(Time::from_millis(1_000), &report(host, 1_000, totals(1_000)));
    }

    let mut rate = |millis, alive| {
        reported.rate(Time::from_millis(millis), "llm", alive).map(|work| work.prefill_ms as u64)
    };

    assert_eq!(rate(1_100, 2), Some(2_000));
    assert_eq!(rate(1_100, 3), Some(3_000));
    assert_eq!(rate(1_100, 5), None);
    assert_eq!(rate(4_100, 2), None);
}

// Guards against a service whose part of a report was lost, or left out, that counts as without work.
#[test]
fn a_service_that_no_report_names_is_unknown() {
    let mut reported = ReportedDemand::default();
    let names: Vec<String> = (0..45).map(|n| format!("service-{n}")).collect();
    let mut fleet = fleet(TargetRole::Decode);
    fleet.record_wait("service-44");
    let mut totals = fleet.work_totals(Time::ZERO);
    let mut heard = Vec::new();
    for secs in 0..2 {
        totals[0].prefill_us = secs * 2_000_000;
        let names = names.iter().map(String::as_str);
        heard = DemandReport::all(Time::from_secs(secs), 1, names, &totals);
        // The second part is lost.
        heard.remove(1);
        heard.iter().for_each(|report| reported.record(Time::from_secs(secs), report));
    }

    let mut rate =
        |service| reported.rate(Time::from_secs(1), service, 1).map(|work| work.prefill_ms as u64);

    assert_eq!(heard.len(), 2);
    assert!(heard.iter().all(|report| report.services.len() <= 20));
    assert_eq!(rate("service-44"), Some(2_000));
    assert_eq!(rate("service-0"), Some(0));
    assert_eq!(rate("service-30"), None);
}

// Guards against metrics of a service that was removed from the configuration.
#[test]
fn a_service_that_is_no_longer_scaled_has_no_goals() {
    let mut platform = Platform::new(5, 10);
    platform.run(2, &demand(1.0, 1.0));

    platform.planner.retain_services(|service| service != "llm");

    assert_eq!(platform.planner.goals().count(), 0);
}

// Guards against a share of waiting prompts above 1: a split request counts as one prompt.
#[test]
fn a_request_that_waits_for_both_stages_counts_once() {
    let count = |attempts: &[(bool, bool)]| {
        let waits = WaitCount::default();
        attempts.iter().filter(|(computes, long)| waits.should_count(*computes, *long)).count()
    };

    assert_eq!(count(&[(true, true), (false, true)]), 1);
    assert_eq!(count(&[(true, false), (false, true)]), 1);
    assert_eq!(count(&[(true, true), (false, false)]), 1);
    assert_eq!(count(&[(true, false), (false, false)]), 0);
    // A second attempt counts its prompt again.
    assert_eq!(count(&[(true, true), (true, true)]), 2);
}

#[test]
fn a_split_request_computes_its_prompt_once() {
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    fleet.upsert(Time::ZERO, entry(1, "a", false, TargetRole::Prefill));
    fleet.upsert(Time::ZERO, entry(2, "a", false, TargetRole::Decode));
    let (now, prompt) = (Time::from_secs(1), prompt(6_000, 100));
    let busy = fleet.place_whole(now, &query(&prompt)).unwrap();
    for _ in 0..8 {
        fleet.start(now, &busy, &prompt);
    }

    let plan = fleet.place(now, &query(&prompt)).unwrap();

    assert!(plan.prefill.unwrap().prefill_ms > 0.0);
    assert_eq!(plan.placement.prefill_ms, 0.0);
    assert!(plan.placement.target_wait_ms() > 0.0);
}
