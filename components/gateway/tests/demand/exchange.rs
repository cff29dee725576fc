//! Tests of the exchange of on-demand targets for reclaimable ones in full zones.

use std::time::Duration;

use chervilgate_gateway::planner::ServiceDemand;
use chervilgate_policy::demand::PlannedDemand;
use proptest::prelude::*;

use crate::platform::{MAX_TARGETS, Platform, ZONES, demand};

/// A demand that was seen for `span` seconds.
pub(crate) fn seen(span: u64, mean: f64, largest: f64) -> ServiceDemand {
    let known = demand(mean, largest);
    let span = Duration::from_secs(span);
    ServiceDemand { demand: known.demand.map(|demand| PlannedDemand { span, ..demand }), ..known }
}

pub(crate) fn on_demand(platform: &Platform) -> u32 {
    ZONES.iter().map(|(zone, _)| platform.serving(zone, false)).sum()
}

/// A fleet in its first seconds, whose zones were filled before its demand was known.
pub(crate) fn first_seconds() -> Platform {
    let mut platform = Platform::new(30, 0);
    platform.run(10, &ServiceDemand { demand: None, ..demand(0.0, 0.0) });
    platform
}

// Guards against a day that is paid for with on-demand targets, which cost five times as much.
#[test]
fn on_demand_targets_beyond_the_mean_are_exchanged() {
    let mut platform = first_seconds();
    let (before, filled) = (on_demand(&platform), platform.orders);

    platform.run(5, &seen(5, 8.0, 12.0));
    let too_early = on_demand(&platform);
    platform.run(22, &seen(15, 8.0, 12.0));

    assert_eq!((before, too_early), (54, 54));
    assert_eq!((on_demand(&platform), platform.total()), (12, 3 * MAX_TARGETS));
    // Three steps in three zones: an order for each kind, of which that for the targets that start is
    // repeated once while they do.
    assert_eq!(platform.orders - filled, 3 * 3 * 3);
}

// Guards against an exchange that ends half-way when the demand has been seen for long enough to
// give targets back: it would go on only after all others that are not needed.
#[test]
fn an_exchange_that_has_begun_is_completed() {
    let mut platform = first_seconds();
    platform.run(4, &seen(15, 8.0, 12.0));
    let begun = on_demand(&platform);

    let mut is_complete = false;
    for _ in 0..36 {
        platform.step(&seen(31, 8.0, 12.0));
        is_complete |= (on_demand(&platform), platform.total()) == (12, 3 * MAX_TARGETS);
        assert!(is_complete || platform.wanted() == 3 * MAX_TARGETS);
    }
    platform.run(150, &seen(60, 8.0, 12.0));

    assert!(begun == 36 && is_complete);
    assert!(platform.total() < 90, "{}", platform.total());
}

// Guards against on-demand targets that leave while targets are impaired.
#[test]
fn nothing_is_exchanged_in_doubt() {
    let mut platform = first_seconds();
    let doubt = ServiceDemand { exchange_doubt: Some("impaired"), ..seen(15, 8.0, 12.0) };

    platform.run(30, &doubt);

    assert_eq!((on_demand(&platform), platform.total()), (54, 3 * MAX_TARGETS));
}

// Guards against an order that ends reclaimable targets, and their caches, when prompts wait.
#[test]
fn exchanged_targets_stay_when_requests_wait() {
    let mut platform = first_seconds();
    platform.run(30, &seen(15, 8.0, 12.0));
    let waiting = ServiceDemand { is_waiting: true, ..seen(15, 8.0, 12.0) };
    let before = platform.orders;

    platform.run(10, &waiting);
    platform.step_if_known(None);

    assert_eq!((platform.orders, platform.total()), (before, 3 * MAX_TARGETS));
}

// Guards against a mean that on-demand targets no longer carry once they were exchanged.
#[test]
fn a_larger_mean_brings_on_demand_targets_back() {
    let mut platform = first_seconds();
    platform.run(30, &seen(15, 8.0, 12.0));

    platform.run(30, &seen(20, 23.0, 30.0));

    assert_eq!((on_demand(&platform), platform.total()), (30, 3 * MAX_TARGETS));
}

// Guards against a zone without any targets: what was exchanged is lost with all the others.
#[test]
fn nothing_is_exchanged_while_a_zone_lacks_reclaimable_targets() {
    let mut platform = first_seconds();
    platform.unavailable = Some("a");
    platform.reclaim("a");
    platform.run(4, &seen(15, 8.0, 60.0));
    let in_zone = platform.serving("a", false);

    platform.run(20, &seen(15, 8.0, 60.0));

    assert!(in_zone >= 18 && platform.serving("a", false) >= in_zone);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // The guarantee after each step: the on-demand targets carry the mean, hardly any target is
    // missing, the loss of a zone's reclaimable ones and of a fifth of the rest is survived, and
    // orders settle.
    #[test]
    fn each_step_keeps_the_guarantee(
        mean in 0.0f64..30.0,
        burst in 1.0f64..3.0,
        doubts in proptest::collection::vec(any::<bool>(), 30),
    ) {
        let mut platform = first_seconds();
        let needed = (mean / 0.8).floor() as u32;
        let known = seen(15, mean, mean * burst);
        for is_doubtful in doubts {
            let exchange_doubt = is_doubtful.then_some("impaired");
            for _ in 0..4 {
                platform.step(&ServiceDemand { exchange_doubt, ..known });
                prop_assert!(on_demand(&platform) >= needed.max(3));
                let mut lost = 0;
                for (zone, _) in ZONES {
                    let reclaimable = platform.serving(zone, true);
                    let listed = platform.serving(zone, false) + reclaimable;
                    prop_assert!((MAX_TARGETS - 6..=MAX_TARGETS).contains(&listed), "{listed}");
                    lost = reclaimable.max(lost);
                }
                let left = f64::from(platform.total() - lost) * 0.8;
                prop_assert!(mean <= left * 0.7 && mean * burst <= left);
            }
        }
        platform.run(120, &known);
        let before = platform.orders;
        platform.run(60, &known);
        prop_assert_eq!((platform.orders, platform.total()), (before, 3 * MAX_TARGETS));
    }
}
