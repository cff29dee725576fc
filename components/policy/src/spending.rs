//! Target orders of one service: how many of which kind in which zone.
//!
//! The load that is always there, and work that may not be repeated, is for steady
//! targets; what comes and goes is for cheap ones, and for steady ones where no
//! cheap ones are to be had. Targets are spread evenly over the zones, so that a
//! lost zone takes no more than its part. Orders are few at a time: a reclaimed
//! zone is replaced in bounded steps, each one counted until it is listed.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{Kind, State, Target, TargetId, Zone, spending::forecast::Forecast};

mod forecast;
#[cfg(test)]
mod tests;

/// Time between two returns.
const RETURN_PACE: Duration = Duration::from_secs(5);

/// A target that is paid for.
#[derive(Debug, Clone, Copy)]
pub struct Paid<'a> {
    /// The target.
    pub target: &'a Target,
    /// Time for which it has run nothing.
    pub idle: Duration,
}

/// The targets of one service, as the platform lists them.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Every target of the service.
    pub targets: &'a [Paid<'a>],
    /// Zones in which targets can be ordered.
    pub zones: &'a [Zone],
}

/// Work offered to a service, in targets kept fully busy.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// All of it.
    pub load: f64,
    /// The part that may not be repeated.
    pub firm: f64,
}

/// What to ask the platform for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Order `count` targets.
    Order {
        /// How many.
        count: u32,
    },
    /// Drain and return one target.
    Return {
        /// Which.
        target: TargetId,
    },
}

/// One order to the platform's interface of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The zone.
    pub zone: Zone,
    /// The kind of target.
    pub kind: Kind,
    /// What to ask for.
    pub change: Change,
}

/// Orders to place now.
pub type Orders = SmallVec<[Order; 4]>;

/// Limits of target orders.
#[derive(Debug, Clone, PartialEq)]
pub struct SpendSettings {
    /// Time from an order to a target that serves.
    pub cold_start: Duration,
    /// Time for which targets are more than enough before one is returned.
    pub idle: Duration,
    /// Load of a target at which the fleet is large enough, from 0 to 1.
    pub fill: f64,
    /// Targets kept at least.
    pub floor: u32,
    /// Targets kept at most.
    pub ceiling: u32,
    /// Targets on order at once, at most.
    pub replace: u32,
    /// Time for which a zone that gave no target of a kind is not asked again.
    pub refused: Duration,
    /// Time after which an order that is not listed no longer counts.
    pub listed: Duration,
    /// Whether cheap targets are used at all.
    pub cheap: bool,
}

impl Default for SpendSettings {
    fn default() -> SpendSettings {
        SpendSettings {
            cold_start: Duration::from_secs(120),
            idle: Duration::from_secs(120),
            fill: 0.8,
            floor: 3,
            ceiling: 64,
            replace: 4,
            refused: Duration::from_secs(60),
            listed: Duration::from_secs(30),
            cheap: true,
        }
    }
}

/// An order that the platform does not list yet.
#[derive(Debug, Clone, Copy)]
struct Unlisted {
    at: Time,
    zone: Zone,
    kind: Kind,
}

/// Targets wanted.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    total: u32,
    /// Of these, steady ones at least.
    steady: u32,
}

/// Plans the target orders of one service.
#[derive(Debug)]
pub struct TargetPlanner {
    settings: SpendSettings,
    forecast: Forecast,
    firm: Forecast,
    known: BTreeSet<TargetId>,
    unlisted: Vec<Unlisted>,
    refusals: Vec<Unlisted>,
    enough_since: Option<Time>,
    steady_since: Option<Time>,
    returned: Option<Time>,
}

impl TargetPlanner {
    /// A planner that has seen nothing yet.
    pub fn new(settings: SpendSettings) -> TargetPlanner {
        TargetPlanner {
            forecast: Forecast::new(settings.cold_start),
            firm: Forecast::new(settings.cold_start),
            known: BTreeSet::new(),
            unlisted: Vec::new(),
            refusals: Vec::new(),
            enough_since: None,
            steady_since: None,
            returned: None,
            settings,
        }
    }

