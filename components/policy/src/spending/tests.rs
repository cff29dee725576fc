use proptest::{collection::vec, prelude::*};

use super::*;
use crate::{Role, TargetSpecs};

const ZONES: [Zone; 3] = [Zone(0), Zone(1), Zone(2)];

/// A platform whose targets start serving after the cold start time.
#[derive(Debug, Default)]
struct Platform {
    targets: Vec<(Target, Time)>,
    next: u32,
}

impl Platform {
    fn with(steady: u32, cheap: u32) -> Platform {
        let mut platform = Platform::default();
        for (count, kind) in [(steady, PricingClass::Steady), (cheap, PricingClass::Cheap)] {
            for index in 0..count {
                platform.add(Time::ZERO, Zone((index % 3) as u8), kind);
            }
        }
        platform.start_ready(Time::ZERO);
        platform
    }

    fn add(&mut self, ready: Time, zone: Zone, kind: PricingClass) {
        let target = Target {
            id: TargetId(self.next),
            role: Role::Mixed,
            zone,
            kind,
            state: TargetState::Starting,
            specs: TargetSpecs::default(),
        };
        self.next += 1;
        self.targets.push((target, ready));
    }

    fn start_ready(&mut self, now: Time) {
        for (target, ready) in &mut self.targets {
            if *ready <= now {
                target.state = TargetState::Serving;
            }
        }
    }

    fn plan(&mut self, planner: &mut TargetPlanner, now: Time, work: OfferedLoad) -> PlannedOrders {
        self.start_ready(now);
        let paid: Vec<_> = self
            .targets
            .iter()
            .map(|(target, _)| PaidTarget { target, idle: Duration::ZERO })
            .collect();
        let orders = planner.plan_targets(now, work, ListedFleet { targets: &paid, zones: &ZONES });
        for order in &orders {
            match order.action {
                OrderAction::Order { count } => {
                    let ready = now + planner.settings().cold_start;
                    (0..count).for_each(|_| self.add(ready, order.zone, order.kind));
                }
                OrderAction::Return { target } => {
                    self.targets.retain(|(known, _)| known.id != target)
                }
            }
        }
        orders
    }

    fn count(&self, kind: PricingClass) -> usize {
        self.targets.iter().filter(|(target, _)| target.kind == kind).count()
    }
}

fn planner() -> TargetPlanner {
    TargetPlanner::new(ScalingSettings::default())
}

fn work(load: f64) -> OfferedLoad {
    OfferedLoad { total: load, non_idempotent: 0.0 }
}

#[test]
fn orders_nothing_if_the_fleet_can_serve_the_load() {
    let (mut planner, mut platform) = (planner(), Platform::with(6, 0));

    let orders: usize = (0..600)
        .map(|sec| platform.plan(&mut planner, Time::from_secs(sec), work(4.5)).len())
        .sum();

    assert_eq!(orders, 0);
}

#[test]
fn puts_the_base_on_steady_targets_and_the_burst_on_cheap_ones() {
    let (mut planner, mut platform) = (planner(), Platform::with(3, 0));

    for sec in 0..3_000 {
        let burst = if sec % 120 < 60 { 8.0 } else { 0.0 };
        platform.plan(&mut planner, Time::from_secs(sec), work(4.0 + burst));
    }

    assert_eq!(platform.count(PricingClass::Steady), 5);
    assert_eq!(platform.count(PricingClass::Cheap), 10);
}

#[test]
fn keeps_work_that_may_not_be_repeated_on_steady_targets() {
    let (mut planner, mut platform) = (planner(), Platform::with(3, 0));

    for sec in 0..600 {
        let non_idempotent = if sec % 120 < 60 { 8.0 } else { 0.0 };
        platform.plan(
            &mut planner,
            Time::from_secs(sec),
            OfferedLoad { total: 8.0, non_idempotent },
        );
    }

    assert_eq!(platform.count(PricingClass::Steady), 10);
}

