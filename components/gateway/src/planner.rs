//! Plans how many on-demand and reclaimable targets a service orders in each zone.
//!
//! A reclaimable target costs a fraction of an on-demand one, but a whole zone of them
//! may be reclaimed at two seconds' notice, together with their caches. So each zone
//! keeps some on-demand targets and is filled up to its limit with reclaimable ones;
//! the targets that remain carry the load of a reclaimed zone. Further on-demand targets
//! are returned once reclaimable ones have replaced them, and ordered again where no
//! reclaimable ones are available and too few serve elsewhere.
//!
//! Where the demand for the engines of a service is known, zones are filled only as far as
//! [`policy::demand`](chervilgate_policy::demand) requires ([`goals`]).

mod conditions;
mod exchange;
mod goals;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use chervilgate_clients::TargetOrder;
use chervilgate_clock::Time;

use crate::{
    config::Scaling,
    fleet::TargetEntry,
    planner::goals::{Filling, ServiceGoals},
};

pub use self::{
    conditions::Observations,
    goals::{GoalReason, ServiceDemand, ZoneGoal},
};

/// Time after which an order without effect is repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Share of a zone's limit that is on-demand while no reclaimable targets are
/// available.
const FALLBACK_ON_DEMAND_SHARE: f64 = 0.5;

/// Share of a zone's limit that is on-demand: what is left of the zone, with its caches, when
/// its reclaimable targets are taken away.
const ON_DEMAND_SHARE: f64 = 0.3;

/// Smallest number of targets by which an order changes, unless it is a tenth: each order is a
/// call, and a target that leaves loses its cache.
const MIN_CHANGE: u32 = 2;

/// Highest price of a reclaimable target, relative to an on-demand one, at which it is
/// preferred.
const MAX_PRICE_RATIO: f64 = 0.7;

/// Number of a service's targets in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ZoneTargets {
    on_demand: u32,
    reclaimable: u32,
}

impl ZoneTargets {
    fn total(self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

/// Identifies what is ordered: service, zone and kind of target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OrderKey {
    service: String,
    zone: String,
    reclaimable: bool,
}

#[derive(Debug, Clone, Copy)]
struct PlacedOrder {
    count: u32,
    placed_at: Time,
    refused: bool,
}

/// Plans target orders and remembers those placed; used by the lease holder.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    placed: HashMap<OrderKey, PlacedOrder>,
    goals: HashMap<String, ServiceGoals>,
}

impl OrderPlanner {
    /// Starts without orders.
    pub fn new() -> OrderPlanner {
        OrderPlanner::default()
    }