    /// The limits in use.
    pub fn settings(&self) -> &SpendSettings {
        &self.settings
    }

    /// The orders to place now; call it every second or so.
    ///
    /// A target that is returned must be drained before it is given back.
    pub fn plan_targets(&mut self, now: Time, work: Work, fleet: Fleet<'_>) -> Orders {
        self.forecast.observe(now, work.load);
        self.firm.observe(now, work.firm);
        self.match_listed(now, fleet);
        let wanted = self.wanted();
        let steady = self.count(fleet, Some(Kind::Steady));
        let total = self.count(fleet, None);
        if total < wanted.total || steady < wanted.steady {
            self.enough_since = None;
            return self.order(now, wanted, steady, total, fleet);
        }
        self.give_back(now, wanted, steady, total, fleet)
    }

    /// Notes that the platform had no target of `kind` in `zone`: an order failed.
    pub fn unavailable(&mut self, now: Time, zone: Zone, kind: Kind) {
        let same = |order: &Unlisted| order.zone == zone && order.kind == kind;
        if let Some(at) = self.unlisted.iter().position(same) {
            self.unlisted.swap_remove(at);
        }
        self.refusals.retain(|refusal| !same(refusal));
        self.refusals.push(Unlisted { at: now, zone, kind });
    }

    fn wanted(&self) -> Wanted {
        let SpendSettings { fill, floor, ceiling, .. } = self.settings;
        let targets = |load: f64| (load / fill).ceil() as u32;
        let total = targets(self.forecast.peak()).clamp(floor, ceiling);
        let base = self.forecast.base().max(self.firm.peak());
        let steady = if self.settings.cheap { targets(base).clamp(floor, total) } else { total };
        Wanted { total, steady }
    }

    /// Strikes orders off the list of open ones as new targets are listed.
    fn match_listed(&mut self, now: Time, fleet: Fleet<'_>) {
        for Paid { target, .. } in fleet.targets {
            if !self.known.insert(target.id) {
                continue;
            }
            let same = |order: &Unlisted| order.zone == target.zone && order.kind == target.kind;
            if let Some(at) = self.unlisted.iter().position(same) {
                self.unlisted.swap_remove(at);
            }
        }
        self.known.retain(|id| fleet.targets.iter().any(|paid| paid.target.id == *id));
        let (listed, refused) = (self.settings.listed, self.settings.refused);
        self.unlisted.retain(|order| now.since(order.at) < listed);
        self.refusals.retain(|refusal| now.since(refusal.at) < refused);
    }

    /// Targets that serve or will, and open orders; of one kind, or of both.
    fn count(&self, fleet: Fleet<'_>, kind: Option<Kind>) -> u32 {
        let fits = |other: Kind| kind.is_none_or(|kind| kind == other);
        let targets = staying(fleet).filter(|paid| fits(paid.target.kind)).count();
        let unlisted = self.unlisted.iter().filter(|order| fits(order.kind)).count();
        (targets + unlisted) as u32
    }

    fn order(
        &mut self,
        now: Time,
        wanted: Wanted,
        steady: u32,
        total: u32,
        fleet: Fleet<'_>,
    ) -> Orders {
        let starting = staying(fleet).filter(|paid| paid.target.state == State::Starting).count();
        let open = (starting + self.unlisted.len()) as u32;
        let room = self.settings.replace.saturating_sub(open);
        let room = room.min(self.settings.ceiling.saturating_sub(total));
        let lacking = wanted.total.saturating_sub(total).max(wanted.steady.saturating_sub(steady));
        let mut steady_lacking = wanted.steady.saturating_sub(steady);
        let mut orders = Orders::new();
        for _ in 0..lacking.min(room) {
            let kind = if steady_lacking > 0 { Kind::Steady } else { Kind::Cheap };
            steady_lacking = steady_lacking.saturating_sub(1);
            let cheap = self.emptiest(kind, fleet).map(|zone| (zone, kind));
            let steady = || self.emptiest(Kind::Steady, fleet).map(|zone| (zone, Kind::Steady));
            let Some((zone, kind)) = cheap.or_else(steady) else { return orders };
            self.unlisted.push(Unlisted { at: now, zone, kind });
            add(&mut orders, zone, kind);
        }
        orders
    }