#[test]
fn replaces_a_reclaimed_zone_in_bounded_steps() {
    let (mut planner, mut platform) = (planner(), Platform::with(6, 18));
    for sec in 0..400 {
        let load = if sec % 100 < 50 { 19.0 } else { 4.0 };
        platform.plan(&mut planner, Time::from_secs(sec), work(load));
    }

    platform
        .targets
        .retain(|(target, _)| target.kind == PricingClass::Steady || target.zone != Zone(1));
    let mut max_starting = 0;
    for sec in 400..1_000 {
        let now = Time::from_secs(sec);
        planner.record_unavailable(now, Zone(1), PricingClass::Cheap);
        let load = if sec % 100 < 50 { 19.0 } else { 4.0 };
        for order in platform.plan(&mut planner, now, work(load)) {
            assert!(order.zone != Zone(1) || order.kind == PricingClass::Steady);
        }
        let starting = platform.targets.iter().filter(|(t, _)| t.state == TargetState::Starting);
        max_starting = max_starting.max(starting.count());
    }

    assert_eq!(platform.targets.len(), 24);
    assert_eq!(max_starting, 4);
}

#[test]
fn orders_steady_targets_when_no_cheap_ones_are_available() {
    let (mut planner, mut platform) = (planner(), Platform::with(3, 0));

    for sec in 0..600 {
        let now = Time::from_secs(sec);
        ZONES.iter().for_each(|zone| planner.record_unavailable(now, *zone, PricingClass::Cheap));
        let load = if sec % 100 < 50 { 8.0 } else { 2.0 };
        platform.plan(&mut planner, now, work(load));
    }

    assert_eq!(platform.count(PricingClass::Cheap), 0);
    assert_eq!(platform.count(PricingClass::Steady), 10);
}

#[test]
fn returns_excess_targets_but_keeps_the_minimum() {
    let (mut planner, mut platform) = (planner(), Platform::with(6, 6));

    for sec in 0..1_500 {
        platform.plan(&mut planner, Time::from_secs(sec), work(0.1));
    }

    assert_eq!(platform.targets.len(), 3);
    assert_eq!(platform.count(PricingClass::Steady), 3);
}

#[test]
fn does_not_order_again_before_an_order_is_listed() {
    let mut planner = planner();
    let mut ordered = 0;

    for sec in 0..20 {
        let fleet = ListedFleet { targets: &[], zones: &ZONES };
        for order in planner.plan_targets(Time::from_secs(sec), work(10.0), fleet) {
            if let OrderAction::Order { count } = order.action {
                ordered += count;
            }
        }
    }

    assert_eq!(ordered, 4);
}

proptest! {
    #[test]
    fn keeps_its_limits_and_spreads_over_zones(loads in vec((0.0f64..80.0, 1u64..90), 1..20)) {
        let (mut planner, mut platform) = (planner(), Platform::with(3, 0));
        let mut second = 0;

        for (load, secs) in loads {
            for sec in second..second + secs {
                platform.plan(&mut planner, Time::from_secs(sec), work(load));

                let targets = platform.targets.iter();
                let starting = targets.filter(|(t, _)| t.state == TargetState::Starting);
                prop_assert!(starting.count() <= 4);
                prop_assert!((3..=64).contains(&platform.targets.len()));
                prop_assert!(platform.count(PricingClass::Steady) >= 3);
                for kind in [PricingClass::Steady, PricingClass::Cheap] {
                    let count = |zone: &Zone| {
                        let of_kind = |t: &Target| t.zone == *zone && t.kind == kind;
                        platform.targets.iter().filter(|(t, _)| of_kind(t)).count()
                    };
                    let counts: Vec<_> = ZONES.iter().map(count).collect();
                    let spread = counts.iter().max().unwrap() - counts.iter().min().unwrap();
                    prop_assert!(spread <= 1, "{counts:?}");
                }
            }
            second += secs;
        }
    }
}