    /// Returns the orders to place now for a service whose zones are filled to their limits.
    pub fn plan<'a>(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        entries: impl Iterator<Item = &'a TargetEntry>,
    ) -> Vec<TargetOrder> {
        if scaling.reclaimable_price.is_none_or(|price| price > MAX_PRICE_RATIO) {
            return Vec::new();
        }
        let current = targets_by_zone(service, scaling, entries);
        // Once the demand is known, what is ordered now is given back no sooner than any other.
        let mut goals = self.goals.remove(service);
        if let Some(goals) = &mut goals {
            let refused = self.refused_zones(service);
            goals.fill_unplanned(now, service, scaling, &current, &refused);
        }
        let orders = self.fill_zones(now, service, scaling, &current, goals.as_ref());
        if let Some(goals) = goals {
            self.goals.insert(service.to_owned(), goals);
        }
        orders
    }

    /// Returns the orders that are due to fill all zones to their limits.
    fn fill_zones(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        goals: Option<&ServiceGoals>,
    ) -> Vec<TargetOrder> {
        let mut orders = Vec::new();
        for (zone, current) in current {
            let reclaimable_key = order_key(service, zone, true);
            let on_demand_key = order_key(service, zone, false);
            if *current == ZoneTargets::default() && !self.placed.contains_key(&reclaimable_key) {
                // The service does not run in this zone.
                continue;
            }
            let goal = goals.and_then(|goals| goals.on_demand(zone));
            let goal = goal.unwrap_or_else(|| full_on_demand(scaling));
            let is_in_step = goals.is_some_and(|goals| goals.is_in_step(zone));
            let goal = if is_in_step && current.reclaimable > 0 {
                goal
            } else {
                self.wanted_on_demand(scaling, goal, current, &reclaimable_key)
            };
            let wanted = scaling.max_targets.saturating_sub(current.on_demand.max(goal));
            orders.extend(self.order_if_due(now, reclaimable_key, wanted, current.reclaimable));
            if goal != current.on_demand || self.placed.contains_key(&on_demand_key) {
                orders.extend(self.order_if_due(now, on_demand_key, goal, current.on_demand));
            }
        }
        orders
    }

    /// Returns the orders to place now for a service, of which the demand is known.
    pub fn plan_for_demand<'a>(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        entries: impl Iterator<Item = &'a TargetEntry>,
        demand: &ServiceDemand,
    ) -> Vec<TargetOrder> {
        if scaling.reclaimable_price.is_none_or(|price| price > MAX_PRICE_RATIO) {
            return Vec::new();
        }
        let mut current = targets_by_zone(service, scaling, entries);
        current.retain(|zone, targets| {
            *targets != ZoneTargets::default()
                || self.placed.contains_key(&order_key(service, zone, true))
                || self.placed.contains_key(&order_key(service, zone, false))
        });
        let was_filled = self.placed.keys().any(|key| key.service == service);
        let mut goals = self.goals.remove(service).unwrap_or_else(|| {
            if was_filled {
                ServiceGoals::filled(now, scaling, current.keys().copied())
            } else {
                ServiceGoals::new(now)
            }
        });
        let refused = self.refused_zones(service);
        let filling = goals.update(now, service, scaling, &current, demand, &refused);
        let orders = if filling == Filling::No {
            self.order_goals(now, service, scaling, &current, &goals, demand)
        } else {
            self.fill_zones(now, service, scaling, &current, Some(&goals))
        };
        self.goals.insert(service.to_owned(), goals);
        orders
    }

    /// The goals of the services whose demand is known, by service and zone.
    pub fn goals(&self) -> impl Iterator<Item = (&str, &str, ZoneGoal)> {
        self.goals.iter().flat_map(|(service, goals)| {
            goals.zones().map(move |(zone, goal)| (service.as_str(), zone, goal))
        })
    }

    /// The zones in which the last order of reclaimable targets was refused.
    fn refused_zones(&self, service: &str) -> BTreeSet<String> {
        let orders = self.placed.iter();
        let refused = orders
            .filter(|(key, placed)| key.service == service && key.reclaimable && placed.refused);
        refused.map(|(key, _)| key.zone.clone()).collect()
    }

    /// Drops the goals and orders of services that are no longer scaled.
    pub fn retain_services(&mut self, is_scaled: impl Fn(&str) -> bool) {
        self.goals.retain(|service, _| is_scaled(service));
        self.placed.retain(|key, _| is_scaled(&key.service));
    }

    /// Returns the orders that are due to reach the goals of a service.
    fn order_goals(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        current: &BTreeMap<&str, ZoneTargets>,
        goals: &ServiceGoals,
        demand: &ServiceDemand,
    ) -> Vec<TargetOrder> {
        let mut orders = Vec::new();
        let listed: u32 = current.values().map(|zone| zone.on_demand + zone.reclaimable).sum();
        let is_short = goals.is_short(listed);
        for (zone, current) in current {
            let goal = goals.zone(zone);
            let reclaimable_key = order_key(service, zone, true);
            let on_demand_key = order_key(service, zone, false);
            let refused = self.placed.get(&reclaimable_key).is_some_and(|placed| placed.refused);
            let is_unavailable = refused && current.reclaimable == 0;
            // The targets that leave in a step are still listed until the platform ends them.
            let is_in_step = goals.is_in_step(zone);
            let mut on_demand =
                if is_in_step { goal.on_demand } else { goal.on_demand_now(current) };
            if !is_in_step && (is_unavailable || !demand.may_return) {
                on_demand = on_demand.max(current.on_demand.min(scaling.max_targets));
            }
            if is_unavailable && let Some(placed) = self.placed.get(&on_demand_key) {
                // Those that take the place of reclaimable ones may still be starting.
                on_demand = on_demand.max(placed.count);
            }
            if is_unavailable && is_short {
                let share = f64::from(scaling.max_targets) * FALLBACK_ON_DEMAND_SHARE;
                on_demand = on_demand.max(share.ceil() as u32);
            }
            on_demand = self.without_small_return(&on_demand_key, on_demand, goal.on_demand);
            let room = scaling.max_targets.saturating_sub(current.on_demand.max(on_demand));
            let reclaimable = goal.reclaimable.min(room);
            for (key, wanted, current) in [
                (reclaimable_key, reclaimable, current.reclaimable),
                (on_demand_key, on_demand, current.on_demand),
            ] {
                if wanted != current || self.placed.contains_key(&key) {
                    orders.extend(self.order_if_due(now, key, wanted, current));
                }
            }
        }
        orders
    }

    /// The number of on-demand targets to order; that of the last order if few fewer are wanted
    /// for a moment.
    fn without_small_return(&self, key: &OrderKey, wanted: u32, goal: u32) -> u32 {
        match self.placed.get(key) {
            Some(placed)
                if wanted > goal
                    && wanted < placed.count
                    && !is_significant(placed.count - wanted, placed.count) =>
            {
                placed.count
            }
            _ => wanted,
        }
    }

    /// Records whether an order was accepted.
    pub fn record_result(&mut self, order: &TargetOrder, accepted: bool) {
        let TargetOrder { service, zone, cheap, .. } = order;
        let key = order_key(service, zone, *cheap);
        if let Some(placed) = self.placed.get_mut(&key) {
            placed.refused = !accepted;
        }
    }

    /// Number of on-demand targets that a zone should have now, of which `goal` is wanted.
    fn wanted_on_demand(
        &self,
        scaling: &Scaling,
        goal: u32,
        current: &ZoneTargets,
        reclaimable_key: &OrderKey,
    ) -> u32 {
        let share = |share: f64| (f64::from(scaling.max_targets) * share).ceil() as u32;
        let refused = self.placed.get(reclaimable_key).is_some_and(|placed| placed.refused);
        if current.reclaimable == 0 && refused {
            return goal.max(share(FALLBACK_ON_DEMAND_SHARE));
        }
        if current.reclaimable >= current.on_demand.min(scaling.max_targets.saturating_sub(goal)) {
            return goal;
        }
        current.on_demand
    }

    /// Returns the order for `wanted` targets, if it is new or due to be repeated.
    fn order_if_due(
        &mut self,
        now: Time,
        key: OrderKey,
        wanted: u32,
        current: u32,
    ) -> Option<TargetOrder> {
        let due = self.placed.get(&key).is_none_or(|placed| {
            placed.count != wanted
                || (current != wanted && now.since(placed.placed_at) >= ORDER_RETRY_INTERVAL)
        });
        if !due {
            return None;
        }
        let order = TargetOrder {
            id: String::new(),
            epoch: 0,
            zone: key.zone.clone(),
            service: key.service.clone(),
            count: wanted,
            cheap: key.reclaimable,
        };
        self.placed.insert(key, PlacedOrder { count: wanted, placed_at: now, refused: false });
        Some(order)
    }
}