    /// The zone with the fewest targets of `kind`, then of both, that may be asked.
    fn emptiest(&self, kind: Kind, fleet: Fleet<'_>) -> Option<Zone> {
        let refuses = |zone: Zone| self.refusals.iter().any(|r| r.zone == zone && r.kind == kind);
        let open = fleet.zones.iter().copied().filter(|zone| !refuses(*zone));
        open.min_by_key(|zone| (self.in_zone(fleet, *zone, kind), self.in_zone_all(fleet, *zone)))
    }

    fn in_zone(&self, fleet: Fleet<'_>, zone: Zone, kind: Kind) -> usize {
        let fits = |other: Zone, of: Kind| other == zone && of == kind;
        let targets = staying(fleet).filter(|paid| fits(paid.target.zone, paid.target.kind));
        let orders = self.unlisted.iter().filter(|order| fits(order.zone, order.kind));
        targets.count() + orders.count()
    }

    fn in_zone_all(&self, fleet: Fleet<'_>, zone: Zone) -> usize {
        self.in_zone(fleet, zone, Kind::Steady) + self.in_zone(fleet, zone, Kind::Cheap)
    }

    /// Returns one target when there have been more than enough for a while.
    fn give_back(
        &mut self,
        now: Time,
        wanted: Wanted,
        steady: u32,
        total: u32,
        fleet: Fleet<'_>,
    ) -> Orders {
        if total <= wanted.total {
            self.enough_since = None;
            return self.exchange(now, wanted, steady, fleet);
        }
        let since = *self.enough_since.get_or_insert(now);
        let paced = self.returned.is_none_or(|at| now.since(at) >= RETURN_PACE);
        if now.since(since) < self.settings.idle || !paced {
            return Orders::new();
        }
        let kind = if steady > wanted.steady { Kind::Steady } else { Kind::Cheap };
        let fit = staying(fleet).filter(|paid| paid.target.kind == kind);
        let most = fit.max_by_key(|paid| {
            let zone = self.in_zone(fleet, paid.target.zone, kind);
            (zone, paid.idle, paid.target.id)
        });
        let Some(Paid { target, .. }) = most else { return Orders::new() };
        self.returned = Some(now);
        let change = Change::Return { target: target.id };
        Orders::from_iter([Order { zone: target.zone, kind, change }])
    }

    /// Orders a cheap target in place of a steady one too many, which is returned
    /// once the cheap one is there.
    fn exchange(&mut self, now: Time, wanted: Wanted, steady: u32, fleet: Fleet<'_>) -> Orders {
        if steady <= wanted.steady || wanted.total >= self.settings.ceiling {
            self.steady_since = None;
            return Orders::new();
        }
        let since = *self.steady_since.get_or_insert(now);
        if now.since(since) < self.settings.idle {
            return Orders::new();
        }
        let Some(zone) = self.emptiest(Kind::Cheap, fleet) else { return Orders::new() };
        self.steady_since = None;
        self.unlisted.push(Unlisted { at: now, zone, kind: Kind::Cheap });
        let change = Change::Order { count: 1 };
        Orders::from_iter([Order { zone, kind: Kind::Cheap, change }])
    }
}

/// Targets that serve or will serve, and are not on their way out.
fn staying<'a>(fleet: Fleet<'a>) -> impl Iterator<Item = &'a Paid<'a>> {
    let stays = |paid: &&Paid<'_>| {
        matches!(paid.target.state, State::Starting | State::Serving | State::Changing)
    };
    fleet.targets.iter().filter(stays)
}

/// Adds one target to the orders, in one order a zone and kind.
fn add(orders: &mut Orders, zone: Zone, kind: Kind) {
    for order in orders.iter_mut() {
        if let Change::Order { count } = &mut order.change
            && order.zone == zone
            && order.kind == kind
        {
            *count += 1;
            return;
        }
    }
    orders.push(Order { zone, kind, change: Change::Order { count: 1 } });
}
