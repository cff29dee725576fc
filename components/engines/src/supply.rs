//! Simulated provider of targets: orders, reclaims and cost by availability zone.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;

use crate::{Profile, WeightStore};

/// Price tier of a target, which decides whether the provider may reclaim it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PricingTier {
    /// Never reclaimed.
    Steady,
    /// Cheaper; the provider can reclaim all cheap targets of a zone at once.
    Cheap,
}

/// Prices of a target, in cents per hour.
#[derive(Debug, Clone, Copy)]
pub struct PriceList {
    /// Price of a steady target.
    pub steady: u64,
    /// Price of a cheap target.
    pub cheap: u64,
}

impl PriceList {
    /// Returns the price in `tier`, in cents per hour.
    pub fn price(&self, tier: PricingTier) -> u64 {
        match tier {
            PricingTier::Steady => self.steady,
            PricingTier::Cheap => self.cheap,
        }
    }
}

/// A target that was ordered successfully.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderedTarget {
    /// Identifies the target in calls to [`TargetProvider`].
    pub id: u32,
    /// When its weights are loaded and it can serve.
    pub ready: Time,
}

/// The zone currently offers no targets of the requested tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoCapacity;

#[derive(Debug, Clone, Copy)]
struct Rental {
    zone: u8,
    tier: PricingTier,
    since: Time,
    /// `None` while the target is rented.
    until: Option<Time>,
}

/// A simulated provider that rents out targets and tracks their cost.
#[derive(Debug, Clone)]
pub struct TargetProvider {
    prices: PriceList,
    store: WeightStore,
    /// Indexed by target id.
    rentals: Vec<Rental>,
    /// By zone, the end of the time without cheap targets.
    unavailable_until: BTreeMap<u8, Time>,
}

impl TargetProvider {
    /// Creates a provider with `prices` whose targets load their weights from `store`.
    pub fn new(prices: PriceList, store: WeightStore) -> TargetProvider {
        TargetProvider { prices, store, rentals: Vec::new(), unavailable_until: BTreeMap::new() }
    }

    /// Adds a target that is already running, paid for from `now` on; returns its id.
    pub fn add_running(&mut self, now: Time, zone: u8, tier: PricingTier) -> u32 {
        self.add_rental(now, zone, tier)
    }

    /// Orders a target in `zone`, paid for from `now` on.
    ///
    /// # Errors
    ///
    /// [`NoCapacity`] if the zone offers no cheap targets after a reclaim.
    pub fn order(
        &mut self,
        now: Time,
        zone: u8,
        tier: PricingTier,
        profile: &Profile,
    ) -> Result<OrderedTarget, NoCapacity> {
        if tier == PricingTier::Cheap
            && self.unavailable_until.get(&zone).is_some_and(|until| now < *until)
        {
            return Err(NoCapacity);
        }
        let ready = self.store.load(now + profile.boot, profile.weight_bytes);
        Ok(OrderedTarget { id: self.add_rental(now, zone, tier), ready })
    }

    /// Returns a target to the provider; it costs nothing from `now` on.
    pub fn return_target(&mut self, now: Time, id: u32) {
        let Some(rental) = self.rentals.get_mut(id as usize) else { return };
        rental.until.get_or_insert(now);
    }

    /// Reclaims all cheap targets of `zone`, offers none there for `duration`, and returns their
    /// ids.
    pub fn reclaim(&mut self, now: Time, zone: u8, duration: Duration) -> Vec<u32> {
        self.unavailable_until.insert(zone, now + duration);
        let mut ids = Vec::new();
        for (id, rental) in self.rentals.iter_mut().enumerate() {
            let reclaimed =
                rental.zone == zone && rental.tier == PricingTier::Cheap && rental.until.is_none();
            if reclaimed {
                rental.until = Some(now);
                ids.push(id as u32);
            }
        }
        ids
    }

    /// Returns the total cost of all targets up to `now`, in cents.
    pub fn total_cost(&self, now: Time) -> f64 {
        let rentals = self.rentals.iter();
        rentals.map(|rental| self.rental_cost(rental, now)).sum()
    }

    fn rental_cost(&self, rental: &Rental, now: Time) -> f64 {
        let until = rental.until.unwrap_or(now).min(now);
        let hours = until.since(rental.since).as_secs_f64() / 3_600.0;
        hours * self.prices.price(rental.tier) as f64
    }

    fn add_rental(&mut self, since: Time, zone: u8, tier: PricingTier) -> u32 {
        self.rentals.push(Rental { zone, tier, since, until: None });
        (self.rentals.len() - 1) as u32
    }
}
