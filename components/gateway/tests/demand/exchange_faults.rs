//! Tests of the exchange of targets where it cannot finish, or where targets are refused or lost.

use chervilgate_gateway::planner::{OrderPlanner, ServiceDemand};

use crate::{
    exchange::{first_seconds, on_demand, seen},
    platform::{MAX_TARGETS, Platform, ZONES, demand},
};

fn waiting(demand: ServiceDemand) -> ServiceDemand {
    ServiceDemand { is_waiting: true, may_return: false, exchange_doubt: Some("waiting"), ..demand }
}

/// The lowest value while a demand lasts.
fn lowest(
    platform: &mut Platform,
    secs: u64,
    demand: &ServiceDemand,
    value: impl Fn(&Platform) -> u32,
) -> u32 {
    let values = (0..secs * 2).map(|_| {
        platform.step(demand);
        value(platform)
    });
    values.min().unwrap_or_default()
}

// Guards against an exchange that keeps a zone full for the whole lease: in a single zone, the
// on-demand targets alone carry the largest work, so the plan's number cannot be reached.
#[test]
fn an_exchange_that_cannot_finish_ends() {
    let mut platform = Platform::single_zone(30);
    platform.run(10, &ServiceDemand { demand: None, ..demand(0.0, 0.0) });
    platform.run(30, &seen(15, 1.0, 3.0));
    let exchanged = on_demand(&platform);

    platform.run(120, &seen(60, 1.0, 3.0));

    assert!(exchanged < 12, "{exchanged}");
    assert!(platform.total() < 40, "{}", platform.total());
}

// Guards against the same where a zone is lost for good after the first step.
#[test]
fn an_exchange_ends_when_a_zone_is_lost() {
    let mut platform = first_seconds();
    platform.run(5, &seen(15, 8.0, 12.0));
    platform.unavailable = Some("a");
    platform.reclaim("a");

    platform.run(180, &seen(60, 8.0, 12.0));

    assert!(platform.total() < 120, "{}", platform.total());
}

// Guards against half of a service that ends at once: one of two targets left for its replacement.
#[test]
fn small_zones_lose_no_target() {
    let mut platform = Platform::new(2, 0);
    platform.scaling.max_targets = 2;

    platform.run(2, &ServiceDemand { demand: None, ..demand(0.0, 0.0) });
    let serving = lowest(&mut platform, 60, &seen(15, 1.0, 1.0), Platform::total);

    assert_eq!(serving, 6);
}

// Guards against on-demand targets that end for reclaimable ones that the platform never had.
#[test]
fn nothing_ends_where_reclaimable_targets_were_never_delivered() {
    for (mean, largest) in [(1.0, 1.0), (8.0, 62.0)] {
        let mut platform = Platform::new(60, 0);
        platform.available = 0;

        let serving = lowest(&mut platform, 60, &seen(15, mean, largest), Platform::total);

        assert_eq!(serving, 3 * MAX_TARGETS);
    }
}

// Guards against a fleet that does not grow while prompts wait: the goals were lowered, and the
// reclaimable targets that should fill the zones are refused.
#[test]
fn on_demand_targets_stand_in_where_a_part_is_refused() {
    let mut platform = Platform::new(18, 42);
    platform.run(240, &demand(8.0, 12.0));
    platform.available = platform.targets[&("a", true)].len().max(1);
    let before = platform.serving("a", false);

    platform.run(10, &waiting(demand(8.0, 12.0)));

    assert!(before < 18 && ZONES.iter().all(|(zone, _)| platform.serving(zone, false) >= 18));
}

// Guards against many on-demand targets that end at once, while prompts wait, when reclaimable
// ones are back.
#[test]
fn few_targets_leave_when_reclaimable_ones_are_back() {
    let mut platform = first_seconds();
    platform.run(30, &seen(15, 8.0, 12.0));
    let busy = waiting(seen(15, 8.0, 12.0));
    platform.unavailable = Some("a");
    platform.reclaim("a");
    platform.run(20, &busy);
    let replaced = platform.serving("a", false);
    platform.unavailable = None;
    platform.run(6, &busy);

    let in_zone = |platform: &Platform| platform.serving("a", false) + platform.serving("a", true);
    let serving = lowest(&mut platform, 30, &busy, in_zone);

    assert_eq!((replaced, in_zone(&platform)), (30, MAX_TARGETS));
    assert!(serving >= MAX_TARGETS - 12, "{serving}");
}

// Guards against a zone that stays a step below its limit for good.
#[test]
fn a_step_without_replacements_is_undone() {
    for available in [42, 45] {
        let mut platform = first_seconds();
        platform.available = available;
        let known = seen(15, 8.0, 12.0);

        let serving = lowest(&mut platform, 30, &known, Platform::total);
        let before = platform.orders;
        platform.run(30, &known);

        assert_eq!((serving, platform.total()), (3 * (MAX_TARGETS - 6), 3 * MAX_TARGETS));
        assert_eq!((on_demand(&platform), platform.orders), (54, before));
    }
}

// Guards against orders that end what is starting: a list that still shows the targets that left,
// and a doubt in the middle of a step, ordered them again.
#[test]
fn a_doubt_in_a_step_changes_no_order() {
    let mut platform = first_seconds();
    platform.list_lag = 1_500;
    let known = seen(15, 8.0, 12.0);
    while platform.targets[&("a", false)].len() > 12 {
        platform.step(&known);
    }

    let doubt = ServiceDemand { exchange_doubt: Some("list"), may_return: false, ..known };
    for _ in 0..14 {
        platform.step(&doubt);
        assert_eq!(platform.targets[&("a", false)].len(), 12);
    }

    assert_eq!(platform.serving("a", true), 48);
}

// Guards against a new holder that ends the targets of a step which are not listed yet.
#[test]
fn a_new_holder_completes_a_step() {
    let mut platform = first_seconds();
    let known = seen(15, 8.0, 12.0);
    while platform.targets[&("a", true)].len() < 48 {
        platform.step(&known);
    }
    platform.planner = OrderPlanner::new();

    let starting = |platform: &Platform| platform.targets[&("a", true)].len() as u32;
    let ordered = lowest(&mut platform, 8, &waiting(known), starting);

    assert_eq!((ordered, platform.total()), (48, 3 * MAX_TARGETS));
}

// Guards against a day that is paid for in full: the demand was low from the start, and was only
// looked at when zones were not kept full any more.
#[test]
fn a_first_holder_gives_back_when_the_demand_was_seen_for_long_enough() {
    let mut platform = first_seconds();
    platform.run(30, &seen(15, 8.0, 12.0));
    let before = platform.total();

    platform.run(1, &seen(31, 8.0, 12.0));

    assert_eq!(before, 3 * MAX_TARGETS);
    assert!(platform.total() < before);
}
