//! Planning of target orders: the policy's planner and the baselines for it.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{
    ListedFleet, OfferedLoad, OrderAction, PlannedOrder, PlannedOrders, PricingClass,
    ScalingSettings, TargetPlanner, TargetState, Zone,
};

/// Time with more targets than needed after which one is returned.
const RETURN_AFTER: Duration = Duration::from_secs(20);

/// Plans target orders.
pub trait PlanTargets {
    /// Returns the orders to place now.
    fn plan(&mut self, now: Time, work: OfferedLoad, fleet: ListedFleet<'_>) -> PlannedOrders;

    /// Records that a zone had no target of this kind.
    fn unavailable(&mut self, now: Time, zone: Zone, kind: PricingClass);
}

impl PlanTargets for TargetPlanner {
    fn plan(&mut self, now: Time, work: OfferedLoad, fleet: ListedFleet<'_>) -> PlannedOrders {
        self.plan_targets(now, work, fleet)
    }

    fn unavailable(&mut self, now: Time, zone: Zone, kind: PricingClass) {
        TargetPlanner::record_unavailable(self, now, zone, kind);
    }
}

/// Never orders or returns a target.
#[derive(Debug, Clone, Copy)]
pub struct FixedFleet;

impl PlanTargets for FixedFleet {
    fn plan(&mut self, _: Time, _: OfferedLoad, _: ListedFleet<'_>) -> PlannedOrders {
        PlannedOrders::new()
    }

    fn unavailable(&mut self, _: Time, _: Zone, _: PricingClass) {}
}

/// Keeps as many targets as the current load needs: cheap ones in the first zone that
/// has any, otherwise steady ones.
#[derive(Debug)]
pub struct CheapestFirst {
    settings: ScalingSettings,
    /// Zones without cheap targets, with the time of the refusal.
    unavailable_zones: Vec<(Time, Zone)>,
    /// Start of the current period with more targets than needed.
    surplus_since: Option<Time>,
}

impl CheapestFirst {
    /// A planner within the limits of `settings`.
    pub fn new(settings: ScalingSettings) -> CheapestFirst {
        CheapestFirst { settings, unavailable_zones: Vec::new(), surplus_since: None }
    }

    fn choose_zone_and_class(&self, fleet: ListedFleet<'_>) -> Option<(Zone, PricingClass)> {
        let is_unavailable = |zone: &&Zone| {
            self.unavailable_zones.iter().any(|(_, unavailable)| unavailable == *zone)
        };
        let cheap = fleet.zones.iter().find(|zone| !is_unavailable(zone));
        let steady = fleet.zones.first().map(|zone| (*zone, PricingClass::Steady));
        cheap.map(|zone| (*zone, PricingClass::Cheap)).or(steady)
    }
}

impl PlanTargets for CheapestFirst {
    fn plan(&mut self, now: Time, work: OfferedLoad, fleet: ListedFleet<'_>) -> PlannedOrders {
        self.unavailable_zones.retain(|(at, _)| now.since(*at) < self.settings.refusal_backoff);
        let ScalingSettings { target_load, min_targets, max_targets, .. } = self.settings;
        let wanted =
            ((work.total / target_load).ceil() as u32).clamp(min_targets, max_targets) as usize;
        let staying: Vec<_> = fleet
            .targets
            .iter()
            .filter(|paid| paid.target.state != TargetState::Draining)
            .collect();
        if staying.len() <= wanted {
            self.surplus_since = None;
            let count = (wanted - staying.len()) as u32;
            let place = self.choose_zone_and_class(fleet).filter(|_| count > 0);
            let order =
                |(zone, kind)| PlannedOrder { zone, kind, action: OrderAction::Order { count } };
            return place.map(order).into_iter().collect();
        }
        if now.since(*self.surplus_since.get_or_insert(now)) < RETURN_AFTER {
            return PlannedOrders::new();
        }
        self.surplus_since = None;
        let serving = staying.iter().filter(|paid| paid.target.state == TargetState::Serving);
        let most_expensive = serving.min_by_key(|paid| (paid.target.kind, paid.target.id));
        let order = |paid: &&chervilgate_policy::PaidTarget<'_>| PlannedOrder {
            zone: paid.target.zone,
            kind: paid.target.kind,
            action: OrderAction::Return { target: paid.target.id },
        };
        most_expensive.map(order).into_iter().collect()
    }

    fn unavailable(&mut self, now: Time, zone: Zone, _: PricingClass) {
        self.unavailable_zones.push((now, zone));
    }
}
