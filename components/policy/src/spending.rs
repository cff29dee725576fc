//! Plans target orders for one service: how many of which kind in which zone.
//!
//! Steady targets are for the base load and for requests that may not be repeated. Cheap
//! targets are for peaks; steady ones take their place where no cheap ones are available.
//! Targets are spread evenly over the zones, so that losing a zone loses no more than its
//! share. The number of pending orders is limited: a reclaimed zone is replaced in bounded
//! steps, and each order counts until its target is listed.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{PricingClass, Target, TargetId, TargetState, Zone, spending::forecast::Forecast};

mod forecast;
#[cfg(test)]
mod tests;

/// Minimum time between two returns.
const RETURN_INTERVAL: Duration = Duration::from_secs(5);

/// A target that is being paid for.
#[derive(Debug, Clone, Copy)]
pub struct PaidTarget<'a> {
    /// The target.
    pub target: &'a Target,
    /// Time since it last ran a request.
    pub idle: Duration,
}

/// The targets of one service, as listed by the platform.
#[derive(Debug, Clone, Copy)]
pub struct ListedFleet<'a> {
    /// All targets of the service.
    pub targets: &'a [PaidTarget<'a>],
    /// Zones where targets can be ordered.
    pub zones: &'a [Zone],
}

/// Load of a service, in number of fully busy targets.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OfferedLoad {
    /// Total load.
    pub total: f64,
    /// Load of requests that may not be repeated.
    pub non_idempotent: f64,
}

/// The action that an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Order `count` targets.
    Order {
        /// Number of targets.
        count: u32,
    },
    /// Drain and return one target.
    Return {
        /// The target to return.
        target: TargetId,
    },
}

/// An order to the platform API of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The zone.
    pub zone: Zone,
    /// The kind of target.
    pub kind: PricingClass,
    /// The action.
    pub action: OrderAction,
}

/// Orders to place now.
pub type PlannedOrders = SmallVec<[PlannedOrder; 4]>;

/// Settings of [`TargetPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSettings {
    /// Time from an order until the target is serving.
    pub cold_start: Duration,
    /// Time for which there must be excess targets before one is returned.
    pub return_delay: Duration,
    /// Target utilization that the fleet is sized for, from 0 to 1.
    pub target_load: f64,
    /// Minimum number of targets.
    pub min_targets: u32,
    /// Maximum number of targets.
    pub max_targets: u32,
    /// Maximum number of targets that are on order or starting at once.
    pub max_pending: u32,
    /// Time for which a zone is not asked again after it could not provide a kind of target.
    pub refusal_backoff: Duration,
    /// Time after which an order that was not listed is no longer counted.
    pub listing_timeout: Duration,
    /// Whether cheap targets may be used.
    pub use_cheap: bool,
}

impl Default for ScalingSettings {
    fn default() -> ScalingSettings {
        ScalingSettings {
            cold_start: Duration::from_secs(120),
            return_delay: Duration::from_secs(120),
            target_load: 0.8,
            min_targets: 3,
            max_targets: 64,
            max_pending: 4,
            refusal_backoff: Duration::from_secs(60),
            listing_timeout: Duration::from_secs(30),
            use_cheap: true,
        }
    }
}

/// An order that is not listed yet, or that the platform could not fill.
#[derive(Debug, Clone, Copy)]
struct OrderRecord {
    at: Time,
    zone: Zone,
    kind: PricingClass,
}

/// Number of targets wanted.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    total: u32,
    /// Minimum number of steady targets among them.
    steady: u32,
}

/// Plans the target orders of one service.
#[derive(Debug)]
pub struct TargetPlanner {
    settings: ScalingSettings,
    forecast: Forecast,
    /// Forecast of the load that may not be repeated.
    non_idempotent: Forecast,
    known: BTreeSet<TargetId>,
    pending: Vec<OrderRecord>,
    refusals: Vec<OrderRecord>,
    excess_since: Option<Time>,
    steady_excess_since: Option<Time>,
    last_return: Option<Time>,
}