fn order_key(service: &str, zone: &str, reclaimable: bool) -> OrderKey {
    OrderKey { service: service.to_owned(), zone: zone.to_owned(), reclaimable }
}

/// Whether a change of an order by `change` is worth a call.
fn is_significant(change: u32, count: u32) -> bool {
    change > 0 && (change >= MIN_CHANGE || change * 10 >= count)
}

/// Number of on-demand targets in a zone that is filled to its limit.
fn full_on_demand(scaling: &Scaling) -> u32 {
    let share = (f64::from(scaling.max_targets) * ON_DEMAND_SHARE).ceil() as u32;
    share.max(scaling.min_targets).max(1)
}

/// Counts the targets of `service` in each zone, sorted by zone.
fn targets_by_zone<'a, 'b>(
    service: &str,
    scaling: &'b Scaling,
    entries: impl Iterator<Item = &'a TargetEntry>,
) -> BTreeMap<&'b str, ZoneTargets> {
    let zones = scaling.zone_prices.keys().map(|zone| (zone.as_str(), ZoneTargets::default()));
    let mut counts: BTreeMap<&str, ZoneTargets> = zones.collect();
    for entry in entries.filter(|entry| &*entry.service == service && !entry.draining) {
        let Some(counts) = counts.get_mut(&*entry.zone) else { continue };
        if entry.reclaimable {
            counts.reclaimable += 1;
        } else {
            counts.on_demand += 1;
        }
    }
    counts
}

/// Name of a service and its scaling limits.
pub(crate) type ScaledService = (Arc<str>, Scaling);