impl TargetPlanner {
    /// Creates a planner without history.
    pub fn new(settings: ScalingSettings) -> TargetPlanner {
        TargetPlanner {
            forecast: Forecast::new(settings.cold_start),
            non_idempotent: Forecast::new(settings.cold_start),
            known: BTreeSet::new(),
            pending: Vec::new(),
            refusals: Vec::new(),
            excess_since: None,
            steady_excess_since: None,
            last_return: None,
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ScalingSettings {
        &self.settings
    }

    /// Returns the orders to place now; to be called about once per second.
    ///
    /// A target that is to be returned must be drained first.
    pub fn plan_targets(
        &mut self,
        now: Time,
        work: OfferedLoad,
        fleet: ListedFleet<'_>,
    ) -> PlannedOrders {
        self.forecast.observe(now, work.total);
        self.non_idempotent.observe(now, work.non_idempotent);
        self.match_listed(now, fleet);
        let wanted = self.wanted();
        let steady = self.count(fleet, Some(PricingClass::Steady));
        let total = self.count(fleet, None);
        if total < wanted.total || steady < wanted.steady {
            self.excess_since = None;
            return self.order(now, wanted, steady, total, fleet);
        }
        self.return_excess(now, wanted, steady, total, fleet)
    }

    /// Records that the platform had no target of `kind` in `zone`, so that an order failed.
    pub fn record_unavailable(&mut self, now: Time, zone: Zone, kind: PricingClass) {
        let is_same = |order: &OrderRecord| order.zone == zone && order.kind == kind;
        if let Some(at) = self.pending.iter().position(is_same) {
            self.pending.swap_remove(at);
        }
        self.refusals.retain(|refusal| !is_same(refusal));
        self.refusals.push(OrderRecord { at: now, zone, kind });
    }

    fn wanted(&self) -> Wanted {
        let ScalingSettings { target_load, min_targets, max_targets, .. } = self.settings;
        let targets = |load: f64| (load / target_load).ceil() as u32;
        let total = targets(self.forecast.peak()).clamp(min_targets, max_targets);
        let base = self.forecast.base().max(self.non_idempotent.peak());
        let steady =
            if self.settings.use_cheap { targets(base).clamp(min_targets, total) } else { total };
        Wanted { total, steady }
    }

    /// Removes pending orders as new targets are listed, and expires old orders and refusals.
    fn match_listed(&mut self, now: Time, fleet: ListedFleet<'_>) {
        for PaidTarget { target, .. } in fleet.targets {
            if !self.known.insert(target.id) {
                continue;
            }
            let is_same =
                |order: &OrderRecord| order.zone == target.zone && order.kind == target.kind;
            if let Some(at) = self.pending.iter().position(is_same) {
                self.pending.swap_remove(at);
            }
        }
        self.known.retain(|id| fleet.targets.iter().any(|paid| paid.target.id == *id));
        let (listing_timeout, refusal_backoff) =
            (self.settings.listing_timeout, self.settings.refusal_backoff);
        self.pending.retain(|order| now.since(order.at) < listing_timeout);
        self.refusals.retain(|refusal| now.since(refusal.at) < refusal_backoff);
    }

    /// Number of remaining targets and pending orders, of one kind or of both.
    fn count(&self, fleet: ListedFleet<'_>, kind: Option<PricingClass>) -> u32 {
        let matches = |other: PricingClass| kind.is_none_or(|kind| kind == other);
        let targets = remaining(fleet).filter(|paid| matches(paid.target.kind)).count();
        let pending = self.pending.iter().filter(|order| matches(order.kind)).count();
        (targets + pending) as u32
    }

    /// Number of targets that may be ordered now, of a fleet that will have `total`.
    fn order_room(&self, fleet: ListedFleet<'_>, total: u32) -> u32 {
        let starting =
            remaining(fleet).filter(|paid| paid.target.state == TargetState::Starting).count();
        let total_pending = (starting + self.pending.len()) as u32;
        let room = self.settings.max_pending.saturating_sub(total_pending);
        room.min(self.settings.max_targets.saturating_sub(total))
    }

    fn order(
        &mut self,
        now: Time,
        wanted: Wanted,
        steady: u32,
        total: u32,
        fleet: ListedFleet<'_>,
    ) -> PlannedOrders {
        let room = self.order_room(fleet, total);
        let missing = wanted.total.saturating_sub(total).max(wanted.steady.saturating_sub(steady));
        let mut missing_steady = wanted.steady.saturating_sub(steady);
        let mut orders = PlannedOrders::new();
        for _ in 0..missing.min(room) {
            let kind = if missing_steady > 0 { PricingClass::Steady } else { PricingClass::Cheap };
            missing_steady = missing_steady.saturating_sub(1);
            let preferred = self.least_used_zone(kind, fleet).map(|zone| (zone, kind));
            let fallback = || {
                self.least_used_zone(PricingClass::Steady, fleet)
                    .map(|zone| (zone, PricingClass::Steady))
            };
            let Some((zone, kind)) = preferred.or_else(fallback) else { return orders };
            self.pending.push(OrderRecord { at: now, zone, kind });
            add_target(&mut orders, zone, kind);
        }
        orders
    }

    /// The zone with the fewest targets of `kind`, then of both kinds, that has not refused
    /// `kind` recently.
    fn least_used_zone(&self, kind: PricingClass, fleet: ListedFleet<'_>) -> Option<Zone> {
        let is_refused =
            |zone: Zone| self.refusals.iter().any(|r| r.zone == zone && r.kind == kind);
        let usable = fleet.zones.iter().copied().filter(|zone| !is_refused(*zone));
        usable.min_by_key(|zone| {
            (self.count_in_zone(fleet, *zone, kind), self.count_all_in_zone(fleet, *zone))
        })
    }

    fn count_in_zone(&self, fleet: ListedFleet<'_>, zone: Zone, kind: PricingClass) -> usize {
        let matches = |other: Zone, of: PricingClass| other == zone && of == kind;
        let targets = remaining(fleet).filter(|paid| matches(paid.target.zone, paid.target.kind));
        let orders = self.pending.iter().filter(|order| matches(order.zone, order.kind));
        targets.count() + orders.count()
    }

    fn count_all_in_zone(&self, fleet: ListedFleet<'_>, zone: Zone) -> usize {
        self.count_in_zone(fleet, zone, PricingClass::Steady)
            + self.count_in_zone(fleet, zone, PricingClass::Cheap)
    }

    /// Returns one target if there have been excess targets for long enough.
    fn return_excess(
        &mut self,
        now: Time,
        wanted: Wanted,
        steady: u32,
        total: u32,
        fleet: ListedFleet<'_>,
    ) -> PlannedOrders {
        if total <= wanted.total {
            self.excess_since = None;
            return self.replace_steady(now, wanted, steady, total, fleet);
        }
        let since = *self.excess_since.get_or_insert(now);
        let interval_passed = self.last_return.is_none_or(|at| now.since(at) >= RETURN_INTERVAL);
        if now.since(since) < self.settings.return_delay || !interval_passed {
            return PlannedOrders::new();
        }
        let kind = if steady > wanted.steady { PricingClass::Steady } else { PricingClass::Cheap };
        let candidates = remaining(fleet).filter(|paid| paid.target.kind == kind);
        let chosen = candidates.max_by_key(|paid| {
            let zone = self.count_in_zone(fleet, paid.target.zone, kind);
            (zone, paid.idle, paid.target.id)
        });
        let Some(PaidTarget { target, .. }) = chosen else { return PlannedOrders::new() };
        self.last_return = Some(now);
        let action = OrderAction::Return { target: target.id };
        PlannedOrders::from_iter([PlannedOrder { zone: target.zone, kind, action }])
    }

    /// Orders a cheap target to replace an excess steady one, which is returned once the cheap
    /// one is listed. It counts toward the limit of pending orders like any other.
    fn replace_steady(
        &mut self,
        now: Time,
        wanted: Wanted,
        steady: u32,
        total: u32,
        fleet: ListedFleet<'_>,
    ) -> PlannedOrders {
        if steady <= wanted.steady || wanted.total >= self.settings.max_targets {
            self.steady_excess_since = None;
            return PlannedOrders::new();
        }
        let since = *self.steady_excess_since.get_or_insert(now);
        let is_due = now.since(since) >= self.settings.return_delay;
        if !is_due || self.order_room(fleet, total) == 0 {
            return PlannedOrders::new();
        }
        let Some(zone) = self.least_used_zone(PricingClass::Cheap, fleet) else {
            return PlannedOrders::new();
        };
        self.steady_excess_since = None;
        self.pending.push(OrderRecord { at: now, zone, kind: PricingClass::Cheap });
        let action = OrderAction::Order { count: 1 };
        PlannedOrders::from_iter([PlannedOrder { zone, kind: PricingClass::Cheap, action }])
    }
}

/// Targets that are or will be serving, and are not being removed.
fn remaining<'a>(fleet: ListedFleet<'a>) -> impl Iterator<Item = &'a PaidTarget<'a>> {
    let is_remaining = |paid: &&PaidTarget<'_>| {
        matches!(
            paid.target.state,
            TargetState::Starting | TargetState::Serving | TargetState::Changing
        )
    };
    fleet.targets.iter().filter(is_remaining)
}

/// Adds one target to the orders, merging orders of the same zone and kind.
fn add_target(orders: &mut PlannedOrders, zone: Zone, kind: PricingClass) {
    for order in orders.iter_mut() {
        if let OrderAction::Order { count } = &mut order.action
            && order.zone == zone
            && order.kind == kind
        {
            *count += 1;
            return;
        }
    }
    orders.push(PlannedOrder { zone, kind, action: OrderAction::Order { count: 1 } });
}
